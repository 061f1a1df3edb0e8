package routing

import "math/rand/v2"

// TwoChoices picks two candidates at random and takes the one that would
// answer first by its outstanding exchanges and latency.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(c []Candidate, seed uint64) int {
	if len(c) == 1 {
		return 0
	}
	r := rand.New(rand.NewPCG(seed, uint64(len(c))))
	i := r.IntN(len(c))
	j := (i + 1 + r.IntN(len(c)-1)) % len(c)
	if better(c[j], c[i]) {
		return j
	}
	return i
}

// better reports whether a is expected to answer sooner than b. The same
// availability zone breaks a tie.
func better(a, b Candidate) bool {
	x, y := expectedWait(a), expectedWait(b)
	if x != y {
		return x < y
	}
	return a.SameZone && !b.SameZone
}

// expectedWait estimates the time until a new exchange is answered.
func expectedWait(c Candidate) float64 {
	slots := float64(max(1, c.Slots))
	waves := max(1, float64(c.Outstanding+1)/slots)
	return waves * float64(c.Latency)
}
