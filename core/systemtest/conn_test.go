package systemtest

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// dial opens a connection to a target and reports the result to the shard.
func (s *simulation) dial(p *proxy, e effect.DialTarget) {
	key := connKey{p.id, p.incarnation, e.Conn}
	t := s.targets[e.Ref.Name]
	reachable := s.cluster.Connected(p.id, t.host()) && s.cluster.Connected(t.host(), p.id)
	switch {
	case s.cluster.Hosts[t.host()].Stepper == nil:
		s.reportConnected(p, key, 2*s.cluster.Delay(), errConnBroken)
	case !reachable:
		s.reportConnected(p, key, e.Timeout, errConnBroken)
	default:
		s.conns[key] = &conn{target: t.name}
		s.checkLimit(t.name)
		s.reportConnected(p, key, connectDuration, nil)
	}
}

// reportConnected reports the result of a dial after a delay, unless the proxy has
// restarted since.
func (s *simulation) reportConnected(p *proxy, key connKey, after time.Duration, err error) {
	s.cluster.Schedule(after, func() {
		if p.incarnation == key.incarnation {
			s.cluster.Deliver(p.shard(), event.TargetConnected{Conn: key.id, Err: err})
		}
	})
}

// checkLimit checks that the proxies together open no more connections than a
// target accepts. Connections of earlier runs of a proxy do not count.
func (s *simulation) checkLimit(name types.TargetName) {
	s.t.Helper()
	open := 0
	for key, c := range s.conns {
		if c.target == name && s.proxies[key.proxy].incarnation == key.incarnation {
			open++
		}
	}
	if open > connections {
		s.t.Fatalf("%d connections are open to %s, which accepts %d", open, name, connections)
	}
}

// send starts an exchange on a connection. Its operations reach the target even if
// the connection is closed meanwhile.
func (s *simulation) send(p *proxy, e effect.SendTarget) {
	key := connKey{p.id, p.incarnation, e.Conn}
	c, ok := s.conns[key]
	if !ok {
		s.completeExchange(p, key, e.Seq, event.TargetAnswered{Err: errConnBroken})
		return
	}
	if c.seq != 0 {
		s.t.Fatalf("exchange %d was sent on connection %v while exchange %d is in flight", e.Seq, key, c.seq)
	}
	c.seq = e.Seq
	s.callOperations(p.id, s.targets[c.target], key, e.Operations,
		func(r []types.Result) {
			s.completeExchange(p, key, e.Seq, event.TargetAnswered{Sent: true, Results: r})
		},
		func() { s.completeExchange(p, key, e.Seq, event.TargetAnswered{Sent: true, Err: errConnBroken}) })
}

// completeExchange reports the result of an exchange to the shard, unless the proxy
// has restarted or the connection is used by another exchange.
func (s *simulation) completeExchange(p *proxy, key connKey, seq uint64, ev event.TargetAnswered) {
	c, ok := s.conns[key]
	if p.incarnation != key.incarnation || ok && c.seq != seq {
		return
	}
	if ok {
		c.seq = 0
	}
	ev.Conn, ev.Seq, ev.Latency = key.id, seq, 2*s.cluster.Network.DelayMin
	s.cluster.Deliver(p.shard(), ev)
}

// closeConn closes a connection. The target rolls its transaction back once the
// close arrives.
func (s *simulation) closeConn(key connKey) {
	c, ok := s.conns[key]
	if !ok {
		return
	}
	delete(s.conns, key)
	s.notifyClosed(key, s.targets[c.target])
}

// notifyClosed tells a target that a connection was closed, after all exchanges that
// were sent on it have arrived.
func (s *simulation) notifyClosed(key connKey, t *target) {
	s.cluster.Schedule(s.cluster.Network.DelayMax, func() {
		s.cluster.Deliver(t.host(), exchange{Event: event.Start{}, conn: key, close: true})
	})
}

// crashTarget stops a target. Its log is kept and its connections break.
func (s *simulation) crashTarget(t *target) {
	s.cluster.Crash(t.host())
	for key, c := range s.conns {
		if c.target != t.name {
			continue
		}
		p, seq := s.proxies[key.proxy], c.seq
		delete(s.conns, key)
		if seq != 0 {
			s.cluster.Schedule(s.cluster.Network.DelayMin, func() {
				s.completeExchange(p, key, seq, event.TargetAnswered{Sent: true, Err: errConnBroken})
			})
		}
	}
}

// crashProxy stops a proxy. Its connections and sessions are lost.
func (s *simulation) crashProxy(p *proxy) {
	s.cluster.Crash(p.id)
	s.cluster.Crash(p.shard())
	for key, c := range s.conns {
		if key.proxy == p.id {
			s.notifyClosed(key, s.targets[c.target])
			delete(s.conns, key)
		}
	}
	s.oracle.handleProxyCrash(p)
	p.incarnation++
}

// replicate lets every replica pull from its primary, and schedules the next round.
func (s *simulation) replicate() {
	for _, name := range s.targetNames() {
		t := s.targets[name]
		source := s.targets[t.source]
		if source == nil || !s.up(t) || !s.up(source) {
			continue
		}
		if s.cluster.Connected(t.host(), source.host()) && s.cluster.Connected(source.host(), t.host()) {
			t.pull(source)
		}
	}
	s.cluster.Schedule(pullInterval, s.replicate)
}

func (s *simulation) up(t *target) bool {
	h := s.cluster.Hosts[t.host()]
	return h.Stepper != nil && !h.Frozen()
}

// announce lets every target announce itself to all proxies, and schedules the next
// round.
func (s *simulation) announce() {
	for _, name := range s.targetNames() {
		t := s.targets[name]
		if !s.up(t) {
			continue
		}
		for _, id := range s.proxyIDs() {
			if s.cluster.Hosts[id].Stepper != nil {
				s.cluster.Send(t.host(), id, event.Announced{Announcement: s.announcement(t)})
			}
		}
	}
	s.cluster.Schedule(announceInterval, s.announce)
}
