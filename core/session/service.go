package session

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/admission"
	"github.com/camphorpaddle/camphorpaddle/core/drain"
	"github.com/camphorpaddle/camphorpaddle/core/freshness"
	"github.com/camphorpaddle/camphorpaddle/core/outlier"
	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/retry"
	"github.com/camphorpaddle/camphorpaddle/core/routing"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// service is the traffic state of one service.
type service struct {
	name           types.ServiceName
	timerKey       uint64 // key of the service's timer
	targets        map[types.TargetName]*target
	queues         map[string]*queue
	waiting        map[*request]bool // requests that are checked again with each view
	departures     drain.Departures
	budget         *retry.Budget
	writing        int          // sessions with a write or a transaction on the primary
	group          *types.Group // group in the last view that was applied
	samples        freshness.Samples
	classes        serviceClasses
	outliers       *outlier.Detector
	statementStats map[types.ProfileName]*routing.Stats // latency of the statements of each profile

	// Of a managed service.
	primary      knownPrimary
	suspectUntil types.Instant   // a failed request makes the primary suspect until then
	silence      silenceDetector // of the primary
}

// target holds what the shard knows about one member of a service.
type target struct {
	pool         *pool.Target
	stats        routing.Stats
	level        admission.Level
	answerHealth types.TargetHealth // status that came with an answer

	caughtUp         bool               // holds every entry that it has held in the term
	catchUpPos       types.LogPos       // position from which it is caught up
	prevProbe        types.TargetHealth // its probe in the last view
	catchUpResetAt   types.Instant      // when it last failed the conditions for catch-up
	probeAtPlacement types.TargetHealth // its probe when the queued requests were last placed

	behind behind // of a managed service

	lastContact         types.Instant // when it last answered anything
	lastSignOfRole      types.Instant // the same without answers that a replaced primary gives as well
	lastRunAt           types.Instant // when it last executed an operation
	steadySince         types.Instant // when it began to answer without a pause
	consecutiveFailures int           // exchanges in a row without an answer
	ejectedUntil        types.Instant // until when it gets no new reads because of them
}

// recordAnswer records that the target executed an operation.
func (t *target) recordAnswer(now types.Instant, latency time.Duration) {
	if now.Sub(t.lastRunAt) > answerPause {
		t.steadySince = now
	}
	t.stats.Age(now.Sub(t.lastRunAt))
	t.lastRunAt = now
	t.consecutiveFailures, t.ejectedUntil = 0, 0
	t.stats.Observe(latency)
}

// steady reports whether the target has answered without a pause for at least
// steadyAfter.
func (t *target) steady(now types.Instant) bool {
	return now.Sub(t.lastRunAt) <= answerPause && now.Sub(t.steadySince) >= steadyAfter
}

// service returns the state of a service. If there is none, it creates it with
// its targets.
func (s *Shard) service(name types.ServiceName) *service {
	svc, ok := s.services[name]
	if !ok {
		svc = &service{
			name: name, timerKey: uint64(len(s.services) + 1),
			targets:        make(map[types.TargetName]*target),
			queues:         make(map[string]*queue),
			waiting:        make(map[*request]bool),
			budget:         retry.NewBudget(),
			outliers:       outlier.NewDetector(),
			statementStats: make(map[types.ProfileName]*routing.Stats),
		}
		s.services[name] = svc
		svc.group = s.view.Group(name)
		s.updatePrimary(svc)
		s.addProbeSample(svc)
		s.updateTargets(svc)
		s.updateCatchUp(svc)
	}
	return svc
}

// queued returns how many requests wait for a connection.
func (svc *service) queued() int {
	n := 0
	for _, q := range svc.queues {
		n += q.len()
	}
	return n
}

// target returns the state of a member, and creates it if there is none.
func (svc *service) target(name types.TargetName) *target {
	t, ok := svc.targets[name]
	if !ok {
		t = &target{pool: pool.NewTarget(types.TargetRef{Service: svc.name, Name: name})}
		svc.targets[name] = t
	}
	return t
}

// statementLatency returns the mean latency of a profile's statements on a
// target, or zero before the first.
func (svc *service) statementLatency(name types.ProfileName) time.Duration {
	if st := svc.statementStats[name]; st != nil {
		return st.Latency()
	}
	return 0
}

// recordLatency records the latency of a statement of a profile.
func (svc *service) recordLatency(name types.ProfileName, latency time.Duration) {
	st := svc.statementStats[name]
	if st == nil {
		st = &routing.Stats{}
		svc.statementStats[name] = st
	}
	st.Observe(latency)
}

// health returns the latest known health of a target: that of its last probe, or
// the status in an answer to a request sent after that probe.
func (svc *service) health(v *types.NodeView, name types.TargetName) types.TargetHealth {
	h := v.Health[types.TargetRef{Service: svc.name, Name: name}]
	t, ok := svc.targets[name]
	switch {
	case !ok:
	case t.answerHealth.ProbedAt > h.ProbedAt:
		h.Term, h.Primary, h.Pos = t.answerHealth.Term, t.answerHealth.Primary, t.answerHealth.Pos
		h.ProbedAt, h.LastContact = t.answerHealth.ProbedAt, t.answerHealth.LastContact
	case t.answerHealth.LastContact >= h.ProbedAt && t.answerHealth.Term == h.Term && t.answerHealth.Pos.Compare(h.Pos) > 0:
		h.Pos = t.answerHealth.Pos // both were in flight at once, and the probe was answered first
	}
	return h
}

// recordHealth records the status that came with an answer.
func (svc *service) recordHealth(name types.TargetName, st types.TargetStatus, sentAt, receivedAt types.Instant) {
	t := svc.target(name)
	if sentAt < t.answerHealth.ProbedAt {
		return
	}
	t.answerHealth = types.TargetHealth{
		Term: st.Term, Primary: st.Primary, Pos: st.Pos, ProbedAt: sentAt, LastContact: receivedAt,
	}
}

// waitingOrNil returns the set of waiting requests. It may be called on the nil
// service of a request that was refused before its service was resolved.
func (svc *service) waitingOrNil() map[*request]bool {
	if svc == nil {
		return nil
	}
	return svc.waiting
}

// waitingInOrder returns the waiting requests in the order of their sessions.
func (svc *service) waitingInOrder() []*request {
	return slices.SortedFunc(maps.Keys(svc.waiting), func(a, b *request) int {
		return cmp.Compare(a.session.id, b.session.id)
	})
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
