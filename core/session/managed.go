package session

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/retry"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// behindFor is how long a replica that lacked a position is not asked for it
	// again, unless it shows the position earlier. Chosen, not measured: short
	// against the age of seconds that profiles allow.
	behindFor = 100 * time.Millisecond
	// rejectedDoublings is how often the pause after a first rejection is doubled
	// already, to 20 ms at most: a target that has no room gets some with the end
	// of a statement, which takes 33 ms on the platforms at hand.
	rejectedDoublings = 2
)

// behind is what a replica lacked when it was asked last.
type behind struct {
	floor types.LogPos
	until types.Instant
}

// managed reports whether an outside service promotes the service's targets,
// which then refuse writes once they are replaced and check floors themselves.
func (s *Shard) managed(name types.ServiceName) bool {
	return s.view != nil && s.view.Cluster != nil && s.view.Cluster.Config.Managed(name)
}

func (svc *service) managed(v *types.NodeView) bool {
	return v.Cluster.Config.Managed(svc.name)
}

// needsFence reports whether a primary that was replaced might answer the
// request without knowing it, and no lease rules that out. The beginning of a
// transaction on the primary is always one that a replaced primary refuses.
func (s *Shard) needsFence(r *request) bool {
	if !r.service.managed(s.view) || r.replica || r.inTx || r.Fenced {
		return false
	}
	return r.Begins || !r.service.leader.leased || !s.leaseLive()
}

// fenceDone goes on with a read once the primary has shown that it leads. The
// beginning of a transaction is answered by it.
func (s *Shard) fenceDone(r *request, res types.Result) {
	switch {
	case s.rejected(r, res):
	case res.Err != types.TargetErrNone:
		s.attemptFailed(r, false, types.RefuseReplaced, fmt.Sprintf("target %s began no transaction", r.target))
	case r.Begins:
		r.answer = types.Answer{Payload: res.Payload, Tx: res.Tx}
		s.settleConn(r, res.Tx)
		s.acknowledge(r)
	default:
		s.send(r, stepFenced)
	}
}

// fencedDone takes in the answer to a read within the proxy's own transaction.
func (s *Shard) fencedDone(r *request, results []types.Result) {
	res, end := results[0], results[1]
	if res.Err != types.TargetErrNone && res.Err != types.TargetErrStatement || end.Tx != types.TxIdle {
		s.attemptFailed(r, false, types.RefuseReplaced, fmt.Sprintf("target %s ended the transaction of a read", r.target))
		return
	}
	r.answer = types.Answer{Payload: res.Payload, Tx: end.Tx}
	s.settleConn(r, end.Tx)
	s.acknowledge(r)
}

// sendBefore returns the instant from which on the request must not be sent.
func (s *Shard) sendBefore(r *request) types.Instant {
	if r.replica || r.inTx || r.Fenced || r.step != stepCaller || !r.service.managed(s.view) {
		return 0
	}
	return s.view.LeaseUntil
}

// readFloor returns the position that a replica has to hold for a read that is
// bounded by age: what the primary held within the age before the request
// arrived, and the session's own writes. Without a known position of the
// primary only the primary itself can serve.
func (s *Shard) readFloor(r *request, g *types.Group) (types.LogPos, bool) {
	if g == nil || r.profile.Freshness != types.FreshAge {
		return types.LogPos{}, false
	}
	pos, ok := r.service.samples.Floor(r.arrived.Add(-r.profile.MaxAge))
	if own := r.session.floor.bound(r.profile); own.Compare(pos) > 0 {
		pos = own
	}
	return pos, ok
}

// managedReplicas returns the replicas that may hold what the read asks for.
func (s *Shard) managedReplicas(r *request, g *types.Group) []types.TargetName {
	floor, ok := s.readFloor(r, g)
	if !ok {
		return nil
	}
	r.floor = floor
	primary := r.service.samples.Primary() // the last one, while the next is not known yet
	var names []types.TargetName
	for _, m := range g.Members {
		t := r.service.target(m.Name)
		if m.Name == primary || m.State != types.TargetActive || !t.pool.Reachable() || t.behind.lacks(floor, s.now) || s.now < t.avoidUntil {
			continue
		}
		names = append(names, m.Name)
	}
	return names
}

// lacks reports whether the replica was found to lack the position lately.
func (b behind) lacks(floor types.LogPos, now types.Instant) bool {
	return now < b.until && floor.Compare(b.floor) >= 0
}

// againPinned sends a statement of an open transaction once more after a pause.
func (s *Shard) againPinned(r *request, pause time.Duration, reason string) {
	at := s.now.Add(pause)
	if at >= r.queueDeadline {
		s.refuse(r, types.RefuseOverloaded, types.NotRun, reason)
		return
	}
	s.decide(r, effect.DecideAgain, effect.CauseNoRoom, reason)
	r.retries++
	r.stage, r.retryAt = stageBackoff, at
	s.armSession(r.session)
}

// takePosition keeps the position that came with an answer. A primary that ran
// the request led when it was sent: a lease or the target itself vouched for
// that. One that had no room for it counts only under a lease, as it may have
// been replaced otherwise.
func (s *Shard) takePosition(r *request, res types.Result) {
	t := r.service.target(r.target)
	r.status.Term, r.status.Primary = r.sentTerm, !r.replica
	lead := r.service.leader
	switch {
	case r.replica:
		if r.status.Pos.Compare(t.behind.floor) >= 0 {
			t.behind = behind{}
		}
	case lead.name != r.target || lead.term != r.sentTerm:
	case ran(res), res.Err == types.TargetErrBusy && r.sentLeased:
		r.service.samples.Add(r.sentAt, r.status.Pos)
	}
}

// adapt lets more exchanges than the share's slots be under way at a target that
// has room while requests wait here: other proxies may leave their slots unused.
func (s *Shard) adapt(r *request) {
	if !r.service.managed(s.view) {
		return
	}
	t := r.service.target(r.target)
	switch {
	case t.stats.Congested():
		t.pool.Narrow()
	case t.stats.HasCapacity() && r.service.queued() > 0:
		t.pool.Widen()
	}
}

// ran reports whether the target ran an operation.
func ran(res types.Result) bool {
	return res.Err == types.TargetErrNone || res.Err == types.TargetErrStatement
}

// sampleProbe takes over the primary's position from the last view. A primary
// that was replaced may take itself for one, so that the position counts only
// while a lease rules that out.
func (s *Shard) sampleProbe(svc *service) {
	if !svc.managed(s.view) || !svc.leader.leased || !s.leaseLive() {
		return
	}
	if h := s.probed(svc, svc.leader.name); h.Primary && h.Term == svc.leader.term {
		svc.samples.Add(h.AskedAt, h.Pos)
	}
}

// rejected takes in an answer that says that the target did not run the
// request, and reports whether it was one.
func (s *Shard) rejected(r *request, res types.Result) bool {
	switch res.Err {
	case types.TargetErrBehind:
		r.service.target(r.target).behind = behind{floor: r.floor, until: s.now.Add(behindFor)}
		s.again(r, res, 0, types.RefuseOverloaded, fmt.Sprintf("replica %s lacks position %s", r.target, r.floor))
	case types.TargetErrBusy:
		r.service.target(r.target).pool.Narrow()
		s.again(r, res, s.pause(r), types.RefuseOverloaded, fmt.Sprintf("target %s has no room", r.target))
	case types.TargetErrReadOnly:
		s.suspect(r.service)
		s.again(r, res, s.pause(r), types.RefuseReplaced, fmt.Sprintf("target %s is not the primary", r.target))
	default:
		return false
	}
	return true
}

func (s *Shard) pause(r *request) time.Duration {
	return retry.Backoff(r.retries+rejectedDoublings, s.random())
}

// again puts a request that did not run aside for another attempt, or refuses
// it when its time for queueing is over or it belongs to a transaction. The
// connection stays good.
func (s *Shard) again(r *request, res types.Result, pause time.Duration, code types.RefusalCode, reason string) {
	if r.inTx && (res.Err != types.TargetErrBusy || res.Tx != types.TxOpen) {
		s.refuse(r, code, types.NotRun, reason)
		return
	}
	if r.inTx {
		s.againPinned(r, pause, reason)
		return
	}
	conn := r.conn
	r.conn, r.stage = nil, stageBackoff
	if res.Tx == types.TxIdle {
		s.release(conn)
	} else {
		s.dropConn(conn)
	}
	at := s.now.Add(pause)
	if at >= r.queueDeadline {
		s.refuse(r, code, r.outcome(), reason)
		return
	}
	s.decide(r, effect.DecideAgain, rejections[res.Err], reason)
	r.retries++
	if pause == 0 {
		s.place(r)
		return
	}
	r.retryAt = at
	s.armSession(r.session)
}
