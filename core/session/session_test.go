package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

func TestWriteWaitsForMajority(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	seq := d.write(1)
	_, name := d.sent()
	assert.Equal(t, name, types.TargetName("a"))
	d.answer(5, types.TxIdle)
	assert.Assert(t, !d.answered(seq), "acknowledged before a majority holds it")
	assert.DeepEqual(t, d.lastReport().Waiting, []types.ServiceName{svcName})
	d.probe("b", pos(4))
	assert.Assert(t, !d.answered(seq))
	d.probe("c", pos(5))
	assert.Assert(t, d.answered(seq))
	assert.Equal(t, d.answers[0].Answer.Floor, pos(5))
}

func TestWriteWithoutMajorityIsUnknown(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	seq := d.write(1)
	d.answer(5, types.TxIdle)
	d.advance(time.Second)
	assert.Equal(t, d.refusal(seq).Code, types.RefuseNotDurable)
	assert.Equal(t, d.refusal(seq).Outcome, types.Unknown)
}

func TestReplacedPrimaryIsNotAcknowledged(t *testing.T) {
	next := func(v *types.NodeView, g *types.Group) {
		g.Term, g.Phase, g.Primary = 2, types.GroupFencing, ""
	}
	t.Run("before the answer", func(t *testing.T) {
		d := newDriver(t)
		d.open(1)
		seq := d.write(1)
		d.setView(next)
		assert.Equal(t, d.refusal(seq).Code, types.RefuseReplaced, "not cut at once")
		d.answer(5, types.TxIdle)
		assert.Equal(t, len(d.answers), 0)
		assert.Equal(t, d.refusal(seq).Code, types.RefuseReplaced)
		assert.Equal(t, d.refusal(seq).Outcome, types.Unknown)
	})
	t.Run("before the majority", func(t *testing.T) {
		d := newDriver(t)
		d.open(1)
		seq := d.write(1)
		d.answer(5, types.TxIdle)
		d.setView(next)
		d.probe("b", pos(5))
		assert.Assert(t, !d.answered(seq))
		assert.Equal(t, d.refusal(seq).Code, types.RefuseReplaced)
	})
	t.Run("by its own word", func(t *testing.T) {
		d := newDriver(t)
		d.open(1)
		seq := d.write(1)
		e, _ := d.sent()
		d.probe("b", pos(9))
		d.answerAs(e, types.TxIdle, types.TargetStatus{Term: 2, Pos: pos(5)})
		assert.Equal(t, d.refusal(seq).Code, types.RefuseReplaced)
	})
}

func TestNothingWithoutLease(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	first := d.write(1)
	d.probe("b", pos(5))
	d.now = d.view.LeaseUntil
	d.answer(5, types.TxIdle)
	assert.Assert(t, !d.answered(first), "acknowledged after the lease ran out")
	d.advance(time.Second)
	assert.Equal(t, d.refusal(first).Code, types.RefuseNoLease)
	assert.Equal(t, d.refusal(first).Outcome, types.Unknown)
	second := d.write(1)
	assert.Equal(t, d.refusal(second).Code, types.RefuseNoLease)
	assert.Equal(t, d.refusal(second).Outcome, types.NotRun)
}

func TestNothingIsSentWithoutLease(t *testing.T) {
	d := newDriver(t)
	d.share("a", types.Share{Connections: 1, Slots: 1})
	d.open(1)
	d.open(2)
	d.ask(2, types.Request{ID: "charge-1"})
	d.lastSeq++
	d.step(event.RequestArrived{Session: 1, Request: types.Request{Seq: d.lastSeq}}) // no connection is free yet
	d.now = d.view.LeaseUntil
	d.answerStep(-1, 0, false)
	d.connect()
	assert.Equal(t, len(d.sends), 1, "sent after the lease ran out")
	d.advance(time.Second)
	assert.Equal(t, d.refusal(d.lastSeq).Code, types.RefuseNoLease)
	assert.Equal(t, d.refusal(d.lastSeq).Outcome, types.NotRun)
}

func TestFloorIsAskedAfterArrival(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	seq := d.read(1)
	assert.Equal(t, len(d.sends), 0, "read before the floor is known")
	assert.DeepEqual(t, d.lastReport().Waiting, []types.ServiceName{svcName})
	d.probe("a", pos(7))
	d.connect()
	_, name := d.sent()
	assert.Equal(t, name, types.TargetName("a"), "no replica covers position 7")
	d.answer(7, types.TxIdle)
	assert.Assert(t, d.answered(seq))
	d.probe("b", pos(8))
	second := d.read(1)
	_, name = d.sent()
	assert.Equal(t, name, types.TargetName("b"))
	d.answer(9, types.TxIdle)
	assert.Assert(t, d.answered(second))
	assert.Equal(t, d.answers[1].Answer.Floor, pos(9))
}

func TestTokenSavesTheQuestion(t *testing.T) {
	d := newDriver(t)
	d.probe("b", pos(3))
	token := pos(3)
	d.step(openWith(1, types.SessionParams{Service: svcName, Token: &token}))
	d.read(1)
	_, name := d.sent()
	assert.Equal(t, name, types.TargetName("b"))
}

func TestTransactionKeepsItsConnection(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	d.open(2)
	d.ask(1, types.Request{Payload: "begin"})
	first, _ := d.sent()
	d.answer(0, types.TxOpen)
	d.write(2)
	other, _ := d.sent()
	assert.Assert(t, other.Conn != first.Conn, "two sessions share a connection in a transaction")
	d.ask(1, types.Request{Payload: "insert"})
	second, _ := d.sent()
	assert.Equal(t, second.Conn, first.Conn)
	d.answer(0, types.TxOpen)
	commit := d.ask(1, types.Request{Payload: "commit"})
	d.answer(2, types.TxIdle)
	assert.Assert(t, !d.answered(commit))
	d.probe("b", pos(2))
	assert.Assert(t, d.answered(commit))
	assert.Assert(t, !d.closed[first.Conn])
}

func TestLateAnswerIsDiscarded(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	seq := d.write(1)
	e, _ := d.sent()
	d.advance(time.Second)
	assert.Equal(t, d.refusal(seq).Code, types.RefuseTimeout)
	assert.Equal(t, d.refusal(seq).Outcome, types.Unknown)
	assert.Assert(t, d.closed[e.Conn])
	d.answerAs(e, types.TxIdle, types.TargetStatus{Term: 1, Primary: true, Pos: pos(5)})
	assert.Equal(t, len(d.answers), 0)
}

func TestWritesWaitWithoutPrimary(t *testing.T) {
	d := newDriver(t)
	d.setView(func(v *types.NodeView, g *types.Group) { g.Phase, g.Primary = types.GroupFencing, "" })
	d.open(1)
	seq := d.write(1)
	assert.Equal(t, len(d.sends), 0)
	d.advance(time.Second)
	assert.Equal(t, d.refusal(seq).Code, types.RefuseNoPrimary)
	assert.Equal(t, d.refusal(seq).Outcome, types.NotRun)
	seq = d.write(1)
	d.setView(func(v *types.NodeView, g *types.Group) { g.Phase, g.Primary = types.GroupServing, "a" })
	_, name := d.sent()
	assert.Equal(t, name, types.TargetName("a"))
	assert.Equal(t, d.refusal(seq).Code, types.RefusalCode(0))
}

func TestDrainEndsSessionsWithoutWork(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	d.open(2)
	seq := d.ask(2, types.Request{Profile: "fast", Payload: "write"})
	d.step(drainEvent)
	assert.Equal(t, len(d.ended), 1)
	assert.Equal(t, d.ended[0].Session, types.SessionID(1))
	d.answer(1, types.TxIdle)
	assert.Assert(t, d.answered(seq))
	assert.Equal(t, len(d.ended), 2)
	assert.Equal(t, d.lastReport().Sessions, 0)
	assert.Equal(t, d.lastReport().Busy, 0)
}
