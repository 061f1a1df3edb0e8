package pool

import "github.com/camphorpaddle/camphorpaddle/core/types"

// Visit calls visit for the values in the order in which Pop would return them, until it
// returns false.
func (q *Queue[T]) Visit(visit func(T) bool) {
	next := make([]int, len(q.profileQueues))
	tags := make([]float64, len(q.profileQueues))
	for i, l := range q.profileQueues {
		tags[i] = l.startTag
	}
	for {
		best := -1
		for i, l := range q.profileQueues {
			for next[i] < len(l.entries) && l.entries[next[i]].removed {
				next[i]++
			}
			if next[i] < len(l.entries) && (best < 0 || tags[i] < tags[best]) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		l := q.profileQueues[best]
		e := l.entries[next[best]]
		next[best]++
		tags[best] += e.cost / float64(l.weight)
		if !visit(e.Value) {
			return
		}
	}
}

// Take removes an entry that is still queued and charges its profile for it, as Pop does
// for the first one.
func (q *Queue[T]) Take(profile types.ProfileName, e *Entry[T]) {
	l := q.profileQueue(profile)
	q.virtualTime = max(q.virtualTime, l.startTag)
	q.Remove(profile, e)
	l.startTag += e.cost / float64(l.weight)
}
