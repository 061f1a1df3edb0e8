package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// health publishes a changed health of a target.
func (d *driver) health(name types.TargetName, change func(*types.TargetHealth)) {
	d.setView(func(v *types.NodeView, g *types.Group) {
		h := v.Health[ref(name)]
		change(&h)
		v.Health[ref(name)] = h
	})
}

// promoted publishes term 2 with primary b, which began at offset start.
func (d *driver) promoted(start uint64) {
	d.setView(func(v *types.NodeView, g *types.Group) {
		g.Term, g.Primary = 2, "b"
		g.History = types.TermHistory{{Term: 1}, {Term: 2, Offset: start}}
	})
}

func TestFloorNeedsTheCurrentTerm(t *testing.T) {
	d := newDriver(t)
	d.promoted(0)
	d.open(1)
	d.read(1)
	d.probe("b", pos(0))
	assert.Equal(t, len(d.sends), 0, "b has not said yet that it is the primary of term 2")
	d.health("b", func(h *types.TargetHealth) { h.Term, h.Primary, h.Pos = 2, true, types.LogPos{Term: 2, Offset: 1} })
	d.connect()
	_, name := d.sent()
	assert.Equal(t, name, types.TargetName("b"))
}

func TestReplicaMustFollowTheTerm(t *testing.T) {
	d := newDriver(t)
	d.promoted(5)
	token := pos(0)
	d.step(openWith(1, types.SessionParams{Service: svcName, Token: &token}))
	d.read(1)
	_, name := d.sent()
	assert.Equal(t, name, types.TargetName("b"), "c still stands in term 1")
}

func TestReplicaThatChangedTermIsNotBelieved(t *testing.T) {
	d := newDriver(t)
	token := pos(0)
	d.step(openWith(1, types.SessionParams{Service: svcName, Token: &token}))
	seq := d.read(1)
	e, _ := d.sent()
	d.answerAs(e, types.TxIdle, types.TargetStatus{Term: 2, Pos: pos(0)})
	assert.Equal(t, d.refusal(seq).Code, types.RefuseReplaced)
}

// TestReplicaThatLostEntriesIsNotBelieved covers a replica that restarted
// without its data since its last probe.
func TestReplicaThatLostEntriesIsNotBelieved(t *testing.T) {
	d := newDriver(t)
	d.probe("b", pos(5))
	d.probe("c", pos(5))
	token := pos(0)
	d.step(openWith(1, types.SessionParams{Service: svcName, Token: &token}))
	seq := d.ask(1, types.Request{Profile: "session", Class: types.ClassRead})
	d.answer(3, types.TxIdle)
	assert.Equal(t, d.refusal(seq).Code, types.RefuseReplaced)
}

func TestFloorRisesWithWritesAndReads(t *testing.T) {
	cases := []struct {
		name    string
		request types.Request
		offset  uint64
		after   types.ProfileName // profile of the read that follows
		primary bool              // that read needs the primary
	}{
		{"own write", types.Request{Profile: "fast"}, 5, "session", true},
		{"own write, read by age", types.Request{Profile: "fast"}, 5, "catalog", true},
		{"read on the primary", types.Request{Profile: "strict", Class: types.ClassRead}, 5, "session", true},
		{"read on the primary, read by age", types.Request{Profile: "strict", Class: types.ClassRead}, 5, "catalog", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDriver(t)
			token := pos(0)
			d.step(openWith(1, types.SessionParams{Service: svcName, Token: &token}))
			d.ask(1, c.request)
			d.answer(c.offset, types.TxIdle)
			d.ask(1, types.Request{Profile: c.after, Class: types.ClassRead})
			_, name := d.sent()
			assert.Equal(t, name == "a", c.primary, "went to %s", name)
		})
	}
}

func TestReadByAgeNeedsFreshData(t *testing.T) {
	maxAge := testConfig().Profiles["catalog"].MaxAge
	for _, c := range []struct {
		age     time.Duration
		primary bool
	}{{maxAge / 2, false}, {2 * maxAge, true}} {
		d := newDriver(t)
		token := pos(0)
		d.step(openWith(1, types.SessionParams{Service: svcName, Token: &token}))
		d.now = d.now.Add(c.age)
		d.ask(1, types.Request{Profile: "catalog", Class: types.ClassRead})
		_, name := d.sent()
		assert.Equal(t, name == "a", c.primary, "data of age %v served by %s", c.age, name)
	}
}

// TestReadsByAgeGoOnWithoutPrimary covers the time between two primaries.
func TestReadsByAgeGoOnWithoutPrimary(t *testing.T) {
	for _, c := range []struct {
		profile types.ProfileName
		served  bool
	}{{"catalog", true}, {"session", false}} {
		d := newDriver(t)
		token := pos(0)
		d.step(openWith(1, types.SessionParams{Service: svcName, Token: &token}))
		d.ask(1, types.Request{Profile: "strict", Class: types.ClassRead})
		d.answer(0, types.TxIdle)
		d.setView(func(v *types.NodeView, g *types.Group) { g.Term, g.Phase, g.Primary = 2, types.GroupFencing, "" })
		seq := d.ask(1, types.Request{Profile: c.profile, Class: types.ClassRead})
		e, name := d.sent()
		assert.Equal(t, name != "a", c.served)
		d.answerAs(e, types.TxIdle, types.TargetStatus{Term: 1, Pos: pos(0)})
		assert.Equal(t, d.answered(seq), c.served)
	}
}

func TestLostWriteIsToldOnce(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	d.ask(1, types.Request{Profile: "fast"})
	d.answer(9, types.TxIdle)
	d.promoted(5)
	seq := d.write(1)
	assert.Equal(t, d.refusal(seq).Code, types.RefuseLostWrite)
	assert.Equal(t, d.refusal(seq).Outcome, types.NotRun)
	seq = d.write(1)
	assert.Equal(t, d.refusal(seq).Code, types.RefusalCode(0))
}

// majorityDriver returns a driver whose profiles all wait for a majority, with
// all members caught up at offset 10.
func majorityDriver(t *testing.T) *driver {
	d := newDriver(t)
	svc := d.config.Services[svcName]
	svc.Profiles = []types.ProfileName{"session", "strict", "catalog"}
	d.config.Services[svcName] = svc
	d.open(100) // makes the shard follow the service
	d.write(100)
	for range 2 {
		d.probe("a", pos(10))
		d.probe("b", pos(10))
		d.probe("c", pos(10))
	}
	d.sends = nil
	return d
}

func TestFirstFloorIsTheMajoritys(t *testing.T) {
	cases := []struct {
		name    string
		b, c    uint64 // positions after the session opened; zero is not heard
		away    bool   // c was away before
		primary bool   // the read needs the primary, which stands at 20
	}{
		{"one replica ahead", 15, 12, false, false},
		{"a replica is not heard", 15, 0, false, true},
		{"no replica is heard", 0, 0, false, true},
		{"a replica was away", 15, 12, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := majorityDriver(t)
			if c.away {
				d.health("c", func(h *types.TargetHealth) { h.Failing = true })
				d.health("c", func(h *types.TargetHealth) { h.Failing = false })
			}
			d.open(1)
			d.read(1)
			d.probe("a", pos(20))
			assert.Equal(t, len(d.sends), 0, "it waits for the replicas' positions")
			if c.b > 0 {
				d.probe("b", pos(c.b))
			}
			if c.c > 0 {
				d.probe("c", pos(c.c))
			}
			d.advance(floorTimeout)
			d.connect()
			_, name := d.sent()
			assert.Equal(t, name == "a", c.primary, "went to %s", name)
		})
	}
}

func TestFirstFloorWithoutMajorityIsThePrimarys(t *testing.T) {
	d := majorityDriver(t)
	svc := d.config.Services[svcName]
	svc.Profiles = append(svc.Profiles, "fast")
	d.config.Services[svcName] = svc
	d.open(1)
	d.read(1)
	d.probe("b", pos(15))
	d.probe("c", pos(12))
	d.probe("a", pos(20))
	d.connect()
	_, name := d.sent()
	assert.Equal(t, name, types.TargetName("a"), "a write may be on the primary alone")
}
