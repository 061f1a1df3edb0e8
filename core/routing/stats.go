package routing

import "time"

const (
	// latencyGain is the weight of a new sample in the moving average.
	latencyGain = 0.1
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
}

// Observe records the latency of an exchange.
func (s *Stats) Observe(latency time.Duration) {
	if s.answers == 0 {
		s.latency = latency
	} else {
		s.latency += time.Duration(latencyGain * float64(latency-s.latency))
	}
	s.last = latency
	s.answers++
	if s.unloaded == 0 || s.latency < s.unloaded {
		s.unloaded = s.latency
	}
	s.unloaded += time.Duration(unloadedGain * float64(s.latency-s.unloaded))
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

// Fill sets the fields of a candidate that come from the statistics.
func (s *Stats) Fill(c *Candidate) {
	c.Latency, c.LastLatency, c.Answers = s.latency, s.last, s.answers
}
