package types

// TargetState says whether a target may receive new requests.
type TargetState uint8

// The target states.
const (
	// TargetActive may receive new requests.
	TargetActive TargetState = iota
	// TargetLeaving announced that it is shutting down, or an operator drains it.
	TargetLeaving
	// TargetSilent did not announce itself in time.
	TargetSilent
)

// Target is one member of a database group.
type Target struct {
	Name             TargetName
	Address          Address
	AvailabilityZone AvailabilityZone
	State            TargetState
	Drained          bool // an operator drains it; announcements don't clear this
	Slots            int  // statements that it runs concurrently; zero means Service.Slots

	// StartedAt is the start of its process on its own clock, as announced; zero if it is
	// not known.
	StartedAt int64
	// LogIncomplete says that it started anew, or joined in the place of a replica, while
	// commits were acknowledged under Service.SyncReplicas, and has not been seen to hold
	// them since. Its position then says nothing about what was held before.
	LogIncomplete bool
}

// GroupPhase is the phase of a group's current term.
type GroupPhase uint8

// The group phases.
const (
	// GroupForming waits for the members to announce themselves.
	GroupForming GroupPhase = iota
	// GroupQuiescing prepares an ordered change of primary: requests in flight on
	// the primary finish, new writes wait.
	GroupQuiescing
	// GroupFencing is in a new term whose primary is not chosen yet. No proxy
	// acknowledges writes.
	GroupFencing
	// GroupServing has a primary in the current term.
	GroupServing
)

// Group is the replicated state of one database group.
type Group struct {
	Service ServiceName
	Term    Term
	Phase   GroupPhase
	Primary TargetName // set while serving or quiescing
	Members []Target   // sorted by name
	History TermHistory

	// LogTerm is the term that the targets themselves use for the current or last
	// primary. Zero means Term: the control leader promotes the targets
	// then.
	LogTerm Term

	// Unconfirmed says that an unanswered promotion request may still replace the
	// primary, so that a lease does not rule out another one. Only for managed
	// services.
	Unconfirmed bool

	// LastPrimary is the last primary, also while there is none.
	LastPrimary TargetName

	// Synchronous says that commits of the last primary may have been acknowledged under
	// Service.SyncReplicas, although it may be zero now. Only for managed services.
	Synchronous bool
}

// TargetTerm returns the term that the group's targets use: LogTerm, or Term if
// the control leader promotes them.
func (g *Group) TargetTerm() Term {
	if g.LogTerm != 0 {
		return g.LogTerm
	}
	return g.Term
}

// Served reports whether the group has ever had a primary.
func (g *Group) Served() bool { return len(g.History) > 0 }

// Target returns the member with the given name.
func (g *Group) Target(name TargetName) (Target, bool) {
	for _, t := range g.Members {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// Quorum returns how many of n members form a majority.
func Quorum(n int) int { return n/2 + 1 }
