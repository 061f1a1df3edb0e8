package routing

import "time"

const (
	// latencyGain is the weight of a new sample in the moving average.
	latencyGain = 0.1
	// unloadedGain is the weight of the average in the time that an answer takes
	// without others before it, when the average is above that: a target that
	// becomes slow for good counts as unloaded again after some hundred answers.
	unloadedGain = 0.002
	// congestion is how many times that time an answer has to take to show a
	// queue. One of twenty statements takes as long by itself.
	congestion = 2.5
)

// Stats keeps what is known of one target's answers.
type Stats struct {
	latency  time.Duration
	last     time.Duration
	answers  uint64
	unloaded time.Duration // average without a queue at the target
}

// Answered takes in the time that an exchange took.
func (s *Stats) Answered(took time.Duration) {
	if s.answers == 0 {
		s.latency = took
	} else {
		s.latency += time.Duration(latencyGain * float64(took-s.latency))
	}
	s.last = took
	s.answers++
	if s.unloaded == 0 || s.latency < s.unloaded {
		s.unloaded = s.latency
	}
	s.unloaded += time.Duration(unloadedGain * float64(s.latency-s.unloaded))
}

// Congested reports whether the last answer took so long that it must have
// waited at the target for others.
func (s *Stats) Congested() bool { return float64(s.last) > congestion*float64(s.unloaded) }

// HasRoom reports whether the last answer took no longer than one without a
// queue.
func (s *Stats) HasRoom() bool { return s.last <= s.unloaded }

// Latency returns the average time to answer, or zero before the first.
func (s *Stats) Latency() time.Duration { return s.latency }

// Fill sets the fields of a candidate that the statistics know.
func (s *Stats) Fill(c *Candidate) {
	c.Latency, c.Last, c.Answers = s.latency, s.last, s.answers
}
