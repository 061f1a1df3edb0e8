package proto

import "github.com/camphorpaddle/camphorpaddle/core/types"

// Command is a replicated change of the control state. Exactly one field is
// set; none is set in the entry that a new leader begins with.
type Command struct {
	Change    *ChangeConfig
	Member    *SetMember
	Quiesce   *Quiesce
	BeginTerm *BeginTerm
	ServeTerm *ServeTerm
	Proxy     *SetProxy
	Voters    *SetVoters
}

// ChangeConfig asks for a new version of the configuration.
type ChangeConfig struct {
	ID     types.ChangeID
	Base   uint64 // version that the change is based on
	Config *types.Config
	Source string // the operator's text, kept for display
	Author string

	// Number is a version that the operator chose; the highest one is in
	// force. ID and Base aren't used then. Zero leaves the numbering to control.
	Number uint64
}

// ChangeResult is the answer to a ChangeConfig. The same change gets the same
// answer whenever it comes.
type ChangeResult struct {
	ID       types.ChangeID
	Accepted bool
	Version  uint64 // the new version, or the current one on conflict
	Reason   string
}

// ChangeRecord is a past change, kept so that a repeated one gets its answer.
type ChangeRecord struct {
	Result ChangeResult
	Digest uint64 // hash of Base and Source, to notice an id used twice
	Author string
}

// SetMember adds a target to its group or changes its state.
type SetMember struct {
	Service types.ServiceName
	Target  types.Target
	Remove  bool
	// Operator marks a drain: only Target.Drained is taken over. Without it
	// Target.Drained is ignored.
	Operator bool
}

// Quiesce prepares an ordered change of primary within the current term. The
// leader begins the next term once every proxy is quiet, or the time is up.
type Quiesce struct {
	Service types.ServiceName
	Term    types.Term
	To      types.TargetName // empty lets control choose
}

// BeginTerm starts a new term of a group. From then on nobody acknowledges
// writes of an earlier one.
type BeginTerm struct {
	Service types.ServiceName
	Term    types.Term
	Prefer  types.TargetName // an operator's choice of the next primary
	Reason  string
}

// ServeTerm names the primary of a term that was begun.
type ServeTerm struct {
	Service types.ServiceName
	Term    types.Term
	Primary types.TargetName
	Start   uint64     // last offset before the term
	Last    types.Term // term of the entry at Start
	LogTerm types.Term // term as the targets count it; zero stands for Term
}

// SetProxy records that a proxy may hold a lease, or no longer.
type SetProxy struct {
	Host             types.HostID
	AvailabilityZone types.AvailabilityZone
	Remove           bool
}

// SetVoters replaces the set of control hosts. It differs from the one before
// in one host at the most.
type SetVoters struct {
	Voters []Voter
}

// ClusterState is the whole replicated state, for snapshots.
type ClusterState struct {
	Config  *types.Config
	Source  string
	Changes []ChangeRecord
	Groups  []*types.Group
	Proxies []SetProxy
	Views   ViewVersions
}

// ViewVersions is what a snapshot keeps of the versions of views. It is empty in
// snapshots of programs that sent views whole.
type ViewVersions struct {
	Version     uint64 // of the view
	ConfigSince uint64 // version that brought the configuration
	Since       uint64 // changes are known for versions from here on
	Changed     []ItemVersion
	Removed     []ItemVersion
}
