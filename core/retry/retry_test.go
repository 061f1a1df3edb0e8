package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDoubled(t *testing.T) {
	const first, most = 20 * time.Millisecond, time.Second
	for times, want := range []time.Duration{20, 40, 80, 160, 320, 640, 1000, 1000} {
		assert.Equal(t, Doubled(first, most, times), want*time.Millisecond)
	}
	assert.Equal(t, Doubled(first, most, 1000), most, "a pause that ran over")
}

func TestBackoffHasJitter(t *testing.T) {
	for attempt := range 12 {
		whole := Doubled(firstBackoff, maxBackoff, attempt)
		seen := make(map[time.Duration]bool)
		for seed := range uint64(20) {
			pause := Backoff(attempt, seed)
			assert.Assert(t, pause >= whole/2 && pause < whole, "attempt %d: %s", attempt, pause)
			seen[pause] = true
		}
		assert.Assert(t, len(seen) > 10, "attempt %d: only %d different pauses", attempt, len(seen))
	}
}

// TestBudget spends the floor, then what requests have earned.
func TestBudget(t *testing.T) {
	b := NewBudget()
	for range budgetFloor {
		assert.Assert(t, b.Left() && b.Spend())
	}
	assert.Assert(t, !b.Left() && !b.Spend())
	for range 25 {
		b.Earn()
	}
	for range 2 { // 25 requests earn two and a half
		assert.Assert(t, b.Spend())
	}
	assert.Assert(t, !b.Left() && !b.Spend())
}
