// Package effect defines the effects that the reducer may request. Effects are
// plain values; the loops of package runtime execute them in order.
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
	// ArmTimer sets a timer that causes event.TimerFired at At.
	ArmTimer struct {
		ID event.TimerID
		At types.Instant
	}
	// StopTimer cancels a timer.
	StopTimer struct{ ID event.TimerID }
	// UpdateControlHosts adds to the known addresses of the control hosts.
	UpdateControlHosts struct{ Addresses []types.Address }
	// Decide records a decision so that operators can trace it.
	Decide struct {
		Kind    Decision
		Service types.ServiceName
		Target  types.TargetName
		Host    types.HostID
		Term    types.Term
		Version uint64
		Reason  string
		Request string // id that the caller gave the request, for a decision about a request
		Basis   *Basis // set for a decision about a request

		Organisation types.OrganisationName // whose caller or limit it is about; empty without one
		Refusal      types.RefusalCode      // of a session that was refused at its start
	}
)

// Basis is the state on which a decision about a request was based.
type Basis struct {
	ViewVersion    uint64        // version of the cluster view
	ConfigVersion  uint64        // version of the operators' configuration
	LeaseLeft      time.Duration // negative after the lease has expired
	Floor          types.LogPos  // position that a replica had to hold
	PositionAge    time.Duration // since the primary's last known position was requested; negative if none is known
	QueuedRequests int           // queued requests of the service
	Elapsed        time.Duration // time since the request arrived
	Retries        int           // earlier attempts
	Cause          Cause         // why the request is retried, queued again or refused
}

// Cause is the reason why a request is retried, queued again or refused.
type Cause string

// The causes.
const (
	CauseNoCapacity Cause = "no_room"     // the target has no free capacity
	CauseBehind     Cause = "behind"      // the replica lacks the required position
	CauseNotPrimary Cause = "not_primary" // the target was replaced
	CauseNoAnswer   Cause = "no_answer"   // the connection broke, or the replica timed out
	CausePriority   Cause = "priority"    // the targets serve requests of a higher priority
)

// Decision is the kind of a recorded decision.
type Decision string

// The decisions. A leader is the leader of the control hosts, except in the text
// leader_found, which is about the primary of a service.
const (
	DecideLeader           Decision = "leader_elected"
	DecideStepDown         Decision = "leader_stepped_down"
	DecideVoters           Decision = "voters_changed" // a change of the set of control hosts was proposed
	DecideConfig           Decision = "config_accepted"
	DecideConflict         Decision = "config_conflict"
	DecideMember           Decision = "member_changed"
	DecideTermBegun        Decision = "term_begun"
	DecideTermServing      Decision = "term_serving"
	DecidePrimaryConfirmed Decision = "primary_confirmed" // no earlier promotion request can replace the primary any more
	DecidePromotionWaits   Decision = "promotion_waits"
	DecideLeaseLost        Decision = "lease_lost"
	DecideLeaseGained      Decision = "lease_gained"
	DecideShare            Decision = "share_changed"
	DecideRefuse           Decision = "request_refused"
	DecideRetry            Decision = "request_retried"
	DecideRequeue          Decision = "request_put_back"
	DecidePrimaryFound     Decision = "leader_found"        // a shard learned of another primary, or that there is none
	DecideSuspect          Decision = "primary_suspected"   // a request to the primary failed, so the members are probed
	DecideTargetLost       Decision = "target_lost"         // a shard could open no connection
	DecideTargetFound      Decision = "target_found"        // a shard could connect again
	DecideView             Decision = "view_applied"        // the view has a new configuration
	DecideDrain            Decision = "drain"               // of a proxy that stops, or of a target that gets no new work
	DecideJoin             Decision = "join_requested"      // by a new control host
	DecideControlLost      Decision = "control_host_silent" // it did not answer a lease request in time
	DecideViewStarted      Decision = "view_begun"          // the first of several parts of a view arrived
	DecideQuotaReached     Decision = "quota_reached"       // an organisation is at this proxy's part of its limit
	DecideQuota            Decision = "quota_divided"       // the leader divided the limit of an organisation anew
	DecideEjected          Decision = "target_ejected"      // a shard sends a target that fails part of its requests none for a while
	DecideReturned         Decision = "target_returned"     // an ejected target has answered again
	DecideKeyRevoked       Decision = "key_revoked"         // a session's key was removed from the configuration
)

// Effects of control hosts.
type (
	// SendPeer sends a consensus message. It may be lost.
	SendPeer struct{ Message proto.Message }
	// Persist appends to the control log, syncs it and causes event.Persisted.
	// Entries replace the stored ones from their first index on; a snapshot
	// replaces the log up to its index.
	Persist struct {
		Seq       uint64
		HardState *proto.HardState
		Entries   []proto.Entry
		Snapshot  *proto.Snapshot
	}
	// GrantLease answers a proxy's lease request. It may be lost.
	GrantLease struct{ Grant proto.LeaseGrant }
	// ReplyOperator answers an operator's call.
	ReplyOperator struct {
		Call  uint64
		Reply proto.OperatorReply
	}
	// CallTarget sends one operation to a target and causes event.TargetReplied
	// within Timeout.
	CallTarget struct {
		Call      uint64
		Service   types.ServiceName
		Target    types.Target
		Operation types.Operation
		Timeout   time.Duration
	}
)

// Effects that package core converts to events of other sub-reducers.
type (
	// Propose asks consensus to replicate a command. A host that is not the
	// leader drops it.
	Propose struct{ Command proto.Command }
	// Commit forwards a committed entry.
	Commit struct{ Entry proto.Entry }
	// Restore forwards a snapshot.
	Restore struct{ Snapshot proto.Snapshot }
	// ChangeRole forwards a change of leader.
	ChangeRole struct {
		Leading bool
		Leader  types.HostID
		Term    proto.ControlTerm
	}
)

// Effects of the control goroutine of a proxy.
type (
	// RequestLease sends a lease request to a control host. It may be lost. An
	// empty To means any control host.
	RequestLease struct {
		To      types.HostID
		Request proto.LeaseRequest
	}
	// Probe requests the status of a target and causes event.Probed.
	Probe struct {
		Ref     types.TargetRef
		Address types.Address
		Timeout time.Duration
		Close   bool // the connection is closed after the answer
	}
	// PublishView replaces the view that the shards use.
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
		// Organisation is whose requests the connection will carry. The target is told.
		Organisation types.OrganisationName
	}
	// SendTarget sends a batch of operations on a connection and causes
	// event.TargetAnswered. The connection has no other exchange in flight.
	SendTarget struct {
		Conn       types.ConnID
		Seq        uint64
		Operations []types.Operation
		Trace      types.TraceContext
		// Deadline is the instant from which nothing may be sent any more; zero
		// means no limit.
		Deadline types.Instant
	}
	// CloseConn closes a connection. Answers that are still in flight on it are
	// dropped.
	CloseConn struct{ Conn types.ConnID }
	// AnswerCaller sends a session the answer to its request.
	AnswerCaller struct {
		Session types.SessionID
		Seq     types.RequestSeq
		Answer  types.Answer
	}
	// RefuseCaller refuses a request of a session.
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
	// ReportShard reports the state of the shard to the control goroutine.
	ReportShard struct{ Report event.ShardReport }
	// Observe records which target served a request and how long each step took.
	Observe struct{ Observation Observation }
)

// Observation is the record of a finished request.
type Observation struct {
	Service      types.ServiceName
	Profile      types.ProfileName
	Target       types.TargetName
	Class        types.Class
	Replica      bool // a replica served it
	Refusal      types.RefusalCode
	ArrivedAt    types.Instant
	FloorKnownAt types.Instant // when the floor of the request was known
	AssignedAt   types.Instant // when a connection was assigned
	AnsweredAt   types.Instant // when the target answered
	DoneAt       types.Instant // when the caller was answered
	Retries      int
	Trace        types.TraceContext
	Organisation types.OrganisationName // of the caller; empty without one
	Request      string                 // id that the caller gave the request
	Floor        types.LogPos           // position that a replica had to hold
	Late         time.Duration          // time beyond the profile's objective; zero if in time
	ViewVersion  uint64                 // version of the cluster view at the end

	// BeginsOperation says that the request is a single statement or the first of a
	// transaction.
	BeginsOperation bool

	// PositionAge is Basis.PositionAge at the end; negative if no position is known.
	PositionAge time.Duration
}

func (ArmTimer) isEffect()           {}
func (StopTimer) isEffect()          {}
func (UpdateControlHosts) isEffect() {}
func (Decide) isEffect()             {}
func (SendPeer) isEffect()           {}
func (Persist) isEffect()            {}
func (GrantLease) isEffect()         {}
func (ReplyOperator) isEffect()      {}
func (CallTarget) isEffect()         {}
func (Propose) isEffect()            {}
func (Commit) isEffect()             {}
func (Restore) isEffect()            {}
func (ChangeRole) isEffect()         {}
func (RequestLease) isEffect()       {}
func (Probe) isEffect()              {}
func (PublishView) isEffect()        {}
func (DialTarget) isEffect()         {}
func (SendTarget) isEffect()         {}
func (CloseConn) isEffect()          {}
func (AnswerCaller) isEffect()       {}
func (RefuseCaller) isEffect()       {}
func (EndSession) isEffect()         {}
func (ReportShard) isEffect()        {}
func (Observe) isEffect()            {}
