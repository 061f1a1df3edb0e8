package types

// Share is the part of one target's capacity that one proxy may use.
type Share struct {
	Connections int  // connections that the proxy may hold
	Slots       int  // statements that the proxy may run concurrently
	Shared      int  // how many of Connections other proxies may use too; they are closed when idle
	Contended   bool // the target has no free connections: what is idle is closed soon
}

// ConnCounts counts connections to one target since a shard started.
type ConnCounts struct {
	Opened   uint64
	Rejected uint64 // by the target, because of its limit
	Replaced uint64 // idle ones that were closed for one of another organisation
}

// Fleet is the place of a proxy among those that share the targets.
type Fleet struct {
	Proxies int // number of proxies; zero if it isn't known
	Index   int // place of this proxy in their order, from zero
}

// ClusterView is the state that control publishes to the proxies: the
// configuration and the groups at one version. It is immutable.
type ClusterView struct {
	Version uint64 // index of the last control log entry that it includes
	Config  *Config
	Groups  map[ServiceName]*Group
}

// TargetHealth is the state of one target as the probes of one proxy found it.
type TargetHealth struct {
	Term         Term    // term that the target reports
	Primary      bool    // whether it reports to be the primary of that term
	Pos          LogPos  // last position that it reported
	ProbedAt     Instant // when the probe that returned Pos was sent
	LastContact  Instant // when its answer arrived
	FreshAt      Instant // every entry committed before this instant is at or before Pos
	Failing      bool    // the last probe failed
	FailingSince Instant // start of the current run of failed probes
}

// NodeView is the state that the control goroutine of a proxy publishes to the
// shards. It is immutable.
type NodeView struct {
	Cluster    *ClusterView
	LeaseUntil Instant // requests are refused from this instant on
	Health     map[TargetRef]TargetHealth
	Shares     map[TargetRef]Share // this proxy's share of each target
	Draining   bool                // the proxy accepts no new sessions

	// KeyHolders are the organisations of the configuration by the digests of their keys.
	KeyHolders map[KeyDigest]OrganisationName

	// Proxies is the number of proxies that share the targets; zero if it isn't known.
	Proxies int

	// Quotas are this proxy's parts of the limits of organisations; they end some time
	// after the lease. Of an organisation that has a limit but no entry it has no part.
	Quotas map[OrganisationName]Quota
}

// LeaseLive reports whether the proxy's lease is valid at now.
func (v *NodeView) LeaseLive(now Instant) bool {
	return v != nil && v.Cluster != nil && now < v.LeaseUntil
}

// Configured reports whether the view includes an operators' configuration.
func (v *NodeView) Configured() bool {
	return v != nil && v.Cluster != nil && v.Cluster.Config != nil && v.Cluster.Config.Version > 0
}

// Routes reports whether the configuration has a route for a database name.
func (v *NodeView) Routes(name DatabaseName) bool {
	if !v.Configured() {
		return false
	}
	_, ok := v.Cluster.Config.Routes[name]
	return ok
}

// HasOrganisations reports whether the configuration has organisations, so that callers
// need a key.
func (v *NodeView) HasOrganisations() bool {
	return v.Configured() && len(v.Cluster.Config.Organisations) > 0
}

// Group returns the group of a service, or nil.
func (v *NodeView) Group(s ServiceName) *Group {
	if v == nil || v.Cluster == nil {
		return nil
	}
	return v.Cluster.Groups[s]
}
