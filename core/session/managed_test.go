package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// logTerm is the term that the targets of the managed service count. It differs
// from control's.
const logTerm = types.Term(7)

func logPos(offset uint64) types.LogPos { return types.LogPos{Term: logTerm, Offset: offset} }

// newManagedDriver returns a driver whose service is promoted from outside, and
// whose databases "orders" and "catalog" are routed to it.
func newManagedDriver(t testing.TB) *driver {
	d := newDriver(t)
	d.config = testConfig()
	svc := d.config.Services[svcName]
	svc.Managed, svc.Members = true, 0
	d.config.Services[svcName] = svc
	d.config.Routes = map[types.DatabaseName]types.Route{
		"orders":  {Database: "orders", Service: svcName, Profile: "strict"},
		"catalog": {Database: "catalog", Service: svcName, Profile: "catalog"},
	}
	d.setView(func(v *types.NodeView, g *types.Group) {
		g.LogTerm, g.History = logTerm, types.TermHistory{{Term: logTerm}}
		for r, h := range v.Health {
			h.Term, h.Pos, h.AskedAt = logTerm, logPos(0), 0
			v.Health[r] = h
		}
	})
	return d
}

func (d *driver) openDatabase(id types.SessionID, name types.DatabaseName) {
	d.step(event.SessionOpened{Session: id, Params: types.SessionParams{Database: name}})
}

func (d *driver) readOnce(id types.SessionID) types.RequestSeq {
	return d.ask(id, types.Request{Class: types.ClassRead, Discards: true, Payload: "read"})
}

func (d *driver) writeOnce(id types.SessionID) types.RequestSeq {
	return d.ask(id, types.Request{Fenced: true, Commits: true, Payload: "write"})
}

// reply answers the last exchange with the position that comes with an answer.
func (d *driver) reply(offset uint64) {
	e, _ := d.sent()
	d.answerAs(e, types.TxIdle, types.TargetStatus{Pos: logPos(offset)})
}

// reject answers the last exchange with an error of the target.
func (d *driver) reject(kind types.TargetErrorKind, tx types.TxStatus) {
	e, _ := d.sent()
	results := make([]types.Result, len(e.Operations))
	for i := range results {
		results[i].Tx = tx
	}
	results[0].Err = kind
	d.step(answered(e, results))
}

func (d *driver) endLease() {
	d.setView(func(v *types.NodeView, _ *types.Group) { v.LeaseUntil = d.now })
}

func operationKinds(e effect.SendTarget) []types.OperationKind {
	var out []types.OperationKind
	for _, op := range e.Operations {
		out = append(out, op.Kind)
	}
	return out
}

func TestReadByAgeAsksAReplicaForAKnownPosition(t *testing.T) {
	d := newManagedDriver(t)
	d.openDatabase(1, "catalog")
	first := d.readOnce(1)
	_, name := d.sent()
	assert.Equal(t, name, types.TargetName("a"), "without a known position only the primary can serve")
	d.reply(40)
	assert.Assert(t, d.answered(first))

	d.advance(50 * time.Millisecond)
	second := d.readOnce(1)
	e, name := d.sent()
	assert.Assert(t, name != "a")
	assert.Equal(t, e.Operations[0].Floor, logPos(40))
	d.reply(40)
	assert.Assert(t, d.answered(second))

	d.advance(200 * time.Millisecond) // above the profile's age
	d.readOnce(1)
	_, name = d.sent()
	assert.Equal(t, name, types.TargetName("a"))
}

func TestReplicaThatIsBehindIsPassedOver(t *testing.T) {
	d := newManagedDriver(t)
	d.openDatabase(1, "catalog")
	d.readOnce(1)
	d.reply(40)
	seq := d.readOnce(1)
	tried := map[types.TargetName]bool{}
	for range 2 {
		_, name := d.sent()
		assert.Assert(t, name != "a" && !tried[name], "asked %s again", name)
		tried[name] = true
		d.reject(types.TargetErrBehind, types.TxIdle)
		d.connect()
	}
	e, name := d.sent()
	assert.Equal(t, name, types.TargetName("a"))
	assert.Equal(t, e.Operations[0].Floor, types.LogPos{}, "the primary needs no floor")
	d.reply(41)
	assert.Assert(t, d.answered(seq))
}

func TestOwnWriteRaisesTheFloor(t *testing.T) {
	d := newManagedDriver(t)
	d.openDatabase(1, "catalog")
	d.readOnce(1)
	d.reply(40)
	d.writeOnce(1)
	d.reply(55)
	d.readOnce(1)
	e, name := d.sent()
	assert.Assert(t, name != "a")
	assert.Equal(t, e.Operations[0].Floor, logPos(55))
}

func TestWorkWithoutALease(t *testing.T) {
	d := newManagedDriver(t)
	d.openDatabase(1, "orders")
	d.endLease()
	write := d.writeOnce(1)
	d.reply(3)
	assert.Assert(t, d.answered(write), "the target itself fences writes")

	read := d.readOnce(1)
	e, _ := d.sent()
	assert.DeepEqual(t, operationKinds(e), []types.OperationKind{types.OpBegin})
	d.answerAs(e, types.TxOpen, types.TargetStatus{})
	e, _ = d.sent()
	assert.DeepEqual(t, operationKinds(e), []types.OperationKind{types.OpCaller, types.OpRollback, types.OpPosition})
	d.reply(3)
	assert.Assert(t, d.answered(read))
}

func TestReadWithoutALeaseOnAReplacedPrimary(t *testing.T) {
	d := newManagedDriver(t)
	d.openDatabase(1, "orders")
	d.endLease()
	seq := d.readOnce(1)
	e, _ := d.sent()
	assert.DeepEqual(t, operationKinds(e), []types.OperationKind{types.OpBegin})
	d.reject(types.TargetErrReadOnly, types.TxIdle)
	assert.Assert(t, len(d.lastReport().Suspect) == 1, "nobody looks for the new primary")
	d.setView(func(v *types.NodeView, g *types.Group) {
		h := v.Health[ref("b")]
		h.Term, h.Primary = logTerm+1, true
		v.Health[ref("b")] = h
	})
	d.advance(300 * time.Millisecond)
	d.connect()
	e, name := d.sent()
	assert.Equal(t, name, types.TargetName("b"), "the new primary named itself")
	assert.DeepEqual(t, operationKinds(e), []types.OperationKind{types.OpBegin})
	d.answerAs(e, types.TxOpen, types.TargetStatus{})
	d.reply(3)
	assert.Assert(t, d.answered(seq))
}

func TestPlainReadIsNotSentAfterTheLease(t *testing.T) {
	d := newManagedDriver(t)
	d.openDatabase(1, "orders")
	d.readOnce(1)
	e, _ := d.sent()
	assert.Equal(t, e.Before, d.view.LeaseUntil)
	d.reply(1)
	d.writeOnce(1)
	e, _ = d.sent()
	assert.Equal(t, e.Before, types.Instant(0))
}

func TestBusyTargetIsAskedAgain(t *testing.T) {
	d := newManagedDriver(t)
	d.openDatabase(1, "orders")
	seq := d.writeOnce(1)
	d.reject(types.TargetErrBusy, types.TxIdle)
	assert.Equal(t, len(d.refused), 0)
	d.advance(100 * time.Millisecond)
	d.reply(1)
	assert.Assert(t, d.answered(seq))

	seq = d.writeOnce(1)
	for !d.closedFor(seq) {
		d.reject(types.TargetErrBusy, types.TxIdle)
		d.advance(250 * time.Millisecond)
	}
	assert.Equal(t, d.refusal(seq).Outcome, types.NotRun)
}

// closedFor reports whether the request was answered or refused.
func (d *driver) closedFor(seq types.RequestSeq) bool {
	return d.answered(seq) || d.refusal(seq).Code != 0
}

func TestOutcomeOfABrokenConnection(t *testing.T) {
	cases := []struct {
		name    string
		request types.Request
		inTx    bool
		outcome types.Outcome
	}{
		{"single write", types.Request{Fenced: true, Commits: true}, false, types.Unknown},
		{"write in a transaction", types.Request{Discards: true}, true, types.NotRun},
		{"commit of a transaction that wrote", types.Request{Commits: true}, true, types.Unknown},
		{"commit of a transaction that read", types.Request{Discards: true}, true, types.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newManagedDriver(t)
			d.openDatabase(1, "orders")
			if c.inTx {
				d.ask(1, types.Request{Begins: true, Fenced: true, Discards: true, Idempotent: true, Payload: "begin"})
				e, _ := d.sent()
				d.answerAs(e, types.TxOpen, types.TargetStatus{Pos: logPos(1)})
			}
			seq := d.ask(1, c.request)
			d.fail(true)
			d.advance(time.Second)
			assert.Equal(t, d.refusal(seq).Outcome, c.outcome)
		})
	}
}

func TestRouteChangesWithTheNextTransaction(t *testing.T) {
	d := newManagedDriver(t)
	d.openDatabase(1, "orders")
	d.ask(1, types.Request{Begins: true, Fenced: true, Discards: true, Payload: "begin"})
	e, _ := d.sent()
	d.answerAs(e, types.TxOpen, types.TargetStatus{})
	next := *d.config
	next.Routes = map[types.DatabaseName]types.Route{}
	d.config = &next
	d.setView(func(*types.NodeView, *types.Group) {})
	within := d.ask(1, types.Request{Commits: true, Fenced: true, Payload: "commit"})
	d.reply(2)
	assert.Assert(t, d.answered(within), "a transaction stays where it began")
	after := d.writeOnce(1)
	assert.Equal(t, d.refusal(after).Code, types.RefuseUnknownDatabase)
	assert.Equal(t, d.refusal(after).Outcome, types.NotRun)
}

// TestNameIsUnknownOnlyUnderALease guards against callers that are told that a
// database does not exist by a proxy whose configuration is outdated.
func TestNameIsUnknownOnlyUnderALease(t *testing.T) {
	d := newManagedDriver(t)
	d.openDatabase(1, "orders")
	next := *d.config
	next.Routes = map[types.DatabaseName]types.Route{}
	d.config = &next
	d.endLease()
	refused := d.refusal(d.writeOnce(1))
	assert.Equal(t, refused.Code, types.RefuseNoLease)
	assert.Equal(t, refused.Outcome, types.NotRun)
	for name, want := range map[types.DatabaseName]types.RefusalCode{"orders": types.RefuseNoLease, "other": types.RefuseNoLease} {
		r, ok := RefuseDatabase(d.view, name, d.now)
		assert.Assert(t, ok)
		assert.Equal(t, r.Code, want)
	}
	r, ok := RefuseDatabase(nil, "orders", d.now)
	assert.Assert(t, ok)
	assert.Equal(t, r.Code, types.RefuseNoLease)
}

func TestSessionStateIsRestored(t *testing.T) {
	d := newManagedDriver(t)
	d.share("a", types.Share{Connections: 1, Slots: 1})
	d.openDatabase(1, "orders")
	d.openDatabase(2, "orders")
	ask := func(id types.SessionID, s *types.Setup) []types.OperationKind {
		d.ask(id, types.Request{Fenced: true, Commits: true, Payload: "write", Setup: s})
		e, _ := d.sent()
		d.reply(1)
		return operationKinds(e)
	}
	own := &types.Setup{Settings: []types.Setting{{Name: "x", Value: "1"}}, Prepared: &types.Prepared{Name: "p"}}
	assert.DeepEqual(t, ask(1, own), []types.OperationKind{types.OpSetValue, types.OpPrepare, types.OpCaller, types.OpPosition})
	assert.DeepEqual(t, ask(1, own), []types.OperationKind{types.OpCaller, types.OpPosition})
	assert.DeepEqual(t, ask(2, nil), []types.OperationKind{types.OpReset, types.OpCaller, types.OpPosition})
	other := &types.Setup{Settings: []types.Setting{{Name: "x", Value: "2"}}}
	assert.DeepEqual(t, ask(1, other), []types.OperationKind{types.OpSetValue, types.OpCaller, types.OpPosition})
}

// TestTokenHoldsForARoutedSession covers a session that goes on after another
// one ended with its transaction.
func TestTokenHoldsForARoutedSession(t *testing.T) {
	d := newManagedDriver(t)
	d.openDatabase(1, "catalog")
	d.readOnce(1)
	d.reply(40)
	token := logPos(55)
	d.step(openWith(2, types.SessionParams{Database: "catalog", Token: &token}))
	d.readOnce(2)
	e, _ := d.sent()
	assert.Equal(t, e.Operations[0].Floor, token)
}

func TestIdleTransactionIsEnded(t *testing.T) {
	d := newManagedDriver(t)
	d.config.TransactionIdle = 100 * time.Millisecond
	d.setView(func(*types.NodeView, *types.Group) {})
	d.openDatabase(1, "orders")
	d.ask(1, types.Request{Begins: true, Fenced: true, Discards: true, Payload: "begin"})
	e, _ := d.sent()
	d.answerAs(e, types.TxOpen, types.TargetStatus{})
	d.advance(80 * time.Millisecond)
	d.ask(1, types.Request{Discards: true, Fenced: true, Payload: "write"})
	e, _ = d.sent()
	d.answerAs(e, types.TxOpen, types.TargetStatus{})
	d.advance(90 * time.Millisecond)
	assert.Equal(t, len(d.ended), 0, "a statement came meanwhile")
	d.advance(20 * time.Millisecond)
	assert.Equal(t, len(d.ended), 1)
	assert.Assert(t, d.closed[e.Conn], "the target still holds the transaction")
}

// TestProbeWithoutALeaseIsNoSample covers a primary that was replaced behind a
// partition and still takes itself for one: what it says of its position tells
// nothing about later commits.
func TestProbeWithoutALeaseIsNoSample(t *testing.T) {
	for _, leased := range []bool{true, false} {
		d := newManagedDriver(t)
		if !leased {
			d.endLease()
		}
		d.setView(func(v *types.NodeView, _ *types.Group) {
			h := v.Health[ref("a")]
			h.AskedAt, h.HeardAt, h.Pos = d.now, d.now, logPos(40)
			v.Health[ref("a")] = h
		})
		d.openDatabase(1, "catalog")
		d.readOnce(1)
		_, name := d.sent()
		assert.Equal(t, name != "a", leased, "lease %v: sent to %s", leased, name)
	}
}

// TestRejectedAnswerIsNoSample covers a primary that was replaced and says so:
// its position tells nothing about the commits of the next one.
func TestRejectedAnswerIsNoSample(t *testing.T) {
	for _, kind := range []types.TargetErrorKind{types.TargetErrReadOnly, types.TargetErrBusy} {
		d := newManagedDriver(t)
		d.endLease()
		d.openDatabase(1, "orders")
		d.openDatabase(2, "catalog")
		d.writeOnce(1)
		e, _ := d.sent()
		d.step(answered(e, []types.Result{{Err: kind}, {Status: types.TargetStatus{Pos: logPos(40)}}}))
		d.readOnce(2)
		e, name := d.sent()
		assert.Equal(t, name, types.TargetName("a"), "error %d gave a floor %v", kind, e.Operations[0].Floor)
	}
}

// TestBusyPrimaryGivesItsPosition covers an overloaded primary: what it refuses
// for want of room still tells where it stands while a lease rules out that it
// was replaced, so that replicas can take the reads.
func TestBusyPrimaryGivesItsPosition(t *testing.T) {
	d := newManagedDriver(t)
	d.openDatabase(1, "orders")
	d.openDatabase(2, "catalog")
	d.writeOnce(1)
	e, _ := d.sent()
	d.step(answered(e, []types.Result{{Err: types.TargetErrBusy}, {Status: types.TargetStatus{Pos: logPos(40)}}}))
	d.readOnce(2)
	e, name := d.sent()
	assert.Assert(t, name != "a", "the read went to the primary, which has no room")
	assert.Equal(t, e.Operations[0].Floor, logPos(40))
}

// TestRejectionIsNoAnswerTime covers targets that reject at once: they must not
// look quicker than those that work.
func TestRejectionIsNoAnswerTime(t *testing.T) {
	for _, kind := range []types.TargetErrorKind{types.TargetErrBusy, types.TargetErrBehind, types.TargetErrReadOnly} {
		d := newManagedDriver(t)
		d.openDatabase(1, "orders")
		d.writeOnce(1)
		e, _ := d.sent()
		a := answered(e, []types.Result{{Err: kind}, {Status: types.TargetStatus{Pos: logPos(40)}}})
		a.Took = time.Millisecond
		d.step(a)
		svc := d.shard.services[svcName]
		assert.Equal(t, svc.target("a").stats.Latency(), time.Duration(0), "error %d", kind)
		assert.Equal(t, svc.statementLatency("strict"), time.Duration(0), "error %d", kind)
	}
}
