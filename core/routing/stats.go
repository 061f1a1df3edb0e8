package routing

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// latencyGain is the weight of a new sample in the moving averages.
const latencyGain = 0.1

// Stats keeps the moving averages of one target.
type Stats struct {
	latency  time.Duration
	rate     float64
	answered types.Instant
}

// Answered takes in the time that an exchange took.
func (s *Stats) Answered(now types.Instant, took time.Duration) {
	if s.latency == 0 {
		s.latency = took
	} else {
		s.latency += time.Duration(latencyGain * float64(took-s.latency))
	}
	if gap := now.Sub(s.answered); s.answered != 0 && gap > 0 {
		s.rate += latencyGain * (float64(time.Second)/float64(gap) - s.rate)
	}
	s.answered = now
}

// Latency returns the average time to answer, or zero before the first.
func (s *Stats) Latency() time.Duration { return s.latency }

// Rate returns the average number of answers a second.
func (s *Stats) Rate() float64 { return s.rate }
