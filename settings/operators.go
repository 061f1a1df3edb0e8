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

// Connections of a member that callers can't use: one of control, and one for
// the probes of each proxy.
const (
	controlConnections = 1
	probeConnections   = 1
)

// ParseConfig reads the operators' configuration. Its version is zero: the
// control hosts number what they accept. The error is an *InvalidError.
func ParseConfig(file string, data []byte) (*types.Config, error) {
	d := &decoder{file: file}
	root := d.root(data)
	cfg := &types.Config{
		Services: make(map[types.ServiceName]types.Service),
		Profiles: make(map[types.ProfileName]types.Profile),
	}
	proxies := root.integer("proxies", 1, span[int]{1, maxProxies})
	cfg.TransactionIdle = root.duration("transaction_idle", 0, span[time.Duration]{0, maxTimeout})
	root.need("profiles")
	for _, e := range root.sub("profiles").entries {
		p := d.profile(e)
		cfg.Profiles[p.Name] = p
	}
	root.need("services")
	for _, e := range root.sub("services").entries {
		s := d.service(e, cfg.Profiles, proxies)
		cfg.Services[s.Name] = s
	}
	root.close()
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
	timeouts := span[time.Duration]{time.Millisecond, maxTimeout}
	p := types.Profile{
		Name:           types.ProfileName(d.nameValue(e.key, e.path)),
		Idempotent:     choice(m, "idempotent", types.IdempotentReads, idempotences),
		Durability:     choice(m, "durability", types.DurableMajority, durabilities),
		RequestTimeout: m.duration("request_timeout", defaultRequestTimeout, timeouts),
		QueueTimeout:   m.duration("queue_timeout", defaultQueueTimeout, timeouts),
		Objective:      m.duration("objective", 0, span[time.Duration]{0, maxTimeout}),
		DrainTimeout:   m.duration("drain_timeout", defaultDrainTimeout, timeouts),
		Weight:         m.integer("weight", defaultWeight, span[int]{1, maxWeight}),
	}
	m.need("freshness")
	p.Freshness = choice(m, "freshness", types.FreshPrimary, freshnessModes)
	p.MaxAge = m.duration("max_age", 0, span[time.Duration]{time.Millisecond, maxAge})
	m.close()
	m.checkProfile(p)
	return p
}

// checkProfile finds contradictions within a profile.
func (m *mapping) checkProfile(p types.Profile) {
	if m.has("max_age") && p.Freshness != types.FreshAge {
		m.add(m.at("max_age"), join(m.path, "max_age"), "is given, but freshness is not age")
	}
	if p.Freshness == types.FreshAge && !m.has("max_age") && m.has("freshness") {
		m.add(m.at("freshness"), join(m.path, "freshness"), "is age, but max_age is missing")
	}
	if p.QueueTimeout > p.RequestTimeout {
		m.add(m.at("queue_timeout"), join(m.path, "queue_timeout"),
			"%s is longer than request_timeout %s", p.QueueTimeout, p.RequestTimeout)
	}
}

func (d *decoder) service(
	e entry, profiles map[types.ProfileName]types.Profile, proxies int,
) types.Service {
	m := d.mapping(e.value, e.path)
	s := types.Service{
		Name:        types.ServiceName(d.nameValue(e.key, e.path)),
		Members:     m.needInteger("members", span[int]{1, maxMembers}),
		Slots:       m.needInteger("slots", span[int]{1, maxSlots}),
		Connections: m.needInteger("connections", span[int]{1, maxConnections}),
	}
	s.Profiles = m.serviceProfiles(profiles)
	s.DefaultProfile = types.ProfileName(m.name("default_profile"))
	m.close()
	m.checkService(s, proxies)
	return s
}

// serviceProfiles reads the list of profiles that a service allows.
func (m *mapping) serviceProfiles(known map[types.ProfileName]types.Profile) []types.ProfileName {
	if _, ok := m.need("profiles"); !ok {
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
			m.add(e.value, e.path, "%q is listed twice, first in line %d", name, first.Line)
			continue
		}
		seen[name] = e.value
		if _, ok := known[name]; !ok {
			m.add(e.value, e.path, "profile %q does not exist", name)
		}
		out = append(out, name)
	}
	if len(out) == 0 {
		m.add(m.at("profiles"), join(m.path, "profiles"), "must list at least one profile")
	}
	return out
}

// checkService finds contradictions within a service.
func (m *mapping) checkService(s types.Service, proxies int) {
	if s.Members > 0 && s.Members%2 == 0 {
		m.add(m.at("members"), join(m.path, "members"),
			"%d is even: use an odd number, so that a majority survives a failure", s.Members)
	}
	least := controlConnections + proxies*(probeConnections+1)
	if s.Connections > 0 && s.Connections < least {
		m.add(m.at("connections"), join(m.path, "connections"),
			"%d is too few for %d proxies, which need %d", s.Connections, proxies, least)
	}
	if s.DefaultProfile == "" || len(s.Profiles) == 0 {
		return
	}
	for _, p := range s.Profiles {
		if p == s.DefaultProfile {
			return
		}
	}
	m.add(m.at("default_profile"), join(m.path, "default_profile"),
		"%q is not in the service's profiles", s.DefaultProfile)
}

// FreshnessName returns the word that files use for a freshness mode.
func FreshnessName(m types.FreshnessMode) string { return wordOf(freshnessModes, m) }

// IdempotenceName returns the word that files use for an idempotence.
func IdempotenceName(i types.Idempotence) string { return wordOf(idempotences, i) }

// DurabilityName returns the word that files use for a durability.
func DurabilityName(d types.Durability) string { return wordOf(durabilities, d) }

func wordOf[T comparable](words map[string]T, v T) string {
	for word, value := range words {
		if value == v {
			return word
		}
	}
	return ""
}
