package daemon

import (
	"net"
	"sync/atomic"
)

// maxHTTPConnections is how many connections a control host's HTTP port holds at a time.
// Operators and targets need far fewer while calls are answered in time. The rest of the
// descriptors and of the memory stays for proxies and other control hosts.
const maxHTTPConnections = 1024

// boundedListener closes new connections while max of them are open, so that callers turn
// to another host at once.
type boundedListener struct {
	net.Listener
	max  int64
	open atomic.Int64
}

// newBoundedListener returns a listener that holds at most limit connections of lis.
func newBoundedListener(lis net.Listener, limit int) *boundedListener {
	return &boundedListener{Listener: lis, max: int64(limit)}
}

// Accept returns the next connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &boundedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

// boundedConn is a connection that counts toward the bound until it is closed.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	closed   atomic.Bool
}

// Close closes the connection. Further calls have no effect on the bound.
func (c *boundedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}
