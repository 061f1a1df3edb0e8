package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

func TestWriteWaitsForMajority(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	seq := h.sendWrite(1)
	_, name := h.lastSent()
	assert.Equal(t, name, types.TargetName("a"))
	h.answer(5, types.TxIdle)
	assert.Assert(t, !h.answered(seq), "acknowledged before a majority holds the write")
	assert.DeepEqual(t, h.lastReport().WaitingServices, []types.ServiceName{svcName})
	h.probe("b", pos(4))
	assert.Assert(t, !h.answered(seq))
	h.probe("c", pos(5))
	assert.Assert(t, h.answered(seq))
	assert.Equal(t, h.answers[0].Answer.Floor, pos(5))
}

func TestWriteWithoutMajorityIsUnknown(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	seq := h.sendWrite(1)
	h.answer(5, types.TxIdle)
	h.advance(time.Second)
	assert.Equal(t, h.refusal(seq).Code, types.RefuseNotDurable)
	assert.Equal(t, h.refusal(seq).Outcome, types.Unknown)
}

func TestReplacedPrimaryIsNotAcknowledged(t *testing.T) {
	replacePrimary := func(v *types.NodeView, g *types.Group) {
		g.Term, g.Phase, g.Primary = 2, types.GroupFencing, ""
	}
	t.Run("before the answer", func(t *testing.T) {
		h := newHarness(t)
		h.openSession(1)
		seq := h.sendWrite(1)
		h.setView(replacePrimary)
		assert.Equal(t, h.refusal(seq).Code, types.RefuseReplaced, "the exchange in flight is not abandoned at once")
		h.answer(5, types.TxIdle)
		assert.Equal(t, len(h.answers), 0)
		assert.Equal(t, h.refusal(seq).Code, types.RefuseReplaced)
		assert.Equal(t, h.refusal(seq).Outcome, types.Unknown)
	})
	t.Run("before the majority", func(t *testing.T) {
		h := newHarness(t)
		h.openSession(1)
		seq := h.sendWrite(1)
		h.answer(5, types.TxIdle)
		h.setView(replacePrimary)
		h.probe("b", pos(5))
		assert.Assert(t, !h.answered(seq))
		assert.Equal(t, h.refusal(seq).Code, types.RefuseReplaced)
	})
	t.Run("by its own status", func(t *testing.T) {
		h := newHarness(t)
		h.openSession(1)
		seq := h.sendWrite(1)
		e, _ := h.lastSent()
		h.probe("b", pos(9))
		h.answerWith(e, types.TxIdle, types.TargetStatus{Term: 2, Pos: pos(5)})
		assert.Equal(t, h.refusal(seq).Code, types.RefuseReplaced)
	})
}

func TestNoAnswerWithoutLease(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	beforeExpiry := h.sendWrite(1)
	h.probe("b", pos(5))
	h.now = h.view.LeaseUntil
	h.answer(5, types.TxIdle)
	assert.Assert(t, !h.answered(beforeExpiry), "acknowledged after the lease ran out")
	h.advance(time.Second)
	assert.Equal(t, h.refusal(beforeExpiry).Code, types.RefuseNoLease)
	assert.Equal(t, h.refusal(beforeExpiry).Outcome, types.Unknown)
	afterExpiry := h.sendWrite(1)
	assert.Equal(t, h.refusal(afterExpiry).Code, types.RefuseNoLease)
	assert.Equal(t, h.refusal(afterExpiry).Outcome, types.NotRun)
}

func TestNothingIsSentWithoutLease(t *testing.T) {
	h := newHarness(t)
	h.setShare("a", types.Share{Connections: 1, Slots: 1})
	h.openSession(1)
	h.openSession(2)
	h.sendRequest(2, types.Request{ID: "charge-1"})
	h.lastSeq++
	h.step(event.RequestArrived{Session: 1, Request: types.Request{Seq: h.lastSeq}}) // no connection is free
	h.now = h.view.LeaseUntil
	h.answerStep(-1, 0, false)
	h.connect()
	assert.Equal(t, len(h.sends), 1, "sent after the lease ran out")
	h.advance(time.Second)
	assert.Equal(t, h.refusal(h.lastSeq).Code, types.RefuseNoLease)
	assert.Equal(t, h.refusal(h.lastSeq).Outcome, types.NotRun)
}

func TestFloorIsProbedAfterSessionOpened(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	seq := h.sendRead(1)
	assert.Equal(t, len(h.sends), 0, "the read was sent before the floor is known")
	assert.DeepEqual(t, h.lastReport().WaitingServices, []types.ServiceName{svcName})
	h.probe("a", pos(7))
	h.connect()
	_, name := h.lastSent()
	assert.Equal(t, name, types.TargetName("a"), "no replica covers position 7")
	h.answer(7, types.TxIdle)
	assert.Assert(t, h.answered(seq))
	h.probe("b", pos(8))
	second := h.sendRead(1)
	_, name = h.lastSent()
	assert.Equal(t, name, types.TargetName("b"))
	h.answer(9, types.TxIdle)
	assert.Assert(t, h.answered(second))
	assert.Equal(t, h.answers[1].Answer.Floor, pos(9))
}

func TestTokenReplacesProbe(t *testing.T) {
	h := newHarness(t)
	h.probe("b", pos(3))
	token := pos(3)
	h.step(sessionOpened(1, types.SessionParams{Service: svcName, Token: &token}))
	h.sendRead(1)
	_, name := h.lastSent()
	assert.Equal(t, name, types.TargetName("b"))
}

func TestTransactionKeepsItsConnection(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	h.openSession(2)
	h.sendRequest(1, types.Request{Payload: "begin"})
	first, _ := h.lastSent()
	h.answer(0, types.TxOpen)
	h.sendWrite(2)
	other, _ := h.lastSent()
	assert.Assert(t, other.Conn != first.Conn, "a write of session 2 was sent in the transaction of session 1")
	h.sendRequest(1, types.Request{Payload: "insert"})
	second, _ := h.lastSent()
	assert.Equal(t, second.Conn, first.Conn)
	h.answer(0, types.TxOpen)
	commit := h.sendRequest(1, types.Request{Payload: "commit"})
	h.answer(2, types.TxIdle)
	assert.Assert(t, !h.answered(commit))
	h.probe("b", pos(2))
	assert.Assert(t, h.answered(commit))
	assert.Assert(t, !h.closed[first.Conn])
}

func TestLateAnswerIsDiscarded(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	seq := h.sendWrite(1)
	e, _ := h.lastSent()
	h.advance(time.Second)
	assert.Equal(t, h.refusal(seq).Code, types.RefuseTimeout)
	assert.Equal(t, h.refusal(seq).Outcome, types.Unknown)
	assert.Assert(t, h.closed[e.Conn])
	h.answerWith(e, types.TxIdle, types.TargetStatus{Term: 1, Primary: true, Pos: pos(5)})
	assert.Equal(t, len(h.answers), 0)
}

func TestWritesWaitWithoutPrimary(t *testing.T) {
	h := newHarness(t)
	h.setView(func(v *types.NodeView, g *types.Group) { g.Phase, g.Primary = types.GroupFencing, "" })
	h.openSession(1)
	seq := h.sendWrite(1)
	assert.Equal(t, len(h.sends), 0)
	h.advance(time.Second)
	assert.Equal(t, h.refusal(seq).Code, types.RefuseNoPrimary)
	assert.Equal(t, h.refusal(seq).Outcome, types.NotRun)
	seq = h.sendWrite(1)
	h.setView(func(v *types.NodeView, g *types.Group) { g.Phase, g.Primary = types.GroupServing, "a" })
	_, name := h.lastSent()
	assert.Equal(t, name, types.TargetName("a"))
	assert.Equal(t, h.refusal(seq).Code, types.RefusalCode(0))
}

func TestDrainEndsSessionsWithoutWork(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	h.openSession(2)
	seq := h.sendRequest(2, types.Request{Profile: "fast", Payload: "write"})
	h.step(drainEvent)
	assert.Equal(t, len(h.endedSessions), 1)
	assert.Equal(t, h.endedSessions[0].Session, types.SessionID(1))
	h.answer(1, types.TxIdle)
	assert.Assert(t, h.answered(seq))
	assert.Equal(t, len(h.endedSessions), 2)
	assert.Equal(t, h.lastReport().Sessions, 0)
	assert.Equal(t, h.lastReport().BusySessions, 0)
}
