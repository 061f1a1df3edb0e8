package systemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"pgregory.net/rapid"
)

// thinkTime bounds the pause of a caller within a transaction.
const thinkTime = 30 * time.Millisecond

// commitApplied stands for the time after the last of four statements at which
// the target has applied the commit and its answer is on the way.
const commitApplied = 5

// transaction is a caller's transaction of two writes.
type transaction struct {
	writes     [2]writeID
	step       int // statements sent, the begin included
	committing bool
}

// begin lets a caller work through a transaction.
func (o *oracle) begin(c *caller) {
	c.txn = &transaction{writes: [2]writeID{o.writes + 1, o.writes + 2}}
	o.writes += 2
	o.txns = append(o.txns, c.txn)
	o.nextStatement(c)
}

// nextStatement sends the next statement of a caller's transaction.
func (o *oracle) nextStatement(c *caller) {
	x := c.txn
	r := request{profile: "session", txn: x}
	x.step++
	switch x.step {
	case 1:
		o.send(c, r, begin{c.name})
	case 2, 3:
		o.send(c, r, write{x.writes[x.step-2], c.name})
	default:
		x.committing = true
		o.send(c, r, commit{c.name})
	}
}

// txnAnswered goes on with a transaction.
func (o *oracle) txnAnswered(c *caller, r *request, a types.Answer) {
	o.world.t.Helper()
	x := r.txn
	if !x.committing {
		if a.Tx == types.TxIdle {
			o.world.t.Fatalf("%s has no transaction after its statement %d", c.name, x.step)
		}
		o.scheduleStatement(c)
		return
	}
	c.txn = nil
	if a.Tx != types.TxIdle {
		o.world.t.Fatalf("%s has a transaction after its commit", c.name)
	}
	if a.Payload != committed {
		o.txnNotRun(c.name, x, "its commit failed")
		return
	}
	o.commits++
	for _, id := range x.writes {
		o.acked[id] = o.world.cluster.Now()
	}
	o.ackedIn = append(o.ackedIn, x.writes[:]...)
	c.acked = append(c.acked, x.writes[:]...)
}

func (o *oracle) scheduleStatement(c *caller) {
	x, pause := c.txn, time.Duration(o.world.cluster.Random()%uint64(thinkTime))
	o.world.cluster.Schedule(pause, func() {
		if c.txn == x {
			o.nextStatement(c)
		}
	})
}

// txnRefused ends a transaction. Without a commit, or with one that was not
// run, nothing of it may ever be seen.
func (o *oracle) txnRefused(c *caller, r types.Refusal) {
	o.world.t.Helper()
	x := c.txn
	c.txn = nil
	if !x.committing || r.Outcome == types.NotRun {
		o.txnNotRun(c.name, x, r.Error())
		return
	}
	c.open = x
}

// abandonTxn ends the transaction of a session that is gone.
func (o *oracle) abandonTxn(c *caller) {
	o.world.t.Helper()
	x := c.txn
	c.txn = nil
	if !x.committing {
		o.txnNotRun(c.name, x, "its session ended before the commit")
	}
}

func (o *oracle) txnNotRun(who string, x *transaction, why string) {
	o.world.t.Helper()
	for _, id := range x.writes {
		o.mustNotRun(id, who, why)
	}
}

// checkWhole checks that both writes of each transaction are there or neither.
func (o *oracle) checkWhole(where string, has func(writeID) bool) {
	o.world.t.Helper()
	for _, x := range o.txns {
		if has(x.writes[0]) != has(x.writes[1]) {
			o.world.t.Fatalf("%s shows one write of the transaction %v", where, x.writes)
		}
	}
}

func (m *machine) callBegin(t *rapid.T) {
	if c := m.idle(t); c != nil {
		m.oracle.begin(c)
	}
}

// TestCrashWithinTransaction crashes the proxy or the primary after each
// statement of a transaction, and once the commit is applied.
func TestCrashWithinTransaction(t *testing.T) {
	for _, tc := range []struct {
		name  string
		crash func(m *machine) types.HostID
	}{
		{"proxy", func(*machine) types.HostID { return "proxy-1" }},
		{"primary", func(m *machine) types.HostID { return m.serving().host() }},
	} {
		for step := 1; step <= commitApplied; step++ {
			t.Run(fmt.Sprintf("%s at step %d", tc.name, step), func(t *testing.T) { crashAtStatement(t, uint64(step), tc.crash) })
		}
	}
}

func crashAtStatement(t *testing.T, step uint64, crash func(*machine) types.HostID) {
	m := &machine{world: newWorld(t, step, 3, 3, 3)}
	m.waitServing()
	c, other := m.oracle.newCaller(), m.oracle.newCaller()
	m.oracle.open(c, m.proxies["proxy-1"])
	m.oracle.begin(c)
	x := c.txn
	reached := func() bool { return x.step == int(step) }
	if step == commitApplied {
		reached = func() bool { return m.oracle.runs[x.writes[0]] }
	}
	if !m.cluster.RunUntil(time.Second, reached) {
		t.Fatalf("the transaction did not come to step %d", step)
	}
	lost := crash(m)
	m.stop(lost)
	if !m.writeThrough(other, m.proxies["proxy-2"]) {
		t.Fatalf("no write after the crash: %v", m.oracle.refusals)
	}
	m.start(lost)
	m.checkAllServe()
	if !x.committing && (m.oracle.runs[x.writes[0]] || m.oracle.runs[x.writes[1]]) {
		t.Fatalf("a transaction without a commit left %v", x.writes)
	}
}

// TestTransactionsShareConnections lets more callers work in transactions than
// a target has connections.
func TestTransactionsShareConnections(t *testing.T) {
	const callers, rounds = 40, 400
	w := newWorld(t, 8, 3, 3, 3)
	w.waitServing()
	for range callers {
		w.oracle.newCaller()
	}
	ids := w.proxyIDs()
	for range rounds {
		for i, c := range w.oracle.callers {
			switch {
			case c.request != nil || c.txn != nil:
			case c.session == nil:
				w.oracle.open(c, w.proxies[ids[i%len(ids)]])
			default:
				w.oracle.begin(c)
			}
		}
		w.cluster.Run(5 * time.Millisecond)
	}
	if w.oracle.commits < callers {
		t.Fatalf("%d commits of %d callers: %v", w.oracle.commits, callers, w.oracle.refusals)
	}
	w.checkAllServe()
}
