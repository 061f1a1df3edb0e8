package settings

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gopkg.in/yaml.v3"
)

// Defaults of a profile.
const (
	defaultRequestTimeout = 10 * time.Second
	defaultQueueTimeout   = 2 * time.Second
	defaultDrainTimeout   = 5 * time.Second
	defaultWeight         = 1
)

// Bounds of the operators' values.
const (
	maxTimeout     = time.Hour
	maxAge         = 24 * time.Hour
	maxWeight      = 1000
	maxMembers     = 9
	maxSlots       = 10_000
	maxConnections = 100_000
	maxProxies     = 10_000
)

// Connections to a member that are not available to callers: one for the control
// hosts, and one per proxy for its probes.
const (
	controlConnections = 1
	probeConnections   = 1
)

// ParseConfig parses the operators' configuration. The version stays zero, since
// the control hosts assign it when they accept a configuration. An error is an
// *InvalidError.
func ParseConfig(file string, data []byte) (*types.Config, error) {
	d := &decoder{file: file}
	root := d.root(data)
	cfg := &types.Config{
		Services: make(map[types.ServiceName]types.Service),
		Profiles: make(map[types.ProfileName]types.Profile),
	}
	proxies := root.integer("proxies", 1, valueRange[int]{1, maxProxies})
	cfg.TransactionIdle = root.duration("transaction_idle", 0, valueRange[time.Duration]{0, maxTimeout})
	cfg.PriorityOrder = choice(root, "priority_order", false, switches)
	root.required("profiles")
	for _, e := range root.submapping("profiles").entries {
		p := d.profile(e)
		cfg.Profiles[p.Name] = p
	}
	root.required("services")
	for _, e := range root.submapping("services").entries {
		s := d.service(e, cfg.Profiles, proxies)
		cfg.Services[s.Name] = s
	}
	root.organisations(cfg)
	root.reportUnknownKeys()
	if err := d.err(); err != nil {
		return nil, err
	}
	return cfg, nil
}

var freshnessModes = map[string]types.FreshnessMode{
	"primary": types.FreshPrimary,
	"session": types.FreshSession,
	"age":     types.FreshAge,
}

var switches = map[string]bool{"true": true, "false": false}

var idempotences = map[string]types.Idempotence{
	"none":  types.IdempotentNone,
	"reads": types.IdempotentReads,
	"all":   types.IdempotentAll,
}

var durabilities = map[string]types.Durability{
	"majority": types.DurableMajority,
	"primary":  types.DurablePrimary,
}

func (d *decoder) profile(e entry) types.Profile {
	m := d.mapping(e.value, e.path)
	timeouts := valueRange[time.Duration]{time.Millisecond, maxTimeout}
	p := types.Profile{
		Name:           types.ProfileName(d.nameValue(e.key, e.path)),
		Idempotent:     choice(m, "idempotent", types.IdempotentReads, idempotences),
		Durability:     choice(m, "durability", types.DurableMajority, durabilities),
		RequestTimeout: m.duration("request_timeout", defaultRequestTimeout, timeouts),
		QueueTimeout:   m.duration("queue_timeout", defaultQueueTimeout, timeouts),
		Objective:      m.duration("objective", 0, valueRange[time.Duration]{0, maxTimeout}),
		DrainTimeout:   m.duration("drain_timeout", defaultDrainTimeout, timeouts),
		Weight:         m.integer("weight", defaultWeight, valueRange[int]{1, maxWeight}),
		Priority:       m.integer("priority", 0, valueRange[int]{0, maxPriority}),
	}
	m.required("freshness")
	p.Freshness = choice(m, "freshness", types.FreshPrimary, freshnessModes)
	p.MaxAge = m.duration("max_age", 0, valueRange[time.Duration]{time.Millisecond, maxAge})
	m.reportUnknownKeys()
	m.checkProfile(p)
	return p
}

// checkProfile reports settings of a profile that contradict each other.
func (m *mapping) checkProfile(p types.Profile) {
	if m.has("max_age") && p.Freshness != types.FreshAge {
		m.addFinding(m.valueNode("max_age"), joinPath(m.path, "max_age"), "is given, but freshness is not age")
	}
	if p.Freshness == types.FreshAge && !m.has("max_age") && m.has("freshness") {
		m.addFinding(m.valueNode("freshness"), joinPath(m.path, "freshness"), "is age, but max_age is missing")
	}
	if p.QueueTimeout > p.RequestTimeout {
		m.addFinding(m.valueNode("queue_timeout"), joinPath(m.path, "queue_timeout"),
			"%s is longer than request_timeout %s", p.QueueTimeout, p.RequestTimeout)
	}
}

func (d *decoder) service(
	e entry, profiles map[types.ProfileName]types.Profile, proxies int,
) types.Service {
	m := d.mapping(e.value, e.path)
	s := types.Service{
		Name:        types.ServiceName(d.nameValue(e.key, e.path)),
		Members:     m.requiredInteger("members", valueRange[int]{1, maxMembers}),
		Slots:       m.requiredInteger("slots", valueRange[int]{1, maxSlots}),
		Connections: m.requiredInteger("connections", valueRange[int]{1, maxConnections}),
	}
	s.Profiles = m.serviceProfiles(profiles)
	s.DefaultProfile = types.ProfileName(m.name("default_profile"))
	m.reportUnknownKeys()
	m.checkService(s, proxies)
	return s
}

// serviceProfiles reads the list of profiles that a service allows.
func (m *mapping) serviceProfiles(defined map[types.ProfileName]types.Profile) []types.ProfileName {
	if _, ok := m.required("profiles"); !ok {
		return nil
	}
	var out []types.ProfileName
	seen := make(map[types.ProfileName]*yaml.Node)
	for _, e := range m.list("profiles") {
		name := types.ProfileName(m.nameValue(e.value, e.path))
		if name == "" {
			continue
		}
		if first, ok := seen[name]; ok {
			m.addFinding(e.value, e.path, "%q is listed twice, first in line %d", name, first.Line)
			continue
		}
		seen[name] = e.value
		if _, ok := defined[name]; !ok {
			m.addFinding(e.value, e.path, "profile %q does not exist", name)
		}
		out = append(out, name)
	}
	if len(out) == 0 {
		m.addFinding(m.valueNode("profiles"), joinPath(m.path, "profiles"), "must list at least one profile")
	}
	return out
}

// checkService reports settings of a service that contradict each other.
func (m *mapping) checkService(s types.Service, proxies int) {
	if s.Members > 0 && s.Members%2 == 0 {
		m.addFinding(m.valueNode("members"), joinPath(m.path, "members"),
			"%d is even: use an odd number, so that a majority survives a failure", s.Members)
	}
	minimum := controlConnections + proxies*(probeConnections+1)
	if s.Connections > 0 && s.Connections < minimum {
		m.addFinding(m.valueNode("connections"), joinPath(m.path, "connections"),
			"%d is too few for %d proxies, which need %d", s.Connections, proxies, minimum)
	}
	if s.DefaultProfile == "" || len(s.Profiles) == 0 {
		return
	}
	for _, p := range s.Profiles {
		if p == s.DefaultProfile {
			return
		}
	}
	m.addFinding(m.valueNode("default_profile"), joinPath(m.path, "default_profile"),
		"%q is not in the service's profiles", s.DefaultProfile)
}

// FreshnessName returns the name of a freshness mode in configuration files.
func FreshnessName(m types.FreshnessMode) string { return keyOf(freshnessModes, m) }

// IdempotenceName returns the name of an idempotence in configuration files.
func IdempotenceName(i types.Idempotence) string { return keyOf(idempotences, i) }

// DurabilityName returns the name of a durability in configuration files.
func DurabilityName(d types.Durability) string { return keyOf(durabilities, d) }

// keyOf returns the key of a value, or the empty string if there is none.
func keyOf[T comparable](keys map[string]T, v T) string {
	for key, value := range keys {
		if value == v {
			return key
		}
	}
	return ""
}
