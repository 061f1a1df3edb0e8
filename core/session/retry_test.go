package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

func TestRetryOnlyWhenSafe(t *testing.T) {
	cases := []struct {
		name    string
		request types.Request
		sent    bool
		retried int
		outcome types.Outcome
	}{
		{"write that was not sent", types.Request{}, false, 0, types.NotRun},
		{"write that was sent", types.Request{}, true, 0, types.Unknown},
		{"idempotent write that was sent", types.Request{Idempotent: true}, true, 1, types.Unknown},
		{"read that was sent", types.Request{Class: types.ClassRead, Profile: "strict"}, true, 0, types.Unknown},
		{"idempotent read that was sent", types.Request{Class: types.ClassRead, Profile: "catalog"}, true, 1, types.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.setShare("a", types.Share{Connections: 1, Slots: 1})
			h.openSession(1)
			h.probe("a", pos(0))
			seq := h.sendRequest(1, c.request)
			h.breakConn(c.sent)
			assert.Equal(t, h.retries, c.retried)
			h.setView(func(v *types.NodeView, g *types.Group) { g.Phase, g.Primary = types.GroupFencing, "" })
			h.advance(time.Second)
			assert.Assert(t, h.refusal(seq).Code != 0)
			assert.Equal(t, h.refusal(seq).Outcome, c.outcome)
		})
	}
}

func TestStaleConnectionIsReplacedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	seq := h.sendRequest(1, types.Request{Profile: "fast", Payload: "write"})
	first, _ := h.lastSent()
	h.breakConn(false)
	h.connect()
	second, _ := h.lastSent()
	assert.Assert(t, first.Conn != second.Conn)
	assert.Assert(t, h.closed[first.Conn])
	h.breakConn(false)
	assert.Equal(t, h.retries, 1, "only the first retry of an unsent request is free; later ones use the budget")
	h.advance(20 * time.Millisecond)
	h.connect()
	h.answer(1, types.TxIdle)
	assert.Assert(t, h.answered(seq))
}

func TestNoRetryWithinATransaction(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	h.sendRequest(1, types.Request{Payload: "begin"})
	h.answer(0, types.TxOpen)
	seq := h.sendRequest(1, types.Request{Payload: "insert", Idempotent: true})
	h.breakConn(false)
	assert.Equal(t, h.retries, 0)
	assert.Equal(t, h.refusal(seq).Outcome, types.NotRun)
	assert.Equal(t, len(h.endedSessions), 1, "the session must end, so that the rest of the transaction does not run on its own")
}

// TestCommitIsNotRepeated covers a commit that ran but whose durability could
// not be confirmed. Its transaction is gone, so a second commit would succeed
// without committing anything.
func TestCommitIsNotRepeated(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	h.sendRequest(1, types.Request{Payload: "begin", Idempotent: true})
	h.answer(0, types.TxOpen)
	seq := h.sendRequest(1, types.Request{Payload: "commit", Idempotent: true})
	h.answer(4, types.TxIdle)
	h.setView(func(v *types.NodeView, g *types.Group) { g.Term, g.Phase, g.Primary = 2, types.GroupFencing, "" })
	assert.Equal(t, h.retries, 0)
	assert.Equal(t, h.refusal(seq).Outcome, types.Unknown)
}

func TestRetryBudgetIsExhausted(t *testing.T) {
	h := newHarness(t)
	h.setView(func(v *types.NodeView, g *types.Group) { v.LeaseUntil = h.now.Add(time.Hour) })
	refused := 0
	for i := range 40 {
		id := types.SessionID(i + 1)
		h.openSession(id)
		seq := h.sendRequest(id, types.Request{Payload: "write", Idempotent: true})
		for tries := 0; h.refusal(seq).Code == 0 && tries < 10; tries++ {
			h.breakConn(true)
			h.advance(250 * time.Millisecond)
			h.connect()
		}
		if h.refusal(seq).Code == types.RefuseConnLost {
			refused++
		}
	}
	assert.Assert(t, h.retries <= 10+40/10, "%d retries of 40 requests", h.retries)
	assert.Assert(t, refused > 20, "only %d of 40 requests were refused because of the budget", refused)
}
