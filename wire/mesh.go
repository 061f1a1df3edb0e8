package wire

import (
	"context"
	"sync"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Handlers take in what other processes send. They may block, which slows
// down only the connection that the frame came on.
type Handlers struct {
	Message      func(proto.Message)
	LeaseRequest func(proto.LeaseRequest)
}

// Mesh connects a control host with the other control hosts and the proxies.
// It implements runtime.Peers and runtime.Proxies.
type Mesh struct {
	dialer   *dialer
	handlers Handlers
	peers    connSet

	mu      sync.Mutex
	proxies map[types.HostID]*conn // on which the proxy last asked
}

// NewMesh returns a mesh that does nothing before Start.
func NewMesh(o Options) *Mesh {
	m := &Mesh{
		dialer:  newDialer(o, RoleControl),
		proxies: make(map[types.HostID]*conn),
	}
	m.dialer.added, m.dialer.removed, m.dialer.handle = m.peers.add, m.peers.remove, m.handle
	return m
}

// Start dials the other control hosts. A server refuses connections before.
func (m *Mesh) Start(h Handlers) {
	m.mu.Lock()
	m.handlers = h
	m.mu.Unlock()
	m.dialer.know(m.dialer.options.Addresses)
}

// Know adds addresses of control hosts.
func (m *Mesh) Know(addresses []types.Address) { m.dialer.know(addresses) }

// Close ends all connections and waits for their goroutines.
func (m *Mesh) Close() { m.dialer.tasks.close() }

// Send sends a message to a control host, or to all when To is empty.
func (m *Mesh) Send(msg proto.Message) {
	f := Frame{Message: &msg}
	if msg.To == "" {
		m.peers.each(func(c *conn) { c.send(f) })
		return
	}
	if c := m.peers.to(msg.To); c != nil {
		c.send(f)
	}
}

// Grant sends a grant on the connection on which the proxy last asked.
func (m *Mesh) Grant(g proto.LeaseGrant) {
	m.mu.Lock()
	c := m.proxies[g.Proxy]
	m.mu.Unlock()
	if c != nil {
		c.send(Frame{LeaseGrant: &g})
	}
}

// handle hands over a frame. What does not fit the sender's role is dropped.
func (m *Mesh) handle(c *conn, f Frame) {
	switch {
	case f.Message != nil && c.peer.Role == RoleControl:
		m.handlers.Message(*f.Message)
	case f.LeaseRequest != nil && c.peer.Role == RoleProxy && f.LeaseRequest.Proxy == c.peer.Host:
		m.asked(c)
		m.handlers.LeaseRequest(*f.LeaseRequest)
	}
}

// asked notes on which connection a proxy asked.
func (m *Mesh) asked(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proxies[c.peer.Host] = c
}

// accepted serves a connection that a server took in.
func (m *Mesh) accepted(ctx context.Context, c *conn) error {
	if c.peer.Role == RoleControl {
		m.peers.add(c)
		defer m.peers.remove(c)
	} else {
		defer m.forget(c)
	}
	return c.serve(ctx, func(f Frame) { m.handle(c, f) })
}

// forget drops a proxy's connection unless the proxy asked on another since.
func (m *Mesh) forget(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proxies[c.peer.Host] == c {
		delete(m.proxies, c.peer.Host)
	}
}
