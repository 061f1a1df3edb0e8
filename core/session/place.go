package session

import (
	"slices"
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// primaryKey is the candidate set of requests that need the primary.
	primaryKey = "\x00primary"
	// floorTimeout is how long a request waits for positions that may lower
	// its session's first floor. A lower floor lets more replicas serve it.
	floorTimeout = 10 * time.Millisecond
)

// place moves a request to its next waiting stage: for the session's floor, or
// in a queue for a connection.
func (s *Shard) place(r *request) {
	s.dirty[r.service.name] = true
	if !r.needsPrimary() && !s.ensureFloor(r.session, r.floorDeadline()) {
		s.awaitView(r, stageFloor)
		return
	}
	if pos, lost := s.lostPosition(r); lost {
		s.refuseLost(r, pos)
		return
	}
	if r.observed.FloorKnownAt == 0 {
		r.observed.FloorKnownAt = s.now
	}
	if s.lacksLease(r) {
		s.awaitLease(r)
		return
	}
	s.enqueue(r)
}

// floorDeadline returns until when the request waits for a lower floor.
func (r *request) floorDeadline() types.Instant {
	return min(r.queueDeadline, r.arrived.Add(floorTimeout))
}

// refuseLost refuses one request because a promotion lost a position that the
// session has seen. The session then gets a new floor. That of a managed service is
// what is left of the session's log, since no other floor is determined for it.
func (s *Shard) refuseLost(r *request, pos types.LogPos) {
	c := r.session
	c.floor = floor{}
	if g := s.view.Group(r.service.name); r.service.managed(s.view) {
		c.floor = newFloor(g.History.Surviving(pos, g.TargetTerm()))
	}
	c.openedAt = s.now
	s.refuse(r, types.RefuseLostWrite, r.outcome(),
		"a promotion lost position "+pos.String()+", which the session has read or written")
}

// awaitView adds a request to those that are checked again with each new view. They wait
// for positions of members or, in a managed service, for a lease.
func (s *Shard) awaitView(r *request, st stage) {
	r.stage = st
	r.service.waiting[r] = true
	if !r.service.managed(s.view) {
		s.reportWaiting(r.service.name)
	}
	s.armSessionTimer(r.session)
}

// enqueue puts a request into the queue of its candidate set, or refuses it if
// the queue is overloaded. A request that was admitted once is not refused here.
func (s *Shard) enqueue(r *request) {
	key, candidates := s.candidateSet(r)
	q, ok := r.service.queues[key]
	if !ok {
		q = newQueue(candidates)
		r.service.queues[key] = q
	}
	q.configure(s.view.Cluster.Config)
	if reason := s.overloadReason(r, q); reason != "" && !r.admitted {
		s.refuseOverloaded(r, q, "", reason)
		return
	}
	if !s.admitByPriority(r, q) {
		return
	}
	r.stage, r.queueKey, r.admitted = stageQueued, key, true
	q.push(r, r.service.statementLatency(r.profile.Name))
	s.armSessionTimer(r.session)
}

func (s *Shard) dequeue(r *request) {
	r.service.queues[r.queueKey].remove(r)
}

// candidateSet returns the replicas that may serve the request and their key,
// or primaryKey if there are none.
func (s *Shard) candidateSet(r *request) (string, []types.TargetName) {
	if r.needsPrimary() {
		return primaryKey, nil
	}
	var names []types.TargetName
	g := s.view.Group(r.service.name)
	if r.service.managed(s.view) {
		names = s.managedReplicas(r, g)
	} else if term := readableTerm(g, r.profile); term != 0 {
		for _, t := range g.Members {
			if s.replicaEligible(r, g, t, term) {
				names = append(names, t.Name)
			}
		}
	}
	if len(names) == 0 {
		return primaryKey, nil
	}
	return candidateKey(names), names
}

func candidateKey(names []types.TargetName) string {
	parts := make([]string, len(names))
	for i, n := range names {
		parts[i] = string(n)
	}
	return strings.Join(parts, "\x00")
}

// readableTerm returns the term in which replicas may serve reads of the
// profile, or zero. Reads bounded by age continue in the last term that had a
// primary while the next one has none.
func readableTerm(g *types.Group, p types.Profile) types.Term {
	switch {
	case hasPrimary(g):
		return g.TargetTerm()
	case g == nil || p.Freshness != types.FreshAge || g.Phase != types.GroupFencing || len(g.History) == 0:
		return 0
	}
	return g.History[len(g.History)-1].Term
}

// replicaEligible reports whether the member is a replica that may serve the
// read now.
func (s *Shard) replicaEligible(r *request, g *types.Group, t types.Target, term types.Term) bool {
	if t.Name == g.Primary || t.State != types.TargetActive {
		return false
	}
	h := r.service.health(s.view, t.Name)
	if h.Failing || h.Primary || h.Term != term || !r.service.target(t.Name).pool.Reachable(s.now) {
		return false
	}
	if r.profile.Freshness == types.FreshAge && !fresh(h, s.now, r.profile.MaxAge) {
		return false
	}
	return g.History.Covers(h.Pos, r.session.floor.required(r.profile))
}

// fresh reports whether the target's data is at most maxAge old.
func fresh(h types.TargetHealth, now types.Instant, maxAge time.Duration) bool {
	return h.FreshAt != 0 && now.Sub(h.FreshAt) <= maxAge
}

// queueTargets returns the targets that may serve the requests of a queue now.
func (s *Shard) queueTargets(svc *service, q *queue) []types.TargetName {
	if len(q.candidates) > 0 {
		return q.candidates
	}
	g := s.view.Group(svc.name)
	if svc.managed(s.view) {
		return s.primaryTargets(svc, g)
	}
	if g == nil || g.Phase != types.GroupServing || g.Primary == "" || svc.departures.Leaving(g.Primary) {
		return nil
	}
	return []types.TargetName{g.Primary}
}

// dispatch starts the queued requests for which a connection is free, and opens
// connections for the rest.
func (s *Shard) dispatch(svc *service) {
	s.startReady(svc)
	if s.dial(svc) {
		s.startReady(svc) // those that waited behind a request that has its connection now
	}
}

// startReady starts the queued requests for which a connection is free.
func (s *Shard) startReady(svc *service) {
	for s.leaseLive() || svc.managed(s.view) {
		r, ready := s.nextRequest(svc)
		if r == nil {
			return
		}
		svc.queues[r.queueKey].take(r)
		if key, _ := s.candidateSet(r); key != r.queueKey {
			s.enqueue(r)
			continue
		}
		if s.lacksLease(r) {
			s.awaitLease(r)
			continue
		}
		s.start(r, s.pickTarget(svc, ready))
	}
}

// nextRequest returns the request that goes first among those of all queues that have a
// free connection, and the targets that have it.
func (s *Shard) nextRequest(svc *service) (*request, []types.TargetName) {
	var first *request
	var bestReady []types.TargetName
	for _, key := range sortedKeys(svc.queues) {
		q := svc.queues[key]
		s.deprioritizeLate(svc, q)
		r, ready := s.nextOfQueue(svc, q)
		if r != nil && (first == nil || r.precedes(first)) {
			first, bestReady = r, ready
		}
	}
	return first, bestReady
}

// nextOfQueue returns the request of a queue that goes first among those with a free
// connection, and the targets that have it. None goes before a request that waits for a
// connection to be closed for it.
func (s *Shard) nextOfQueue(svc *service, q *queue) (*request, []types.TargetName) {
	var ready []types.TargetName
	r, _ := q.next(func(r *request) bool {
		ready = s.readyTargets(svc, q, r)
		if len(ready) == 0 {
			ready = s.overflowTarget(svc, q, r)
		}
		return len(ready) > 0 || s.starved(svc, q, r)
	})
	if len(ready) == 0 {
		return nil, nil
	}
	return r, ready
}

// starved reports whether a request has been overtaken for too long: no target opens a
// connection for it while those of other organisations are used again.
func (s *Shard) starved(svc *service, q *queue, r *request) bool {
	if !r.overdue(s.now) {
		return false
	}
	targets := s.queueTargets(svc, q)
	return len(targets) > 0 && !slices.ContainsFunc(targets, func(n types.TargetName) bool {
		return svc.departures.Leaving(n) || !svc.target(n).pool.Starved(r.organisation, s.now)
	})
}

// overdue reports whether others may no longer go before the request.
func (r *request) overdue(now types.Instant) bool { return now.Sub(r.arrived) >= pool.Turn }

// precedes orders the heads of two queues: timely requests first, then by
// arrival.
func (r *request) precedes(o *request) bool {
	if r.late != o.late {
		return o.late
	}
	return r.arrived < o.arrived
}

// readyTargets returns the targets of a queue that can start a request of it now.
func (s *Shard) readyTargets(svc *service, q *queue, r *request) []types.TargetName {
	return slices.DeleteFunc(slices.Clone(s.queueTargets(svc, q)), func(n types.TargetName) bool {
		return svc.departures.Leaving(n) || !svc.target(n).pool.Ready(r.organisation)
	})
}
