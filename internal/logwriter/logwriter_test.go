package logwriter

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gate is an output that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(b)
}

func TestBlockedOutputDropsAndCounts(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	w := New(out)
	began := time.Now()
	for range queueLength + 500 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(began) < time.Second, "the author of a line waited")
	assert.Assert(t, w.Dropped() >= 499, "%d dropped", w.Dropped())
	close(out.open)
	w.Close(time.Second)
	assert.Assert(t, strings.Contains(out.got.String(), "\"log_lines_dropped\" count="), "nothing says what is missing")
	assert.Assert(t, strings.Count(out.got.String(), "line\n") >= queueLength)
}

func TestCloseDoesNotWaitForABlockedOutput(t *testing.T) {
	w := New(&gate{open: make(chan struct{})})
	_, err := w.Write([]byte("line\n"))
	assert.NilError(t, err)
	began := time.Now()
	w.Close(20 * time.Millisecond)
	assert.Assert(t, time.Since(began) < time.Second)
}
