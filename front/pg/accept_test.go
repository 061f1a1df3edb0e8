package pg

import (
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// fullListener fails its first accept for want of file descriptors and is
// closed after that.
type fullListener struct {
	net.Listener
	accepts int
}

func (l *fullListener) Accept() (net.Conn, error) {
	l.accepts++
	if l.accepts == 1 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, net.ErrClosed
}

func (l *fullListener) Close() error { return nil }

// TestShortageOfDescriptorsDoesNotEndTheFront checks that the front goes on to
// accept once the shortage is over.
func TestShortageOfDescriptorsDoesNotEndTheFront(t *testing.T) {
	l := &fullListener{}
	assert.NilError(t, New(Config{}, nil).Serve(t.Context(), l))
	assert.Equal(t, l.accepts, 2)
}
