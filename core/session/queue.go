package session

import (
	"math"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/admission"
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
	timely     admission.Queue[*request]
	late       admission.Queue[*request]
	candidates []types.TargetName // empty for primaryKey

	// lastShedAt is when it last refused a request of a profile that does not begin
	// a transaction. Without a priority order, all profiles count as one.
	lastShedAt map[types.ProfileName]types.Instant
	returns    map[types.ProfileName]*admission.Returns

	// perFlow says that the first request of each profile and organisation is
	// considered, instead of the first of all.
	perFlow bool
}

func newQueue(candidates []types.TargetName) *queue {
	return &queue{
		candidates: candidates, lastShedAt: make(map[types.ProfileName]types.Instant),
		returns: make(map[types.ProfileName]*admission.Returns),
	}
}

// returnsOf returns when the refused callers of a profile come back.
func (q *queue) returnsOf(p types.ProfileName) *admission.Returns {
	if q.returns[p] == nil {
		q.returns[p] = &admission.Returns{}
	}
	return q.returns[p]
}

// configure applies the order of a configuration.
func (q *queue) configure(c *types.Config) {
	order := admission.OrderWeighted
	if c.PriorityOrder {
		order = admission.OrderPriority
	}
	q.timely.Order, q.late.Order = order, order
	q.perFlow = c.PriorityOrder || len(c.Organisations) > 0
}

func (q *queue) byPriority() bool { return q.timely.Order == admission.OrderPriority }

func (q *queue) len() int { return q.timely.Len() + q.late.Len() }

// push adds a request. cost is its expected latency on a target.
func (q *queue) push(r *request, cost time.Duration) {
	r.cost = max(cost, time.Millisecond).Seconds()
	r.late = false
	r.queueEntry = q.timely.Push(r.admissionClass(), r.organisation, r.cost, r)
}

// pushLate adds a request that has become late.
func (q *queue) pushLate(r *request) {
	r.late = true
	r.queueEntry = q.late.Push(r.admissionClass(), r.organisation, r.cost, r)
}

// deprioritizeLate moves the requests that have become late behind the others.
// latency is the expected latency of an answer.
func (q *queue) deprioritizeLate(now types.Instant, latency time.Duration) {
	for _, r := range q.expire(func(r *request) bool { return r.lateAt(now.Add(latency)) }) {
		q.pushLate(r)
	}
}

// shed removes and returns the requests that are late or about to be. While the
// queue is overloaded, requests that begin a transaction are removed earlier,
// because a transaction is several times the work.
func (q *queue) shed(now types.Instant, latency time.Duration) []*request {
	return append(q.late.Drain(), q.expire(func(r *request) bool {
		shed := now.Add(latency).Sub(r.arrived) > q.waitLimit(r, now)
		if shed && !r.BeginsTx {
			q.lastShedAt[q.shedKey(r)] = now
		}
		return shed
	})...)
}

// waitLimit returns how long a request may have waited at the time of its answer.
func (q *queue) waitLimit(r *request, now types.Instant) time.Duration {
	limit := time.Duration(shedObjectiveFraction * float64(r.profile.Objective))
	if at := q.lastShedAt[q.shedKey(r)]; !q.byPriority() && r.BeginsTx && at != 0 && now.Sub(at) < overloadDuration {
		limit /= beginObjectiveDivisor
	}
	if limit <= 0 {
		return math.MaxInt64
	}
	return limit
}

// shedKey returns the key of the request in lastShedAt.
func (q *queue) shedKey(r *request) types.ProfileName {
	if q.byPriority() {
		return r.profile.Name
	}
	return ""
}

// expire removes and returns timely requests that are expired, for as long as the next
// one is.
func (q *queue) expire(expired func(*request) bool) []*request {
	if q.perFlow {
		return q.timely.Expire(expired)
	}
	var out []*request
	for {
		e, ok := q.timely.Next(anyRequest)
		if !ok || !expired(e.Value) {
			return out
		}
		q.timely.Take(e)
		out = append(out, e.Value)
	}
}

// next returns the next request for which ready returns true, without removing it.
func (q *queue) next(ready func(*request) bool) (*request, bool) {
	if !q.perFlow {
		r, ok := q.first()
		return r, ok && ready(r)
	}
	for _, part := range []*admission.Queue[*request]{&q.timely, &q.late} {
		if e, ok := part.Next(ready); ok {
			return e.Value, true
		}
	}
	return nil, false
}

// first returns the next request without removing it.
func (q *queue) first() (*request, bool) {
	e, ok := q.timely.Next(anyRequest)
	if !ok {
		e, ok = q.late.Next(anyRequest)
	}
	if !ok {
		return nil, false
	}
	return e.Value, true
}

func anyRequest(*request) bool { return true }

// take removes a request that is served now.
func (q *queue) take(r *request) {
	q.part(r).Take(r.queueEntry)
	r.queueEntry = nil
}

// remove removes a request that is not served.
func (q *queue) remove(r *request) {
	q.part(r).Remove(r.queueEntry)
	r.queueEntry = nil
}

// part returns the part of the queue that holds the request.
func (q *queue) part(r *request) *admission.Queue[*request] {
	if r.late {
		return &q.late
	}
	return &q.timely
}

// waiting returns how many requests of each organisation wait, in the order in which their
// first ones are served.
func (q *queue) waiting() []pool.Waiting {
	var out []pool.Waiting
	at := make(map[types.OrganisationName]int)
	add := func(organisation types.OrganisationName, first *request, requests int) {
		i, ok := at[organisation]
		if !ok {
			i = len(out)
			at[organisation] = i
			out = append(out, pool.Waiting{Organisation: organisation, Since: first.arrived})
		}
		out[i].Requests += requests
		out[i].Since = min(out[i].Since, first.arrived)
	}
	q.timely.VisitFlows(add)
	q.late.VisitFlows(add)
	return out
}

// drain removes and returns all requests.
func (q *queue) drain() []*request { return append(q.timely.Drain(), q.late.Drain()...) }

// admissionClass returns what the request competes as in queues.
func (r *request) admissionClass() admission.Class {
	return admission.Class{Profile: r.profile.Name, Priority: r.profile.Priority, Weight: r.profile.Weight}
}

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
