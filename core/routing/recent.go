package routing

// RecentLatency picks the candidate with the lowest expected latency like LowestLatency, but
// trusts what it knows of a queue the less the older it is. A proxy that gets few answers
// would otherwise avoid a target for long after its queue is gone.
type RecentLatency struct{}

// Pick implements Policy.
func (RecentLatency) Pick(c []Candidate, seed uint64) int {
	return lowestCost(c, seed, func(c Candidate) float64 {
		c.Latency = c.RecentLatency
		return expectedLatency(c)
	})
}
