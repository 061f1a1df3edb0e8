package types

// TargetState says whether a target may get new work.
type TargetState uint8

// The target states.
const (
	// TargetActive may get new work.
	TargetActive TargetState = iota
	// TargetLeaving announced that it leaves, or an operator drains it.
	TargetLeaving
	// TargetSilent has not announced itself within the bound.
	TargetSilent
)

// Target is one member of a database group.
type Target struct {
	Name             TargetName
	Address          Address
	AvailabilityZone AvailabilityZone
	State            TargetState
	Drained          bool // an operator drains it; announcements don't undo that
	Slots            int  // statements that it runs at a time; zero takes the service's
}

// GroupPhase says how far a group's current term has come.
type GroupPhase uint8

// The group phases.
const (
	// GroupForming waits for its members to announce themselves.
	GroupForming GroupPhase = iota
	// GroupQuiescing has an ordered change of primary before it: what is under
	// way on the primary finishes, new writes wait.
	GroupQuiescing
	// GroupFencing has a new term whose primary is not chosen yet. Nobody
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
	Members []Target   // in order of name
	History TermHistory

	// LogTerm is the term in which the targets count the present or last
	// primary. Zero stands for Term: control promotes them itself then.
	LogTerm Term
}

// TargetTerm returns the term in which the group's targets stand.
func (g *Group) TargetTerm() Term {
	if g.LogTerm != 0 {
		return g.LogTerm
	}
	return g.Term
}

// Target returns the member of that name.
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
