package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOldQueueIsForgotten covers a target that was queued for a moment and has not been
// asked since. What a queue adds to its latency counts half after each second.
func TestOldQueueIsForgotten(t *testing.T) {
	var near, far Stats
	for range 50 {
		near.Observe(10 * time.Millisecond)
		far.Observe(25 * time.Millisecond)
	}
	for range 20 {
		near.Observe(200 * time.Millisecond)
	}
	pick := func(elapsed time.Duration) int {
		c := make([]Candidate, 2)
		near.Fill(&c[0], elapsed)
		far.Fill(&c[1], 0)
		return RecentLatency{}.Pick(c, 1)
	}
	assert.Equal(t, pick(0), 1)
	assert.Equal(t, pick(time.Second), 1)
	assert.Equal(t, pick(5*time.Second), 0)

	c := make([]Candidate, 2)
	near.Fill(&c[0], 5*time.Second)
	far.Fill(&c[1], 0)
	assert.Equal(t, LowestLatency{}.Pick(c, 1), 1, "the average of all answers is kept")
}

// TestNewAnswerAfterSilence checks that the first answer after a while does not bring the
// old queue back.
func TestNewAnswerAfterSilence(t *testing.T) {
	var s Stats
	for range 50 {
		s.Observe(10 * time.Millisecond)
	}
	for range 20 {
		s.Observe(200 * time.Millisecond)
	}
	s.Age(10 * time.Second)
	s.Observe(10 * time.Millisecond)
	assert.Assert(t, s.recentAfter(0) < 15*time.Millisecond, "%s", s.recentAfter(0))
}
