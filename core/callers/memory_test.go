package callers

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestLargestHolderIsClosed(t *testing.T) {
	const small, large, busy, next ID = 1, 2, 3, 4
	m := NewMemory(100)
	step := func(e Event, want ...Close) {
		t.Helper()
		assert.DeepEqual(t, m.Step(e), want)
	}
	step(Held{Caller: small, Bytes: 10})
	step(Held{Caller: large, Bytes: 40})
	step(Held{Caller: busy, Bytes: 50, Busy: true})
	step(Held{Caller: small, Bytes: 20}, Close{large})
	step(Held{Caller: large, Bytes: 1}, Close{large})
	step(Held{Caller: small, Bytes: 60}, Close{small})
	step(Left{busy})
	assert.Equal(t, m.held, 0)
	step(Held{Caller: next, Bytes: 100})
	step(Held{Caller: next})
	step(Left{small})
	step(Held{Caller: small, Bytes: 100})
	assert.Equal(t, len(m.holders), 1)
}

// TestLimitHolds covers any callers: the limit is never passed, a request in progress is
// never cut off by another caller, and nothing stays behind.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, callers = 100, 5
		m := NewMemory(limit)
		busy := make(map[ID]bool)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			id := ID(rapid.IntRange(1, callers).Draw(t, "caller"))
			if rapid.IntRange(0, 4).Draw(t, "leaves") == 0 {
				m.Step(Left{id})
				busy[id] = false
				continue
			}
			e := Held{Caller: id, Bytes: rapid.IntRange(0, 60).Draw(t, "bytes"), Busy: rapid.Bool().Draw(t, "busy")}
			closed := m.Step(e)
			busy[id] = e.Busy && !m.closed[id]
			for _, c := range closed {
				assert.Assert(t, c.Caller == id || !busy[c.Caller], "a request in progress was cut off")
			}
			sum := 0
			for _, h := range m.holders {
				sum += h.bytes
			}
			assert.Equal(t, sum, m.held)
			assert.Assert(t, sum <= limit)
		}
		for id := range ID(callers + 1) {
			m.Step(Left{id})
		}
		assert.Equal(t, m.held, 0)
		assert.Equal(t, len(m.holders)+len(m.closed), 0)
	})
}
