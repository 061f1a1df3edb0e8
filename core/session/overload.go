package session

import (
	"fmt"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// admissionMargin is how many times the estimated wait must fit into the
	// queue timeout, so that admitted requests rarely time out.
	admissionMargin = 2
	// latencyMargin is how many times the mean latency must be left for an answer
	// to be expected in time: half of the answers take longer than the mean.
	latencyMargin = 2
	// overflowAfter is how long a read waits for a replica of a managed service
	// before the primary may serve it: about the time of one statement.
	overflowAfter = 30 * time.Millisecond
	// returnObjectiveDivisor divides a profile's objective into the time within which
	// refused callers are told to come back, so that they can still be served in time.
	// Those of profiles without an objective come back within defaultReturnLimit.
	returnObjectiveDivisor = 2
	defaultReturnLimit     = time.Second
	// maxQueueLength bounds the requests that wait for one candidate set, and so
	// their memory.
	maxQueueLength = 4096
	// maxOrganisationQueueLength bounds those of one organisation, so that others
	// find the queue open.
	maxOrganisationQueueLength = maxQueueLength / 8
)

// overloadReason returns why the queue can't accept the request, or "".
func (s *Shard) overloadReason(r *request, q *queue) string {
	if q.len() >= maxQueueLength {
		return "the queue is full"
	}
	if r.organisation != "" && q.timely.Waiting(r.organisation) >= maxOrganisationQueueLength {
		return fmt.Sprintf("%d requests of the organisation wait", maxOrganisationQueueLength)
	}
	ahead, margin := q.len(), time.Duration(admissionMargin)
	if r.profile.Objective > 0 {
		ahead, margin = q.timely.Ahead(r.admissionClass(), r.organisation), 1 // late requests are queued behind it
	}
	wait := s.expectedWait(r.service, q, ahead)
	if margin*wait > r.queueDeadline.Sub(s.now) {
		return "the queue would take " + wait.String()
	}
	return ""
}

// refuseOverloaded refuses a request that can't be served in time, and tells its
// caller when to come back.
func (s *Shard) refuseOverloaded(r *request, q *queue, cause effect.Cause, reason string) {
	ref := refusal(types.RefuseOverloaded, r.outcome(), reason)
	if q.byPriority() {
		limit := orDefault(r.profile.Objective/returnObjectiveDivisor, defaultReturnLimit)
		ref.RetryAfter = q.returnsOf(r.profile.Name).After(s.now, s.serviceRate(r.service, q), limit)
	}
	s.refuseWith(r, ref, cause)
}

// expectedWait estimates how long a request waits if ahead others are queued
// before it.
func (s *Shard) expectedWait(svc *service, q *queue, ahead int) time.Duration {
	perSecond := s.serviceRate(svc, q)
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// serviceRate estimates how many requests of the queue this proxy serves in a second,
// or returns zero if it is not known.
func (s *Shard) serviceRate(svc *service, q *queue) float64 {
	var perSecond float64
	for _, name := range s.queueTargets(svc, q) {
		t := svc.target(name)
		if latency := t.stats.Latency(); latency > 0 {
			perSecond += float64(t.pool.Limit()) / latency.Seconds()
		}
	}
	return perSecond
}

// deprioritizeLate moves late requests of a queue behind the others. If a target
// answers steadily, they are late because of missing capacity and are refused:
// requests that can still be answered in time need that capacity, and the caller
// may be served faster elsewhere.
func (s *Shard) deprioritizeLate(svc *service, q *queue) {
	latency := s.lowestLatency(svc, q)
	if !s.steady(svc, q) {
		q.deprioritizeLate(s.now, latencyMargin*latency)
		return
	}
	for _, r := range q.shed(s.now, latency) {
		r.queueEntry, r.stage = nil, stageBackoff
		s.refuseOverloaded(r, q, "", "the targets have more work than they can do in time")
	}
}

// steady reports whether a target of the queue answers steadily.
func (s *Shard) steady(svc *service, q *queue) bool {
	return slices.ContainsFunc(s.queueTargets(svc, q), func(name types.TargetName) bool {
		return svc.target(name).steady(s.now)
	})
}

// overflowTarget returns the primary for a read that has waited overflowAfter for
// replicas without capacity, if the primary has capacity and no requests are
// queued for it.
func (s *Shard) overflowTarget(svc *service, q *queue, r *request) []types.TargetName {
	primary := svc.primary
	if len(q.candidates) == 0 || !primary.leased || !s.leaseLive() || s.now.Sub(r.arrived) < overflowAfter {
		return nil
	}
	if waiting, ok := svc.queues[primaryKey]; ok && waiting.len() > 0 || svc.departures.Leaving(primary.name) {
		return nil
	}
	if t := svc.target(primary.name); !t.pool.Ready(r.organisation) || t.stats.Congested() {
		return nil
	}
	return []types.TargetName{primary.name}
}

// lowestLatency returns the lowest mean latency of a queue's targets, or zero if
// none is known.
func (s *Shard) lowestLatency(svc *service, q *queue) time.Duration {
	var lowest time.Duration
	for _, name := range s.queueTargets(svc, q) {
		if latency := svc.target(name).stats.Latency(); latency > 0 && (lowest == 0 || latency < lowest) {
			lowest = latency
		}
	}
	return lowest
}
