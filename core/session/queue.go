package session

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// beginObjectiveDivisor divides a profile's objective into the part that the
// beginning of a transaction may use; three or more statements follow it.
const beginObjectiveDivisor = 4

// Limits that decide which requests an overloaded queue refuses.
const (
	// steadyAfter is how long a target must have answered without a pause before
	// requests that wait too long count as late because of missing capacity.
	// Requests delayed by a pause are served late rather than refused: targets
	// that can carry the load clear the backlog of 1.5 s without service within
	// this time.
	steadyAfter = 3 * time.Second
	// answerPause is the shortest time without an answer that counts as a pause.
	answerPause = time.Second
	// shedObjectiveFraction is the fraction of its objective after which a request
	// that waits for a steady target is refused. docs/design/overload.md compares
	// it with others.
	shedObjectiveFraction = 0.45
	// overloadDuration is how long a queue counts as overloaded after it has
	// refused a request that does not begin a transaction.
	overloadDuration = 4 * time.Second
)

// queue holds the requests that wait for one candidate set. Requests that can
// still be answered within their objective go before those that can't, so that
// under overload the targets produce some answers in time instead of only late
// ones.
type queue struct {
	timely     pool.Queue[*request]
	late       pool.Queue[*request]
	candidates []types.TargetName // empty for primaryKey
	lastShedAt types.Instant      // when it last refused a request that does not begin a transaction
}

func (q *queue) len() int { return q.timely.Len() + q.late.Len() }

// push adds a request. cost is its expected latency on a target.
func (q *queue) push(r *request, cost time.Duration) {
	r.cost = max(cost, time.Millisecond).Seconds()
	r.late = false
	r.queueEntry = q.timely.Push(r.profile.Name, r.profile.Weight, r.cost, r)
}

// deprioritizeLate moves the requests that have become late behind the others.
// latency is the expected latency of an answer.
func (q *queue) deprioritizeLate(now types.Instant, latency time.Duration) {
	for {
		r, ok := q.timely.Peek()
		if !ok || !r.lateAt(now.Add(latency)) {
			return
		}
		q.timely.Pop()
		r.late = true
		r.queueEntry = q.late.Push(r.profile.Name, r.profile.Weight, r.cost, r)
	}
}

// shed removes and returns the requests that are late or about to be. While the
// queue is overloaded, requests that begin a transaction are removed earlier,
// because a transaction is several times the work.
func (q *queue) shed(now types.Instant, latency time.Duration) []*request {
	shed := q.late.Drain()
	for {
		r, ok := q.timely.Peek()
		if !ok {
			return shed
		}
		wait := now.Add(latency).Sub(r.arrived)
		limit := time.Duration(shedObjectiveFraction * float64(r.profile.Objective))
		if r.BeginsTx && q.lastShedAt != 0 && now.Sub(q.lastShedAt) < overloadDuration {
			limit /= beginObjectiveDivisor
		}
		if limit <= 0 || wait <= limit {
			return shed
		}
		if !r.BeginsTx {
			q.lastShedAt = now
		}
		q.timely.Pop()
		shed = append(shed, r)
	}
}

// peek returns the next request without removing it.
func (q *queue) peek() (*request, bool) {
	if r, ok := q.timely.Peek(); ok {
		return r, true
	}
	return q.late.Peek()
}

// pop removes and returns the next request.
func (q *queue) pop() *request {
	r, ok := q.timely.Pop()
	if !ok {
		r, _ = q.late.Pop()
	}
	r.queueEntry = nil
	return r
}

func (q *queue) remove(r *request) {
	if r.late {
		q.late.Remove(r.profile.Name, r.queueEntry)
	} else {
		q.timely.Remove(r.profile.Name, r.queueEntry)
	}
	r.queueEntry = nil
}

// drain removes and returns all requests.
func (q *queue) drain() []*request { return append(q.timely.Drain(), q.late.Drain()...) }

// lateAt reports whether an answer at the instant misses the objective.
func (r *request) lateAt(at types.Instant) bool {
	objective := r.startObjective()
	return objective > 0 && at > r.arrived.Add(objective)
}

// startObjective returns the part of the profile's objective that the request
// may use, or zero if it has none.
func (r *request) startObjective() time.Duration {
	if r.BeginsTx {
		return r.profile.Objective / beginObjectiveDivisor
	}
	return max(0, r.profile.Objective)
}
