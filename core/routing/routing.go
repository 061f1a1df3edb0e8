// Package routing balances requests over the targets that may serve them. Package
// session decides which targets may serve a request.
package routing

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Candidate is a target that may serve a request now.
type Candidate struct {
	Target        types.TargetName
	Outstanding   int           // exchanges in flight
	Slots         int           // statements that this proxy may run there concurrently
	Latency       time.Duration // moving average
	RecentLatency time.Duration // the same, but what is old counts less
	LastLatency   time.Duration // latency of the last answer
	Answers       uint64        // number of answers so far
	SameZone      bool          // in the proxy's availability zone
}

// Policy picks one of the candidates.
type Policy interface {
	// Pick returns an index into c, which is not empty. seed is a new random
	// number for each call.
	Pick(c []Candidate, seed uint64) int
}

// Default returns the policy of shards without a configured one.
func Default() Policy { return TwoChoices{} }
