package session

import (
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// admissionMargin is how many times the estimated wait must fit into the
	// queue timeout. Those that are admitted then seldom time out.
	admissionMargin = 2
	// latencyMargin is how many times the mean time of an answer has to be left for
	// it to come in time: half of them take longer than the mean.
	latencyMargin = 2
	// overflowAfter is how long a read waits for a replica of a managed service
	// before the primary may serve it: about as long as a statement takes.
	overflowAfter = 30 * time.Millisecond
	// maxQueueLength bounds the requests that wait for one candidate set, and so the
	// memory that they take. Chosen, not measured.
	maxQueueLength = 4096
)

// overloadReason returns why the queue can't take the request, or nothing.
func (s *Shard) overloadReason(r *request, q *queue) string {
	if q.len() >= maxQueueLength {
		return "the queue is full"
	}
	ahead, margin := q.len(), time.Duration(admissionMargin)
	if r.profile.Objective > 0 {
		ahead, margin = q.timely.Len(), 1 // what is late already waits behind it
	}
	wait := s.expectedWait(r.service, q, ahead)
	if margin*wait > r.queueDeadline.Sub(s.now) {
		return "the queue would take " + wait.String()
	}
	return ""
}

// expectedWait estimates how long a request waits behind as many others.
func (s *Shard) expectedWait(svc *service, q *queue, ahead int) time.Duration {
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

// deprioritizeLate puts late requests of a queue behind the others. Where the targets
// answer steadily they are late for want of room and are refused: others that
// are still in time need the room, and the caller may do better elsewhere.
func (s *Shard) deprioritizeLate(svc *service, q *queue) {
	took := s.lowestLatency(svc, q)
	if !s.steady(svc, q) {
		q.deprioritizeLate(s.now, latencyMargin*took)
		return
	}
	for _, r := range q.shed(s.now, took) {
		r.queueEntry, r.stage = nil, stageBackoff
		s.refuse(r, types.RefuseOverloaded, r.outcome(), "the targets have more work than they can do in time")
	}
}

// steady reports whether a target of the queue answers steadily.
func (s *Shard) steady(svc *service, q *queue) bool {
	return slices.ContainsFunc(s.queueTargets(svc, q), func(name types.TargetName) bool {
		return svc.target(name).steady(s.now)
	})
}

// overflowTarget returns the primary for a read whose replicas have been full for some
// time, if it has room that nothing else waits for.
func (s *Shard) overflowTarget(svc *service, q *queue, r *request) []types.TargetName {
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

// lowestLatency returns how long the lowestLatency target of a queue takes to answer.
func (s *Shard) lowestLatency(svc *service, q *queue) time.Duration {
	var least time.Duration
	for _, name := range s.queueTargets(svc, q) {
		if took := svc.target(name).stats.Latency(); took > 0 && (least == 0 || took < least) {
			least = took
		}
	}
	return least
}
