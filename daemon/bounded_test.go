package daemon

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestListenerHoldsABoundedNumberOfConnections opens more connections than the bound: those
// beyond it are closed at once, and a new one is accepted after another has ended.
func TestListenerHoldsABoundedNumberOfConnections(t *testing.T) {
	const limit = 3
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := newBoundedListener(raw, limit)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 2*limit)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", raw.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	var held []net.Conn
	for range limit {
		dial()
		held = append(held, <-accepted)
	}
	_, err = dial().Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, held[0].Close())
	_ = held[0].Close()
	dial()
	<-accepted
	_, err = dial().Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "a connection that was closed twice made room for two")
	for _, conn := range held[1:] {
		assert.NilError(t, conn.Close())
	}
}
