package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// maxFindings bounds the findings that are reported of one file.
const maxFindings = 200

// decoder collects the findings of one file.
type decoder struct {
	file     string
	findings []Finding
}

// add records a finding at the place of a value.
func (d *decoder) add(n *yaml.Node, path, format string, args ...any) {
	f := Finding{File: d.file, Line: 1, Column: 1, Path: path, Message: fmt.Sprintf(format, args...)}
	if n != nil && n.Line > 0 {
		f.Line, f.Column = n.Line, n.Column
	}
	d.findings = append(d.findings, f)
}

// err returns the findings as one error, or nil when there are none.
func (d *decoder) err() error {
	if len(d.findings) == 0 {
		return nil
	}
	slices.SortStableFunc(d.findings, func(a, b Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	if more := len(d.findings) - maxFindings; more > 0 {
		last := d.findings[maxFindings]
		last.Path, last.Message = "", fmt.Sprintf("%d more findings from here on", more)
		return &InvalidError{Findings: append(d.findings[:maxFindings:maxFindings], last)}
	}
	return &InvalidError{Findings: d.findings}
}

// root parses the text of a file and returns its mapping.
func (d *decoder) root(data []byte) *mapping {
	var doc yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&doc); err != nil {
		d.addSyntax(err)
		return d.mapping(nil, "")
	}
	var second yaml.Node
	if err := dec.Decode(&second); err == nil {
		d.add(&second, "", "the file holds a second document")
	} else if !errors.Is(err, io.EOF) {
		d.addSyntax(err)
	}
	if len(doc.Content) != 1 {
		d.add(&doc, "", "the file is empty")
		return d.mapping(nil, "")
	}
	return d.mapping(doc.Content[0], "")
}

var syntaxLine = regexp.MustCompile(`line (\d+)`)

// addSyntax records an error of the YAML parser at the line that it names.
func (d *decoder) addSyntax(err error) {
	if errors.Is(err, io.EOF) {
		d.add(nil, "", "the file is empty")
		return
	}
	at := &yaml.Node{Line: 1, Column: 1}
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		at.Line, _ = strconv.Atoi(m[1])
	}
	d.add(at, "", "not valid YAML: %s", strings.TrimPrefix(err.Error(), "yaml: "))
}

// entry is one key of a mapping with its value.
type entry struct {
	key   *yaml.Node
	value *yaml.Node
	path  string
}

// mapping reads the values of a YAML mapping by key. Keys that nobody read are
// findings of close.
type mapping struct {
	*decoder
	node    *yaml.Node // nil when there is no mapping
	path    string
	entries []entry
	byKey   map[string]entry
	read    map[string]bool
}

// mapping returns the mapping at n. What is wrong with n is recorded, and the
// mapping is empty then.
func (d *decoder) mapping(n *yaml.Node, path string) *mapping {
	m := &mapping{
		decoder: d, node: n, path: path,
		byKey: make(map[string]entry), read: make(map[string]bool),
	}
	if n == nil {
		return m
	}
	if n.Kind != yaml.MappingNode {
		d.add(n, path, "must be a mapping, is %s", kindName(n))
		m.node = nil
		return m
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		m.addEntry(n.Content[i], n.Content[i+1])
	}
	return m
}

func (m *mapping) addEntry(key, value *yaml.Node) {
	if key.Kind != yaml.ScalarNode {
		m.add(key, m.path, "a key must be a text, is %s", kindName(key))
		return
	}
	path := join(m.path, key.Value)
	if first, ok := m.byKey[key.Value]; ok {
		m.add(key, path, "duplicate key, first given in line %d", first.key.Line)
		return
	}
	e := entry{key: key, value: value, path: path}
	m.byKey[key.Value] = e
	m.entries = append(m.entries, e)
}

// take returns the entry of a key and marks it as read.
func (m *mapping) take(key string) (entry, bool) {
	e, ok := m.byKey[key]
	m.read[key] = true
	return e, ok
}

// has reports whether a key is given.
func (m *mapping) has(key string) bool {
	_, ok := m.byKey[key]
	return ok
}

// need returns the entry of a key; a missing one is a finding.
func (m *mapping) need(key string) (entry, bool) {
	e, ok := m.take(key)
	if !ok && m.node != nil {
		m.add(m.node, m.path, "%s is missing", key)
	}
	return e, ok
}

// sub returns the mapping below a key, empty when the key is missing.
func (m *mapping) sub(key string) *mapping {
	e, ok := m.take(key)
	if !ok {
		return m.mapping(nil, join(m.path, key))
	}
	return m.mapping(e.value, e.path)
}

// close records a finding for every key that was not read.
func (m *mapping) close() {
	for _, e := range m.entries {
		if !m.read[e.key.Value] {
			m.add(e.key, e.path, "unknown key")
		}
	}
}

// at returns the place of a key for findings about its value.
func (m *mapping) at(key string) *yaml.Node {
	if e, ok := m.byKey[key]; ok {
		return e.value
	}
	return m.node
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func kindName(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias, which is not supported"
	case yaml.ScalarNode:
		return strconv.Quote(n.Value)
	}
	return "empty"
}
