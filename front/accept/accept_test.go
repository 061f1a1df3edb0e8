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

// shortListener fails each accept with the next error and is closed after that.
type shortListener struct {
	net.Listener
	errs    []error
	accepts int
}

func (l *shortListener) Accept() (net.Conn, error) {
	l.accepts++
	if l.accepts > len(l.errs) {
		return nil, net.ErrClosed
	}
	return nil, &net.OpError{Op: "accept", Err: l.errs[l.accepts-1]}
}

func (l *shortListener) Close() error { return nil }

// TestShortageOfDescriptorsDoesNotEndTheFront checks that the front goes on to
// accept once the process or its host has file descriptors again.
func TestShortageOfDescriptorsDoesNotEndTheFront(t *testing.T) {
	l := &shortListener{errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED}}
	assert.NilError(t, New(nil).Serve(t.Context(), l))
	assert.Equal(t, l.accepts, 4)
}

func TestOtherErrorsEndTheFront(t *testing.T) {
	l := &shortListener{errs: []error{syscall.EINVAL}}
	assert.ErrorIs(t, New(nil).Serve(t.Context(), l), syscall.EINVAL)
}

// TestShutdownCutsOffWhatIsLeft serves two connections that do not end by
// themselves, and takes no listener afterwards.
func TestShutdownCutsOffWhatIsLeft(t *testing.T) {
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
	again, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.ErrorContains(t, s.Serve(t.Context(), again), "shutting down")
}
