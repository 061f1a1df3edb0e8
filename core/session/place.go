package session

import (
	"slices"
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/routing"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// primaryKey is the candidate set of requests that need the primary.
	primaryKey = "\x00primary"
	// admissionMargin is how many times the estimated wait must fit into the
	// queue timeout. Those that are admitted then seldom time out.
	admissionMargin = 2
	// floorTimeout is how long a request waits for positions that may lower
	// its session's first floor.
	floorTimeout = 10 * time.Millisecond
	// tookMargin is how many times the mean time of an answer has to be left for
	// it to come in time: half of them take longer than the mean.
	tookMargin = 2
	// overflowAfter is how long a read waits for a replica of a managed service
	// before the primary may serve it: about as long as a statement takes.
	overflowAfter = 30 * time.Millisecond
	// maxQueue bounds the requests that wait for one candidate set.
	maxQueue = 4096
)

// place decides what a request waits for next and puts it there.
func (s *Shard) place(r *request) {
	s.dirty[r.service.name] = true
	if !r.onPrimary() && !s.sessionFloor(r.session, r.floorDeadline()) {
		s.wait(r, stageFloor)
		return
	}
	if pos, lost := s.lostFloor(r); lost {
		s.refuseLost(r, pos)
		return
	}
	if r.observed.Floored == 0 {
		r.observed.Floored = s.now
	}
	s.enqueue(r)
}

// floorDeadline returns until when the request waits for a lower floor.
func (r *request) floorDeadline() types.Instant {
	return min(r.queueDeadline, r.arrived.Add(floorTimeout))
}

// refuseLost tells a session once that something it has seen is gone. Its
// floor is asked for again.
func (s *Shard) refuseLost(r *request, pos types.LogPos) {
	c := r.session
	c.floor = floor{}
	c.opened = s.now
	s.refuse(r, types.RefuseLostWrite, r.outcome(),
		"a promotion lost position "+pos.String()+", which the session has seen or written")
}

// wait puts a request among those that wait for positions.
func (s *Shard) wait(r *request, st stage) {
	r.stage = st
	r.service.waiting[r] = true
	s.reportWaiting(r.service.name)
	s.armSession(r.session)
}

func (s *Shard) enqueue(r *request) {
	key, candidates := s.candidateSet(r)
	q, ok := r.service.queues[key]
	if !ok {
		q = &queue{candidates: candidates}
		r.service.queues[key] = q
	}
	if reason := s.overload(r, q); reason != "" && !r.admitted {
		s.refuse(r, types.RefuseOverloaded, r.outcome(), reason)
		return
	}
	r.stage, r.key, r.admitted = stageQueued, key, true
	q.push(r, r.service.work(r.profile.Name))
	s.armSession(r.session)
}

// overload returns why the queue can't take the request, or nothing.
func (s *Shard) overload(r *request, q *queue) string {
	if q.len() >= maxQueue {
		return "the queue is full"
	}
	ahead, margin := q.len(), time.Duration(admissionMargin)
	if r.profile.Objective > 0 {
		ahead, margin = q.timely.Len(), 1 // what is late already waits behind it
	}
	wait := s.queueTime(r.service, q, ahead)
	if margin*wait > r.queueDeadline.Sub(s.now) {
		return "the queue would take " + wait.String()
	}
	return ""
}

// queueTime estimates how long a request waits behind as many others.
func (s *Shard) queueTime(svc *service, q *queue, ahead int) time.Duration {
	var perSecond float64
	for _, name := range s.queueTargets(svc, q) {
		t := svc.target(name)
		if took := t.stats.Latency(); took > 0 {
			perSecond += float64(t.pool.Limit()) / took.Seconds()
		}
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

func (s *Shard) unqueue(r *request) {
	r.service.queues[r.key].remove(r)
}

// candidateSet returns the replicas that may serve the request, or the key of
// the primary.
func (s *Shard) candidateSet(r *request) (string, []types.TargetName) {
	if r.onPrimary() {
		return primaryKey, nil
	}
	var names []types.TargetName
	g := s.view.Group(r.service.name)
	if r.service.managed(s.view) {
		names = s.managedReplicas(r, g)
	} else if term := readableTerm(g, r.profile); term != 0 {
		for _, t := range g.Members {
			if s.replicaServes(r, g, t, term) {
				names = append(names, t.Name)
			}
		}
	}
	if len(names) == 0 {
		return primaryKey, nil
	}
	return setKey(names), names
}

func setKey(names []types.TargetName) string {
	parts := make([]string, len(names))
	for i, n := range names {
		parts[i] = string(n)
	}
	return strings.Join(parts, "\x00")
}

// readableTerm returns the term in which replicas may serve reads of the
// profile, or zero. Reads by age go on in the last term that had a primary
// while the next one has none.
func readableTerm(g *types.Group, p types.Profile) types.Term {
	switch {
	case hasPrimary(g):
		return g.TargetTerm()
	case g == nil || p.Freshness != types.FreshAge || g.Phase != types.GroupFencing || len(g.History) == 0:
		return 0
	}
	return g.History[len(g.History)-1].Term
}

// replicaServes reports whether the member is a replica that may serve the
// read now.
func (s *Shard) replicaServes(r *request, g *types.Group, t types.Target, term types.Term) bool {
	if t.Name == g.Primary || t.State != types.TargetActive {
		return false
	}
	h := r.service.health(s.view, t.Name)
	if h.Failing || h.Primary || h.Term != term || !r.service.target(t.Name).pool.Reachable() {
		return false
	}
	if r.profile.Freshness == types.FreshAge && !fresh(h, s.now, r.profile.MaxAge) {
		return false
	}
	return g.History.Covers(h.Pos, r.session.floor.bound(r.profile))
}

// fresh reports whether the target's data is at most maxAge old.
func fresh(h types.TargetHealth, now types.Instant, maxAge time.Duration) bool {
	return h.FreshAt != 0 && now.Sub(h.FreshAt) <= maxAge
}

// queueTargets returns the targets that may serve a queue now.
func (s *Shard) queueTargets(svc *service, q *queue) []types.TargetName {
	if len(q.candidates) > 0 {
		return q.candidates
	}
	g := s.view.Group(svc.name)
	if svc.managed(s.view) {
		return s.leaderTargets(svc, g)
	}
	if g == nil || g.Phase != types.GroupServing || g.Primary == "" || svc.departures.Leaving(g.Primary) {
		return nil
	}
	return []types.TargetName{g.Primary}
}

// dispatch starts the queued requests that a connection is free for, and
// opens connections for those that wait.
func (s *Shard) dispatch(svc *service) {
	for s.leaseLive() || svc.managed(s.view) {
		q, ready := s.nextQueue(svc)
		if q == nil {
			break
		}
		r := q.pop()
		if key, _ := s.candidateSet(r); key != r.key {
			s.enqueue(r)
			continue
		}
		s.start(r, s.choose(svc, ready))
	}
	s.dial(svc)
}

// nextQueue returns the queue whose next request is the first among those with
// a free connection, and the targets that have one.
func (s *Shard) nextQueue(svc *service) (*queue, []types.TargetName) {
	var best *queue
	var bestReady []types.TargetName
	var first *request
	for _, key := range sortedKeys(svc.queues) {
		q := svc.queues[key]
		s.setAside(svc, q)
		r, ok := q.peek()
		if !ok || best != nil && !r.goesBefore(first) {
			continue
		}
		ready := s.readyTargets(svc, q)
		if len(ready) == 0 {
			ready = s.overflow(svc, q, r)
		}
		if len(ready) > 0 {
			best, bestReady, first = q, ready, r
		}
	}
	return best, bestReady
}

// setAside puts late requests of a queue behind the others. Where the targets
// answer steadily they are late for want of room and are refused: others that
// are still in time need the room, and the caller may do better elsewhere.
func (s *Shard) setAside(svc *service, q *queue) {
	took := s.quickest(svc, q)
	if !s.steady(svc, q) {
		q.setAside(s.now, tookMargin*took)
		return
	}
	for _, r := range q.shed(s.now, took) {
		r.entry, r.stage = nil, stageBackoff
		s.refuse(r, types.RefuseOverloaded, r.outcome(), "the targets have more work than they can do in time")
	}
}

// steady reports whether a target of the queue answers steadily.
func (s *Shard) steady(svc *service, q *queue) bool {
	return slices.ContainsFunc(s.queueTargets(svc, q), func(name types.TargetName) bool {
		return svc.target(name).steady(s.now)
	})
}

// goesBefore orders requests of two queues: timely ones first, then by arrival.
func (r *request) goesBefore(o *request) bool {
	if r.late != o.late {
		return o.late
	}
	return r.arrived < o.arrived
}

// quickest returns how long the quickest target of a queue takes to answer.
func (s *Shard) quickest(svc *service, q *queue) time.Duration {
	var least time.Duration
	for _, name := range s.queueTargets(svc, q) {
		if took := svc.target(name).stats.Latency(); took > 0 && (least == 0 || took < least) {
			least = took
		}
	}
	return least
}

func (s *Shard) readyTargets(svc *service, q *queue) []types.TargetName {
	return slices.DeleteFunc(slices.Clone(s.queueTargets(svc, q)), func(n types.TargetName) bool {
		return svc.departures.Leaving(n) || !svc.target(n).pool.Ready()
	})
}

// overflow returns the primary for a read whose replicas have been full for some
// time, if it has room that nothing else waits for.
func (s *Shard) overflow(svc *service, q *queue, r *request) []types.TargetName {
	lead := svc.leader
	if len(q.candidates) == 0 || !lead.leased || !s.leaseLive() || s.now.Sub(r.arrived) < overflowAfter {
		return nil
	}
	if waiting, ok := svc.queues[primaryKey]; ok && waiting.len() > 0 || svc.departures.Leaving(lead.name) {
		return nil
	}
	if t := svc.target(lead.name); !t.pool.Ready() || t.stats.Congested() {
		return nil
	}
	return []types.TargetName{lead.name}
}

// choose applies the routing policy.
func (s *Shard) choose(svc *service, names []types.TargetName) types.TargetName {
	g := s.view.Group(svc.name)
	candidates := make([]routing.Candidate, len(names))
	for i, name := range names {
		t := svc.target(name)
		member, _ := g.Target(name)
		candidates[i] = routing.Candidate{
			Target: name, Outstanding: t.pool.InFlight(), Slots: t.pool.Share().Slots,
			SameZone: member.AvailabilityZone == s.options.AvailabilityZone,
		}
		t.stats.Fill(&candidates[i])
	}
	return names[s.options.Policy.Pick(candidates, s.random())]
}
