package types

// Share is what one proxy may use of one target.
type Share struct {
	Connections int
	Slots       int
}

// ClusterView is what control publishes to proxies: configuration, groups and
// shares at one version. It is never changed once built.
type ClusterView struct {
	Version uint64 // index of the last control log entry it includes
	Config  *Config
	Groups  map[ServiceName]*Group
}

// TargetHealth is what one proxy knows of one target from its own probes.
type TargetHealth struct {
	Term     Term    // term in which the target says it stands
	Primary  bool    // whether it says that it is the primary of that term
	Pos      LogPos  // last position it reported
	AskedAt  Instant // when the probe that brought Pos was sent
	HeardAt  Instant // when the answer came
	FreshAt  Instant // every entry committed before this instant is in Pos
	Failing  bool    // the last probe failed
	FailedAt Instant // since when probes fail without a success between
}

// NodeView is what the control goroutine of a proxy publishes to its shards.
// It is never changed once published.
type NodeView struct {
	Cluster    *ClusterView
	LeaseUntil Instant // work is refused from then on
	Health     map[TargetRef]TargetHealth
	Shares     map[TargetRef]Share // this proxy's part of each target
	Draining   bool                // the proxy takes no new sessions
}

// LeaseLive reports whether the proxy may serve at now.
func (v *NodeView) LeaseLive(now Instant) bool {
	return v != nil && v.Cluster != nil && now < v.LeaseUntil
}

// Configured reports whether the view holds a configuration of the operators.
func (v *NodeView) Configured() bool {
	return v != nil && v.Cluster != nil && v.Cluster.Config != nil && v.Cluster.Config.Version > 0
}

// Routes reports whether the configuration routes a database name.
func (v *NodeView) Routes(name DatabaseName) bool {
	if !v.Configured() {
		return false
	}
	_, ok := v.Cluster.Config.Routes[name]
	return ok
}

// Group returns the group of a service, or nil.
func (v *NodeView) Group(s ServiceName) *Group {
	if v == nil || v.Cluster == nil {
		return nil
	}
	return v.Cluster.Groups[s]
}
