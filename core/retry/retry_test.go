package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestExponentialDelay(t *testing.T) {
	const initial, maxDelay = 20 * time.Millisecond, time.Second
	for doublings, want := range []time.Duration{20, 40, 80, 160, 320, 640, 1000, 1000} {
		assert.Equal(t, ExponentialDelay(initial, maxDelay, doublings), want*time.Millisecond)
	}
	assert.Equal(t, ExponentialDelay(initial, maxDelay, 1000), maxDelay, "the delay overflowed")
}

func TestBackoffHasJitter(t *testing.T) {
	for failed := range 12 {
		upper := ExponentialDelay(firstBackoff, maxBackoff, failed)
		seen := make(map[time.Duration]bool)
		for seed := range uint64(20) {
			delay := Backoff(failed, seed)
			assert.Assert(t, delay >= upper/2 && delay < upper, "failed %d: %s", failed, delay)
			seen[delay] = true
		}
		assert.Assert(t, len(seen) > 10, "failed %d: only %d different delays", failed, len(seen))
	}
}

// TestBudget spends the initial tokens, then those that requests add.
func TestBudget(t *testing.T) {
	b := NewBudget()
	for range initialTokens {
		assert.Assert(t, b.Available() && b.Withdraw())
	}
	assert.Assert(t, !b.Available() && !b.Withdraw())
	for range 25 {
		b.Deposit()
	}
	for range 2 { // 25 requests add 2.5 tokens
		assert.Assert(t, b.Withdraw())
	}
	assert.Assert(t, !b.Available() && !b.Withdraw())
}
