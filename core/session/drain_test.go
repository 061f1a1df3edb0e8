package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// Times from the request to stop in these tests.
const (
	drainTime       = 400 * time.Millisecond
	transactionTime = drainTime / 2 // the end of transactions that wait for their callers
)

// beginAndDrain opens a transaction of session 1 and asks the proxy to stop. It returns
// the connection of the transaction.
func (h *harness) beginAndDrain() types.ConnID {
	h.openDatabase(1, "orders")
	h.sendRequest(1, types.Request{BeginsTx: true, Fenced: true, DiscardedOnClose: true, Idempotent: true, Payload: "begin"})
	e, _ := h.lastSent()
	h.answerWith(e, types.TxOpen, types.TargetStatus{Pos: logPos(1)})
	h.step(event.DrainBegan{Until: h.now.Add(drainTime)})
	return e.Conn
}

// sendInTx sends a write of the open transaction.
func (h *harness) sendInTx() types.RequestSeq {
	return h.sendRequest(1, types.Request{Fenced: true, DiscardedOnClose: true, Payload: "write"})
}

// TestIdleTransactionEndsBeforeTheDrainLimit guards against statements that are cut
// off at the drain limit because their transaction was left open until then.
func TestIdleTransactionEndsBeforeTheDrainLimit(t *testing.T) {
	h := newManagedHarness(t)
	conn := h.beginAndDrain()
	h.advance(transactionTime - 10*time.Millisecond)
	assert.Equal(t, len(h.endedSessions), 0, "the transaction has time left")
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.endedSessions), 1)
	assert.Equal(t, h.endedSessions[0].Refusal.Code, types.RefuseTransactionLost)
	assert.Assert(t, h.closed[conn], "the connection is still open, so the target keeps the transaction")
	late := h.sendInTx()
	assert.Equal(t, h.refusal(late).Outcome, types.NotRun)
}

// TestStatementAtTheEndOfTransactionsIsAnswered guards against a statement that is cut
// off when the transactions of a stopping proxy end.
func TestStatementAtTheEndOfTransactionsIsAnswered(t *testing.T) {
	h := newManagedHarness(t)
	h.beginAndDrain()
	h.advance(transactionTime - 10*time.Millisecond)
	seq := h.sendInTx()
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.endedSessions), 0)
	e, _ := h.lastSent()
	h.answerWith(e, types.TxOpen, types.TargetStatus{Pos: logPos(1)})
	assert.Assert(t, h.answered(seq))
	h.advance(10 * time.Millisecond)
	assert.Equal(t, len(h.endedSessions), 1, "the transaction goes on")
}

// TestRequestsAreRefusedAtTheDrainLimit guards against connections that end without an
// answer to a request that the proxy has sent to a target or queued.
func TestRequestsAreRefusedAtTheDrainLimit(t *testing.T) {
	cases := []struct {
		name    string
		request types.Request
		inTx    bool
		noShare bool // no connection is free, so that the request is queued
		outcome types.Outcome
	}{
		{"write in a transaction", types.Request{Fenced: true, DiscardedOnClose: true}, true, false, types.NotRun},
		{"commit", types.Request{MayCommit: true}, true, false, types.Unknown},
		{"single write", types.Request{Fenced: true, MayCommit: true}, false, false, types.Unknown},
		{"single read", types.Request{Class: types.ClassRead, DiscardedOnClose: true}, false, false, types.NotRun},
		{"queued write", types.Request{Fenced: true, MayCommit: true}, false, true, types.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newManagedHarness(t)
			for name, p := range h.config.Profiles {
				p.RequestTimeout, p.QueueTimeout = time.Minute, time.Minute
				h.config.Profiles[name] = p
			}
			if c.noShare {
				h.setShare("a", types.Share{})
			}
			var seq types.RequestSeq
			if c.inTx {
				h.beginAndDrain()
				h.advance(transactionTime - 10*time.Millisecond)
				seq = h.sendRequest(1, c.request)
			} else {
				h.openDatabase(1, "orders")
				seq = h.sendRequest(1, c.request)
				h.step(event.DrainBegan{Until: h.now.Add(drainTime)})
			}
			h.advance(drainTime)
			assert.Assert(t, h.refusal(seq).Code != 0, "the request was not answered")
			assert.Equal(t, h.refusal(seq).Outcome, c.outcome)
			assert.Equal(t, len(h.endedSessions), 1)
		})
	}
}
