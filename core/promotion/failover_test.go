package promotion_test

import (
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// started returns a world whose group serves its first term.
func started(t *testing.T) *world {
	t.Helper()
	w := newWorld(t, 3, 4, 3)
	_, ok := w.run(3*time.Second, func() bool { return w.serving(1) })
	assert.Assert(t, ok, "no first primary: %+v", w.group())
	w.Run(2 * time.Second)
	assert.Equal(t, w.group().Term, types.Term(1))
	return w
}

func (w *world) primary() *fakeTarget { return w.targets[w.group().Primary] }

// replica returns the first replica by name.
func (w *world) replica() *fakeTarget {
	for _, m := range w.group().Members {
		if m.Name != w.group().Primary {
			return w.targets[m.Name]
		}
	}
	return nil
}

func TestFirstPrimary(t *testing.T) {
	w := started(t)
	assert.Equal(t, w.replies[1].Change.Accepted, true)
	for name, target := range w.targets {
		assert.Equal(t, target.term, types.Term(1), "target %s", name)
		assert.Equal(t, target.primary, name == w.group().Primary, "target %s", name)
	}
	for id, p := range w.proxies {
		assert.Equal(t, len(p.view.Shares), 3, "proxy %s", id)
	}
}

func TestFailoverAfterKill(t *testing.T) {
	w := started(t)
	old := w.primary()
	old.write(7)
	w.Run(20 * time.Millisecond)
	old.down = true
	gap, ok := w.run(3*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok, "no second primary: %+v", w.group())
	assert.Assert(t, gap <= time.Second, "failover took %v", gap)
	assert.Equal(t, w.primary().pos.Offset, uint64(7))
	assert.Assert(t, w.primary() != old)
}

func TestFreezeCausesNoPromotion(t *testing.T) {
	for _, freeze := range []time.Duration{50, 150, 299} {
		w := started(t)
		for range 20 {
			w.Run(time.Duration(w.Random()%100) * time.Millisecond)
			w.primary().frozen = w.clock().Add(freeze * time.Millisecond)
			w.Run(time.Second)
		}
		assert.Equal(t, w.group().Term, types.Term(1), "frozen for %d ms", freeze)
	}
}

func TestFrozenPrimaryIsReplaced(t *testing.T) {
	w := started(t)
	w.primary().frozen = w.clock().Add(time.Hour)
	gap, ok := w.run(3*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok && gap <= 1500*time.Millisecond, "failover took %v", gap)
}

func TestPartitionedPrimaryRejoinsWithoutItsWrites(t *testing.T) {
	w := started(t)
	old := w.primary()
	old.write(5)
	w.Run(100 * time.Millisecond)
	w.cut[string(old.name)] = true
	old.write(3)
	_, ok := w.run(3*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok)
	w.primary().write(1)
	w.Run(time.Second)
	delete(w.cut, string(old.name))
	_, ok = w.run(5*time.Second, func() bool { return old.term == 2 })
	assert.Assert(t, ok, "the old primary was not rejoined")
	w.Run(100 * time.Millisecond)
	assert.Equal(t, old.primary, false)
	assert.Equal(t, old.pos, types.LogPos{Term: 2, Offset: 6})
	assert.Equal(t, w.group().Term, types.Term(2))
}

func TestLaterLeaderRejoinsTheOldPrimary(t *testing.T) {
	w := started(t)
	old := w.primary()
	w.cut[string(old.name)] = true
	old.write(3)
	_, ok := w.run(3*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok)
	w.elect("c2")
	w.Run(time.Second)
	delete(w.cut, string(old.name))
	_, ok = w.run(2*time.Second, func() bool { return old.term == 2 && !old.primary && old.pos.Offset == 0 })
	assert.Assert(t, ok, "the old primary was not rejoined: %+v", old.status())
}

func TestTwoPromotionsInARow(t *testing.T) {
	w := newWorld(t, 3, 4, 5)
	_, ok := w.run(3*time.Second, func() bool { return w.serving(1) })
	assert.Assert(t, ok)
	for term := types.Term(2); term <= 3; term++ {
		w.primary().write(4)
		w.Run(50 * time.Millisecond)
		w.primary().down = true
		gap, ok := w.run(3*time.Second, func() bool { return w.serving(term) })
		assert.Assert(t, ok && gap <= time.Second, "failover took %v", gap)
		assert.Equal(t, w.primary().pos.Offset, uint64(4*(term-1)))
	}
}

func TestNewPrimaryDiesAtOnce(t *testing.T) {
	w := newWorld(t, 3, 4, 5)
	_, ok := w.run(3*time.Second, func() bool { return w.serving(1) })
	assert.Assert(t, ok)
	w.primary().write(4)
	w.Run(50 * time.Millisecond)
	w.primary().down = true
	dying := 0
	for _, name := range []types.TargetName{"t2", "t3", "t4", "t5"} {
		if target := w.targets[name]; !target.down && dying == 0 {
			target.refuse, target.pos.Offset = true, 4
			dying++
		}
	}
	gap, ok := w.run(5*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok && gap <= 2*time.Second, "failover took %v: %+v", gap, w.group())
	assert.Equal(t, w.group().Term, types.Term(3))
	assert.Equal(t, w.primary().pos.Offset, uint64(4))
}

func TestNoPromotionWithoutQuorum(t *testing.T) {
	w := started(t)
	old := w.primary()
	behind := w.replica()
	behind.leader = ""
	old.write(3)
	w.Run(time.Second)
	for _, target := range w.targets {
		target.down = target != behind
	}
	w.Run(5 * time.Second)
	assert.Equal(t, w.group().Phase, types.GroupFencing)
	for _, target := range w.targets {
		target.down = false
	}
	_, ok := w.run(5*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok, "%+v", w.group())
	assert.Equal(t, w.primary().pos.Offset, uint64(3))
}

func TestProxyThatIsCutOffHoldsUpTheNextTermUntilItsLeaseEnds(t *testing.T) {
	w := started(t)
	lost := w.proxies["p3"]
	w.cut["p3"] = true
	w.Run(100 * time.Millisecond)
	w.primary().down = true
	_, ok := w.run(4*time.Second, func() bool { return w.group().Phase == types.GroupServing && w.group().Term > 1 })
	assert.Assert(t, ok)
	assert.Assert(t, !lost.view.LeaseLive(w.clock()), "a proxy acts on term 1 beside the primary of term 2")
	assert.Equal(t, lost.view.Group(service).Term, types.Term(1))
}

func TestControlLeaderIsCutOffSilently(t *testing.T) {
	w := started(t)
	w.cutLeader("c2")
	w.Run(2 * time.Second)
	assert.Assert(t, w.serving(1), "a proxy lost its lease for good")
	w.primary().down = true
	gap, ok := w.run(3*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok && gap <= time.Second, "failover took %v", gap)
}

func TestLeaderChangesDuringAPromotion(t *testing.T) {
	for after := time.Duration(1); after <= 40; after += 3 {
		w := started(t)
		w.primary().write(4)
		w.Run(50 * time.Millisecond)
		w.primary().down = true
		_, ok := w.run(3*time.Second, func() bool { return w.group().Phase == types.GroupFencing })
		assert.Assert(t, ok)
		w.Run(after * time.Millisecond)
		w.elect("c2")
		_, ok = w.run(5*time.Second, func() bool { return w.serving(2) })
		assert.Assert(t, ok, "leader changed after %d ms: %+v", after, w.group())
		assert.Equal(t, w.primary().pos.Offset, uint64(4))
		for _, target := range w.targets {
			assert.Assert(t, !target.primary || target.down || target.name == w.group().Primary || target.term < w.group().Term)
		}
	}
}

func TestFarBehindReplicaIsNotPromoted(t *testing.T) {
	w := started(t)
	behind := w.replica()
	behind.leader = ""
	w.primary().write(100)
	w.Run(50 * time.Millisecond)
	w.primary().down = true
	_, ok := w.run(3*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok)
	assert.Assert(t, w.primary() != behind)
	assert.Equal(t, w.primary().pos.Offset, uint64(100))
	_, ok = w.run(2*time.Second, func() bool { return behind.pos.Offset == 100 })
	assert.Assert(t, ok, "the replica did not catch up")
}

func TestOneProxyThatCannotReachThePrimary(t *testing.T) {
	w := started(t)
	w.cut["p2>"+string(w.group().Primary)] = true
	w.Run(3 * time.Second)
	for i := range 6 {
		w.elect([]types.HostID{"c2", "c3", "c1"}[i%3])
		w.Run(3 * time.Second)
	}
	assert.Equal(t, w.group().Term, types.Term(1))
}

func TestPrimaryThatLostItsRoleIsReplaced(t *testing.T) {
	w := started(t)
	w.primary().write(4)
	w.Run(time.Second)
	w.primary().primary = false
	gap, ok := w.run(3*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok && gap <= time.Second, "failover took %v", gap)
	assert.Equal(t, w.primary().pos.Offset, uint64(4))
}

// cutProxies cuts the way from all proxies to a target, not that of control.
func (w *world) cutProxies(target types.TargetName) {
	for id := range w.proxies {
		w.cut[string(id)+">"+string(target)] = true
	}
}

func TestPrimaryThatOnlyControlReachesIsReplaced(t *testing.T) {
	w := started(t)
	old := w.primary()
	w.cutProxies(old.name)
	old.write(2)
	_, ok := w.run(3*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok)
	assert.Assert(t, w.primary() != old, "the primary that no proxy reaches was promoted again")
	w.Run(3 * time.Second)
	assert.Equal(t, w.group().Term, types.Term(2))
}

func TestTermsDoNotRunAway(t *testing.T) {
	w := started(t)
	for name := range w.targets {
		w.cutProxies(name)
	}
	w.Run(time.Minute)
	assert.Assert(t, w.group().Term <= 16, "%d terms in a minute", w.group().Term)
	w.cut = map[string]bool{}
	w.Run(10 * time.Second)
	assert.Assert(t, w.serving(2))
}

func TestServiceThatIsConfiguredAgain(t *testing.T) {
	w := started(t)
	w.primary().write(4)
	w.Run(time.Second)
	w.change(2, nil)
	_, ok := w.run(time.Second, func() bool { return w.proxies["p1"].view.Group(service) == nil })
	assert.Assert(t, ok, "the service is still in force")
	w.change(3, map[types.ServiceName]types.Service{service: {Name: service, Members: 3, Slots: 3, Connections: 20}})
	_, ok = w.run(5*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok, "%+v", w.group())
	assert.Equal(t, w.primary().pos.Offset, uint64(4))
}

func TestNewLeaderWaitsBeforeItCallsMembersSilent(t *testing.T) {
	w := started(t)
	w.Run(time.Second) // between two announcements
	w.elect("c2")
	_, silent := w.run(5*time.Second, func() bool {
		return slices.ContainsFunc(w.group().Members, func(m types.Target) bool { return m.State != types.TargetActive })
	})
	assert.Equal(t, silent, false)
}
