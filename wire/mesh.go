package wire

import (
	"context"
	"sync"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Handlers are called for messages from other processes. They may block, which
// delays only the connection that the message was received on.
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

	mu         sync.Mutex
	proxyConns map[types.HostID]*conn // on which the proxy sent its last lease request
}

// NewMesh returns a mesh that opens no connections before Start.
func NewMesh(o Options) *Mesh {
	m := &Mesh{
		dialer:     newDialer(o, RoleControl),
		proxyConns: make(map[types.HostID]*conn),
	}
	m.dialer.onConnected, m.dialer.onDisconnected, m.dialer.onFrame = m.peers.add, m.peers.remove, m.handle
	return m
}

// Start dials the other control hosts. Before Start the server refuses
// connections.
func (m *Mesh) Start(h Handlers) {
	m.mu.Lock()
	m.handlers = h
	m.mu.Unlock()
	m.dialer.addAddresses(m.dialer.options.Addresses)
}

// AddAddresses adds addresses of control hosts and dials the new ones.
func (m *Mesh) AddAddresses(addresses []types.Address) { m.dialer.addAddresses(addresses) }

// Close ends all connections and waits for their goroutines.
func (m *Mesh) Close() { m.dialer.tasks.close() }

// Send sends a message to a control host, or to all when To is empty.
func (m *Mesh) Send(msg proto.Message) {
	f := Frame{Message: &msg}
	if msg.To == "" {
		m.peers.eachHost(func(c *conn) { c.send(f) })
		return
	}
	if c := m.peers.connTo(msg.To); c != nil {
		c.send(f)
	}
}

// Grant sends a grant on the connection on which the proxy sent its last lease
// request.
func (m *Mesh) Grant(g proto.LeaseGrant) {
	m.mu.Lock()
	c := m.proxyConns[g.Proxy]
	m.mu.Unlock()
	if c != nil {
		c.send(Frame{LeaseGrant: &g})
	}
}

// handle passes a frame to its handler. It drops frames that the sender's role does
// not allow.
func (m *Mesh) handle(c *conn, f Frame) {
	switch {
	case f.Message != nil && c.peer.Role == RoleControl:
		m.handlers.Message(*f.Message)
	case f.LeaseRequest != nil && c.peer.Role == RoleProxy && f.LeaseRequest.Proxy == c.peer.Host:
		m.setProxyConn(c)
		m.handlers.LeaseRequest(*f.LeaseRequest)
	}
}

// setProxyConn records the connection on which a proxy sent its last lease
// request.
func (m *Mesh) setProxyConn(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proxyConns[c.peer.Host] = c
}

// serveAccepted serves a connection that the server accepted.
func (m *Mesh) serveAccepted(ctx context.Context, c *conn) error {
	if c.peer.Role == RoleControl {
		m.peers.add(c)
		defer m.peers.remove(c)
	} else {
		defer m.removeProxyConn(c)
	}
	return c.serve(ctx, func(f Frame) { m.handle(c, f) })
}

// removeProxyConn forgets a proxy's connection, unless the proxy has since sent a
// lease request on another one.
func (m *Mesh) removeProxyConn(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proxyConns[c.peer.Host] == c {
		delete(m.proxyConns, c.peer.Host)
	}
}
