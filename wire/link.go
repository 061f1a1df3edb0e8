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

// NewLink returns a link that opens no connections before Start.
func NewLink(o Options) *Link {
	l := &Link{dialer: newDialer(o, RoleProxy)}
	l.dialer.onConnected, l.dialer.onDisconnected = l.conns.add, l.conns.remove
	return l
}

// Start dials the control hosts. It calls onGrant, which may block, for each grant
// that it receives.
func (l *Link) Start(onGrant func(types.HostID, proto.LeaseGrant)) {
	l.dialer.onFrame = func(c *conn, f Frame) {
		if f.LeaseGrant != nil {
			onGrant(c.peer.Host, *f.LeaseGrant)
		}
	}
	l.dialer.addAddresses(l.dialer.options.Addresses)
}

// AddAddresses adds addresses of control hosts and dials the new ones.
func (l *Link) AddAddresses(addresses []types.Address) { l.dialer.addAddresses(addresses) }

// Close ends all connections and waits for their goroutines.
func (l *Link) Close() { l.dialer.tasks.close() }

// Request sends a lease request to a control host. If there is no connection to
// it, or to is empty, the request goes to any connected control host.
func (l *Link) Request(to types.HostID, r proto.LeaseRequest) {
	c := l.conns.connTo(to)
	if c == nil {
		c = l.conns.next()
	}
	if c != nil {
		c.send(Frame{LeaseRequest: &r})
	}
}

// taskGroup is a group of goroutines that are cancelled together.
type taskGroup struct {
	mu     *sync.Mutex // keeps join from adding to wg after close cancelled ctx
	wg     *sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

func newTaskGroup() taskGroup {
	ctx, cancel := context.WithCancel(context.Background())
	return taskGroup{mu: new(sync.Mutex), wg: new(sync.WaitGroup), ctx: ctx, cancel: cancel}
}

// start runs do on a new goroutine, unless the group was closed.
func (t taskGroup) start(do func(context.Context)) {
	if t.join() {
		go func() {
			defer t.wg.Done()
			do(t.ctx)
		}()
	}
}

// join adds the calling goroutine to the group, which it leaves with wg.Done. It
// reports false if the group was closed.
func (t taskGroup) join() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	t.wg.Add(1)
	return true
}

func (t taskGroup) close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.wg.Wait()
}
