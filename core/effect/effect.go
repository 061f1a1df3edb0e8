// Package effect lists everything that the reducer may ask for. Effects are
// plain values; the loops of package runtime carry them out in their order.
package effect

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Effect is one of the types of this package.
type Effect interface{ isEffect() }

// Effects of any part.
type (
	// ArmTimer asks for event.TimerFired at At.
	ArmTimer struct {
		ID event.TimerID
		At types.Instant
	}
	// StopTimer cancels a timer.
	StopTimer struct{ ID event.TimerID }
	// KnowHosts names the addresses of the control hosts, as far as they are
	// known.
	KnowHosts struct{ Addresses []types.Address }
	// Decide records a decision that an operator would ask about.
	Decide struct {
		Kind    Decision
		Service types.ServiceName
		Target  types.TargetName
		Host    types.HostID
		Term    types.Term
		Version uint64
		Reason  string
		Request string // id that the caller gave the request, if it is about one
		Basis   *Basis // of a decision about a request
	}
)

// Basis is what a decision about a request rests on.
type Basis struct {
	View        uint64        // version of the cluster view
	Config      uint64        // version of the operators' configuration
	LeaseLeft   time.Duration // negative once it has run out
	Floor       types.LogPos  // that a replica had to hold
	PositionAge time.Duration // since the primary's position was asked for; negative if none is known
	Waiting     int           // requests of the service in queues
	Waited      time.Duration // since the request arrived
	Tries       int           // that were made before
	Cause       Cause         // of another try
}

// Cause is why a request is tried again.
type Cause string

// The causes of another try.
const (
	CauseNoRoom     Cause = "no_room"     // the target has more work than it takes
	CauseBehind     Cause = "behind"      // the replica lacks a position
	CauseNotPrimary Cause = "not_primary" // the target was replaced
	CauseNoAnswer   Cause = "no_answer"   // the connection broke, or the replica took too long
)

// Decision is the kind of a recorded decision.
type Decision string

// The decisions.
const (
	DecideLeader       Decision = "leader_elected"
	DecideStepDown     Decision = "leader_stepped_down"
	DecideVoters       Decision = "voters_changed"
	DecideConfig       Decision = "config_accepted"
	DecideConflict     Decision = "config_conflict"
	DecideMember       Decision = "member_changed"
	DecideTermBegun    Decision = "term_begun"
	DecideTermServing  Decision = "term_serving"
	DecidePromoteStall Decision = "promotion_waits"
	DecideLeaseLost    Decision = "lease_lost"
	DecideLeaseGained  Decision = "lease_gained"
	DecideShare        Decision = "share_changed"
	DecideRefuse       Decision = "request_refused"
	DecideRetry        Decision = "request_retried"
	DecideAgain        Decision = "request_put_back"
	DecideLeaderFound  Decision = "leader_found"
	DecideSuspect      Decision = "primary_suspected"
	DecideTargetLost   Decision = "target_lost"
	DecideTargetFound  Decision = "target_found"
	DecideView         Decision = "view_applied"
	DecideDrain        Decision = "drain"
	DecideJoin         Decision = "join_requested"
	DecideControlLost  Decision = "control_host_silent"
	DecideViewBegun    Decision = "view_begun"
)

// Effects of control hosts.
type (
	// SendPeer sends a consensus message. It may be lost.
	SendPeer struct{ Message proto.Message }
	// Persist appends to the control log and syncs it, then causes
	// event.Persisted. Entries replace those from their first index on; a
	// snapshot replaces the log up to its index.
	Persist struct {
		Seq       uint64
		HardState *proto.HardState
		Entries   []proto.Entry
		Snapshot  *proto.Snapshot
	}
	// GrantLease answers a proxy. It may be lost.
	GrantLease struct{ Grant proto.LeaseGrant }
	// ReplyOperator answers an operator's call.
	ReplyOperator struct {
		Call  uint64
		Reply proto.OperatorReply
	}
	// CallTarget asks a target to do one operation and causes
	// event.TargetReplied within Timeout.
	CallTarget struct {
		Call      uint64
		Service   types.ServiceName
		Target    types.Target
		Operation types.Operation
		Timeout   time.Duration
	}
)

// Effects that the core package turns into events of other sub-reducers.
type (
	// Propose asks consensus to replicate a command. A host that does not
	// lead drops it.
	Propose struct{ Command proto.Command }
	// Commit hands on a committed entry.
	Commit struct{ Entry proto.Entry }
	// Restore hands on a snapshot.
	Restore struct{ Snapshot proto.Snapshot }
	// ChangeRole hands on a change of leader.
	ChangeRole struct {
		Leading bool
		Leader  types.HostID
		Term    proto.ControlTerm
	}
)

// Effects of the control goroutine of a proxy.
type (
	// RequestLease sends a request to a control host. It may be lost. An
	// empty To stands for any control host.
	RequestLease struct {
		To      types.HostID
		Request proto.LeaseRequest
	}
	// Probe asks a target for its status and causes event.Probed.
	Probe struct {
		Ref     types.TargetRef
		Address types.Address
		Timeout time.Duration
	}
	// PublishView replaces the view that the shards act on.
	PublishView struct{ View *types.NodeView }
)

// Effects of a traffic shard.
type (
	// DialTarget opens a connection and causes event.TargetConnected.
	DialTarget struct {
		Conn    types.ConnID
		Ref     types.TargetRef
		Address types.Address
		Timeout time.Duration
	}
	// SendTarget sends operations in one go on a connection and causes
	// event.TargetAnswered. The connection has no other exchange under way.
	SendTarget struct {
		Conn       types.ConnID
		Seq        uint64
		Operations []types.Operation
		Trace      types.TraceContext
		// Before is the instant from which on nothing may be sent any more;
		// zero sets no bound.
		Before types.Instant
	}
	// CloseTarget drops a connection. Whatever still comes on it is dropped.
	CloseTarget struct{ Conn types.ConnID }
	// AnswerCaller gives a session the answer to its request.
	AnswerCaller struct {
		Session types.SessionID
		Seq     types.RequestSeq
		Answer  types.Answer
	}
	// RefuseCaller tells a session that its request got no answer.
	RefuseCaller struct {
		Session types.SessionID
		Seq     types.RequestSeq
		Refusal types.Refusal
	}
	// EndSession closes a caller's session.
	EndSession struct {
		Session types.SessionID
		Refusal types.Refusal
	}
	// ReportShard tells the control goroutine what the shard sees.
	ReportShard struct{ Report event.ShardReport }
	// Observe records where a request went and how long each hop took.
	Observe struct{ Observation Observation }
)

// Observation is what is recorded of a finished request.
type Observation struct {
	Service  types.ServiceName
	Profile  types.ProfileName
	Target   types.TargetName
	Class    types.Class
	Replica  bool // a replica served it
	Refusal  types.RefusalCode
	Arrived  types.Instant
	Floored  types.Instant // the session's floor was known
	Assigned types.Instant // a connection was assigned
	Answered types.Instant // the target answered
	Done     types.Instant // the caller was answered
	Retries  int
	Trace    types.TraceContext
	Request  string        // id that the caller gave it
	Floor    types.LogPos  // that a replica had to hold
	Late     time.Duration // past the profile's objective; zero if in time
	View     uint64        // version of the cluster view at the end

	PositionAge time.Duration // of the primary's last known position at the end; negative if none is known
}

func (ArmTimer) isEffect()      {}
func (StopTimer) isEffect()     {}
func (KnowHosts) isEffect()     {}
func (Decide) isEffect()        {}
func (SendPeer) isEffect()      {}
func (Persist) isEffect()       {}
func (GrantLease) isEffect()    {}
func (ReplyOperator) isEffect() {}
func (CallTarget) isEffect()    {}
func (Propose) isEffect()       {}
func (Commit) isEffect()        {}
func (Restore) isEffect()       {}
func (ChangeRole) isEffect()    {}
func (RequestLease) isEffect()  {}
func (Probe) isEffect()         {}
func (PublishView) isEffect()   {}
func (DialTarget) isEffect()    {}
func (SendTarget) isEffect()    {}
func (CloseTarget) isEffect()   {}
func (AnswerCaller) isEffect()  {}
func (RefuseCaller) isEffect()  {}
func (EndSession) isEffect()    {}
func (ReportShard) isEffect()   {}
func (Observe) isEffect()       {}
