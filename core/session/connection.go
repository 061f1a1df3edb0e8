package session

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// dialTimeout bounds the opening of a connection.
const dialTimeout = 2 * time.Second

// dial opens connections for the requests that wait, and the warm ones.
func (s *Shard) dial(svc *service) {
	waiting := s.waitingFor(svc)
	busy := svc.queued() > 0
	var retryAt types.Instant
	for _, name := range sortedKeys(svc.targets) {
		t := svc.targets[name].pool
		for range t.DialsNeeded(waiting[name], busy, s.now) {
			s.lastConn++
			c := t.Dial(s.lastConn)
			s.conns[c.ID] = c
			s.emit(effect.DialTarget{Conn: c.ID, Ref: c.Ref, Address: c.Address, Timeout: dialTimeout})
		}
		if at := t.NextDialAt(busy); at > s.now && (retryAt == 0 || at < retryAt) {
			retryAt = at
		}
	}
	if retryAt != 0 {
		s.emit(effect.ArmTimer{ID: event.TimerID{Domain: event.DomainPool, Key: svc.key}, At: retryAt})
	}
}

// waitingFor returns how many queued requests each target could serve.
func (s *Shard) waitingFor(svc *service) map[types.TargetName]int {
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

// poolDue opens connections after a failed dial's pause.
func (s *Shard) poolDue(key uint64) {
	for _, name := range sortedKeys(s.services) {
		if s.services[name].key == key {
			s.dirty[name] = true
		}
	}
}

func (s *Shard) targetConnected(e event.TargetConnected) {
	c, ok := s.conns[e.Conn]
	if !ok || c.State() != pool.Dialing {
		return
	}
	svc := s.services[c.Ref.Service]
	s.dirty[svc.name] = true
	t := svc.target(c.Ref.Name).pool
	if e.Err != nil {
		if t.DialFailed(c, s.now) {
			s.decideTarget(effect.DecideTargetLost, c.Ref, fmt.Sprintf("no connection could be opened: %v", e.Err))
		}
		delete(s.conns, c.ID)
		s.emit(effect.CloseTarget{Conn: c.ID})
		s.replaceQueued(svc)
		return
	}
	if failed := t.Connected(c); failed > 0 {
		s.decideTarget(effect.DecideTargetFound, c.Ref, fmt.Sprintf("a connection was opened after %d tries", failed))
	}
}

// decideTarget records that a target can or can't be connected to any more.
func (s *Shard) decideTarget(kind effect.Decision, ref types.TargetRef, reason string) {
	s.emit(effect.Decide{Kind: kind, Service: ref.Service, Target: ref.Name, Host: s.options.Host, Version: s.seen(), Reason: reason})
}

// release gives a clean connection back to its pool.
func (s *Shard) release(c *pool.Conn) {
	svc := s.services[c.Ref.Service]
	s.dirty[svc.name] = true
	if !svc.target(c.Ref.Name).pool.Release(c) {
		delete(s.conns, c.ID)
		s.emit(effect.CloseTarget{Conn: c.ID})
	}
}

// dropConn closes a connection that must not be used again. The target rolls
// back what was open on it.
func (s *Shard) dropConn(c *pool.Conn) {
	svc := s.services[c.Ref.Service]
	s.dirty[svc.name] = true
	svc.target(c.Ref.Name).pool.Drop(c)
	delete(s.conns, c.ID)
	s.emit(effect.CloseTarget{Conn: c.ID})
}

// dropRunning closes the connection of a request under way.
func (s *Shard) dropRunning(r *request) {
	c := r.conn
	r.conn = nil
	if c == nil || c == r.session.conn {
		return // a transaction's connection is closed with its session
	}
	s.dropConn(c)
}

// closeAll closes connections that their pool has dropped.
func (s *Shard) closeAll(conns []*pool.Conn) {
	for _, c := range conns {
		delete(s.conns, c.ID)
		s.emit(effect.CloseTarget{Conn: c.ID})
	}
}
