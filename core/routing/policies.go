package routing

import "math/rand/v2"

// RoundRobin picks the candidates in turn.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (p *RoundRobin) Pick(c []Candidate, _ uint64) int {
	p.next++
	return p.next % len(c)
}

// LeastOutstanding picks the candidate with the fewest outstanding exchanges. Ties
// are broken in favour of the proxy's availability zone, then at random.
type LeastOutstanding struct{}

// Pick implements Policy.
func (LeastOutstanding) Pick(c []Candidate, seed uint64) int {
	return lowestCost(c, seed, func(c Candidate) float64 { return float64(c.Outstanding) })
}

// TwoChoices is the power of two random choices: of two random candidates it picks
// the one with the lower expected latency, given its outstanding exchanges and its
// average latency.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(c []Candidate, seed uint64) int {
	if len(c) == 1 {
		return 0
	}
	r := rand.New(rand.NewPCG(seed, uint64(len(c))))
	i := r.IntN(len(c))
	j := (i + 1 + r.IntN(len(c)-1)) % len(c)
	return []int{i, j}[lowestCost([]Candidate{c[i], c[j]}, seed, expectedLatency)]
}

// LowestLatency picks the candidate with the lowest expected latency. Unlike TwoChoices
// it compares all of them, which suits targets with unequal network latency.
type LowestLatency struct{}

// Pick implements Policy.
func (LowestLatency) Pick(c []Candidate, seed uint64) int {
	return lowestCost(c, seed, expectedLatency)
}

// Throughput implements LB-RLT of Almeida, Cavalcante, Sousa and Machado, "LB-RLT
// Approach for Load Balancing Heterogeneous Storage Nodes". It picks the candidate
// with the highest product of the last answer's throughput and the number of answers.
type Throughput struct{}

// Pick implements Policy.
func (Throughput) Pick(c []Candidate, seed uint64) int {
	return lowestCost(c, seed, func(c Candidate) float64 {
		if c.Answers == 0 {
			return -1e18 // preferred until its throughput is known
		}
		return -float64(c.Answers) / c.LastLatency.Seconds()
	})
}

// lowestCost returns the index of the candidate with the lowest cost. Ties are broken
// in favour of the proxy's availability zone, then at random.
func lowestCost(c []Candidate, seed uint64, cost func(Candidate) float64) int {
	first := int(seed % uint64(len(c)))
	lowest := first
	for k := 1; k < len(c); k++ {
		i := (first + k) % len(c)
		x, y := cost(c[i]), cost(c[lowest])
		if x < y || x == y && c[i].SameZone && !c[lowest].SameZone {
			lowest = i
		}
	}
	return lowest
}

// expectedLatency estimates the latency of a new exchange, queueing included.
func expectedLatency(c Candidate) float64 {
	slots := float64(max(1, c.Slots))
	rounds := max(1, float64(c.Outstanding+1)/slots)
	return rounds * float64(c.Latency)
}
