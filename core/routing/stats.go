package routing

import (
	"math"
	"time"
)

const (
	// latencyGain is the weight of a new sample in the moving average.
	latencyGain = 0.1
	// recentGain is the weight of a new sample in the recent average, and
	// knowledgeHalfLife the time without an answer after which half of its distance to
	// the unloaded latency is left: queues at targets come and go within seconds.
	recentGain        = 0.3
	knowledgeHalfLife = time.Second
	// unloadedGain is the weight of the average latency in the unloaded latency while
	// the average is above it. A target that becomes permanently slower counts as
	// unloaded again after some hundred answers.
	unloadedGain = 0.002
	// congestionFactor is the ratio of latency to unloaded latency that indicates a
	// queue at the target. One of twenty statements reaches it without any queue.
	congestionFactor = 2.5
)

// Stats holds the latency statistics of one target.
type Stats struct {
	latency  time.Duration
	last     time.Duration
	answers  uint64
	unloaded time.Duration // average latency without a queue at the target
	recent   time.Duration // moving average that approaches unloaded while there are no answers
}

// Observe records the latency of an exchange.
func (s *Stats) Observe(latency time.Duration) {
	if s.answers == 0 {
		s.latency, s.recent = latency, latency
	} else {
		s.latency += time.Duration(latencyGain * float64(latency-s.latency))
		s.recent += time.Duration(recentGain * float64(latency-s.recent))
	}
	s.last = latency
	s.answers++
	if s.unloaded == 0 || s.latency < s.unloaded {
		s.unloaded = s.latency
	}
	s.unloaded += time.Duration(unloadedGain * float64(s.latency-s.unloaded))
}

// Age accounts for time without an answer.
func (s *Stats) Age(elapsed time.Duration) { s.recent = s.recentAfter(elapsed) }

// recentAfter returns the recent average after more time without an answer.
func (s *Stats) recentAfter(elapsed time.Duration) time.Duration {
	if s.recent <= s.unloaded {
		return s.recent
	}
	left := math.Exp2(-float64(elapsed) / float64(knowledgeHalfLife))
	return s.unloaded + time.Duration(left*float64(s.recent-s.unloaded))
}

// Congested reports whether the latency of the last answer indicates that it was
// queued at the target.
func (s *Stats) Congested() bool { return float64(s.last) > congestionFactor*float64(s.unloaded) }

// Queued returns how much longer than without a queue at the target an exchange took.
func (s *Stats) Queued(latency time.Duration) time.Duration { return latency - s.unloaded }

// HasCapacity reports whether the latency of the last answer was no higher than without
// a queue.
func (s *Stats) HasCapacity() bool { return s.last <= s.unloaded }

// Latency returns the average latency, or zero before the first answer.
func (s *Stats) Latency() time.Duration { return s.latency }

// Fill sets the fields of a candidate that come from the statistics. elapsed is the time
// since the last answer.
func (s *Stats) Fill(c *Candidate, elapsed time.Duration) {
	c.Latency, c.LastLatency, c.Answers, c.RecentLatency = s.latency, s.last, s.answers, s.recentAfter(elapsed)
}
