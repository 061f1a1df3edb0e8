package session

import (
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// setShare publishes a changed share of a target.
func (h *harness) setShare(name types.TargetName, s types.Share) {
	h.setView(func(v *types.NodeView, g *types.Group) { v.Shares[ref(name)] = s })
}

// openConns returns the number of connections to the target that are not closed.
func (h *harness) openConns(name types.TargetName) int {
	n := 0
	for conn, target := range h.targetOf {
		if target == name && !h.closed[conn] {
			n++
		}
	}
	return n
}

func TestShareIsNeverExceeded(t *testing.T) {
	h := newHarness(t)
	h.setShare("a", types.Share{Connections: 2, Slots: 3})
	for i := range 6 {
		h.openSession(types.SessionID(i + 1))
		h.sendRequest(types.SessionID(i+1), types.Request{Payload: "begin"})
	}
	assert.Equal(t, h.openConns("a"), 2)
	assert.Equal(t, len(h.sends), 2)
	h.advance(reportInterval)
	assert.Equal(t, h.lastReport().Connections[ref("a")], 2)
}

func TestReducedShareClosesIdleThenBusyConns(t *testing.T) {
	h := newHarness(t)
	for i := range 4 {
		h.openSession(types.SessionID(i + 1))
		h.sendRequest(types.SessionID(i+1), types.Request{Profile: "fast", Payload: "write"})
	}
	assert.Equal(t, h.openConns("a"), 4)
	for _, e := range h.sends[:2] {
		h.answerWith(e, types.TxIdle, types.TargetStatus{Term: 1, Primary: true, Pos: pos(1)})
	}
	h.setShare("a", types.Share{Connections: 1, Slots: 1})
	assert.Equal(t, h.openConns("a"), 2, "idle connections are closed at once, busy ones after their answer")
	for _, e := range h.sends[2:4] {
		h.answerWith(e, types.TxIdle, types.TargetStatus{Term: 1, Primary: true, Pos: pos(1)})
	}
	assert.Equal(t, h.openConns("a"), 1)
	assert.Equal(t, len(h.answers), 4, "an exchange in flight was cut off")
}

func TestExchangesInFlightAreBounded(t *testing.T) {
	h := newHarness(t)
	h.setShare("a", types.Share{Connections: 20, Slots: 1})
	for i := range 5 {
		h.openSession(types.SessionID(i + 1))
		h.sendWrite(types.SessionID(i + 1))
	}
	assert.Equal(t, len(h.sends), 2)
}

func TestFailedDialsAreRateLimited(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	h.step(event.RequestArrived{Session: 1, Request: types.Request{Seq: 1}})
	dials := 0
	for range 100 {
		for len(h.dials) > 0 {
			e := h.dials[0]
			h.dials = h.dials[1:]
			dials++
			h.step(event.TargetConnected{Conn: e.Conn, Err: errConnRefused})
		}
		h.advance(10 * time.Millisecond)
	}
	assert.Assert(t, dials >= 6 && dials <= 30, "%d dials to 3 targets in one second", dials)
}

func TestBlockedPrimaryDoesNotBlockReplicaReads(t *testing.T) {
	h := newHarness(t)
	for i := range 10 {
		h.openSession(types.SessionID(i + 1))
	}
	h.probe("a", pos(0))
	for i := range 9 {
		h.sendWrite(types.SessionID(i + 1))
	}
	seq := h.sendRead(10)
	_, name := h.lastSent()
	assert.Assert(t, name != "a")
	h.answer(0, types.TxIdle)
	assert.Assert(t, h.answered(seq))
}

func TestOverloadIsRefusedEarly(t *testing.T) {
	h := newHarness(t)
	h.setShare("a", types.Share{Connections: 1, Slots: 1})
	h.openSession(1)
	h.sendRequest(1, types.Request{Profile: "fast", Payload: "write"})
	e, _ := h.lastSent()
	h.now = h.now.Add(50 * time.Millisecond)
	h.step(answeredAfter(e, 50*time.Millisecond))
	refused := 0
	for i := range 40 {
		id := types.SessionID(i + 2)
		h.openSession(id)
		seq := h.sendWrite(id)
		if r := h.refusal(seq); r.Code != 0 {
			assert.Equal(t, r.Code, types.RefuseOverloaded)
			assert.Equal(t, r.Outcome, types.NotRun)
			refused++
		}
	}
	assert.Assert(t, refused >= 25, "only %d of 40 requests were refused on arrival", refused)
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	h.probe("a", pos(0))
	h.setView(func(v *types.NodeView, g *types.Group) { g.Members[1].State = types.TargetLeaving })
	for range 8 {
		h.sendRead(1)
		_, name := h.lastSent()
		assert.Equal(t, name, types.TargetName("c"))
		h.answer(0, types.TxIdle)
	}
	assert.Equal(t, h.openConns("b"), 0)
}

func TestLeavingTargetFinishesTransactionsInTime(t *testing.T) {
	begin := func(t *testing.T) *harness {
		h := newHarness(t)
		h.openSession(1)
		h.sendRequest(1, types.Request{Profile: "fast", Payload: "begin"})
		h.answer(0, types.TxOpen)
		h.setView(func(v *types.NodeView, g *types.Group) { g.Members[0].State = types.TargetLeaving })
		return h
	}
	t.Run("in time", func(t *testing.T) {
		h := begin(t)
		h.advance(50 * time.Millisecond)
		seq := h.sendRequest(1, types.Request{Profile: "fast", Payload: "commit"})
		h.answer(1, types.TxIdle)
		assert.Assert(t, h.answered(seq))
		assert.Equal(t, h.openConns("a"), 0)
	})
	t.Run("idle too long", func(t *testing.T) {
		h := begin(t)
		h.advance(150 * time.Millisecond)
		assert.Equal(t, h.endedSessions[0].Refusal.Code, types.RefuseTransactionLost)
		assert.Equal(t, h.endedSessions[0].Refusal.Outcome, types.NotRun)
		assert.Equal(t, h.openConns("a"), 0)
	})
	t.Run("busy too long", func(t *testing.T) {
		h := begin(t)
		seq := h.sendRequest(1, types.Request{Profile: "fast", Payload: "commit"})
		h.advance(150 * time.Millisecond)
		assert.Equal(t, h.refusal(seq).Code, types.RefuseTransactionLost)
		assert.Equal(t, h.refusal(seq).Outcome, types.Unknown)
	})
}

// TestLostTargetIsLoggedOnce guards against one log line per failed dial: there
// is one when connections to a target begin to fail and one when they work
// again.
func TestLostTargetIsLoggedOnce(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	h.step(event.RequestArrived{Session: 1, Request: types.Request{Seq: 1}})
	decisions := func(kind effect.Decision) (n int) {
		for _, e := range h.decisions {
			if e.Kind == kind && e.Target == "a" {
				n++
			}
		}
		return n
	}
	for range 20 {
		for _, e := range slices.Clone(h.dials) {
			h.step(event.TargetConnected{Conn: e.Conn, Err: errConnRefused})
		}
		h.dials = nil
		h.advance(50 * time.Millisecond)
	}
	assert.Equal(t, decisions(effect.DecideTargetLost), 1)
	h.advance(2 * time.Second)
	h.connect()
	assert.Equal(t, decisions(effect.DecideTargetFound), 1)
}
