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

// maxFindings bounds the findings that are reported for one file.
const maxFindings = 200

// decoder decodes one file and collects the findings about it.
type decoder struct {
	file     string
	findings []Finding
}

// addFinding records a finding at the position of n, or at the start of the file
// if n is nil.
func (d *decoder) addFinding(n *yaml.Node, path, format string, args ...any) {
	f := Finding{File: d.file, Line: 1, Column: 1, Path: path, Message: fmt.Sprintf(format, args...)}
	if n != nil && n.Line > 0 {
		f.Line, f.Column = n.Line, n.Column
	}
	d.findings = append(d.findings, f)
}

// err returns the findings as one error in the order of their positions, or nil when
// there are none. Beyond maxFindings the error only holds the number of the others.
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

// root parses a file and returns the mapping at its top level.
func (d *decoder) root(data []byte) *mapping {
	var doc yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&doc); err != nil {
		d.addSyntaxError(err)
		return d.mapping(nil, "")
	}
	var second yaml.Node
	if err := dec.Decode(&second); err == nil {
		d.addFinding(&second, "", "the file holds a second document")
	} else if !errors.Is(err, io.EOF) {
		d.addSyntaxError(err)
	}
	if len(doc.Content) != 1 {
		d.addFinding(&doc, "", "the file is empty")
		return d.mapping(nil, "")
	}
	return d.mapping(doc.Content[0], "")
}

var (
	syntaxLine = regexp.MustCompile(`line (\d+)`)
	// unknownAnchor matches the part of a message that quotes the file: a key that
	// begins with an asterisk reads as an alias.
	unknownAnchor = regexp.MustCompile(`unknown anchor '.*'`)
)

// addSyntaxError records an error of the YAML parser, at the line that its message
// gives.
func (d *decoder) addSyntaxError(err error) {
	if errors.Is(err, io.EOF) {
		d.addFinding(nil, "", "the file is empty")
		return
	}
	position := &yaml.Node{Line: 1, Column: 1}
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		position.Line, _ = strconv.Atoi(m[1])
	}
	message := unknownAnchor.ReplaceAllString(strings.TrimPrefix(err.Error(), "yaml: "), "unknown anchor")
	d.addFinding(position, "", "not valid YAML: %s", message)
}

// entry is one key of a mapping with its value.
type entry struct {
	key   *yaml.Node
	value *yaml.Node
	path  string
}

// mapping reads the values of a YAML mapping by key. reportUnknownKeys reports the
// keys that were not used.
type mapping struct {
	*decoder
	node    *yaml.Node // nil when there is no mapping
	path    string
	entries []entry
	byKey   map[string]entry
	used    map[string]bool
}

// mapping returns the mapping at n. If n is not a mapping, it records a finding and
// returns an empty mapping.
func (d *decoder) mapping(n *yaml.Node, path string) *mapping {
	m := &mapping{
		decoder: d, node: n, path: path,
		byKey: make(map[string]entry), used: make(map[string]bool),
	}
	if n == nil {
		return m
	}
	if n.Kind != yaml.MappingNode {
		d.addFinding(n, path, "must be a mapping, is %s", describe(n))
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
		m.addFinding(key, m.path, "a key must be a string, is %s", describe(key))
		return
	}
	path := joinPath(m.path, key.Value)
	if first, ok := m.byKey[key.Value]; ok {
		m.addFinding(key, path, "duplicate key, first given in line %d", first.key.Line)
		return
	}
	e := entry{key: key, value: value, path: path}
	m.byKey[key.Value] = e
	m.entries = append(m.entries, e)
}

// lookup returns the entry of a key and marks the key as used.
func (m *mapping) lookup(key string) (entry, bool) {
	e, ok := m.byKey[key]
	m.used[key] = true
	return e, ok
}

// has reports whether a key is present, without marking it as used.
func (m *mapping) has(key string) bool {
	_, ok := m.byKey[key]
	return ok
}

// required is lookup for a required key: a missing key is a finding.
func (m *mapping) required(key string) (entry, bool) {
	e, ok := m.lookup(key)
	if !ok && m.node != nil {
		m.addFinding(m.node, m.path, "%s is missing", key)
	}
	return e, ok
}

// submapping returns the mapping below a key, empty if the key is missing.
func (m *mapping) submapping(key string) *mapping {
	e, ok := m.lookup(key)
	if !ok {
		return m.mapping(nil, joinPath(m.path, key))
	}
	return m.mapping(e.value, e.path)
}

// reportUnknownKeys records a finding for every key that was not used.
func (m *mapping) reportUnknownKeys() {
	for _, e := range m.entries {
		if !m.used[e.key.Value] {
			m.addFinding(e.key, e.path, "unknown key")
		}
	}
}

// valueNode returns the node of a key's value, for the position of findings; if the
// key is missing, it returns the mapping's node.
func (m *mapping) valueNode(key string) *yaml.Node {
	if e, ok := m.byKey[key]; ok {
		return e.value
	}
	return m.node
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// describe returns the value of a scalar in quotes, or the kind of another node.
func describe(n *yaml.Node) string {
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
