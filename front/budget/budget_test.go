package budget

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestChosenConnectionIsClosed(t *testing.T) {
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
	for _, h := range []*Holder{small, large, busy} {
		h.Close()
	}
	assert.Equal(t, len(b.ends), 0)
	assert.Assert(t, open("next").Resize(100, false))
}

func TestNoLimit(t *testing.T) {
	h := New(0).Open(func() { t.Fatal("closed without a limit") })
	assert.Assert(t, h.Resize(1<<40, false))
}
