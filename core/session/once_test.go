package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// lastOperationKinds returns the operations of the exchange that was sent last.
func (h *harness) lastOperationKinds() []types.OperationKind {
	e, _ := h.lastSent()
	var kinds []types.OperationKind
	for _, op := range e.Operations {
		kinds = append(kinds, op.Kind)
	}
	return kinds
}

// sendCharge sends a write with a request id.
func (h *harness) sendCharge(id types.SessionID) types.RequestSeq {
	return h.sendRequest(id, types.Request{ID: "charge-1", Payload: "charge"})
}

// answerStep answers the exchange that was sent last. Operation op returns err,
// unless op is negative; found says whether a lookup finds a recorded answer.
func (h *harness) answerStep(op int, err types.TargetErrorKind, found bool) {
	e, name := h.lastSent()
	results := make([]types.Result, len(e.Operations))
	for i, o := range e.Operations {
		results[i] = types.Result{Tx: types.TxOpen, Payload: o.Payload}
		if o.Kind == types.OpPosition {
			results[i].Status = types.TargetStatus{Term: 1, Primary: name == "a", Pos: pos(3)}
		}
		if o.Kind == types.OpCommit || o.Kind == types.OpRollback || o.Kind == types.OpLookup {
			results[i].Tx = types.TxIdle
		}
		if o.Kind == types.OpLookup {
			results[i].Found, results[i].Payload = found, "recorded"
		}
	}
	if op >= 0 {
		results[op].Err = err
	}
	h.step(answeredEvent(e, results))
}

// TestClaimWithoutTransactionRunsNothing guards against a statement that runs without
// the record of its id because the target failed to begin their transaction.
func TestClaimWithoutTransactionRunsNothing(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	seq := h.sendRequest(1, types.Request{ID: "order-1", Payload: "write"})
	e, _ := h.lastSent()
	assert.DeepEqual(t, operationKinds(e), []types.OperationKind{types.OpBegin, types.OpClaim})
	h.step(answeredEvent(e, []types.Result{{Err: types.TargetErrStatement}, {}}))
	assert.Assert(t, h.closed[e.Conn])
	last, _ := h.lastSent()
	assert.Equal(t, last.Conn, e.Conn, "the statement was sent")
	assert.Assert(t, !h.answered(seq))
}

func TestRequestIDIsClaimedInTransactionOfWrite(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	seq := h.sendCharge(1)
	assert.DeepEqual(t, h.lastOperationKinds(), []types.OperationKind{types.OpBegin, types.OpClaim})
	h.answerStep(-1, 0, false)
	assert.DeepEqual(t, h.lastOperationKinds(), []types.OperationKind{types.OpCaller})
	h.answerStep(-1, 0, false)
	assert.DeepEqual(t, h.lastOperationKinds(), []types.OperationKind{types.OpRecordAnswer, types.OpCommit, types.OpPosition})
	e, _ := h.lastSent()
	assert.Equal(t, e.Operations[0].Payload, "charge", "the answer is recorded")
	h.answerStep(-1, 0, false)
	assert.Assert(t, !h.answered(seq), "acknowledged before a majority holds the write")
	h.probe("b", pos(3))
	assert.Assert(t, h.answered(seq))
	assert.Equal(t, h.answers[0].Answer.Tx, types.TxIdle)
}

func TestRepeatedRequestIDGetsRecordedAnswer(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	seq := h.sendCharge(1)
	h.answerStep(1, types.TargetErrDuplicate, false)
	assert.DeepEqual(t, h.lastOperationKinds(), []types.OperationKind{types.OpRollback, types.OpLookup, types.OpPosition})
	h.answerStep(-1, 0, true)
	assert.Assert(t, !h.answered(seq), "answered before the claim is durable")
	h.probe("b", pos(3))
	assert.Equal(t, h.answers[0].Answer.Payload, types.Payload("recorded"))
}

func TestRepeatedRequestIDWithoutAnswerIsUnknown(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	seq := h.sendCharge(1)
	h.answerStep(1, types.TargetErrDuplicate, false)
	h.answerStep(-1, 0, false)
	assert.Equal(t, h.refusal(seq).Outcome, types.Unknown)
	assert.Equal(t, h.refusal(seq).Code, types.RefuseConnLost)
}

func TestFailedStatementReleasesRequestID(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	seq := h.sendCharge(1)
	h.answerStep(-1, 0, false)
	h.answerStep(0, types.TargetErrStatement, false)
	assert.DeepEqual(t, h.lastOperationKinds(), []types.OperationKind{types.OpRollback, types.OpPosition})
	h.answerStep(-1, 0, false)
	h.probe("b", pos(3))
	assert.Assert(t, h.answered(seq))
}

func TestBrokenCommitIsRetriedUnderRequestID(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	seq := h.sendCharge(1)
	h.answerStep(-1, 0, false)
	h.answerStep(-1, 0, false)
	h.breakConn(true)
	assert.Equal(t, h.retries, 1)
	h.advance(20 * time.Millisecond)
	h.connect()
	assert.DeepEqual(t, h.lastOperationKinds(), []types.OperationKind{types.OpBegin, types.OpClaim})
	h.answerStep(1, types.TargetErrDuplicate, false)
	h.answerStep(-1, 0, true)
	h.probe("b", pos(3))
	assert.Assert(t, h.answered(seq))
}

// TestRefusedRequestIDIsNeverNotRun covers a request that is refused before it
// was sent: an earlier request with the same id may have run.
func TestRefusedRequestIDIsNeverNotRun(t *testing.T) {
	h := newHarness(t)
	h.setView(func(v *types.NodeView, g *types.Group) { g.Phase, g.Primary = types.GroupFencing, "" })
	h.openSession(1)
	seq := h.sendCharge(1)
	h.advance(time.Second)
	assert.Equal(t, h.refusal(seq).Outcome, types.Unknown)
}

func TestRequestIDIsClaimedInOpenTransaction(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	h.sendRequest(1, types.Request{Payload: "begin"})
	h.answer(0, types.TxOpen)
	seq := h.sendCharge(1)
	assert.DeepEqual(t, h.lastOperationKinds(), []types.OperationKind{types.OpClaim})
	h.answerStep(-1, 0, false)
	h.answerStep(-1, 0, false)
	assert.DeepEqual(t, h.lastOperationKinds(), []types.OperationKind{types.OpRecordAnswer, types.OpPosition})
	h.answerStep(-1, 0, false)
	assert.Assert(t, h.answered(seq))
	assert.Equal(t, h.answers[1].Answer.Tx, types.TxOpen)
}
