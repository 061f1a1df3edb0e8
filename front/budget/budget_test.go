package budget

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLargestHolderIsClosed(t *testing.T) {
	b := New(100)
	ended := make(chan string, 3)
	open := func(name string) *Holder { return b.Open(func() { ended <- name }) }
	small, large, busy := open("small"), open("large"), open("busy")
	assert.Assert(t, small.Resize(10, false))
	assert.Assert(t, large.Resize(40, false))
	assert.Assert(t, busy.Resize(50, true))
	assert.Assert(t, small.Resize(20, false))
	assert.Equal(t, <-ended, "large")
	assert.Assert(t, !large.Resize(1, false), "a closed connection goes on")
	assert.Assert(t, !small.Resize(60, false), "a request in progress was cut off, or the limit was passed")
	busy.Close()
	assert.Equal(t, b.held, 0)
	next := open("next")
	assert.Assert(t, next.Resize(100, false))
	assert.Assert(t, next.Resize(0, false))
	assert.Equal(t, len(b.holders), 0)
}

func TestNoLimit(t *testing.T) {
	h := New(0).Open(func() { t.Fatal("closed without a limit") })
	assert.Assert(t, h.Resize(1<<40, false))
}
