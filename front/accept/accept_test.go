package accept

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failingListener returns each of errs from one Accept, and net.ErrClosed after
// them.
type failingListener struct {
	net.Listener
	errs    []error
	accepts int
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.accepts++
	if l.accepts > len(l.errs) {
		return nil, net.ErrClosed
	}
	return nil, &net.OpError{Op: "accept", Err: l.errs[l.accepts-1]}
}

func (l *failingListener) Close() error { return nil }

// TestPanicEndsOneConnection guards against a caller whose connection ends the process.
func TestPanicEndsOneConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(func(_ context.Context, conn net.Conn, _ int) {
		b := make([]byte, 1)
		_, _ = conn.Read(b)
		if b[0] == 'x' {
			panic("a malformed message")
		}
		_, _ = conn.Write(b)
	})
	served := make(chan error, 1)
	go func() { served <- s.Serve(t.Context(), l) }()
	for _, c := range []struct{ sent, answer string }{{"x", ""}, {"y", "y"}} {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, c.sent)
		assert.NilError(t, err)
		got, _ := io.ReadAll(conn)
		assert.Equal(t, string(got), c.answer)
		assert.NilError(t, conn.Close())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(t, s.Shutdown(ctx))
	assert.NilError(t, <-served)
}

// TestServeRetriesTemporaryErrors guards against an accept loop that ends when
// the process or its host runs out of file descriptors, or when a caller closes
// its connection before it is accepted.
func TestServeRetriesTemporaryErrors(t *testing.T) {
	l := &failingListener{errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED}}
	assert.NilError(t, New(nil).Serve(t.Context(), l))
	assert.Equal(t, l.accepts, 4)
}

func TestServeReturnsPermanentErrors(t *testing.T) {
	l := &failingListener{errs: []error{syscall.EINVAL}}
	assert.ErrorIs(t, New(nil).Serve(t.Context(), l), syscall.EINVAL)
}

// TestShutdownClosesRemainingConnections shuts down while two connections stay
// open, and checks that no listener is accepted afterwards.
func TestShutdownClosesRemainingConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	counts := make(chan int, 2)
	s := New(func(_ context.Context, conn net.Conn, open int) {
		counts <- open
		_, _ = io.Copy(io.Discard, conn)
	})
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(t.Context(), l) }()
	for want := 1; want <= 2; want++ {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.Equal(t, <-counts, want)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, s.Shutdown(ctx), context.DeadlineExceeded)
	assert.NilError(t, <-ended)
	second, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.ErrorContains(t, s.Serve(t.Context(), second), "shutting down")
}
