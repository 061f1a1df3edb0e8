package proto

import "github.com/camphorpaddle/camphorpaddle/core/types"

// Command is a replicated change of the control state. Exactly one field is
// set; none is set in the first entry of a new leader.
type Command struct {
	Change    *ChangeConfig
	Member    *SetMember
	Quiesce   *Quiesce
	BeginTerm *BeginTerm
	ServeTerm *ServeTerm
	Proxy     *SetProxy
	Voters    *SetVoters
	Confirm   *ConfirmPrimary
}

// ChangeConfig asks for a new version of the configuration.
type ChangeConfig struct {
	ID     types.ChangeID
	Base   uint64 // version that the change is based on
	Config *types.Config
	Source string // the configuration file as the operator wrote it, kept for display
	Author string

	// Number is a version that the operator chose; the highest one is in effect.
	// ID and Base are not used then. If it is zero, an accepted change gets the next
	// version.
	Number uint64
}

// ChangeResult is the answer to a ChangeConfig. A repeated change always gets
// the same answer.
type ChangeResult struct {
	ID       types.ChangeID
	Accepted bool
	Version  uint64 // the new version, or the current one on conflict
	Reason   string
}

// ChangeRecord is a past change, kept to answer a repeated one.
type ChangeRecord struct {
	Result ChangeResult
	Digest uint64 // hash of Base, Source and the services, profiles and routes of Config; detects an id used for two changes
	Author string
}

// SetMember adds a target to its group, changes its state or, with Remove, removes
// it.
type SetMember struct {
	Service types.ServiceName
	Target  types.Target
	Remove  bool
	// Operator says that an operator starts or ends the drain of a known target:
	// only Target.Drained and the state that follows from it are applied.
	// Otherwise Target.Drained is ignored.
	Operator bool
	// Replaces says that a target joins in the place of a replica whose log is gone.
	Replaces bool
	// CaughtUp says that a member holds all that the primary held after Target.StartedAt.
	// Only Target.LogIncomplete is applied, unless the member has started anew since.
	CaughtUp bool
}

// Quiesce prepares an ordered change of primary within the current term. The
// leader begins the next term once every proxy is quiesced or the quiescing
// times out.
type Quiesce struct {
	Service types.ServiceName
	Term    types.Term
	To      types.TargetName // empty lets the control leader choose
}

// BeginTerm starts a new term of a group. From then on no proxy acknowledges
// writes of an earlier term.
type BeginTerm struct {
	Service types.ServiceName
	Term    types.Term
	Prefer  types.TargetName // the next primary that an operator asked for
	Reason  string
}

// ServeTerm names the primary of a term that BeginTerm started.
type ServeTerm struct {
	Service types.ServiceName
	Term    types.Term
	Primary types.TargetName
	Start   uint64     // last offset before the term
	Last    types.Term // term of the entry at Start
	LogTerm types.Term // term that the targets themselves use; zero means Term
	// Unconfirmed says that an unanswered promotion request may still replace the
	// primary. ConfirmPrimary follows once none can.
	Unconfirmed bool
}

// ConfirmPrimary says that no earlier promotion request can replace the primary of
// a term any more.
type ConfirmPrimary struct {
	Service types.ServiceName
	Term    types.Term
}

// SetProxy records that a proxy may hold a lease, or with Remove that it no
// longer may.
type SetProxy struct {
	Host             types.HostID
	AvailabilityZone types.AvailabilityZone
	Remove           bool
}

// SetVoters replaces the set of control hosts. The new set differs from the
// previous one in at most one host.
type SetVoters struct {
	Voters []Voter
}

// ClusterState is the complete replicated state, as snapshots hold it.
type ClusterState struct {
	Config  *types.Config
	Source  string
	Changes []ChangeRecord
	Groups  []*types.Group
	Proxies []SetProxy
	Views   ViewVersions
}

// ViewVersions holds the versions of the items of the view in a snapshot. It is
// empty in snapshots of earlier programs, which sent views as a whole.
type ViewVersions struct {
	Version     uint64 // of the view
	ConfigSince uint64 // version at which the configuration changed last
	Since       uint64 // changes after this version are known
	Changed     []ItemVersion
	Removed     []ItemVersion
}
