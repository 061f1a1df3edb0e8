package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// work draws the time of a statement, spread as on the platforms at hand.
func work(r *rand.Rand) time.Duration {
	const mean, spread = float64(33 * time.Millisecond), 0.7
	return time.Duration(mean * math.Exp(spread*r.NormFloat64()-spread*spread/2))
}

func TestCongestionIsAQueueAtTheTarget(t *testing.T) {
	count := func(s *Stats, r *rand.Rand, wait time.Duration) (congested int) {
		for range 200 {
			s.Answered(wait + work(r))
			if s.Congested() {
				congested++
			}
		}
		return congested
	}
	var s Stats
	r := rand.New(rand.NewPCG(1, 1))
	s.Answered(work(r))
	count(&s, r, 0)
	alone := count(&s, r, 0)
	assert.Assert(t, alone < 30, "%d of 200 answers seem congested", alone)
	behind := count(&s, r, 150*time.Millisecond)
	assert.Assert(t, behind > 170, "only %d of 200 answers seem congested", behind)
}

// TestTargetThatIsSlowForGoodIsNotCongested covers statements that have become
// ten times as long.
func TestTargetThatIsSlowForGoodIsNotCongested(t *testing.T) {
	var s Stats
	for range 100 {
		s.Answered(10 * time.Millisecond)
	}
	for range 1000 {
		s.Answered(100 * time.Millisecond)
	}
	assert.Assert(t, !s.Congested())
}
