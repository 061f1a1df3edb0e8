package routing

import "time"

// latencyGain is the weight of a new sample in the moving average.
const latencyGain = 0.1

// Stats keeps what is known of one target's answers.
type Stats struct {
	latency time.Duration
	last    time.Duration
	answers uint64
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
}

// Latency returns the average time to answer, or zero before the first.
func (s *Stats) Latency() time.Duration { return s.latency }

// Fill sets the fields of a candidate that the statistics know.
func (s *Stats) Fill(c *Candidate) {
	c.Latency, c.Last, c.Answers = s.latency, s.last, s.answers
}
