package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// newSynchronousHarness returns a harness whose managed service acknowledges a commit once
// one replica has received it. Session 1 is open.
func newSynchronousHarness(t testing.TB) *harness {
	h := newManagedHarness(t)
	svc := h.config.Services[svcName]
	svc.SyncReplicas = 1
	h.config.Services[svcName] = svc
	h.setView(func(*types.NodeView, *types.Group) {})
	h.openDatabase(1, "orders")
	return h
}

// beginTerm publishes that control replaces the primary and that no new one is chosen yet.
func (h *harness) beginTerm() {
	h.setView(func(_ *types.NodeView, g *types.Group) {
		g.Term, g.Phase, g.Primary = g.Term+1, types.GroupFencing, ""
	})
}

// serveTerm publishes the primary that control has chosen, which leads a term of the targets.
func (h *harness) serveTerm(primary types.TargetName, term types.Term) {
	h.setView(func(_ *types.NodeView, g *types.Group) {
		g.Phase, g.Primary, g.LogTerm = types.GroupServing, primary, term
	})
}

// renewLease gives the proxy a lease.
func (h *harness) renewLease() {
	h.setView(func(v *types.NodeView, _ *types.Group) { v.LeaseUntil = h.now.Add(time.Hour) })
}

// setUnconfirmed publishes whether an open promotion request may replace the primary.
func (h *harness) setUnconfirmed(unconfirmed bool) {
	h.setView(func(_ *types.NodeView, g *types.Group) { g.Unconfirmed = unconfirmed })
}

// sendCommit sends the COMMIT of a transaction that has written.
func (h *harness) sendCommit(id types.SessionID) types.RequestSeq {
	h.sendRequest(id, types.Request{Fenced: true, BeginsTx: true, DiscardedOnClose: true, Idempotent: true, Payload: "begin"})
	e, _ := h.lastSent()
	h.answerWith(e, types.TxOpen, types.TargetStatus{})
	h.sendRequest(id, types.Request{Fenced: true, DiscardedOnClose: true, Payload: "write"})
	e, _ = h.lastSent()
	h.answerWith(e, types.TxOpen, types.TargetStatus{})
	return h.sendRequest(id, types.Request{MayCommit: true, Payload: "commit"})
}

// sendExecute sends the execution of a prepared write, whose connection is set up first.
func (h *harness) sendExecute(id types.SessionID) types.RequestSeq {
	setup := &types.Setup{Prepared: &types.Prepared{Name: "p1", Definition: "prepare"}}
	seq := h.sendRequest(id, types.Request{Fenced: true, MayCommit: true, Payload: "execute", Setup: setup})
	e, _ := h.lastSent()
	h.answerWith(e, types.TxIdle, types.TargetStatus{})
	return seq
}

// commits are the ways to send a request that commits.
var commits = map[string]func(*harness, types.SessionID) types.RequestSeq{
	"single write": (*harness).sendManagedWrite, "COMMIT": (*harness).sendCommit, "EXECUTE": (*harness).sendExecute,
}

// TestCommitOfAnEndedTermIsNotAcknowledged guards against the loss of a commit that is
// acknowledged after control has read the positions of the members: the one that it
// promotes may lack it.
func TestCommitOfAnEndedTermIsNotAcknowledged(t *testing.T) {
	for name, send := range commits {
		t.Run(name, func(t *testing.T) {
			h := newSynchronousHarness(t)
			seq := send(h, 1)
			h.beginTerm()
			h.answerManaged(4)
			assert.Assert(t, !h.answered(seq), "acknowledged although control replaces the primary")
			h.serveTerm("b", logTerm+1)
			assert.Assert(t, !h.answered(seq))
			assert.Equal(t, h.refusal(seq).Code, types.RefuseReplaced)
			assert.Equal(t, h.refusal(seq).Outcome, types.Unknown)
		})
	}
}

// TestCommitIsAcknowledgedByThePrimaryThatStays checks that callers get the success of a
// commit whose primary was to be replaced, or may have been, and serves on.
func TestCommitIsAcknowledgedByThePrimaryThatStays(t *testing.T) {
	for name, send := range commits {
		t.Run(name, func(t *testing.T) {
			for what, tt := range map[string]struct{ before, after func(*harness) }{
				"term without another primary": {(*harness).beginTerm, func(h *harness) { h.serveTerm("a", logTerm) }},
				"lease that expired":           {(*harness).expireLease, (*harness).renewLease},
				"promotion request that is open": {
					func(h *harness) { h.setUnconfirmed(true) }, func(h *harness) { h.setUnconfirmed(false) },
				},
			} {
				t.Run(what, func(t *testing.T) {
					h := newSynchronousHarness(t)
					seq := send(h, 1)
					tt.before(h)
					h.answerManaged(4)
					assert.Assert(t, !h.answered(seq))
					tt.after(h)
					assert.Assert(t, h.answered(seq), "%+v", h.refusals)
				})
			}
		})
	}
}

// TestUnconfirmedCommitIsUnknown checks what callers hear of an executed commit whose
// primary is not confirmed in time.
func TestUnconfirmedCommitIsUnknown(t *testing.T) {
	for name, send := range commits {
		t.Run(name, func(t *testing.T) {
			h := newSynchronousHarness(t)
			seq := send(h, 1)
			h.expireLease()
			h.answerManaged(4)
			h.advance(h.config.Profiles["strict"].RequestTimeout)
			assert.Equal(t, h.refusal(seq).Code, types.RefuseNoLease)
			assert.Equal(t, h.refusal(seq).Outcome, types.Unknown)
		})
	}
}

// TestFailedCommitNeedsNoLease checks that an error of the target is relayed at once.
func TestFailedCommitNeedsNoLease(t *testing.T) {
	h := newSynchronousHarness(t)
	seq := h.sendManagedWrite(1)
	h.expireLease()
	h.reject(types.TargetErrStatement, types.TxIdle)
	assert.Assert(t, h.answered(seq))
}

// TestCommitWaitsForALease checks that a commit that could not be acknowledged is not sent,
// so that the caller may be told that it did not run, and that reads go on.
func TestCommitWaitsForALease(t *testing.T) {
	for name, tt := range map[string]struct {
		lose, regain func(*harness)
		code         types.RefusalCode
	}{
		"no lease":            {(*harness).expireLease, (*harness).renewLease, types.RefuseNoLease},
		"unconfirmed primary": {func(h *harness) { h.setUnconfirmed(true) }, func(h *harness) { h.setUnconfirmed(false) }, types.RefuseNoPrimary},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSynchronousHarness(t)
			tt.lose(h)
			sent := len(h.sends)
			refused := h.sendManagedWrite(1)
			assert.Equal(t, len(h.sends), sent)
			assert.Equal(t, len(h.lastReport().WaitingServices), 0, "the members are probed for positions that nobody needs")
			h.advance(h.config.Profiles["strict"].QueueTimeout)
			assert.Equal(t, h.refusal(refused), types.Refusal{
				Code: tt.code, Outcome: types.NotRun, Reason: "the proxy holds no lease on a confirmed primary",
			})

			h.sendManagedRead(1)
			e, _ := h.lastSent()
			assert.Equal(t, e.Operations[0].Kind, types.OpBegin, "a read needs no lease")
			h.answerWith(e, types.TxOpen, types.TargetStatus{})
			h.answerManaged(3)

			served := h.sendManagedWrite(1)
			tt.regain(h)
			h.connect()
			h.answerManaged(4)
			assert.Assert(t, h.answered(served), "%+v", h.refusals)
		})
	}
}

// TestCommitOfATransactionWaitsForALease checks the same for the COMMIT of a transaction
// that began under a lease. Without it the transaction ends with its connection.
func TestCommitOfATransactionWaitsForALease(t *testing.T) {
	h := newSynchronousHarness(t)
	h.sendRequest(1, types.Request{Fenced: true, BeginsTx: true, DiscardedOnClose: true, Idempotent: true, Payload: "begin"})
	e, _ := h.lastSent()
	h.answerWith(e, types.TxOpen, types.TargetStatus{})
	h.expireLease()
	sent := len(h.sends)
	seq := h.sendRequest(1, types.Request{MayCommit: true, Payload: "commit"})
	assert.Equal(t, len(h.sends), sent)
	h.advance(h.config.Profiles["strict"].QueueTimeout)
	assert.Equal(t, h.refusal(seq).Outcome, types.NotRun)
	assert.Assert(t, h.closed[e.Conn], "the transaction was not rolled back")
}

// TestQueuedCommitWaitsForALease checks that a commit is not sent that was queued under a
// lease and whose connection opens after it.
func TestQueuedCommitWaitsForALease(t *testing.T) {
	h := newSynchronousHarness(t)
	h.step(event.RequestArrived{Session: 1, Request: types.Request{Seq: 1, Fenced: true, MayCommit: true, Payload: "write"}})
	h.expireLease()
	h.connect()
	assert.Equal(t, len(h.sends), 0)
	h.renewLease()
	assert.Equal(t, len(h.sends), 1)
}
