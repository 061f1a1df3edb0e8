package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// kinds returns the operations of the exchange that was sent last.
func (d *driver) kinds() []types.OperationKind {
	e, _ := d.sent()
	var kinds []types.OperationKind
	for _, op := range e.Operations {
		kinds = append(kinds, op.Kind)
	}
	return kinds
}

func (d *driver) charge(id types.SessionID) types.RequestSeq {
	return d.ask(id, types.Request{ID: "charge-1", Payload: "charge"})
}

// answerStep answers the exchange under way with an error in one operation.
func (d *driver) answerStep(op int, err types.TargetErrorKind, found bool) {
	e, name := d.sent()
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
	d.step(answered(e, results))
}

func TestRequestIDIsClaimedInTheWritesTransaction(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	seq := d.charge(1)
	assert.DeepEqual(t, d.kinds(), []types.OperationKind{types.OpBegin, types.OpClaim})
	d.answerStep(-1, 0, false)
	assert.DeepEqual(t, d.kinds(), []types.OperationKind{types.OpCaller})
	d.answerStep(-1, 0, false)
	assert.DeepEqual(t, d.kinds(), []types.OperationKind{types.OpRecordAnswer, types.OpCommit, types.OpPosition})
	e, _ := d.sent()
	assert.Equal(t, e.Operations[0].Payload, "charge", "the answer is recorded")
	d.answerStep(-1, 0, false)
	assert.Assert(t, !d.answered(seq), "acknowledged before a majority holds it")
	d.probe("b", pos(3))
	assert.Assert(t, d.answered(seq))
	assert.Equal(t, d.answers[0].Answer.Tx, types.TxIdle)
}

func TestRepeatedIDGetsTheRecordedAnswer(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	seq := d.charge(1)
	d.answerStep(1, types.TargetErrDuplicate, false)
	assert.DeepEqual(t, d.kinds(), []types.OperationKind{types.OpRollback, types.OpLookup, types.OpPosition})
	d.answerStep(-1, 0, true)
	assert.Assert(t, !d.answered(seq), "the claim is not durable yet")
	d.probe("b", pos(3))
	assert.Equal(t, d.answers[0].Answer.Payload, types.Payload("recorded"))
}

func TestRepeatedIDWithoutAnswerIsUnknown(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	seq := d.charge(1)
	d.answerStep(1, types.TargetErrDuplicate, false)
	d.answerStep(-1, 0, false)
	assert.Equal(t, d.refusal(seq).Outcome, types.Unknown)
	assert.Equal(t, d.refusal(seq).Code, types.RefuseConnLost)
}

func TestFailedStatementFreesTheID(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	seq := d.charge(1)
	d.answerStep(-1, 0, false)
	d.answerStep(0, types.TargetErrStatement, false)
	assert.DeepEqual(t, d.kinds(), []types.OperationKind{types.OpRollback, types.OpPosition})
	d.answerStep(-1, 0, false)
	d.probe("b", pos(3))
	assert.Assert(t, d.answered(seq))
}

func TestBrokenCommitIsRetriedUnderTheID(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	seq := d.charge(1)
	d.answerStep(-1, 0, false)
	d.answerStep(-1, 0, false)
	d.fail(true)
	assert.Equal(t, d.retried, 1)
	d.advance(20 * time.Millisecond)
	d.connect()
	assert.DeepEqual(t, d.kinds(), []types.OperationKind{types.OpBegin, types.OpClaim})
	d.answerStep(1, types.TargetErrDuplicate, false)
	d.answerStep(-1, 0, true)
	d.probe("b", pos(3))
	assert.Assert(t, d.answered(seq))
}

// TestRefusedIDIsNeverNotRun covers a request that was refused before it was
// sent: an earlier request of the same id may have run.
func TestRefusedIDIsNeverNotRun(t *testing.T) {
	d := newDriver(t)
	d.setView(func(v *types.NodeView, g *types.Group) { g.Phase, g.Primary = types.GroupFencing, "" })
	d.open(1)
	seq := d.charge(1)
	d.advance(time.Second)
	assert.Equal(t, d.refusal(seq).Outcome, types.Unknown)
}

func TestIDWithinATransactionUsesIt(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	d.ask(1, types.Request{Payload: "begin"})
	d.answer(0, types.TxOpen)
	seq := d.charge(1)
	assert.DeepEqual(t, d.kinds(), []types.OperationKind{types.OpClaim})
	d.answerStep(-1, 0, false)
	d.answerStep(-1, 0, false)
	assert.DeepEqual(t, d.kinds(), []types.OperationKind{types.OpRecordAnswer, types.OpPosition})
	d.answerStep(-1, 0, false)
	assert.Assert(t, d.answered(seq))
	assert.Equal(t, d.answers[1].Answer.Tx, types.TxOpen)
}
