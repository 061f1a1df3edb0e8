package routing

import "math/rand/v2"

// RoundRobin takes the candidates in turns.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (p *RoundRobin) Pick(c []Candidate, _ uint64) int {
	p.next++
	return p.next % len(c)
}

// LeastOutstanding takes the candidate with the fewest exchanges under way. The
// same availability zone breaks a tie, then chance.
type LeastOutstanding struct{}

// Pick implements Policy.
func (LeastOutstanding) Pick(c []Candidate, seed uint64) int {
	return best(c, seed, func(c Candidate) float64 { return float64(c.Outstanding) })
}

// TwoChoices takes two candidates at random and of them the one that is
// expected to answer first, by its outstanding exchanges and latency.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(c []Candidate, seed uint64) int {
	if len(c) == 1 {
		return 0
	}
	r := rand.New(rand.NewPCG(seed, uint64(len(c))))
	i := r.IntN(len(c))
	j := (i + 1 + r.IntN(len(c)-1)) % len(c)
	return []int{i, j}[best([]Candidate{c[i], c[j]}, seed, expectedWait)]
}

// Quickest takes the candidate that is expected to answer first. Unlike
// TwoChoices it looks at all of them, which suits targets at unequal distances.
type Quickest struct{}

// Pick implements Policy.
func (Quickest) Pick(c []Candidate, seed uint64) int { return best(c, seed, expectedWait) }

// Throughput is LB-RLT of Almeida, Cavalcante, Sousa and Machado, "LB-RLT
// Approach for Load Balancing Heterogeneous Storage Nodes": the highest product
// of the last answer's throughput and the number of answers so far.
type Throughput struct{}

// Pick implements Policy.
func (Throughput) Pick(c []Candidate, seed uint64) int {
	return best(c, seed, func(c Candidate) float64 {
		if c.Answers == 0 {
			return -1e18 // sorted first until its throughput is known
		}
		return -float64(c.Answers) / c.Last.Seconds()
	})
}

// best returns the candidate with the lowest cost. The same availability zone
// breaks a tie, then chance.
func best(c []Candidate, seed uint64, cost func(Candidate) float64) int {
	first := int(seed % uint64(len(c)))
	found := first
	for k := 1; k < len(c); k++ {
		i := (first + k) % len(c)
		x, y := cost(c[i]), cost(c[found])
		if x < y || x == y && c[i].SameZone && !c[found].SameZone {
			found = i
		}
	}
	return found
}

// expectedWait estimates the time until a new exchange is answered.
func expectedWait(c Candidate) float64 {
	slots := float64(max(1, c.Slots))
	waves := max(1, float64(c.Outstanding+1)/slots)
	return waves * float64(c.Latency)
}
