package session

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// beginObjectiveDivisor is the part of its profile's objective that the beginning of a
// transaction may use up: its statements, three and more, come after it.
const beginObjectiveDivisor = 4

// Bounds of what an overloaded queue refuses.
const (
	// steadyAfter is how long a target has to answer without a pause before
	// what waits for it too long does so for want of room. What a pause has
	// held up is served late rather than refused: 1.5 s without service are made
	// up for within that time where the targets can carry the load.
	steadyAfter = 3 * time.Second
	// answerPause is the least time without an answer that counts as a pause.
	answerPause = time.Second
	// shedObjectiveFraction is the part of its objective after which a request that waits
	// for a steady target is refused. docs/design/overload.md compares it with
	// others.
	shedObjectiveFraction = 0.45
	// overloadDuration is how long a refusal shows that work has to be left undone.
	// Chosen, not measured on its own.
	overloadDuration = 4 * time.Second
)

// queue holds the requests that wait for one candidate set. Those that can
// still be answered within their objective go before those that can't: under
// overload the targets then work on answers that come in time, instead of on
// ones that are all late.
type queue struct {
	timely     pool.Queue[*request]
	late       pool.Queue[*request]
	candidates []types.TargetName // empty for primaryKey
	lastShedAt types.Instant      // when a request without a transaction was refused last
}

func (q *queue) len() int { return q.timely.Len() + q.late.Len() }

// push adds a request. cost is the work that it is expected to be.
func (q *queue) push(r *request, cost time.Duration) {
	r.cost = max(cost, time.Millisecond).Seconds()
	r.late = false
	r.queueEntry = q.timely.Push(r.profile.Name, r.profile.Weight, r.cost, r)
}

// deprioritizeLate moves the requests that have become late behind the others. took is
// how long an answer is expected to take.
func (q *queue) deprioritizeLate(now types.Instant, took time.Duration) {
	for {
		r, ok := q.timely.Peek()
		if !ok || !r.lateAt(now.Add(took)) {
			return
		}
		q.timely.Pop()
		r.late = true
		r.queueEntry = q.late.Push(r.profile.Name, r.profile.Weight, r.cost, r)
	}
}

// shed takes out the requests that are late or about to be. Those that begin a
// transaction, which takes several times the work, go first: as soon as others
// had to be refused lately.
func (q *queue) shed(now types.Instant, took time.Duration) []*request {
	shed := q.late.Drain()
	for {
		r, ok := q.timely.Peek()
		if !ok {
			return shed
		}
		waits := now.Add(took).Sub(r.arrived)
		limit := time.Duration(shedObjectiveFraction * float64(r.profile.Objective))
		if r.Begins && q.lastShedAt != 0 && now.Sub(q.lastShedAt) < overloadDuration {
			limit /= beginObjectiveDivisor
		}
		if limit <= 0 || waits <= limit {
			return shed
		}
		if !r.Begins {
			q.lastShedAt = now
		}
		q.timely.Pop()
		shed = append(shed, r)
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

// drain takes out all requests.
func (q *queue) drain() []*request { return append(q.timely.Drain(), q.late.Drain()...) }

// lateAt reports whether an answer at that instant misses the objective.
func (r *request) lateAt(at types.Instant) bool {
	objective := r.startObjective()
	return objective > 0 && at > r.arrived.Add(objective)
}

// startObjective returns the part of the profile's objective that the request
// may use up, or zero.
func (r *request) startObjective() time.Duration {
	if r.Begins {
		return r.profile.Objective / beginObjectiveDivisor
	}
	return max(0, r.profile.Objective)
}
