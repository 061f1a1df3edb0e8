// Package runtime runs the reducers and executes their effects. One goroutine,
// locked to an OS thread, updates the control state of a process; a fixed number of
// shards update the traffic state. All other goroutines read or write one socket or
// file, decode or encode, and post events: they hold no state that a decision
// depends on.
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
	// AddAddresses adds addresses of control hosts.
	AddAddresses(addresses []types.Address)
}

// Proxies sends lease grants to the proxies that requested them. Grant must not
// block; it may drop a grant.
type Proxies interface {
	Grant(g proto.LeaseGrant)
}

// ControlLink sends lease requests to control hosts. Request must not block;
// it may drop a request. An empty host means any control host.
type ControlLink interface {
	Request(to types.HostID, r proto.LeaseRequest)
	// AddAddresses adds addresses of control hosts.
	AddAddresses(addresses []types.Address)
}

// ControlLog stores the control log. Persist returns after its data was synced. If
// the error wraps syscall.ENOSPC the write is retried; any other error ends the
// process.
type ControlLog interface {
	Persist(p effect.Persist) error
}

// TargetDialer opens connections to targets.
type TargetDialer interface {
	// Dial opens a connection that carries requests of one organisation, which the
	// target is told. It is empty for callers without one and for the system's own
	// connections.
	Dial(ctx context.Context, ref types.TargetRef, addr types.Address, organisation types.OrganisationName) (TargetConn, error)
}

// Promoter is implemented by dialers to targets that an external promotion service
// promotes. A promotion then needs no connection to the target.
type Promoter interface {
	Promote(ctx context.Context, ref types.TargetRef, token types.Term) (types.Result, error)
}

// ErrTargetFull is the error of a dial that the target rejected because its
// connections are used up. Such a target works, unlike one that can't be reached.
var ErrTargetFull = errors.New("the target accepts no more connections")

// TargetConn is a connection to a target. It is not safe for concurrent use.
type TargetConn interface {
	// Exchange sends the operations in one batch and reads a result for each.
	// If it fails, sent reports whether anything may have reached the target.
	// After an error or a cancelled context the connection can't be used.
	Exchange(ctx context.Context, ops []types.Operation) (results []types.Result, sent bool, err error)
	Close()
}

// Recorder receives data for operators: decisions, and traces of finished requests.
// Its methods must not block.
type Recorder interface {
	Decision(d effect.Decide)
	Observation(o effect.Observation)
}

// ShardRecorder is a Recorder that also receives the reports of shards. ShardReport
// must not block.
type ShardRecorder interface {
	Recorder
	ShardReport(r event.ShardReport)
}
