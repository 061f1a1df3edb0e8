package wire

import (
	"context"
	"sync"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Link connects a proxy with the control hosts. It implements
// runtime.ControlLink.
type Link struct {
	dialer *dialer
	conns  connSet
}

// NewLink returns a link that does nothing before Start.
func NewLink(o Options) *Link {
	l := &Link{dialer: newDialer(o, RoleProxy)}
	l.dialer.added, l.dialer.removed = l.conns.add, l.conns.remove
	return l
}

// Start dials the control hosts. Grants go to onGrant, which may block.
func (l *Link) Start(onGrant func(types.HostID, proto.LeaseGrant)) {
	l.dialer.handle = func(c *conn, f Frame) {
		if f.LeaseGrant != nil {
			onGrant(c.peer.Host, *f.LeaseGrant)
		}
	}
	l.dialer.know(l.dialer.options.Addresses)
}

// Know adds addresses of control hosts.
func (l *Link) Know(addresses []types.Address) { l.dialer.know(addresses) }

// Close ends all connections and waits for their goroutines.
func (l *Link) Close() { l.dialer.tasks.close() }

// Request sends a lease request to a control host. When there is no
// connection to it, or to is empty, any other one gets the request.
func (l *Link) Request(to types.HostID, r proto.LeaseRequest) {
	c := l.conns.to(to)
	if c == nil {
		c = l.conns.next()
	}
	if c != nil {
		c.send(Frame{LeaseRequest: &r})
	}
}

// tasks are goroutines that end together.
type tasks struct {
	mu     *sync.Mutex // guards start against close
	wait   *sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

func newTasks() tasks {
	ctx, cancel := context.WithCancel(context.Background())
	return tasks{mu: new(sync.Mutex), wait: new(sync.WaitGroup), ctx: ctx, cancel: cancel}
}

// start runs do on a goroutine, unless the tasks were closed.
func (t tasks) start(do func(context.Context)) {
	if t.enter() {
		go func() {
			defer t.wait.Done()
			do(t.ctx)
		}()
	}
}

// enter counts the calling goroutine; wait.Done ends it.
func (t tasks) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	t.wait.Add(1)
	return true
}

func (t tasks) close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.wait.Wait()
}
