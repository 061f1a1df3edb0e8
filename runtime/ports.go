// Package runtime drives the reducer. One goroutine, locked to its thread,
// steps the control state of a process; a fixed number of shards step the
// traffic state. All other goroutines read or write one socket or file, decode
// or encode, and hand over events: they hold nothing that decides anything.
package runtime

import (
	"context"
	"errors"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Peers sends consensus messages to other control hosts. Send must not block;
// it may drop a message.
type Peers interface {
	Send(m proto.Message)
	// Know adds addresses of control hosts.
	Know(addresses []types.Address)
}

// Proxies sends grants to the proxies that asked. Grant must not block; it
// may drop a grant.
type Proxies interface {
	Grant(g proto.LeaseGrant)
}

// ControlLink sends lease requests to control hosts. Request must not block;
// it may drop a request. An empty host stands for any.
type ControlLink interface {
	Request(to types.HostID, r proto.LeaseRequest)
	// Know adds addresses of control hosts.
	Know(addresses []types.Address)
}

// ControlLog stores the control log. Persist returns once everything is
// synced; an error ends the process.
type ControlLog interface {
	Persist(p effect.Persist) error
}

// TargetDialer opens connections to targets.
type TargetDialer interface {
	Dial(ctx context.Context, ref types.TargetRef, addr types.Address) (TargetConn, error)
}

// ErrTargetFull is the error of a dial that the target took in and had no room
// for: it works, unlike one that can't be reached.
var ErrTargetFull = errors.New("the target has no room for a connection")

// TargetConn is a connection to a target. One goroutine uses it.
type TargetConn interface {
	// Exchange sends the operations in one go and reads a result for each.
	// When it fails, sent tells whether anything may have reached the target.
	// After an error or a cancelled context the connection is of no more use.
	Exchange(ctx context.Context, ops []types.Operation) (results []types.Result, sent bool, err error)
	Close()
}

// Recorder takes in what operators want to know: decisions, and the path of
// finished requests. Its methods must not block.
type Recorder interface {
	Decision(d effect.Decide)
	Observation(o effect.Observation)
}

// ShardRecorder is a Recorder that also takes in what shards report. The
// method must not block.
type ShardRecorder interface {
	Recorder
	ShardReport(r event.ShardReport)
}
