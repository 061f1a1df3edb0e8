package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// statementTime draws the duration of a statement from a log-normal distribution
// with a mean of 33 ms, as seen in deployments.
func statementTime(r *rand.Rand) time.Duration {
	const mean, spread = float64(33 * time.Millisecond), 0.7
	return time.Duration(mean * math.Exp(spread*r.NormFloat64()-spread*spread/2))
}

// TestCongestionIsAQueueAtTheTarget checks that statements of unequal duration alone
// do not count as congestion, and that a queue of 150 ms does.
func TestCongestionIsAQueueAtTheTarget(t *testing.T) {
	count := func(s *Stats, r *rand.Rand, wait time.Duration) (congested int) {
		for range 200 {
			s.Observe(wait + statementTime(r))
			if s.Congested() {
				congested++
			}
		}
		return congested
	}
	var s Stats
	r := rand.New(rand.NewPCG(1, 1))
	s.Observe(statementTime(r))
	count(&s, r, 0)
	unloaded := count(&s, r, 0)
	assert.Assert(t, unloaded < 30, "%d of 200 answers count as congested without a queue", unloaded)
	queued := count(&s, r, 150*time.Millisecond)
	assert.Assert(t, queued > 170, "only %d of 200 answers count as congested with a queue", queued)
}

// TestPermanentlySlowerTargetIsNotCongested covers a target whose statements have
// permanently become ten times as long.
func TestPermanentlySlowerTargetIsNotCongested(t *testing.T) {
	var s Stats
	for range 100 {
		s.Observe(10 * time.Millisecond)
	}
	for range 1000 {
		s.Observe(100 * time.Millisecond)
	}
	assert.Assert(t, !s.Congested())
}
