// Package event lists everything that can happen to the reducer. Events are
// plain values: whoever reads a socket, a file or a clock puts what it read
// into one of them.
package event

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Event is one of the types of this package.
type Event interface{ isEvent() }

// Input is an event with what the reducer can't find out for itself.
type Input struct {
	Now   types.Instant
	Seed  uint64          // fresh random bits
	View  *types.NodeView // last view that control published; traffic only
	Event Event
}

// TimerID names a timer. Arming it again replaces the earlier setting.
type TimerID struct {
	Domain Domain
	Key    uint64
}

// Domain names the sub-reducer that owns a timer.
type Domain uint8

// The domains that arm timers.
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

// Events that any part may get.
type (
	// Start is the first event of a reducer.
	Start struct{}
	// TimerFired reports that an armed timer is due.
	TimerFired struct{ ID TimerID }
	// DrainBegan reports that the process was asked to stop.
	DrainBegan struct{}
)

// Events of control hosts.
type (
	// PeerMessage is a consensus message from another control host.
	PeerMessage struct{ Message proto.Message }
	// Persisted reports that the effect.Persist with Seq is synced.
	Persisted struct{ Seq uint64 }
	// LeaseRequested is a request of a proxy for its lease.
	LeaseRequested struct{ Request proto.LeaseRequest }
	// OperatorCalled is a call of an operator or an announcement by a target.
	OperatorCalled struct {
		Call    uint64
		Request proto.OperatorRequest
	}
	// TargetReplied answers an effect.CallTarget.
	TargetReplied struct {
		Call   uint64
		Err    error // the target did not answer
		Result types.Result
	}
)

// Events that one sub-reducer of a control host causes in the others. The
// core package makes them from effects.
type (
	// Proposed asks consensus to replicate a command.
	Proposed struct{ Command proto.Command }
	// Committed reports an entry that a majority of voters synced.
	Committed struct{ Entry proto.Entry }
	// Restored replaces the replicated state by that of a snapshot.
	Restored struct{ Snapshot proto.Snapshot }
	// RoleChanged reports a change of leader.
	RoleChanged struct {
		Leading bool // this host leads, and its first entry is committed
		Leader  types.HostID
		Term    proto.ControlTerm
	}
)

// Events of the control goroutine of a proxy.
type (
	// LeaseGranted is control's answer to a lease request.
	LeaseGranted struct {
		From  types.HostID
		Grant proto.LeaseGrant
	}
	// Probed is the result of an effect.Probe.
	Probed struct {
		Ref     types.TargetRef
		AskedAt types.Instant
		Err     error
		Busy    bool // the target had no room to say more than its position, if that
		Status  types.TargetStatus
	}
	// Announced is an announcement that a target made to this proxy.
	Announced struct{ Announcement proto.Announcement }
	// ShardReported is what a shard last said.
	ShardReported struct{ Report ShardReport }
)

// ShardReport is what a shard tells the control goroutine. A later report
// replaces an earlier one of the same shard.
type ShardReport struct {
	Shard   int
	Seen    uint64                              // version of the cluster view it acts on
	Waiting []types.ServiceName                 // services whose positions it waits for
	Suspect []types.ServiceName                 // services whose primary failed it lately
	Writing []types.ServiceName                 // services with a write or transaction on the primary
	Silent  map[types.ServiceName]types.Instant // since when a primary answers no requests
	// Served is when a primary last answered a request, if only to reject it. It
	// goes out with other news, not by itself.
	Served   map[types.TargetRef]types.Instant
	Wanted   map[types.TargetRef]int
	Open     map[types.TargetRef]int // connections it holds or opens
	Sessions int
	Busy     int // sessions with a request or a transaction under way
}

// Events of a traffic shard.
type (
	// ViewChanged reports that Input.View is new.
	ViewChanged struct{}
	// SessionOpened reports a new session of a caller.
	SessionOpened struct {
		Session types.SessionID
		Params  types.SessionParams
	}
	// RequestArrived brings the next request of a session.
	RequestArrived struct {
		Session types.SessionID
		Request types.Request
	}
	// SessionClosed reports that the caller is gone.
	SessionClosed struct{ Session types.SessionID }
	// TargetConnected answers an effect.DialTarget.
	TargetConnected struct {
		Conn types.ConnID
		Err  error
	}
	// TargetAnswered answers an effect.SendTarget.
	TargetAnswered struct {
		Conn    types.ConnID
		Seq     uint64
		Sent    bool // some of the operations may have reached the target
		Err     error
		Results []types.Result
		Took    time.Duration
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
