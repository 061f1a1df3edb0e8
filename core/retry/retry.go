// Package retry limits retries of requests: their share of all requests, and the
// delay before each.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// tokensPerRequest is the part of a retry that each request adds to the budget.
	tokensPerRequest = 0.1
	// initialTokens is the number of retries allowed before any request was counted.
	initialTokens = 10
	// maxTokens limits the retries that a service can accumulate.
	maxTokens = 100
	// firstBackoff and maxBackoff bound the delay before a retry.
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
	// maxDoublings prevents an overflow of the doubled delay. Every maximum delay is
	// reached with fewer doublings.
	maxDoublings = 10
)

// Budget is the token bucket of one service's retries.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget of initialTokens.
func NewBudget() *Budget { return &Budget{tokens: initialTokens} }

// Deposit adds the tokens of one request.
func (b *Budget) Deposit() { b.tokens = min(maxTokens, b.tokens+tokensPerRequest) }

// Available reports whether a retry is available.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Withdraw takes one retry from the budget and reports whether one was available.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ExponentialDelay returns the initial delay, doubled the given number of times and
// limited to maxDelay.
func ExponentialDelay(initial, maxDelay time.Duration, doublings int) time.Duration {
	return min(maxDelay, initial<<min(doublings, maxDoublings))
}

// Backoff returns the delay before the retry that follows the given number of failed
// retries. It grows exponentially, with jitter between half of the delay and all of it.
func Backoff(failed int, seed uint64) time.Duration {
	delay := ExponentialDelay(firstBackoff, maxBackoff, failed)
	r := rand.New(rand.NewPCG(seed, uint64(failed)))
	return delay/2 + time.Duration(r.Int64N(int64(delay/2)))
}
