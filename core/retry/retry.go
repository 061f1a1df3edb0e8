// Package retry bounds how often the system sends a request again.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// retryShare is how many retries each request earns.
	retryShare = 0.1
	// budgetFloor is how many retries a service may do before it earned any.
	budgetFloor = 10
	// maxBudget bounds the retries that a service can save up.
	maxBudget = 100
	// firstBackoff and maxBackoff bound the pause before a retry.
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
	// maxDoublings keeps a doubled pause from running over; every bound of a
	// pause is reached before it.
	maxDoublings = 10
)

// Budget is the token bucket of one service's retries.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget with its floor.
func NewBudget() *Budget { return &Budget{tokens: budgetFloor} }

// Earn counts a request.
func (b *Budget) Earn() { b.tokens = min(maxBudget, b.tokens+retryShare) }

// Left reports whether Spend would take a retry.
func (b *Budget) Left() bool { return b.tokens >= 1 }

// Spend takes one retry, if there is one left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Doubled returns the first pause, doubled so many times, within a bound.
func Doubled(first, most time.Duration, times int) time.Duration {
	return min(most, first<<min(times, maxDoublings))
}

// Backoff returns the pause before the retry after attempt failed ones:
// exponential, with full jitter between half and the whole.
func Backoff(attempt int, seed uint64) time.Duration {
	pause := Doubled(firstBackoff, maxBackoff, attempt)
	r := rand.New(rand.NewPCG(seed, uint64(attempt)))
	return pause/2 + time.Duration(r.Int64N(int64(pause/2)))
}
