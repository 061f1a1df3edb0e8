package session

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// beginShare is the part of its profile's objective that the beginning of a
// transaction may use up: its statements come after it.
const beginShare = 4

// queue holds the requests that wait for one candidate set. Those that can
// still be answered within their objective go before those that can't: under
// overload the targets then work on answers that come in time, instead of on
// ones that are all late.
type queue struct {
	timely     pool.Queue[*request]
	late       pool.Queue[*request]
	candidates []types.TargetName // empty for primaryKey
}

func (q *queue) len() int { return q.timely.Len() + q.late.Len() }

// push adds a request. cost is the work that it is expected to be.
func (q *queue) push(r *request, cost time.Duration) {
	r.cost = max(cost, time.Millisecond).Seconds()
	r.late = false
	r.entry = q.timely.Push(r.profile.Name, r.profile.Weight, r.cost, r)
}

// setAside moves the requests that have become late behind the others. took is
// how long an answer is expected to take.
func (q *queue) setAside(now types.Instant, took time.Duration) {
	for {
		r, ok := q.timely.Peek()
		if !ok || !r.lateAt(now.Add(took)) {
			return
		}
		q.timely.Pop()
		r.late = true
		r.entry = q.late.Push(r.profile.Name, r.profile.Weight, r.cost, r)
	}
}

// peek returns the next request.
func (q *queue) peek() (*request, bool) {
	if r, ok := q.timely.Peek(); ok {
		return r, true
	}
	return q.late.Peek()
}

// pop takes out the next request.
func (q *queue) pop() *request {
	r, ok := q.timely.Pop()
	if !ok {
		r, _ = q.late.Pop()
	}
	r.entry = nil
	return r
}

func (q *queue) remove(r *request) {
	if r.late {
		q.late.Remove(r.profile.Name, r.entry)
	} else {
		q.timely.Remove(r.profile.Name, r.entry)
	}
	r.entry = nil
}

// drain takes out all requests.
func (q *queue) drain() []*request { return append(q.timely.Drain(), q.late.Drain()...) }

// lateAt reports whether an answer at that instant misses the objective.
func (r *request) lateAt(at types.Instant) bool {
	objective := r.profile.Objective
	if objective <= 0 {
		return false
	}
	if r.Begins {
		objective /= beginShare
	}
	return at > r.arrived.Add(objective)
}
