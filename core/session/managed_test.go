package session

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// logTerm is the term that the targets of the managed service report. It differs
// from the control hosts' term of the group.
const logTerm = types.Term(7)

func logPos(offset uint64) types.LogPos { return types.LogPos{Term: logTerm, Offset: offset} }

// newManagedHarness returns a harness whose service is managed: an external
// promotion service promotes its targets. The databases "orders" and "catalog"
// are routed to it.
func newManagedHarness(t testing.TB) *harness {
	h := newHarness(t)
	h.config = testConfig()
	svc := h.config.Services[svcName]
	svc.Managed, svc.Members = true, 0
	h.config.Services[svcName] = svc
	h.config.Routes = map[types.DatabaseName]types.Route{
		"orders":  {Database: "orders", Service: svcName, Profile: "strict"},
		"catalog": {Database: "catalog", Service: svcName, Profile: "catalog"},
	}
	h.setView(func(v *types.NodeView, g *types.Group) {
		g.LogTerm, g.History = logTerm, types.TermHistory{{Term: logTerm}}
		for r, health := range v.Health {
			health.Term, health.Pos, health.ProbedAt = logTerm, logPos(0), 0
			v.Health[r] = health
		}
	})
	return h
}

func (h *harness) openDatabase(id types.SessionID, name types.DatabaseName) {
	h.step(event.SessionOpened{Session: id, Params: types.SessionParams{Database: name}})
}

// sendManagedRead sends a single read with the flags that a front end for a
// managed service sets.
func (h *harness) sendManagedRead(id types.SessionID) types.RequestSeq {
	return h.sendRequest(id, types.Request{Class: types.ClassRead, DiscardedOnClose: true, Payload: "read"})
}

// sendManagedWrite sends a single write with the flags that a front end for a
// managed service sets.
func (h *harness) sendManagedWrite(id types.SessionID) types.RequestSeq {
	return h.sendRequest(id, types.Request{Fenced: true, MayCommit: true, Payload: "write"})
}

// answerManaged answers the exchange that was sent last. offset is the target's
// position after it.
func (h *harness) answerManaged(offset uint64) {
	e, _ := h.lastSent()
	h.answerWith(e, types.TxIdle, types.TargetStatus{Pos: logPos(offset)})
}

// reject answers the exchange that was sent last with an error of the target.
func (h *harness) reject(kind types.TargetErrorKind, tx types.TxStatus) {
	e, _ := h.lastSent()
	results := make([]types.Result, len(e.Operations))
	for i := range results {
		results[i].Tx = tx
	}
	results[0].Err = kind
	h.step(answeredEvent(e, results))
}

func (h *harness) expireLease() {
	h.setView(func(v *types.NodeView, _ *types.Group) { v.LeaseUntil = h.now })
}

func operationKinds(e effect.SendTarget) []types.OperationKind {
	var out []types.OperationKind
	for _, op := range e.Operations {
		out = append(out, op.Kind)
	}
	return out
}

func TestAgeBoundedReadSendsFloorToReplica(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "catalog")
	first := h.sendManagedRead(1)
	_, name := h.lastSent()
	assert.Equal(t, name, types.TargetName("a"), "without a known position only the primary can serve the read")
	h.answerManaged(40)
	assert.Assert(t, h.answered(first))

	h.advance(50 * time.Millisecond)
	second := h.sendManagedRead(1)
	e, name := h.lastSent()
	assert.Assert(t, name != "a")
	assert.Equal(t, e.Operations[0].Floor, logPos(40))
	h.answerManaged(40)
	assert.Assert(t, h.answered(second))

	h.advance(200 * time.Millisecond) // above the profile's MaxAge
	h.sendManagedRead(1)
	_, name = h.lastSent()
	assert.Equal(t, name, types.TargetName("a"))
}

func TestReplicaThatIsBehindIsSkipped(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "catalog")
	h.sendManagedRead(1)
	h.answerManaged(40)
	seq := h.sendManagedRead(1)
	tried := map[types.TargetName]bool{}
	for range 2 {
		_, name := h.lastSent()
		assert.Assert(t, name != "a" && !tried[name], "attempt sent to %s", name)
		tried[name] = true
		h.reject(types.TargetErrBehind, types.TxIdle)
		h.connect()
	}
	e, name := h.lastSent()
	assert.Equal(t, name, types.TargetName("a"))
	assert.Equal(t, e.Operations[0].Floor, types.LogPos{}, "the primary needs no floor")
	h.answerManaged(41)
	assert.Assert(t, h.answered(seq))
}

func TestOwnWriteRaisesTheFloor(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "catalog")
	h.sendManagedRead(1)
	h.answerManaged(40)
	h.sendManagedWrite(1)
	h.answerManaged(55)
	h.sendManagedRead(1)
	e, name := h.lastSent()
	assert.Assert(t, name != "a")
	assert.Equal(t, e.Operations[0].Floor, logPos(55))
}

func TestManagedRequestsWithoutLease(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "orders")
	h.expireLease()
	write := h.sendManagedWrite(1)
	h.answerManaged(3)
	assert.Assert(t, h.answered(write), "a write needs no lease, because the target fences it")

	read := h.sendManagedRead(1)
	e, _ := h.lastSent()
	assert.DeepEqual(t, operationKinds(e), []types.OperationKind{types.OpBegin})
	h.answerWith(e, types.TxOpen, types.TargetStatus{})
	e, _ = h.lastSent()
	assert.DeepEqual(t, operationKinds(e), []types.OperationKind{types.OpCaller, types.OpRollback, types.OpPosition})
	h.answerManaged(3)
	assert.Assert(t, h.answered(read))
}

// TestReadOnUnconfirmedPrimaryIsFenced guards against stale reads: an unanswered
// promotion request may replace an unconfirmed primary although the proxy holds a
// lease.
func TestReadOnUnconfirmedPrimaryIsFenced(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "orders")
	h.setView(func(_ *types.NodeView, g *types.Group) { g.Unconfirmed = true })
	h.sendManagedRead(1)
	e, name := h.lastSent()
	assert.Equal(t, name, types.TargetName("a"))
	assert.DeepEqual(t, operationKinds(e), []types.OperationKind{types.OpBegin})
	h.answerWith(e, types.TxOpen, types.TargetStatus{})
	h.answerManaged(3)

	write := h.sendManagedWrite(1)
	h.answerManaged(4)
	assert.Assert(t, h.answered(write), "a write needs no confirmed primary, because the target fences it")

	h.setView(func(_ *types.NodeView, g *types.Group) { g.Unconfirmed = false })
	h.sendManagedRead(1)
	e, _ = h.lastSent()
	assert.DeepEqual(t, operationKinds(e), []types.OperationKind{types.OpCaller, types.OpPosition})
}

func TestReadWithoutLeaseOnReplacedPrimary(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "orders")
	h.expireLease()
	seq := h.sendManagedRead(1)
	e, _ := h.lastSent()
	assert.DeepEqual(t, operationKinds(e), []types.OperationKind{types.OpBegin})
	h.reject(types.TargetErrReadOnly, types.TxIdle)
	assert.Assert(t, len(h.lastReport().SuspectServices) == 1, "the replaced primary is not reported as suspect")
	h.setView(func(v *types.NodeView, g *types.Group) {
		health := v.Health[ref("b")]
		health.Term, health.Primary = logTerm+1, true
		v.Health[ref("b")] = health
	})
	h.advance(300 * time.Millisecond)
	h.connect()
	e, name := h.lastSent()
	assert.Equal(t, name, types.TargetName("b"), "b reports itself as the new primary")
	assert.DeepEqual(t, operationKinds(e), []types.OperationKind{types.OpBegin})
	h.answerWith(e, types.TxOpen, types.TargetStatus{})
	h.answerManaged(3)
	assert.Assert(t, h.answered(seq))
}

func TestUnfencedReadIsNotSentAfterLease(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "orders")
	h.sendManagedRead(1)
	e, _ := h.lastSent()
	assert.Equal(t, e.Deadline, h.view.LeaseUntil)
	h.answerManaged(1)
	h.sendManagedWrite(1)
	e, _ = h.lastSent()
	assert.Equal(t, e.Deadline, types.Instant(0))
}

func TestRequestToBusyTargetIsRetried(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "orders")
	seq := h.sendManagedWrite(1)
	h.reject(types.TargetErrBusy, types.TxIdle)
	assert.Equal(t, len(h.refusals), 0)
	h.advance(100 * time.Millisecond)
	h.answerManaged(1)
	assert.Assert(t, h.answered(seq))

	seq = h.sendManagedWrite(1)
	for !h.completed(seq) {
		h.reject(types.TargetErrBusy, types.TxIdle)
		h.advance(250 * time.Millisecond)
	}
	assert.Equal(t, h.refusal(seq).Outcome, types.NotRun)
}

// completed reports whether the request was answered or refused.
func (h *harness) completed(seq types.RequestSeq) bool {
	return h.answered(seq) || h.refusal(seq).Code != 0
}

func TestOutcomeOfBrokenConnection(t *testing.T) {
	cases := []struct {
		name    string
		request types.Request
		inTx    bool
		outcome types.Outcome
	}{
		{"single write", types.Request{Fenced: true, MayCommit: true}, false, types.Unknown},
		{"write in a transaction", types.Request{DiscardedOnClose: true}, true, types.NotRun},
		{"commit of a transaction that wrote", types.Request{MayCommit: true}, true, types.Unknown},
		{"commit of a transaction that read", types.Request{DiscardedOnClose: true}, true, types.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newManagedHarness(t)
			h.openDatabase(1, "orders")
			if c.inTx {
				h.sendRequest(1, types.Request{BeginsTx: true, Fenced: true, DiscardedOnClose: true, Idempotent: true, Payload: "begin"})
				e, _ := h.lastSent()
				h.answerWith(e, types.TxOpen, types.TargetStatus{Pos: logPos(1)})
			}
			seq := h.sendRequest(1, c.request)
			h.breakConn(true)
			h.advance(time.Second)
			assert.Equal(t, h.refusal(seq).Outcome, c.outcome)
		})
	}
}

// TestFailedBeginIsNotReportedAsSuccess guards against transactions that were never
// begun: their statements would be committed one by one, also if the caller rolls back.
func TestFailedBeginIsNotReportedAsSuccess(t *testing.T) {
	read := types.Request{Class: types.ClassRead, BeginsTx: true, DiscardedOnClose: true, Idempotent: true, Payload: "begin read"}
	write := types.Request{BeginsTx: true, Fenced: true, DiscardedOnClose: true, Idempotent: true, Payload: "begin"}
	cases := []struct {
		name, database string
		request        types.Request
		target         string // "primary" or "replica"
	}{
		{"on the primary", "orders", write, "primary"},
		{"read-only on the primary", "orders", read, "primary"},
		{"read-only on a replica", "catalog", read, "replica"},
	}
	for _, c := range cases {
		for _, tx := range []types.TxStatus{types.TxIdle, types.TxFailed} {
			t.Run(fmt.Sprint(c.name, " in state ", tx), func(t *testing.T) {
				h := newManagedHarness(t)
				h.openDatabase(1, types.DatabaseName(c.database))
				if c.target == "replica" {
					h.sendManagedRead(1)
					h.answerManaged(1)
				}
				seq := h.sendRequest(1, c.request)
				failed, name := h.lastSent()
				assert.Equal(t, name == "a", c.target == "primary", "sent to %s", name)
				h.reject(types.TargetErrStatement, tx)
				assert.Assert(t, !h.answered(seq), "a failed BEGIN was answered")
				assert.Equal(t, h.closed[failed.Conn], tx != types.TxIdle)

				h.advance(100 * time.Millisecond)
				h.connect()
				again, _ := h.lastSent()
				assert.Assert(t, again.Seq != failed.Seq || again.Conn != failed.Conn, "BEGIN was not sent again")
				h.answerWith(again, types.TxOpen, types.TargetStatus{Pos: logPos(1)})
				assert.Assert(t, h.answered(seq))
			})
		}
	}
}

// TestBeginThatKeepsFailingIsRefused guards against a failed BEGIN that is reported as
// success once its retries are used up.
func TestBeginThatKeepsFailingIsRefused(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "orders")
	seq := h.sendRequest(1, types.Request{BeginsTx: true, Fenced: true, DiscardedOnClose: true, Idempotent: true, Payload: "begin"})
	for range 100 {
		if h.completed(seq) {
			break
		}
		h.reject(types.TargetErrStatement, types.TxIdle)
		h.advance(20 * time.Millisecond)
	}
	assert.Assert(t, !h.answered(seq), "a failed BEGIN was answered")
	assert.Equal(t, h.refusal(seq).Outcome, types.NotRun)
	write := h.sendManagedWrite(1)
	h.answerManaged(2)
	assert.Assert(t, h.answered(write), "the session is no longer usable")
}

func TestRouteChangesWithTheNextTransaction(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "orders")
	h.sendRequest(1, types.Request{BeginsTx: true, Fenced: true, DiscardedOnClose: true, Payload: "begin"})
	e, _ := h.lastSent()
	h.answerWith(e, types.TxOpen, types.TargetStatus{})
	next := *h.config
	next.Routes = map[types.DatabaseName]types.Route{}
	h.config = &next
	h.setView(func(*types.NodeView, *types.Group) {})
	within := h.sendRequest(1, types.Request{MayCommit: true, Fenced: true, Payload: "commit"})
	h.answerManaged(2)
	assert.Assert(t, h.answered(within), "an open transaction keeps its route")
	after := h.sendManagedWrite(1)
	assert.Equal(t, h.refusal(after).Code, types.RefuseUnknownDatabase)
	assert.Equal(t, h.refusal(after).Outcome, types.NotRun)
}

// TestDatabaseIsUnknownOnlyUnderLease guards against a proxy with an outdated
// configuration that tells callers that a database does not exist.
func TestDatabaseIsUnknownOnlyUnderLease(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "orders")
	next := *h.config
	next.Routes = map[types.DatabaseName]types.Route{}
	h.config = &next
	h.expireLease()
	refused := h.refusal(h.sendManagedWrite(1))
	assert.Equal(t, refused.Code, types.RefuseNoLease)
	assert.Equal(t, refused.Outcome, types.NotRun)
	for name, want := range map[types.DatabaseName]types.RefusalCode{"orders": types.RefuseNoLease, "other": types.RefuseNoLease} {
		r, ok := RefuseSession(h.view, types.SessionParams{Database: name}, h.now)
		assert.Assert(t, ok)
		assert.Equal(t, r.Code, want)
	}
	r, ok := RefuseSession(nil, types.SessionParams{Database: "orders"}, h.now)
	assert.Assert(t, ok)
	assert.Equal(t, r.Code, types.RefuseNoLease)
}

func TestSessionStateIsRestored(t *testing.T) {
	h := newManagedHarness(t)
	h.setShare("a", types.Share{Connections: 1, Slots: 1})
	h.openDatabase(1, "orders")
	h.openDatabase(2, "orders")
	send := func(id types.SessionID, s *types.Setup) [][]types.OperationKind {
		before := len(h.sends)
		seq := h.sendRequest(id, types.Request{Fenced: true, MayCommit: true, Payload: "write", Setup: s})
		var exchanges [][]types.OperationKind
		for !h.answered(seq) {
			e, _ := h.lastSent()
			assert.Equal(t, len(h.sends), before+len(exchanges)+1)
			exchanges = append(exchanges, operationKinds(e))
			h.answerManaged(1)
		}
		return exchanges
	}
	statement := []types.OperationKind{types.OpCaller, types.OpPosition}
	own := &types.Setup{Settings: []types.Setting{{Name: "x", Value: "1"}}, Prepared: &types.Prepared{Name: "p"}}
	assert.DeepEqual(t, send(1, own), [][]types.OperationKind{{types.OpSetValue, types.OpPrepare}, statement})
	assert.DeepEqual(t, send(1, own), [][]types.OperationKind{statement})
	assert.DeepEqual(t, send(2, nil), [][]types.OperationKind{{types.OpReset}, statement})
	other := &types.Setup{Settings: []types.Setting{{Name: "x", Value: "2"}}}
	assert.DeepEqual(t, send(1, other), [][]types.OperationKind{{types.OpSetValue}, statement})
}

// TestTokenSetsFloorOfRoutedSession covers a session that continues, by its
// token, after an earlier one that ended with its transaction.
func TestTokenSetsFloorOfRoutedSession(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "catalog")
	h.sendManagedRead(1)
	h.answerManaged(40)
	token := logPos(55)
	h.step(sessionOpened(2, types.SessionParams{Database: "catalog", Token: &token}))
	h.sendManagedRead(2)
	e, _ := h.lastSent()
	assert.Equal(t, e.Operations[0].Floor, token)
}

// routeTo routes a database to a service.
func (h *harness) routeTo(database types.DatabaseName, service types.ServiceName) {
	next := *h.config
	next.Routes, next.Services = maps.Clone(next.Routes), maps.Clone(next.Services)
	route := next.Routes[database]
	route.Service = service
	next.Routes[database] = route
	if _, ok := next.Services[service]; !ok {
		svc := next.Services[svcName]
		svc.Name = service
		next.Services[service] = svc
	}
	h.config = &next
	h.setView(func(*types.NodeView, *types.Group) {})
}

// TestFloorIsKeptWhileRouteLeadsElsewhere guards against a session that misses its own
// commits after its route led to another service and back.
func TestFloorIsKeptWhileRouteLeadsElsewhere(t *testing.T) {
	for _, requests := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(requests, " requests meanwhile"), func(t *testing.T) {
			h := newManagedHarness(t)
			profile := h.config.Profiles["catalog"]
			profile.MaxAge = time.Minute
			h.config.Profiles["catalog"] = profile
			h.openDatabase(1, "catalog")
			h.sendManagedRead(1)
			h.answerManaged(40)
			h.sendManagedWrite(1)
			h.answerManaged(55)
			for range requests {
				h.routeTo("catalog", "other")
				seq := h.sendManagedRead(1)
				h.advance(time.Second)
				assert.Assert(t, h.completed(seq), "a service without members does not answer")
			}
			h.routeTo("catalog", svcName)
			h.sendManagedRead(1)
			e, name := h.lastSent()
			assert.Assert(t, name != "a")
			assert.Equal(t, e.Operations[0].Floor, logPos(55))
		})
	}
}

// TestFloorKeepsWhatAPromotionLeft guards against a session that misses the commits that
// a promotion kept after it was told that its last one is lost.
func TestFloorKeepsWhatAPromotionLeft(t *testing.T) {
	h := newManagedHarness(t)
	profile := h.config.Profiles["catalog"]
	profile.MaxAge = time.Minute
	h.config.Profiles["catalog"] = profile
	h.openDatabase(1, "catalog")
	h.openDatabase(2, "catalog")
	h.sendManagedRead(2)
	h.answerManaged(30)
	for _, offset := range []uint64{40, 55} {
		h.sendManagedWrite(1)
		h.answerManaged(offset)
	}
	h.setView(func(_ *types.NodeView, g *types.Group) {
		g.Term, g.LogTerm, g.Primary = 2, logTerm+1, "b"
		g.History = types.TermHistory{{Term: logTerm}, {Term: logTerm + 1, Offset: 50}}
	})
	h.sendManagedRead(2)
	h.answerWith(h.sends[len(h.sends)-1], types.TxIdle, types.TargetStatus{Pos: logPos(30)})
	lost := h.sendManagedRead(1)
	assert.Equal(t, h.refusal(lost).Code, types.RefuseLostWrite)
	h.sendManagedRead(1)
	e, name := h.lastSent()
	assert.Assert(t, name != "b", "no position of the primary is known")
	assert.Equal(t, e.Operations[0].Floor, logPos(50))
}

// TestFloorsSurviveSessionReplacement guards against a caller that misses its own
// commits after its session ended with a transaction and another one replaced it.
func TestFloorsSurviveSessionReplacement(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "catalog")
	h.sendManagedRead(1)
	h.answerManaged(40)
	floors := map[types.ServiceName]types.LogPos{svcName: logPos(55), "other": logPos(99)}
	h.step(sessionOpened(2, types.SessionParams{Database: "catalog", Floors: floors}))
	seq := h.sendManagedRead(2)
	e, _ := h.lastSent()
	assert.Equal(t, e.Operations[0].Floor, logPos(55))
	h.answerManaged(55)
	answer := h.answers[len(h.answers)-1]
	assert.Assert(t, h.answered(seq))
	assert.Equal(t, answer.Answer.Service, svcName)
	assert.Equal(t, answer.Answer.Floor, logPos(55))
}

func TestIdleTransactionIsEnded(t *testing.T) {
	h := newManagedHarness(t)
	h.config.TransactionIdle = 100 * time.Millisecond
	h.setView(func(*types.NodeView, *types.Group) {})
	h.openDatabase(1, "orders")
	h.sendRequest(1, types.Request{BeginsTx: true, Fenced: true, DiscardedOnClose: true, Payload: "begin"})
	e, _ := h.lastSent()
	h.answerWith(e, types.TxOpen, types.TargetStatus{})
	h.advance(80 * time.Millisecond)
	h.sendRequest(1, types.Request{DiscardedOnClose: true, Fenced: true, Payload: "write"})
	e, _ = h.lastSent()
	h.answerWith(e, types.TxOpen, types.TargetStatus{})
	h.advance(90 * time.Millisecond)
	assert.Equal(t, len(h.endedSessions), 0, "the statement restarts the idle time")
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.endedSessions), 1)
	assert.Assert(t, h.closed[e.Conn], "the connection is still open, so the target keeps the transaction")
}

// TestProbeWithoutLeaseIsNotSampled guards against stale floors: a primary that
// was replaced behind a partition still reports itself as primary, and its
// position does not cover later commits.
func TestProbeWithoutLeaseIsNotSampled(t *testing.T) {
	for _, leased := range []bool{true, false} {
		h := newManagedHarness(t)
		if !leased {
			h.expireLease()
		}
		h.setView(func(v *types.NodeView, _ *types.Group) {
			health := v.Health[ref("a")]
			health.ProbedAt, health.LastContact, health.Pos = h.now, h.now, logPos(40)
			v.Health[ref("a")] = health
		})
		h.openDatabase(1, "catalog")
		h.sendManagedRead(1)
		_, name := h.lastSent()
		assert.Equal(t, name != "a", leased, "with lease %v the read was sent to %s", leased, name)
	}
}

// TestRejectedAnswerIsNotSampled guards against stale floors: a primary that
// rejects a write was replaced or, without a lease, may have been, and its
// position does not cover the commits of the next primary.
func TestRejectedAnswerIsNotSampled(t *testing.T) {
	for _, kind := range []types.TargetErrorKind{types.TargetErrReadOnly, types.TargetErrBusy} {
		h := newManagedHarness(t)
		h.expireLease()
		h.openDatabase(1, "orders")
		h.openDatabase(2, "catalog")
		h.sendManagedWrite(1)
		e, _ := h.lastSent()
		h.step(answeredEvent(e, []types.Result{{Err: kind}, {Status: types.TargetStatus{Pos: logPos(40)}}}))
		h.sendManagedRead(2)
		e, name := h.lastSent()
		assert.Equal(t, name, types.TargetName("a"), "after error %d the read was sent with floor %v", kind, e.Operations[0].Floor)
	}
}

// TestBusyPrimaryIsSampledUnderLease covers an overloaded primary: while a lease
// rules out that it was replaced, the position in a rejection because of missing
// capacity is valid, so that replicas can serve the reads.
func TestBusyPrimaryIsSampledUnderLease(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "orders")
	h.openDatabase(2, "catalog")
	h.sendManagedWrite(1)
	e, _ := h.lastSent()
	h.step(answeredEvent(e, []types.Result{{Err: types.TargetErrBusy}, {Status: types.TargetStatus{Pos: logPos(40)}}}))
	h.sendManagedRead(2)
	e, name := h.lastSent()
	assert.Assert(t, name != "a", "the read was sent to the primary, which has no capacity left")
	assert.Equal(t, e.Operations[0].Floor, logPos(40))
}

// TestRejectionIsNotCountedInLatency guards against routing that prefers targets
// which reject at once: they must not appear faster than those that execute
// statements.
func TestRejectionIsNotCountedInLatency(t *testing.T) {
	for _, kind := range []types.TargetErrorKind{types.TargetErrBusy, types.TargetErrBehind, types.TargetErrReadOnly} {
		h := newManagedHarness(t)
		h.openDatabase(1, "orders")
		h.sendManagedWrite(1)
		e, _ := h.lastSent()
		a := answeredEvent(e, []types.Result{{Err: kind}, {Status: types.TargetStatus{Pos: logPos(40)}}})
		a.Latency = time.Millisecond
		h.step(a)
		svc := h.shard.services[svcName]
		assert.Equal(t, svc.target("a").stats.Latency(), time.Duration(0), "error %d", kind)
		assert.Equal(t, svc.statementLatency("strict"), time.Duration(0), "error %d", kind)
	}
}

// unfencedTargets makes the targets go on as primaries after they were replaced.
func (h *harness) unfencedTargets() {
	config := *h.config
	config.Unfenced = true
	h.config = &config
	h.setView(func(*types.NodeView, *types.Group) {})
}

// TestUnfencedPrimaryGetsNothingWithoutLease covers targets that go on as primaries after
// they were replaced: without a lease neither writes nor reads are sent to the primary.
func TestUnfencedPrimaryGetsNothingWithoutLease(t *testing.T) {
	h := newManagedHarness(t)
	h.unfencedTargets()
	h.openDatabase(1, "orders")
	h.expireLease()
	sent := len(h.sends)
	write := h.sendManagedWrite(1)
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.sends), sent, "a write was sent without a lease")
	assert.Assert(t, !h.answered(write))
}

// TestUnfencedPrimaryIsBelievedUnderItsLeaseOnly lets the lease end, or another primary
// be chosen, between a write and its answer: the outcome is unknown then.
func TestUnfencedPrimaryIsBelievedUnderItsLeaseOnly(t *testing.T) {
	for name, lose := range map[string]func(h *harness){
		"lease ended": func(h *harness) { h.expireLease() },
		"replaced": func(h *harness) {
			h.setView(func(_ *types.NodeView, g *types.Group) { g.Term, g.Phase, g.Primary = g.Term+1, types.GroupFencing, "" })
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newManagedHarness(t)
			h.unfencedTargets()
			h.openDatabase(1, "orders")
			kept := h.sendManagedWrite(1)
			h.answerManaged(3)
			assert.Assert(t, h.answered(kept), "a write under the lease")
			lost := h.sendManagedWrite(1)
			lose(h)
			h.answerManaged(4)
			assert.Assert(t, !h.answered(lost))
			assert.Equal(t, h.refusal(lost).Outcome, types.Unknown)
		})
	}
}

// TestCommitWithoutWritesSaysNothingOfThePrimary guards against stale reads: a replaced
// primary commits a transaction that has written nothing, so that without a lease neither is
// its position a floor of reads nor its answer a reason to put off the next probe.
func TestCommitWithoutWritesSaysNothingOfThePrimary(t *testing.T) {
	for _, tt := range []struct {
		name     string
		request  types.Request
		leased   bool
		believed bool
	}{
		{"without writes", types.Request{DiscardedOnClose: true, Payload: "commit"}, false, false},
		{"without writes, under a lease", types.Request{DiscardedOnClose: true, Payload: "commit"}, true, true},
		{"with writes", types.Request{MayCommit: true, Payload: "commit"}, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newManagedHarness(t)
			h.setView(func(_ *types.NodeView, g *types.Group) { g.Unconfirmed = !tt.leased })
			h.openDatabase(1, "orders")
			h.sendRequest(1, types.Request{Fenced: true, BeginsTx: true, DiscardedOnClose: true, Idempotent: true, Payload: "begin"})
			e, _ := h.lastSent()
			h.answerWith(e, types.TxOpen, types.TargetStatus{})
			began := h.now
			h.advance(2 * h.config.Profiles["catalog"].MaxAge) // what was learnt before is too old
			commit := h.sendRequest(1, tt.request)
			h.answerManaged(40)
			assert.Assert(t, h.answered(commit))

			h.openDatabase(2, "catalog")
			h.sendManagedRead(2)
			_, name := h.lastSent()
			assert.Equal(t, name != "a", tt.believed, "the read was sent to %s", name)
			h.advance(reportInterval)
			assert.Equal(t, h.lastReport().AnsweredAt[ref("a")] > began, tt.believed)
		})
	}
}
