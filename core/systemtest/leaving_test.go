package systemtest

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"pgregory.net/rapid"
)

const (
	// leaveBound is the maximum time from a target's first announcement that it
	// leaves until no new work is sent to it, an election of a control leader
	// included.
	leaveBound = 4 * time.Second
	// healthyLeaveBound is the same bound without failures.
	healthyLeaveBound = time.Second
	// workInterval is the time between two checks for callers without a request in
	// flight.
	workInterval = 5 * time.Millisecond
)

// departure records what a target receives after it announced that it leaves.
type departure struct {
	announcedAt  time.Duration
	lastNewWork  time.Duration // when an exchange outside of an open transaction was sent last
	txnExchanges int           // exchanges of open transactions
}

// checkNewWork records new work on a leaving target and checks leaveBound. The bound
// counts from the end of all cuts, because a cut can drop the announcement.
func (t *target) checkNewWork(e exchange) {
	s := t.sim
	if t.departure == nil || e.conn == (connKey{}) {
		return
	}
	if t.txns[e.conn] != nil {
		t.departure.txnExchanges++
		return
	}
	t.departure.lastNewWork = e.sentAt
	if after := e.sentAt - max(t.departure.announcedAt, s.healedAt); s.cluster.Healed() && after > leaveBound {
		s.t.Fatalf("%s got new work %v after it announced that it leaves", t.name, after)
	}
}

// announceLeaving lets a target announce that it leaves.
func (s *simulation) announceLeaving(t *target) {
	if t.departure == nil {
		t.departure = &departure{announcedAt: s.cluster.Now()}
	}
}

// heal removes all cuts.
func (s *simulation) heal() {
	s.cluster.Heal()
	s.healedAt = s.cluster.Now()
}

// drainProxy starts the draining of a proxy.
func (s *simulation) drainProxy(p *proxy) {
	p.draining = true
	s.cluster.Deliver(p.shard(), event.DrainBegan{})
	s.cluster.Deliver(p.id, event.DrainBegan{})
}

func (m *machine) target(t *rapid.T) *target {
	return m.targets[rapid.SampledFrom(m.targetNames()).Draw(t, "target")]
}

func (m *machine) leave(t *rapid.T) { m.announceLeaving(m.target(t)) }

func (m *machine) stay(t *rapid.T) { m.target(t).departure = nil }

func (m *machine) drain(t *rapid.T) {
	if p := m.proxy(t); m.cluster.Hosts[p.id].Stepper != nil {
		m.drainProxy(p)
	}
}

// work lets callers run writes, reads and transactions, each with one request in
// flight at all times.
func (s *simulation) work(callers int, d time.Duration) {
	for len(s.oracle.callers) < callers {
		s.oracle.newCaller()
	}
	ids := s.proxyIDs()
	for end := s.cluster.Now() + d; s.cluster.Now() < end; s.cluster.Run(workInterval) {
		for i, c := range s.oracle.callers {
			switch {
			case c.request != nil || c.txn != nil:
			case c.session == nil:
				s.oracle.openSession(c, s.proxies[ids[i%len(ids)]])
			case i%3 == 0:
				s.oracle.begin(c)
			case i%3 == 1:
				s.oracle.write(c, "")
			default:
				s.oracle.read(c, "session")
			}
		}
	}
}

// TestLeavingTarget lets a replica or the primary leave under load. No request in
// flight may be refused, and no new work may be sent after the bound.
func TestLeavingTarget(t *testing.T) {
	for _, role := range []string{"replica", "primary"} {
		t.Run(role, func(t *testing.T) {
			s := newSimulation(t, 9, 3, 3, 3)
			primary := s.awaitServing()
			s.work(12, 2*time.Second)
			leaving := primary
			for _, name := range s.targetNames() {
				if role == "replica" && name != primary.name {
					leaving = s.targets[name]
				}
			}
			s.announceLeaving(leaving)
			s.work(12, leaveBound+time.Second)
			if last := leaving.departure.lastNewWork - leaving.departure.announcedAt; last > healthyLeaveBound {
				t.Fatalf("%s got new work %v after it announced that it leaves", leaving.name, last)
			}
			if len(s.oracle.refusals)+len(s.oracle.sessionEnds) > 0 {
				t.Fatalf("refused requests: %v, ended sessions: %v", s.oracle.refusals, s.oracle.sessionEnds)
			}
			if role == "primary" && (leaving.departure.txnExchanges == 0 || s.awaitServing() == leaving) {
				t.Fatalf("%d exchanges of open transactions after the announcement, the primary is %s", leaving.departure.txnExchanges, s.awaitServing().name)
			}
			s.checkAllServe()
		})
	}
}

// TestDrainingProxyAnswersInFlightRequests drains a proxy while requests and
// transactions are in flight. All of them must complete.
func TestDrainingProxyAnswersInFlightRequests(t *testing.T) {
	s := newSimulation(t, 10, 3, 2, 3)
	s.awaitServing()
	p := s.proxies["proxy-1"]
	var callers []*caller
	for i := range 12 {
		c := s.oracle.newCaller()
		s.oracle.openSession(c, p)
		if i%2 == 0 {
			s.oracle.write(c, "")
		} else {
			s.oracle.begin(c)
		}
		callers = append(callers, c)
	}
	started := func() bool { return s.oracle.answers >= len(callers)/2 }
	if !s.cluster.RunUntil(time.Second, started) {
		t.Fatalf("only %d answers before the drain", s.oracle.answers)
	}
	s.drainProxy(p)
	s.cluster.Run(2 * time.Second)
	for i, c := range callers {
		if want := 1 + i%2; len(c.acked) != want || c.session != nil {
			t.Fatalf("%s: %d of %d writes are acknowledged, session %v, refusals %v", c.name, len(c.acked), want, c.session, s.oracle.refusals)
		}
	}
	before := len(s.oracle.sessionEnds)
	late := s.oracle.newCaller()
	s.oracle.openSession(late, p)
	s.cluster.Run(retryInterval)
	if len(s.oracle.sessionEnds) != before+1 || late.session != nil {
		t.Fatalf("a new session on a draining proxy was not ended; ended sessions: %v", s.oracle.sessionEnds)
	}
	for _, r := range s.oracle.sessionEnds {
		if r.Code != types.RefuseDraining || r.Outcome != types.NotRun {
			t.Fatalf("a session ended with %q, expected a refusal that the proxy is draining", r.Error())
		}
	}
	s.oracle.checkLog(s.awaitServing().log)
}
