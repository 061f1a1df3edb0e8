package systemtest

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"pgregory.net/rapid"
)

const (
	// leaveBound is the longest time from a target's first announcement that
	// it leaves until no new work is sent to it, an election included.
	leaveBound = 4 * time.Second
	// calmLeaveBound is the same without other failures.
	calmLeaveBound = time.Second
	// workGap is the time between two looks at callers that work without pause.
	workGap = 5 * time.Millisecond
)

// departure is a target's leave.
type departure struct {
	at      time.Duration
	lastNew time.Duration // when work outside of open transactions was sent last
	late    int           // exchanges of transactions that were open already
}

// checkLeaving notes new work on a leaving target and checks the bound. Cuts
// may keep the announcement from control, so that it counts from their end.
func (t *target) checkLeaving(e exchange) {
	w := t.world
	if t.left == nil || e.conn == (connKey{}) {
		return
	}
	if t.open[e.conn] != nil {
		t.left.late++
		return
	}
	t.left.lastNew = e.sent
	if after := e.sent - max(t.left.at, w.healed); w.cluster.Healed() && after > leaveBound {
		w.t.Fatalf("%s got new work %v after it announced that it leaves", t.name, after)
	}
}

// leaves lets a target announce that it leaves.
func (w *world) leaves(t *target) {
	if t.left == nil {
		t.left = &departure{at: w.cluster.Now()}
	}
}

// heal ends all cuts.
func (w *world) heal() {
	w.cluster.Heal()
	w.healed = w.cluster.Now()
}

// drainProxy asks a proxy to stop.
func (w *world) drainProxy(p *proxy) {
	p.draining = true
	w.cluster.Hand(p.shard(), event.DrainBegan{})
	w.cluster.Hand(p.id, event.DrainBegan{})
}

func (m *machine) target(t *rapid.T) *target {
	return m.targets[rapid.SampledFrom(m.targetNames()).Draw(t, "target")]
}

func (m *machine) leave(t *rapid.T) { m.leaves(m.target(t)) }

func (m *machine) stay(t *rapid.T) { m.target(t).left = nil }

func (m *machine) drain(t *rapid.T) {
	if p := m.proxy(t); m.cluster.Hosts[p.id].Stepper != nil {
		m.drainProxy(p)
	}
}

// work lets callers write, read and run transactions without pause.
func (w *world) work(callers int, d time.Duration) {
	for len(w.oracle.callers) < callers {
		w.oracle.newCaller()
	}
	ids := w.proxyIDs()
	for end := w.cluster.Now() + d; w.cluster.Now() < end; w.cluster.Run(workGap) {
		for i, c := range w.oracle.callers {
			switch {
			case c.request != nil || c.txn != nil:
			case c.session == nil:
				w.oracle.open(c, w.proxies[ids[i%len(ids)]])
			case i%3 == 0:
				w.oracle.begin(c)
			case i%3 == 1:
				w.oracle.write(c, "")
			default:
				w.oracle.read(c, "session")
			}
		}
	}
}

// TestLeavingTarget lets a replica or the primary leave under load. Nothing in
// flight is refused, and no new work comes after the bound.
func TestLeavingTarget(t *testing.T) {
	for _, role := range []string{"replica", "primary"} {
		t.Run(role, func(t *testing.T) {
			w := newWorld(t, 9, 3, 3, 3)
			primary := w.waitServing()
			w.work(12, 2*time.Second)
			leaving := primary
			for _, name := range w.targetNames() {
				if role == "replica" && name != primary.name {
					leaving = w.targets[name]
				}
			}
			w.leaves(leaving)
			w.work(12, leaveBound+time.Second)
			if last := leaving.left.lastNew - leaving.left.at; last > calmLeaveBound {
				t.Fatalf("%s got new work %v after it announced that it leaves", leaving.name, last)
			}
			if len(w.oracle.refusals)+len(w.oracle.ends) > 0 {
				t.Fatalf("refused: %v, ended: %v", w.oracle.refusals, w.oracle.ends)
			}
			if role == "primary" && (leaving.left.late == 0 || w.waitServing() == leaving) {
				t.Fatalf("%d exchanges of open transactions, primary %s", leaving.left.late, w.waitServing().name)
			}
			w.checkAllServe()
		})
	}
}

// TestDrainedProxyAnswersWhatIsInFlight asks a proxy to stop while requests
// and transactions are under way.
func TestDrainedProxyAnswersWhatIsInFlight(t *testing.T) {
	w := newWorld(t, 10, 3, 2, 3)
	w.waitServing()
	p := w.proxies["proxy-1"]
	var callers []*caller
	for i := range 12 {
		c := w.oracle.newCaller()
		w.oracle.open(c, p)
		if i%2 == 0 {
			w.oracle.write(c, "")
		} else {
			w.oracle.begin(c)
		}
		callers = append(callers, c)
	}
	started := func() bool { return w.oracle.answers >= len(callers)/2 }
	if !w.cluster.RunUntil(time.Second, started) {
		t.Fatalf("%d answers, too few to begin with", w.oracle.answers)
	}
	w.drainProxy(p)
	w.cluster.Run(2 * time.Second)
	for i, c := range callers {
		if want := 1 + i%2; len(c.acked) != want || c.session != nil {
			t.Fatalf("%s has %d of %d writes, session %v: %v", c.name, len(c.acked), want, c.session, w.oracle.refusals)
		}
	}
	before := len(w.oracle.ends)
	late := w.oracle.newCaller()
	w.oracle.open(late, p)
	w.cluster.Run(askGap)
	if len(w.oracle.ends) != before+1 || late.session != nil {
		t.Fatalf("a new session of a stopping proxy was not ended: %v", w.oracle.ends)
	}
	for _, r := range w.oracle.ends {
		if r.Code != types.RefuseDraining || r.Outcome != types.NotRun {
			t.Fatalf("a session ended with %q", r.Error())
		}
	}
	w.oracle.checkLog(w.waitServing().log)
}
