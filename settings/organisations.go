package settings

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/internal/key"
	"gopkg.in/yaml.v3"
)

// defaultQuotaWindow is the length of the windows in which the limits of organisations
// hold.
const defaultQuotaWindow = 5 * time.Second

// Bounds of the values of organisations.
const (
	minQuotaWindow = time.Second
	maxQuotaWindow = time.Minute
	maxPriority    = 9
)

// organisationKeyPattern excludes keys that can be guessed: anybody who can read the
// control log could find them by their digests.
var organisationKeyPattern = regexp.MustCompile(`^[!-~]{16,128}$`)

const organisationKeyRule = "must be 16 to 128 printable ASCII characters without spaces"

// organisations reads the organisations and sets what belongs to them in the
// configuration.
func (m *mapping) organisations(cfg *types.Config) {
	window := m.duration("quota_window", defaultQuotaWindow, valueRange[time.Duration]{minQuotaWindow, maxQuotaWindow})
	entries := m.submapping("organisations").entries
	if len(entries) == 0 {
		return
	}
	cfg.QuotaWindow = window
	cfg.Organisations = make(map[types.OrganisationName]types.Organisation)
	holders := make(map[string]entry)
	for _, e := range entries {
		o := m.organisation(e, holders)
		cfg.Organisations[o.Name] = o
	}
}

func (d *decoder) organisation(e entry, holders map[string]entry) types.Organisation {
	m := d.mapping(e.value, e.path)
	o := types.Organisation{
		Name:     types.OrganisationName(d.nameValue(e.key, e.path)),
		Priority: m.integer("priority", 0, valueRange[int]{0, maxPriority}),
		Rate:     m.rate("rate"),
		Burst:    m.integer("burst", 0, valueRange[int]{0, types.MaxBurst}),
	}
	o.Keys = key.Digests(m.organisationKeys(holders))
	m.reportUnknownKeys()
	if m.has("burst") && !m.has("rate") {
		m.addFinding(m.valueNode("burst"), joinPath(m.path, "burst"), "is given, but rate is not")
	}
	return o
}

// rate returns the number of operations a second below a key, or zero if the key is
// missing.
func (m *mapping) rate(name string) float64 {
	return parseScalar(m, name, 0, func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(v) || v <= 0 || v > types.MaxRate {
			return 0, fmt.Errorf("%q must be a number of operations a second, above 0 and at most %d", s, types.MaxRate)
		}
		return v, nil
	})
}

// organisationKeys reads the keys of an organisation. No finding states a key. holders
// are the keys that were read before.
func (m *mapping) organisationKeys(holders map[string]entry) []string {
	e, ok := m.required("keys")
	if !ok {
		return nil
	}
	if e.value.Kind != yaml.SequenceNode {
		m.addFinding(e.value, e.path, "must be a list")
		return nil
	}
	var out []string
	for _, k := range m.list("keys") {
		if k.value.Kind != yaml.ScalarNode || !organisationKeyPattern.MatchString(k.value.Value) {
			m.addFinding(k.value, k.path, organisationKeyRule)
			continue
		}
		if first, ok := holders[k.value.Value]; ok {
			m.addFinding(k.value, k.path, "is the same key as %s in line %d", first.path, first.value.Line)
			continue
		}
		holders[k.value.Value] = k
		out = append(out, k.value.Value)
	}
	return out
}

// hiddenKey stands for each key in a text whose keys are hidden.
const hiddenKey = "(hidden)"

// HideKeys returns the text of an operators' configuration without the keys of its
// organisations, and without comments, since these may hold former keys.
func HideKeys(source string) (string, error) {
	if _, err := ParseConfig("the configuration", []byte(source)); err != nil {
		return "", err
	}
	var doc yaml.Node
	if err := yaml.Unmarshal([]byte(source), &doc); err != nil {
		return "", err
	}
	removeComments(&doc)
	d := &decoder{}
	for _, o := range d.mapping(doc.Content[0], "").submapping("organisations").entries {
		for _, k := range d.mapping(o.value, o.path).list("keys") {
			k.value.SetString(hiddenKey)
			k.value.Style = 0
		}
	}
	text, err := yaml.Marshal(&doc)
	return string(text), err
}

func removeComments(n *yaml.Node) {
	n.HeadComment, n.LineComment, n.FootComment = "", "", ""
	for _, child := range n.Content {
		removeComments(child)
	}
}
