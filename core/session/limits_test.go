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

func (d *driver) share(name types.TargetName, s types.Share) {
	d.setView(func(v *types.NodeView, g *types.Group) { v.Shares[ref(name)] = s })
}

// openConns returns how many connections to the target are not closed.
func (d *driver) openConns(name types.TargetName) int {
	n := 0
	for conn, target := range d.refs {
		if target == name && !d.closed[conn] {
			n++
		}
	}
	return n
}

func TestShareIsNeverExceeded(t *testing.T) {
	d := newDriver(t)
	d.share("a", types.Share{Connections: 2, Slots: 3})
	for i := range 6 {
		d.open(types.SessionID(i + 1))
		d.ask(types.SessionID(i+1), types.Request{Payload: "begin"})
	}
	assert.Equal(t, d.openConns("a"), 2)
	assert.Equal(t, len(d.sends), 2)
	d.advance(reportInterval)
	assert.Equal(t, d.lastReport().Open[ref("a")], 2)
}

func TestShrunkShareClosesIdleThenBusy(t *testing.T) {
	d := newDriver(t)
	for i := range 4 {
		d.open(types.SessionID(i + 1))
		d.ask(types.SessionID(i+1), types.Request{Profile: "fast", Payload: "write"})
	}
	assert.Equal(t, d.openConns("a"), 4)
	for _, e := range d.sends[:2] {
		d.answerAs(e, types.TxIdle, types.TargetStatus{Term: 1, Primary: true, Pos: pos(1)})
	}
	d.share("a", types.Share{Connections: 1, Slots: 1})
	assert.Equal(t, d.openConns("a"), 2, "the idle ones are closed at once")
	for _, e := range d.sends[2:4] {
		d.answerAs(e, types.TxIdle, types.TargetStatus{Term: 1, Primary: true, Pos: pos(1)})
	}
	assert.Equal(t, d.openConns("a"), 1)
	assert.Equal(t, len(d.answers), 4, "nothing in flight was cut")
}

func TestExchangesUnderWayAreBounded(t *testing.T) {
	d := newDriver(t)
	d.share("a", types.Share{Connections: 20, Slots: 1})
	for i := range 5 {
		d.open(types.SessionID(i + 1))
		d.write(types.SessionID(i + 1))
	}
	assert.Equal(t, len(d.sends), 2)
}

func TestFailedDialsDoNotStorm(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	d.step(event.RequestArrived{Session: 1, Request: types.Request{Seq: 1}})
	dials := 0
	for range 100 {
		for len(d.dials) > 0 {
			e := d.dials[0]
			d.dials = d.dials[1:]
			dials++
			d.step(event.TargetConnected{Conn: e.Conn, Err: errRefused})
		}
		d.advance(10 * time.Millisecond)
	}
	assert.Assert(t, dials >= 6 && dials <= 30, "%d dials of 3 targets in a second", dials)
}

func TestStuckPrimaryDoesNotBlockReplicaReads(t *testing.T) {
	d := newDriver(t)
	for i := range 10 {
		d.open(types.SessionID(i + 1))
	}
	d.probe("a", pos(0))
	for i := range 9 {
		d.write(types.SessionID(i + 1))
	}
	seq := d.read(10)
	_, name := d.sent()
	assert.Assert(t, name != "a")
	d.answer(0, types.TxIdle)
	assert.Assert(t, d.answered(seq))
}

func TestOverloadIsRefusedEarly(t *testing.T) {
	d := newDriver(t)
	d.share("a", types.Share{Connections: 1, Slots: 1})
	d.open(1)
	d.ask(1, types.Request{Profile: "fast", Payload: "write"})
	e, _ := d.sent()
	d.now = d.now.Add(50 * time.Millisecond)
	d.step(answeredIn(e, 50*time.Millisecond))
	refused := 0
	for i := range 40 {
		id := types.SessionID(i + 2)
		d.open(id)
		seq := d.write(id)
		if r := d.refusal(seq); r.Code != 0 {
			assert.Equal(t, r.Code, types.RefuseOverloaded)
			assert.Equal(t, r.Outcome, types.NotRun)
			refused++
		}
	}
	assert.Assert(t, refused >= 25, "%d of 40 requests refused at once", refused)
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	d.probe("a", pos(0))
	d.setView(func(v *types.NodeView, g *types.Group) { g.Members[1].State = types.TargetLeaving })
	for range 8 {
		d.read(1)
		_, name := d.sent()
		assert.Equal(t, name, types.TargetName("c"))
		d.answer(0, types.TxIdle)
	}
	assert.Equal(t, d.openConns("b"), 0)
}

func TestLeavingTargetFinishesTransactionsInTime(t *testing.T) {
	begin := func(t *testing.T) *driver {
		d := newDriver(t)
		d.open(1)
		d.ask(1, types.Request{Profile: "fast", Payload: "begin"})
		d.answer(0, types.TxOpen)
		d.setView(func(v *types.NodeView, g *types.Group) { g.Members[0].State = types.TargetLeaving })
		return d
	}
	t.Run("in time", func(t *testing.T) {
		d := begin(t)
		d.advance(50 * time.Millisecond)
		seq := d.ask(1, types.Request{Profile: "fast", Payload: "commit"})
		d.answer(1, types.TxIdle)
		assert.Assert(t, d.answered(seq))
		assert.Equal(t, d.openConns("a"), 0)
	})
	t.Run("idle too long", func(t *testing.T) {
		d := begin(t)
		d.advance(150 * time.Millisecond)
		assert.Equal(t, d.ended[0].Refusal.Code, types.RefuseNotClean)
		assert.Equal(t, d.ended[0].Refusal.Outcome, types.NotRun)
		assert.Equal(t, d.openConns("a"), 0)
	})
	t.Run("busy too long", func(t *testing.T) {
		d := begin(t)
		seq := d.ask(1, types.Request{Profile: "fast", Payload: "commit"})
		d.advance(150 * time.Millisecond)
		assert.Equal(t, d.refusal(seq).Code, types.RefuseNotClean)
		assert.Equal(t, d.refusal(seq).Outcome, types.Unknown)
	})
}

// TestLostTargetIsLoggedOnce states one line when connections to a target begin
// to fail, and one when they work again.
func TestLostTargetIsLoggedOnce(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	d.step(event.RequestArrived{Session: 1, Request: types.Request{Seq: 1}})
	lines := func(kind effect.Decision) (n int) {
		for _, e := range d.decided {
			if e.Kind == kind && e.Target == "a" {
				n++
			}
		}
		return n
	}
	for range 20 {
		for _, e := range slices.Clone(d.dials) {
			d.step(event.TargetConnected{Conn: e.Conn, Err: errRefused})
		}
		d.dials = nil
		d.advance(50 * time.Millisecond)
	}
	assert.Equal(t, lines(effect.DecideTargetLost), 1)
	d.advance(2 * time.Second)
	d.connect()
	assert.Equal(t, lines(effect.DecideTargetFound), 1)
}
