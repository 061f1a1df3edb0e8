// Package event defines the events that the reducer handles. Events are plain
// values: the code that reads a socket, a file or a clock passes the result to
// the reducer as an event.
package event

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Event is one of the types of this package.
type Event interface{ isEvent() }

// Input is an event with the values that the reducer can't obtain itself, because
// it has no access to clocks, random numbers or shared state.
type Input struct {
	Now   types.Instant
	Seed  uint64          // fresh random bits
	View  *types.NodeView // last published view; for traffic shards only
	Event Event
}

// TimerID identifies a timer. Arming a timer that is armed replaces its time.
type TimerID struct {
	Domain Domain
	Key    uint64
}

// Domain identifies the sub-reducer that owns a timer.
type Domain uint8

// The domains.
const (
	DomainConsensus Domain = iota + 1
	DomainMembership
	DomainPromotion
	DomainLeaseTable
	DomainLeaseHolder
	DomainProbe
	DomainSession
	DomainPool
	DomainDrain
	DomainNode
)

// Events of all reducers.
type (
	// Start is the first event of a reducer.
	Start struct{}
	// TimerFired reports that an armed timer has expired.
	TimerFired struct{ ID TimerID }
	// DrainBegan reports that the process was asked to stop. Requests that are not
	// answered by Until are refused; zero sets no limit.
	DrainBegan struct{ Until types.Instant }
)

// Events of control hosts.
type (
	// PeerMessage reports a consensus message from another control host.
	PeerMessage struct{ Message proto.Message }
	// Persisted reports that the effect.Persist with this Seq is synced to disk.
	Persisted struct{ Seq uint64 }
	// LeaseRequested reports a proxy's request for a lease.
	LeaseRequested struct{ Request proto.LeaseRequest }
	// OperatorCalled reports a call of an operator or an announcement of a target.
	OperatorCalled struct {
		Call    uint64
		Request proto.OperatorRequest
	}
	// TargetReplied answers an effect.CallTarget.
	TargetReplied struct {
		Call   uint64
		Err    error // set if the target did not answer
		Result types.Result
	}
)

// Events that one sub-reducer of a control host sends to the others. Package
// core converts effects to them.
type (
	// Proposed asks consensus to replicate a command.
	Proposed struct{ Command proto.Command }
	// Committed reports an entry that a majority of the voters has synced.
	Committed struct{ Entry proto.Entry }
	// Restored replaces the replicated state by the state of a snapshot.
	Restored struct{ Snapshot proto.Snapshot }
	// RoleChanged reports a change of leader.
	RoleChanged struct {
		Leading bool // this host is the leader, and its first entry is committed
		Leader  types.HostID
		Term    proto.ControlTerm
	}
)

// Events of the control goroutine of a proxy.
type (
	// LeaseGranted reports control's answer to a lease request.
	LeaseGranted struct {
		From  types.HostID
		Grant proto.LeaseGrant
	}
	// Probed answers an effect.Probe.
	Probed struct {
		Ref        types.TargetRef
		ProbedAt   types.Instant
		Err        error
		Busy       bool // the target had no capacity to report more than its position, if even that
		Full       bool // Busy, because the target rejected the connection
		Unanswered bool // Busy, because the target accepted the connection and answered nothing in time
		Status     types.TargetStatus
	}
	// Announced reports an announcement that a target sent to this proxy.
	Announced struct{ Announcement proto.Announcement }
	// ShardReported reports the state of a shard.
	ShardReported struct{ Report ShardReport }
)

// ShardReport is the state that a shard reports to the control goroutine. A
// report replaces the previous one of the same shard.
type ShardReport struct {
	Shard           int
	AppliedVersion  uint64                              // version of the cluster view that the shard has applied
	WaitingServices []types.ServiceName                 // services with requests that wait for a position
	SuspectServices []types.ServiceName                 // services whose primary failed recently for this shard
	WritingServices []types.ServiceName                 // services with a write or transaction on the primary
	SilentSince     map[types.ServiceName]types.Instant // since when a primary has not answered requests
	// AnsweredAt is when a primary last answered a request, even by rejecting it. A
	// change of this field alone causes no report.
	AnsweredAt  map[types.TargetRef]types.Instant
	Demand      map[types.TargetRef]int  // connections that the shard could use now
	Connections map[types.TargetRef]int  // connections that the shard holds or opens
	Full        map[types.TargetRef]bool // targets that recently rejected a connection because of their limit
	// ConnCounts counts the connections to each target. A change of this field alone
	// causes no report.
	ConnCounts   map[types.TargetRef]types.ConnCounts
	Sessions     int
	BusySessions int // sessions with a request or a transaction in progress

	QuotaUse map[types.OrganisationName]QuotaUse // of the organisations with operations within the period of their limit
}

// QuotaUse is what callers of an organisation asked of a shard.
type QuotaUse struct {
	Used    int // operations that began within the period of the limit
	Waiting int // operations that wait for a right
	Refused int // operations that were refused lately for want of a right
}

// Events of a traffic shard.
type (
	// ViewChanged reports that Input.View is a new view.
	ViewChanged struct{}
	// SessionOpened reports that a caller opened a session.
	SessionOpened struct {
		Session types.SessionID
		Params  types.SessionParams
	}
	// RequestArrived reports the next request of a session.
	RequestArrived struct {
		Session types.SessionID
		Request types.Request
	}
	// SessionClosed reports that the caller closed its session or disconnected.
	SessionClosed struct{ Session types.SessionID }
	// TargetConnected answers an effect.DialTarget.
	TargetConnected struct {
		Conn types.ConnID
		Err  error
		Full bool // the target rejected the connection because of its limit
	}
	// TargetAnswered answers an effect.SendTarget.
	TargetAnswered struct {
		Conn    types.ConnID
		Seq     uint64
		Sent    bool // some of the operations may have reached the target
		Err     error
		Results []types.Result
		Latency time.Duration
	}
)

func (Start) isEvent()           {}
func (TimerFired) isEvent()      {}
func (DrainBegan) isEvent()      {}
func (PeerMessage) isEvent()     {}
func (Persisted) isEvent()       {}
func (LeaseRequested) isEvent()  {}
func (OperatorCalled) isEvent()  {}
func (TargetReplied) isEvent()   {}
func (Proposed) isEvent()        {}
func (Committed) isEvent()       {}
func (Restored) isEvent()        {}
func (RoleChanged) isEvent()     {}
func (LeaseGranted) isEvent()    {}
func (Probed) isEvent()          {}
func (Announced) isEvent()       {}
func (ShardReported) isEvent()   {}
func (ViewChanged) isEvent()     {}
func (SessionOpened) isEvent()   {}
func (RequestArrived) isEvent()  {}
func (SessionClosed) isEvent()   {}
func (TargetConnected) isEvent() {}
func (TargetAnswered) isEvent()  {}
