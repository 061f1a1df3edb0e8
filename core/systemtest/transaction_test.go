package systemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"pgregory.net/rapid"
)

// maxThinkTime limits the random pause of a caller between two statements.
const maxThinkTime = 30 * time.Millisecond

// commitApplied is the step after the four statements of a transaction: the target has
// applied the commit, and the answer is in flight.
const commitApplied = 5

// transaction is a caller's transaction of two writes.
type transaction struct {
	writes     [2]writeID
	step       int // number of statements sent, including BEGIN
	committing bool
}

// begin starts a transaction of a caller.
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

// handleTxnAnswer handles the answer to a statement of a transaction and schedules the
// next one.
func (o *oracle) handleTxnAnswer(c *caller, r *request, a types.Answer) {
	o.sim.t.Helper()
	x := r.txn
	if !x.committing {
		if a.Tx == types.TxIdle {
			o.sim.t.Fatalf("%s is not in a transaction after statement %d", c.name, x.step)
		}
		o.scheduleStatement(c)
		return
	}
	c.txn = nil
	if a.Tx != types.TxIdle {
		o.sim.t.Fatalf("%s is still in a transaction after its commit", c.name)
	}
	if a.Payload != committed {
		o.markTxnNotRun(c.name, x, "its commit failed")
		return
	}
	o.commits++
	for _, id := range x.writes {
		o.acked[id] = o.sim.cluster.Now()
	}
	o.ackOrder = append(o.ackOrder, x.writes[:]...)
	c.acked = append(c.acked, x.writes[:]...)
}

func (o *oracle) scheduleStatement(c *caller) {
	x, pause := c.txn, time.Duration(o.sim.cluster.Random()%uint64(maxThinkTime))
	o.sim.cluster.Schedule(pause, func() {
		if c.txn == x {
			o.nextStatement(c)
		}
	})
}

// handleTxnRefusal ends a transaction. If the commit was not sent or not run, none of
// its writes may ever be visible.
func (o *oracle) handleTxnRefusal(c *caller, r types.Refusal) {
	o.sim.t.Helper()
	x := c.txn
	c.txn = nil
	if !x.committing || r.Outcome == types.NotRun {
		o.markTxnNotRun(c.name, x, r.Error())
		return
	}
	c.unknownCommit = x
}

// abandonTxn ends the transaction of a session that has ended.
func (o *oracle) abandonTxn(c *caller) {
	o.sim.t.Helper()
	x := c.txn
	c.txn = nil
	if !x.committing {
		o.markTxnNotRun(c.name, x, "its session ended before the commit")
	}
}

func (o *oracle) markTxnNotRun(who string, x *transaction, why string) {
	o.sim.t.Helper()
	for _, id := range x.writes {
		o.markNotRun(id, who, why)
	}
}

// checkAtomic checks that either both writes of each transaction are present or none.
func (o *oracle) checkAtomic(where string, has func(writeID) bool) {
	o.sim.t.Helper()
	for _, x := range o.txns {
		if has(x.writes[0]) != has(x.writes[1]) {
			o.sim.t.Fatalf("%s contains only one of the two writes %v of a transaction", where, x.writes)
		}
	}
}

func (m *machine) callBegin(t *rapid.T) {
	if c := m.idleCaller(t); c != nil {
		m.oracle.begin(c)
	}
}

// TestCrashWithinTransaction crashes the proxy or the primary after each statement of a
// transaction, and after the commit is applied.
func TestCrashWithinTransaction(t *testing.T) {
	for _, tc := range []struct {
		name  string
		crash func(m *machine) types.HostID
	}{
		{"proxy", func(*machine) types.HostID { return "proxy-1" }},
		{"primary", func(m *machine) types.HostID { return m.commonPrimary().host() }},
	} {
		for step := 1; step <= commitApplied; step++ {
			t.Run(fmt.Sprintf("%s at step %d", tc.name, step), func(t *testing.T) { crashAtStatement(t, uint64(step), tc.crash) })
		}
	}
}

func crashAtStatement(t *testing.T, step uint64, crash func(*machine) types.HostID) {
	m := &machine{simulation: newSimulation(t, step, 3, 3, 3)}
	m.awaitServing()
	c, other := m.oracle.newCaller(), m.oracle.newCaller()
	m.oracle.openSession(c, m.proxies["proxy-1"])
	m.oracle.begin(c)
	x := c.txn
	reached := func() bool { return x.step == int(step) }
	if step == commitApplied {
		reached = func() bool { return m.oracle.executed[x.writes[0]] }
	}
	if !m.cluster.RunUntil(time.Second, reached) {
		t.Fatalf("the transaction did not reach step %d", step)
	}
	lost := crash(m)
	m.stop(lost)
	if !m.writeThrough(other, m.proxies["proxy-2"]) {
		t.Fatalf("no write succeeded after the crash, refusals: %v", m.oracle.refusals)
	}
	m.start(lost)
	m.checkAllServe()
	if !x.committing && (m.oracle.executed[x.writes[0]] || m.oracle.executed[x.writes[1]]) {
		t.Fatalf("writes %v of an uncommitted transaction were executed", x.writes)
	}
}

// TestTransactionsShareConnections runs transactions of more concurrent callers than a
// target has connections.
func TestTransactionsShareConnections(t *testing.T) {
	const callers, rounds = 40, 400
	s := newSimulation(t, 8, 3, 3, 3)
	s.awaitServing()
	for range callers {
		s.oracle.newCaller()
	}
	ids := s.proxyIDs()
	for range rounds {
		for i, c := range s.oracle.callers {
			switch {
			case c.request != nil || c.txn != nil:
			case c.session == nil:
				s.oracle.openSession(c, s.proxies[ids[i%len(ids)]])
			default:
				s.oracle.begin(c)
			}
		}
		s.cluster.Run(5 * time.Millisecond)
	}
	if s.oracle.commits < callers {
		t.Fatalf("%d commits of %d callers, refusals: %v", s.oracle.commits, callers, s.oracle.refusals)
	}
	s.checkAllServe()
}
