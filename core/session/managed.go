package session

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/retry"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// behindDuration is how long a replica that lacked a position gets no reads
	// that need it, unless it reports the position earlier. It is short compared
	// with the maximum ages of profiles, which are seconds.
	behindDuration = 100 * time.Millisecond
	// rejectionDoublings is how many times the backoff after a first rejection is
	// already doubled, to at most 20 ms: a target without capacity has some again
	// when a statement ends, and a statement takes 33 ms.
	rejectionDoublings = 2
)

// behind records the position that a replica lacked when it last rejected a
// read, and until when it gets no reads that need it.
type behind struct {
	floor types.LogPos
	until types.Instant
}

// managed reports whether the service is a managed service: one whose targets
// are promoted by an external promotion service, refuse writes once they are
// replaced, and check floors themselves.
func (s *Shard) managed(name types.ServiceName) bool {
	return s.view != nil && s.view.Cluster != nil && s.view.Cluster.Config.Managed(name)
}

func (svc *service) managed(v *types.NodeView) bool {
	return v.Cluster.Config.Managed(svc.name)
}

// selfFenced reports whether the service's targets refuse what only the primary may do
// once they are replaced.
func (svc *service) selfFenced(v *types.NodeView) bool {
	return v.Cluster.Config.SelfFenced(svc.name)
}

// needsLease reports whether the request may only be sent, and its answer be used, under
// a lease that rules out another primary.
func (s *Shard) needsLease(r *request) bool {
	if r.service.managed(s.view) {
		return !r.replica && !r.service.selfFenced(s.view)
	}
	return true
}

// underLease reports whether a lease rules out that the request's target was replaced.
func (s *Shard) underLease(r *request) bool {
	p := r.service.primary
	return s.leaseLive() && (!r.service.managed(s.view) || p.leased && p.name == r.target)
}

// needsFence reports whether a replaced primary that is unaware of it might
// answer the request and no lease rules that out. A transaction on the primary
// always begins with a statement that a replaced primary refuses.
func (s *Shard) needsFence(r *request) bool {
	if !r.service.managed(s.view) || r.replica || r.inTx || r.Fenced {
		return false
	}
	return r.BeginsTx || !r.service.primary.leased || !s.leaseLive()
}

// fenceDone sends a read once the primary has shown that it still is the
// primary. For the beginning of a transaction the fence itself is the answer.
func (s *Shard) fenceDone(r *request, res types.Result) {
	switch {
	case s.handleRejection(r, res):
	case !begun(res):
		s.beginFailed(r, res)
	case r.BeginsTx:
		r.answer = types.Answer{Payload: res.Payload, Tx: res.Tx}
		s.bindOrReleaseConn(r, res.Tx)
		s.acknowledge(r)
	default:
		s.send(r, stepFenced)
	}
}

// fencedDone handles the answer to a read within the proxy's own transaction.
func (s *Shard) fencedDone(r *request, results []types.Result) {
	res, end := results[0], results[1]
	if !executed(res) || end.Tx != types.TxIdle {
		s.attemptFailed(r, false, types.RefuseReplaced, fmt.Sprintf("target %s did not complete the transaction of a read", r.target))
		return
	}
	r.answer = types.Answer{Payload: res.Payload, Tx: end.Tx}
	s.bindOrReleaseConn(r, end.Tx)
	s.acknowledge(r)
}

// sendDeadline returns the instant from which the request must not be sent any
// more, or zero: the end of the lease that rules out another primary.
func (s *Shard) sendDeadline(r *request) types.Instant {
	switch {
	case !r.service.managed(s.view) || r.replica:
		return 0
	case r.service.selfFenced(s.view) && (r.inTx || r.Fenced || r.step != stepCaller):
		return 0
	}
	return s.view.LeaseUntil
}

// readFloor returns the position that a replica must hold for a read that is
// bounded by age: what the primary held the maximum age before the request
// arrived, and the session's own writes. It reports false if no such position
// of the primary is known; then only the primary can serve the read.
func (s *Shard) readFloor(r *request, g *types.Group) (types.LogPos, bool) {
	if g == nil || r.profile.Freshness != types.FreshAge {
		return types.LogPos{}, false
	}
	pos, ok := r.service.samples.Floor(r.arrived.Add(-r.profile.MaxAge))
	if required := r.session.floor.required(r.profile); required.Compare(pos) > 0 {
		pos = required
	}
	return pos, ok
}

// managedReplicas returns the replicas that may hold the floor of the read.
func (s *Shard) managedReplicas(r *request, g *types.Group) []types.TargetName {
	floor, ok := s.readFloor(r, g)
	if !ok {
		return nil
	}
	r.floor = floor
	primary := r.service.samples.Primary() // the previous one while its successor is not known
	var names []types.TargetName
	for _, m := range g.Members {
		t := r.service.target(m.Name)
		if m.Name == primary || m.State != types.TargetActive || !t.pool.Reachable(s.now) || t.behind.lacks(floor, s.now) || s.now < t.ejectedUntil || !s.allows(r, m.Name) {
			continue
		}
		names = append(names, m.Name)
	}
	return names
}

// lacks reports whether the replica was recently found to lack the position.
func (b behind) lacks(floor types.LogPos, now types.Instant) bool {
	return now < b.until && floor.Compare(b.floor) >= 0
}

// retryPinned retries a statement of an open transaction after a backoff.
func (s *Shard) retryPinned(r *request, backoff time.Duration, reason string) {
	at := s.now.Add(backoff)
	if at >= r.queueDeadline {
		s.refuse(r, types.RefuseOverloaded, types.NotRun, reason)
		return
	}
	s.recordDecision(r, effect.DecideRequeue, effect.CauseNoCapacity, reason)
	r.retries++
	r.stage, r.retryAt = stageBackoff, at
	s.armSessionTimer(r.session)
}

// recordPosition records the position that came with an answer. A primary that
// executed the request was the primary when it was sent: a lease or the target
// itself ensured that. The position of one that had no capacity for the request, or
// that ended a transaction without writes, counts only under a lease, because
// otherwise it may have been replaced.
func (s *Shard) recordPosition(r *request, res types.Result) {
	t := r.service.target(r.target)
	r.status.Term, r.status.Primary = r.sentTerm, !r.replica
	current := r.service.primary
	switch {
	case r.replica:
		if r.status.Pos.Compare(t.behind.floor) >= 0 {
			t.behind = behind{}
		}
	case current.name != r.target || current.term != r.sentTerm:
	case !r.sentUnderLease && !r.service.selfFenced(s.view):
	case r.endedWithoutWrites(res) && !r.sentUnderLease:
	case executed(res), res.Err == types.TargetErrBusy && r.sentUnderLease:
		r.service.samples.Add(r.sentAt, r.status.Pos)
	}
}

// endedWithoutWrites reports whether the target ended a transaction that had written
// nothing. A replaced primary does that as well.
func (r *request) endedWithoutWrites(res types.Result) bool {
	return r.inTx && !r.MayCommit && res.Tx == types.TxIdle
}

// adaptLimit allows more exchanges in flight than the share's slots at a target
// that has spare capacity while requests are queued here, since other proxies
// may leave their slots unused. It lowers the limit of a congested target.
func (s *Shard) adaptLimit(r *request) {
	if !r.service.managed(s.view) {
		return
	}
	t := r.service.target(r.target)
	switch {
	case t.stats.Congested():
		t.pool.LowerLimit()
	case t.stats.HasCapacity() && r.service.queued() > 0:
		t.pool.RaiseLimit()
	}
}

// executed reports whether the target executed an operation.
func executed(res types.Result) bool {
	return res.Err == types.TargetErrNone || res.Err == types.TargetErrStatement || res.Err == types.TargetErrFailed
}

// addProbeSample records the primary's position from its last probe. A replaced
// primary may still report itself as primary, so the position counts only while
// a lease rules that out.
func (s *Shard) addProbeSample(svc *service) {
	if !svc.managed(s.view) || !svc.primary.leased || !s.leaseLive() {
		return
	}
	if h := s.lastProbe(svc, svc.primary.name); h.Primary && h.Term == svc.primary.term {
		svc.samples.Add(h.ProbedAt, h.Pos)
	}
}

// handleRejection retries or refuses a request that the target rejected without
// executing it. It reports whether the result was such a rejection.
func (s *Shard) handleRejection(r *request, res types.Result) bool {
	switch res.Err {
	case types.TargetErrBehind:
		r.service.target(r.target).behind = behind{floor: r.floor, until: s.now.Add(behindDuration)}
		s.retryRejected(r, res, 0, types.RefuseOverloaded, fmt.Sprintf("replica %s lacks position %s", r.target, r.floor))
	case types.TargetErrBusy:
		r.service.target(r.target).pool.LowerLimit()
		s.retryRejected(r, res, s.rejectionBackoff(r), types.RefuseOverloaded, fmt.Sprintf("target %s has no capacity for the request", r.target))
	case types.TargetErrReadOnly:
		s.suspectPrimary(r.service)
		s.retryRejected(r, res, s.rejectionBackoff(r), types.RefuseReplaced, fmt.Sprintf("target %s is not the primary", r.target))
	default:
		return false
	}
	return true
}

// rejectionBackoff returns the time before the retry of a rejected request.
func (s *Shard) rejectionBackoff(r *request) time.Duration {
	return retry.Backoff(r.retries+rejectionDoublings, s.random())
}

// retryRejected retries a request that was not executed, after a backoff, or
// refuses it if its queue timeout would pass first or its transaction can't
// continue. The connection remains usable.
func (s *Shard) retryRejected(r *request, res types.Result, backoff time.Duration, code types.RefusalCode, reason string) {
	if r.inTx && (res.Err != types.TargetErrBusy || res.Tx != types.TxOpen) {
		s.refuse(r, code, types.NotRun, reason)
		return
	}
	if r.inTx {
		s.retryPinned(r, backoff, reason)
		return
	}
	conn := r.conn
	r.conn, r.stage = nil, stageBackoff
	if res.Tx == types.TxIdle {
		s.release(conn)
	} else {
		s.dropConn(conn)
	}
	at := s.now.Add(backoff)
	if at >= r.queueDeadline {
		s.refuse(r, code, r.outcome(), reason)
		return
	}
	s.recordDecision(r, effect.DecideRequeue, rejectionCauses[res.Err], reason)
	r.retries++
	if backoff == 0 {
		s.place(r)
		return
	}
	r.retryAt = at
	s.armSessionTimer(r.session)
}
