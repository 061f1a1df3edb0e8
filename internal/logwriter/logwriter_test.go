package logwriter

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedOutput is an output that blocks until open is closed.
type blockedOutput struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (o *blockedOutput) Write(b []byte) (int, error) {
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.got.Write(b)
}

func TestBlockedOutputDropsAndCounts(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	w := New(out)
	start := time.Now()
	for range queueLines + 500 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < time.Second, "Write blocked for %s", time.Since(start))
	assert.Assert(t, w.Dropped() >= 499, "%d lines dropped, at least 499 expected", w.Dropped())
	close(out.open)
	w.Close(time.Second)
	assert.Assert(t, strings.Contains(out.got.String(), "\"log_lines_dropped\" count="), "the number of dropped lines was not logged")
	assert.Assert(t, strings.Count(out.got.String(), "line\n") >= queueLines)
}

func TestCloseDoesNotWaitForABlockedOutput(t *testing.T) {
	w := New(&blockedOutput{open: make(chan struct{})})
	_, err := w.Write([]byte("line\n"))
	assert.NilError(t, err)
	start := time.Now()
	w.Close(20 * time.Millisecond)
	assert.Assert(t, time.Since(start) < time.Second)
}
