package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// updateHealth changes the health of a target in the view and publishes it.
func (h *harness) updateHealth(name types.TargetName, change func(*types.TargetHealth)) {
	h.setView(func(v *types.NodeView, g *types.Group) {
		health := v.Health[ref(name)]
		change(&health)
		v.Health[ref(name)] = health
	})
}

// publishPromotion publishes term 2, with primary b and first offset start.
func (h *harness) publishPromotion(start uint64) {
	h.setView(func(v *types.NodeView, g *types.Group) {
		g.Term, g.Primary = 2, "b"
		g.History = types.TermHistory{{Term: 1}, {Term: 2, Offset: start}}
	})
}

func TestFloorRequiresPrimaryOfCurrentTerm(t *testing.T) {
	h := newHarness(t)
	h.publishPromotion(0)
	h.openSession(1)
	h.sendRead(1)
	h.probe("b", pos(0))
	assert.Equal(t, len(h.sends), 0, "b has not reported yet that it is the primary of term 2")
	h.updateHealth("b", func(health *types.TargetHealth) {
		health.Term, health.Primary, health.Pos = 2, true, types.LogPos{Term: 2, Offset: 1}
	})
	h.connect()
	_, name := h.lastSent()
	assert.Equal(t, name, types.TargetName("b"))
}

func TestReadSkipsReplicaOfEarlierTerm(t *testing.T) {
	h := newHarness(t)
	h.publishPromotion(5)
	token := pos(0)
	h.step(sessionOpened(1, types.SessionParams{Service: svcName, Token: &token}))
	h.sendRead(1)
	_, name := h.lastSent()
	assert.Equal(t, name, types.TargetName("b"), "c still reports term 1")
}

func TestAnswerOfReplicaInLaterTermIsRejected(t *testing.T) {
	h := newHarness(t)
	token := pos(0)
	h.step(sessionOpened(1, types.SessionParams{Service: svcName, Token: &token}))
	seq := h.sendRead(1)
	e, _ := h.lastSent()
	h.answerWith(e, types.TxIdle, types.TargetStatus{Term: 2, Pos: pos(0)})
	assert.Equal(t, h.refusal(seq).Code, types.RefuseReplaced)
}

// TestAnswerOfReplicaThatLostEntriesIsRejected guards against a stale read from
// a replica that restarted without its data since its last probe.
func TestAnswerOfReplicaThatLostEntriesIsRejected(t *testing.T) {
	h := newHarness(t)
	h.probe("b", pos(5))
	h.probe("c", pos(5))
	token := pos(0)
	h.step(sessionOpened(1, types.SessionParams{Service: svcName, Token: &token}))
	seq := h.sendRequest(1, types.Request{Profile: "session", Class: types.ClassRead})
	h.answer(3, types.TxIdle)
	assert.Equal(t, h.refusal(seq).Code, types.RefuseReplaced)
}

func TestFloorRisesWithWritesAndReads(t *testing.T) {
	cases := []struct {
		name    string
		request types.Request
		offset  uint64
		after   types.ProfileName // profile of the following read
		primary bool              // whether the following read needs the primary
	}{
		{"own write", types.Request{Profile: "fast"}, 5, "session", true},
		{"own write, age-bounded read", types.Request{Profile: "fast"}, 5, "catalog", true},
		{"read on the primary", types.Request{Profile: "strict", Class: types.ClassRead}, 5, "session", true},
		{"read on the primary, age-bounded read", types.Request{Profile: "strict", Class: types.ClassRead}, 5, "catalog", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			token := pos(0)
			h.step(sessionOpened(1, types.SessionParams{Service: svcName, Token: &token}))
			h.sendRequest(1, c.request)
			h.answer(c.offset, types.TxIdle)
			h.sendRequest(1, types.Request{Profile: c.after, Class: types.ClassRead})
			_, name := h.lastSent()
			assert.Equal(t, name == "a", c.primary, "the read was sent to %s", name)
		})
	}
}

func TestAgeBoundedReadNeedsFreshData(t *testing.T) {
	maxAge := testConfig().Profiles["catalog"].MaxAge
	for _, c := range []struct {
		age     time.Duration
		primary bool
	}{{maxAge / 2, false}, {2 * maxAge, true}} {
		h := newHarness(t)
		token := pos(0)
		h.step(sessionOpened(1, types.SessionParams{Service: svcName, Token: &token}))
		h.now = h.now.Add(c.age)
		h.sendRequest(1, types.Request{Profile: "catalog", Class: types.ClassRead})
		_, name := h.lastSent()
		assert.Equal(t, name == "a", c.primary, "data of age %v was read from %s", c.age, name)
	}
}

// TestAgeBoundedReadsContinueWithoutPrimary checks that replicas serve
// age-bounded reads, and only these, between two primaries.
func TestAgeBoundedReadsContinueWithoutPrimary(t *testing.T) {
	for _, c := range []struct {
		profile types.ProfileName
		served  bool
	}{{"catalog", true}, {"session", false}} {
		h := newHarness(t)
		token := pos(0)
		h.step(sessionOpened(1, types.SessionParams{Service: svcName, Token: &token}))
		h.sendRequest(1, types.Request{Profile: "strict", Class: types.ClassRead})
		h.answer(0, types.TxIdle)
		h.setView(func(v *types.NodeView, g *types.Group) { g.Term, g.Phase, g.Primary = 2, types.GroupFencing, "" })
		seq := h.sendRequest(1, types.Request{Profile: c.profile, Class: types.ClassRead})
		e, name := h.lastSent()
		assert.Equal(t, name != "a", c.served)
		h.answerWith(e, types.TxIdle, types.TargetStatus{Term: 1, Pos: pos(0)})
		assert.Equal(t, h.answered(seq), c.served)
	}
}

func TestLostWriteIsReportedOnce(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	h.sendRequest(1, types.Request{Profile: "fast"})
	h.answer(9, types.TxIdle)
	h.publishPromotion(5)
	seq := h.sendWrite(1)
	assert.Equal(t, h.refusal(seq).Code, types.RefuseLostWrite)
	assert.Equal(t, h.refusal(seq).Outcome, types.NotRun)
	seq = h.sendWrite(1)
	assert.Equal(t, h.refusal(seq).Code, types.RefusalCode(0))
}

// newMajorityHarness returns a harness whose writes all wait for a majority,
// with all members caught up at offset 10.
func newMajorityHarness(t *testing.T) *harness {
	h := newHarness(t)
	svc := h.config.Services[svcName]
	svc.Profiles = []types.ProfileName{"session", "strict", "catalog"}
	h.config.Services[svcName] = svc
	h.openSession(100) // the shard tracks a service from its first session on
	h.sendWrite(100)
	for range 2 {
		h.probe("a", pos(10))
		h.probe("b", pos(10))
		h.probe("c", pos(10))
	}
	h.sends = nil
	return h
}

func TestFirstFloorIsMajorityPosition(t *testing.T) {
	cases := []struct {
		name       string
		b, c       uint64 // positions probed after the session opened; zero without a probe
		wasFailing bool   // whether probes of c failed before
		primary    bool   // whether the read needs the primary, which is at position 20
	}{
		{"one replica ahead", 15, 12, false, false},
		{"one replica without a probe", 15, 0, false, true},
		{"no replica with a probe", 0, 0, false, true},
		{"one replica was failing", 15, 12, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newMajorityHarness(t)
			if c.wasFailing {
				h.updateHealth("c", func(health *types.TargetHealth) { health.Failing = true })
				h.updateHealth("c", func(health *types.TargetHealth) { health.Failing = false })
			}
			h.openSession(1)
			h.sendRead(1)
			h.probe("a", pos(20))
			assert.Equal(t, len(h.sends), 0, "sent before the replicas' positions were known")
			if c.b > 0 {
				h.probe("b", pos(c.b))
			}
			if c.c > 0 {
				h.probe("c", pos(c.c))
			}
			h.advance(floorTimeout)
			h.connect()
			_, name := h.lastSent()
			assert.Equal(t, name == "a", c.primary, "the read was sent to %s", name)
		})
	}
}

func TestFirstFloorWithoutMajorityDurabilityIsPrimaryPosition(t *testing.T) {
	h := newMajorityHarness(t)
	svc := h.config.Services[svcName]
	svc.Profiles = append(svc.Profiles, "fast")
	h.config.Services[svcName] = svc
	h.openSession(1)
	h.sendRead(1)
	h.probe("b", pos(15))
	h.probe("c", pos(12))
	h.probe("a", pos(20))
	h.connect()
	_, name := h.lastSent()
	assert.Equal(t, name, types.TargetName("a"), "a write with profile fast may be on the primary alone")
}
