package session

import (
	"fmt"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// dialTimeout limits how long opening a connection may take.
	dialTimeout = 2 * time.Second
	// hedgeAfter is how long a request waits for a connection to one target before the
	// others that may serve it open one too. Opening one takes up to 27 ms of a slot and
	// two round trips of 24 ms on the supported platforms.
	hedgeAfter = 150 * time.Millisecond
)

// dial opens connections for the queued requests and those that the pool keeps open
// in advance, and closes those that have been idle for too long. It reports whether it
// closed one for a request of another organisation.
func (s *Shard) dial(svc *service) bool {
	demand := pool.Demand{ServiceWaiting: svc.queued() > 0, Organisations: len(s.view.Cluster.Config.Organisations) > 0}
	var waiting map[types.TargetName][]pool.Waiting
	if demand.ServiceWaiting {
		waiting = s.waitingPerTarget(svc)
	}
	madeRoom := false
	var next types.Instant
	for _, name := range sortedKeys(svc.targets) {
		t := svc.targets[name].pool
		demand.Waiting = waiting[name]
		plan := t.PlanDials(demand, s.now)
		s.closeConns(plan.Close)
		madeRoom = madeRoom || len(plan.Close) > 0
		for _, organisation := range plan.Open {
			s.openConn(t, organisation)
		}
		s.closeConns(t.CloseIdle(s.now))
		for _, at := range []types.Instant{t.NextDialAt(demand.ServiceWaiting), t.NextIdleClose()} {
			if at > s.now && (next == 0 || at < next) {
				next = at
			}
		}
	}
	if at := s.now.Add(pool.Turn); demand.ServiceWaiting && (next == 0 || at < next) {
		next = at // more may be opened for requests that have waited for longer then
	}
	if next != 0 {
		s.emit(effect.ArmTimer{ID: event.TimerID{Domain: event.DomainPool, Key: svc.timerKey}, At: next})
	}
	return madeRoom
}

// openConn opens a connection to a target for an organisation.
func (s *Shard) openConn(t *pool.Target, organisation types.OrganisationName) {
	s.lastConn++
	c := t.Dial(s.lastConn, organisation)
	s.conns[c.ID] = c
	s.emit(effect.DialTarget{Conn: c.ID, Ref: c.Ref, Address: c.Address, Organisation: organisation, Timeout: dialTimeout})
}

// waitingPerTarget returns the queued requests that each target is to have connections for.
func (s *Shard) waitingPerTarget(svc *service) map[types.TargetName][]pool.Waiting {
	out := make(map[types.TargetName][]pool.Waiting)
	assigned := make(map[types.TargetName]int)
	for _, key := range sortedKeys(svc.queues) {
		q := svc.queues[key]
		if q.len() == 0 {
			continue
		}
		targets := s.queueTargets(svc, q)
		for _, w := range q.waiting() {
			for name, n := range s.spread(svc, targets, w, assigned) {
				out[name] = append(out[name], pool.Waiting{Organisation: w.Organisation, Requests: n, Since: w.Since})
				assigned[name] += n
			}
		}
	}
	return out
}

// spread returns how many of the requests that wait for any of several targets each of them
// is to have connections for: those that have some, and then one after the other as the
// routing policy picks them among those with room beside the requests that were assigned
// before. After hedgeAfter requests count at all, since what they wait for may never come.
func (s *Shard) spread(svc *service, targets []types.TargetName, w pool.Waiting, assigned map[types.TargetName]int) map[types.TargetName]int {
	counts := make(map[types.TargetName]int)
	room := make(map[types.TargetName]int)
	left := w.Requests
	for _, name := range targets {
		t := svc.target(name).pool
		counts[name] = min(w.Requests, t.Usable(w.Organisation))
		left -= counts[name]
		if !svc.departures.Leaving(name) {
			room[name] = t.Openable(w.Organisation, s.now) - assigned[name]
		}
	}
	full := func(name types.TargetName) bool { return room[name] <= 0 }
	open := slices.DeleteFunc(slices.Clone(targets), full)
	if len(targets) == 1 || s.now.Sub(w.Since) >= hedgeAfter || len(open) == 0 {
		for _, name := range targets {
			counts[name] = w.Requests
		}
		return counts
	}
	for left > 0 && len(open) > 0 {
		name := s.pickTarget(svc, open)
		n := min(left, room[name])
		counts[name] += n
		left -= n
		room[name] = 0
		open = slices.DeleteFunc(open, full)
	}
	return counts
}

// queuedPerTarget returns how many queued requests each target could serve.
func (s *Shard) queuedPerTarget(svc *service) map[types.TargetName]int {
	n := make(map[types.TargetName]int)
	for _, q := range svc.queues {
		if q.len() == 0 {
			continue
		}
		for _, name := range s.queueTargets(svc, q) {
			n[name] += q.len()
		}
	}
	return n
}

// poolTimerFired retries to open connections once the backoff of a failed dial
// has passed, and closes idle ones.
func (s *Shard) poolTimerFired(key uint64) {
	for _, name := range sortedKeys(s.services) {
		if s.services[name].timerKey == key {
			s.dirty[name] = true
		}
	}
}

// targetConnected handles the end of an attempt to open a connection.
func (s *Shard) targetConnected(e event.TargetConnected) {
	c, ok := s.conns[e.Conn]
	if !ok || c.State() != pool.Dialing {
		return
	}
	svc := s.services[c.Ref.Service]
	s.dirty[svc.name] = true
	t := svc.target(c.Ref.Name).pool
	if e.Err != nil {
		if t.DialFailed(c, e.Full, s.now) {
			s.recordTargetDecision(effect.DecideTargetLost, c.Ref, fmt.Sprintf("no connection could be opened: %v", e.Err))
		}
		delete(s.conns, c.ID)
		s.emit(effect.CloseConn{Conn: c.ID})
		s.requeueAll(svc)
		return
	}
	if failed := t.Connected(c, s.now); failed > 0 {
		s.recordTargetDecision(effect.DecideTargetFound, c.Ref, fmt.Sprintf("a connection was opened after %d failed attempts", failed))
	}
}

// recordTargetDecision records that a target has become reachable or unreachable.
func (s *Shard) recordTargetDecision(kind effect.Decision, ref types.TargetRef, reason string) {
	s.emit(effect.Decide{Kind: kind, Service: ref.Service, Target: ref.Name, Host: s.options.Host, Version: s.viewVersion(), Reason: reason})
}

// release returns a connection without an open transaction to its pool.
func (s *Shard) release(c *pool.Conn) {
	svc := s.services[c.Ref.Service]
	s.dirty[svc.name] = true
	if !svc.target(c.Ref.Name).pool.Release(c, s.now) {
		delete(s.conns, c.ID)
		s.emit(effect.CloseConn{Conn: c.ID})
	}
}

// dropConn closes a connection that must not be reused. The target rolls back
// the transaction that was open on it.
func (s *Shard) dropConn(c *pool.Conn) {
	svc := s.services[c.Ref.Service]
	s.dirty[svc.name] = true
	svc.target(c.Ref.Name).pool.Drop(c)
	delete(s.conns, c.ID)
	s.emit(effect.CloseConn{Conn: c.ID})
}

// dropRunning closes the connection of a request in progress.
func (s *Shard) dropRunning(r *request) {
	c := r.conn
	r.conn = nil
	if c == nil || c == r.session.conn {
		return // a transaction's connection is closed with its session
	}
	s.dropConn(c)
}

// closeConns closes connections that their pool has removed.
func (s *Shard) closeConns(conns []*pool.Conn) {
	for _, c := range conns {
		delete(s.conns, c.ID)
		s.emit(effect.CloseConn{Conn: c.ID})
	}
}
