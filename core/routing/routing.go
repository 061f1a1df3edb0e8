// Package routing chooses among the targets that may serve a request. Whether
// a target may serve it is decided by package session.
package routing

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Candidate is a target that may serve a request now.
type Candidate struct {
	Target      types.TargetName
	Outstanding int           // exchanges under way
	Slots       int           // statements that this proxy may run there at a time
	Latency     time.Duration // moving average of the time to answer
	Last        time.Duration // time that the last answer took
	Answers     uint64        // answers so far
	SameZone    bool          // in the proxy's availability zone
}

// Policy chooses one of the candidates.
type Policy interface {
	// Pick returns an index into c, which is not empty. seed brings fresh
	// random bits.
	Pick(c []Candidate, seed uint64) int
}

// Default returns the policy of a shard that sets none.
func Default() Policy { return TwoChoices{} }
