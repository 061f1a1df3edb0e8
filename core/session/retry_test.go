package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

func TestRetryOnlyWhereItIsSafe(t *testing.T) {
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
			d := newDriver(t)
			d.share("a", types.Share{Connections: 1, Slots: 1})
			d.open(1)
			d.probe("a", pos(0))
			seq := d.ask(1, c.request)
			d.fail(c.sent)
			assert.Equal(t, d.retried, c.retried)
			d.setView(func(v *types.NodeView, g *types.Group) { g.Phase, g.Primary = types.GroupFencing, "" })
			d.advance(time.Second)
			assert.Assert(t, d.refusal(seq).Code != 0)
			assert.Equal(t, d.refusal(seq).Outcome, c.outcome)
		})
	}
}

func TestStaleConnectionIsReplacedAtOnce(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	seq := d.ask(1, types.Request{Profile: "fast", Payload: "write"})
	first, _ := d.sent()
	d.fail(false)
	d.connect()
	second, _ := d.sent()
	assert.Assert(t, first.Conn != second.Conn)
	assert.Assert(t, d.closed[first.Conn])
	d.fail(false)
	assert.Equal(t, d.retried, 1, "from then on retries need the budget")
	d.advance(20 * time.Millisecond)
	d.connect()
	d.answer(1, types.TxIdle)
	assert.Assert(t, d.answered(seq))
}

func TestNoRetryWithinATransaction(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	d.ask(1, types.Request{Payload: "begin"})
	d.answer(0, types.TxOpen)
	seq := d.ask(1, types.Request{Payload: "insert", Idempotent: true})
	d.fail(false)
	assert.Equal(t, d.retried, 0)
	assert.Equal(t, d.refusal(seq).Outcome, types.NotRun)
	assert.Equal(t, len(d.ended), 1, "the rest of the transaction must not run alone")
}

// TestCommitIsNotRepeated covers a commit whose transaction is gone by the
// time that its durability fails: a second commit would succeed with nothing.
func TestCommitIsNotRepeated(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	d.ask(1, types.Request{Payload: "begin", Idempotent: true})
	d.answer(0, types.TxOpen)
	seq := d.ask(1, types.Request{Payload: "commit", Idempotent: true})
	d.answer(4, types.TxIdle)
	d.setView(func(v *types.NodeView, g *types.Group) { g.Term, g.Phase, g.Primary = 2, types.GroupFencing, "" })
	assert.Equal(t, d.retried, 0)
	assert.Equal(t, d.refusal(seq).Outcome, types.Unknown)
}

func TestRetryBudgetEnds(t *testing.T) {
	d := newDriver(t)
	d.setView(func(v *types.NodeView, g *types.Group) { v.LeaseUntil = d.now.Add(time.Hour) })
	refused := 0
	for i := range 40 {
		id := types.SessionID(i + 1)
		d.open(id)
		seq := d.ask(id, types.Request{Payload: "write", Idempotent: true})
		for tries := 0; d.refusal(seq).Code == 0 && tries < 10; tries++ {
			d.fail(true)
			d.advance(250 * time.Millisecond)
			d.connect()
		}
		if d.refusal(seq).Code == types.RefuseConnLost {
			refused++
		}
	}
	assert.Assert(t, d.retried <= 10+40/10, "%d retries of 40 requests", d.retried)
	assert.Assert(t, refused > 20, "%d requests ran out of budget", refused)
}
