package session

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/retry"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// behindFor is how long a replica that lacked a position is not asked for it
// again, unless it shows the position earlier.
const behindFor = 100 * time.Millisecond

// behind is what a replica lacked when it was asked last.
type behind struct {
	floor types.LogPos
	until types.Instant
}

// managed reports whether an outside service promotes the service's targets,
// which then refuse writes once they are replaced and check floors themselves.
func (s *Shard) managed(name types.ServiceName) bool {
	return s.view != nil && s.view.Cluster != nil && s.view.Cluster.Config.Services[name].Managed
}

func (svc *service) managed(v *types.NodeView) bool {
	return v.Cluster.Config.Services[svc.name].Managed
}

// lacksLease reports whether the request may be answered by a primary that was
// replaced without knowing it, and no lease rules that out.
func (s *Shard) lacksLease(r *request) bool {
	return !r.Fenced && r.key == primaryKey && !s.leaseLive()
}

// sendBefore returns the instant from which on the request must not be sent.
func (s *Shard) sendBefore(r *request) types.Instant {
	if r.replica || r.inTx || r.Fenced || !r.service.managed(s.view) {
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
	primary := r.service.samples.Primary() // also while the next one is not chosen yet
	var names []types.TargetName
	for _, m := range g.Members {
		t := r.service.target(m.Name)
		if m.Name == primary || m.State != types.TargetActive || !t.pool.Reachable() || t.behind.lacks(floor, s.now) {
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

// takePosition keeps the position that came with an answer. An answer of the
// primary shows that it led when the request was sent: a lease or the target
// itself vouched for that.
func (s *Shard) takePosition(r *request) {
	t := r.service.target(r.target)
	r.status.Term, r.status.Primary = r.sentTerm, !r.replica
	switch g := s.view.Group(r.service.name); {
	case r.replica:
		if r.status.Pos.Compare(t.behind.floor) >= 0 {
			t.behind = behind{}
		}
	case hasPrimary(g) && g.Primary == r.target && r.sentTerm == g.TargetTerm():
		r.service.samples.Follow(g)
		r.service.samples.Add(r.sentAt, r.status.Pos)
	}
}

// sampleProbe takes over the primary's position from the last view.
func (s *Shard) sampleProbe(svc *service) {
	g := s.view.Group(svc.name)
	if g == nil || !svc.managed(s.view) || !hasPrimary(g) {
		return
	}
	svc.samples.Follow(g)
	if h := s.probed(svc, g.Primary); h.Primary && h.Term == g.TargetTerm() {
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
		s.again(r, res, s.pause(r), types.RefuseOverloaded, fmt.Sprintf("target %s has no room", r.target))
	case types.TargetErrReadOnly:
		s.again(r, res, s.pause(r), types.RefuseReplaced, fmt.Sprintf("target %s is not the primary", r.target))
	default:
		return false
	}
	return true
}

func (s *Shard) pause(r *request) time.Duration { return retry.Backoff(r.retries+2, s.random()) }

// again puts a request that did not run aside for another attempt, or refuses
// it when its time for queueing is over or it belongs to a transaction. The
// connection stays good.
func (s *Shard) again(r *request, res types.Result, pause time.Duration, code types.RefusalCode, reason string) {
	if r.inTx {
		s.refuse(r, code, types.NotRun, reason)
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
	r.retries++
	if pause == 0 {
		s.place(r)
		return
	}
	r.retryAt = at
	s.armSession(r.session)
}
