package promotion_test

import (
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// startServing returns a harness whose group serves its first term.
func startServing(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, 3, 4, 3)
	_, ok := h.runUntil(3*time.Second, func() bool { return h.serving(1) })
	assert.Assert(t, ok, "no first primary: %+v", h.group())
	h.Run(2 * time.Second)
	assert.Equal(t, h.group().Term, types.Term(1))
	return h
}

func (h *harness) primary() *fakeTarget { return h.targets[h.group().Primary] }

// replica returns the first replica by name.
func (h *harness) replica() *fakeTarget {
	for _, m := range h.group().Members {
		if m.Name != h.group().Primary {
			return h.targets[m.Name]
		}
	}
	return nil
}

func TestFirstPrimary(t *testing.T) {
	h := startServing(t)
	assert.Equal(t, h.replies[1].Change.Accepted, true)
	for name, target := range h.targets {
		assert.Equal(t, target.term, types.Term(1), "target %s", name)
		assert.Equal(t, target.primary, name == h.group().Primary, "target %s", name)
	}
	for id, p := range h.proxies {
		assert.Equal(t, len(p.view.Shares), 3, "proxy %s", id)
	}
}

func TestFailoverAfterKill(t *testing.T) {
	h := startServing(t)
	old := h.primary()
	old.write(7)
	h.Run(20 * time.Millisecond)
	old.down = true
	elapsed, ok := h.runUntil(3*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok, "no second primary: %+v", h.group())
	assert.Assert(t, elapsed <= time.Second, "failover took %v", elapsed)
	assert.Equal(t, h.primary().pos.Offset, uint64(7))
	assert.Assert(t, h.primary() != old)
}

func TestFreezeCausesNoPromotion(t *testing.T) {
	for _, freeze := range []time.Duration{50, 150, 299} {
		h := startServing(t)
		for range 20 {
			h.Run(time.Duration(h.Random()%100) * time.Millisecond)
			h.primary().frozenUntil = h.clock().Add(freeze * time.Millisecond)
			h.Run(time.Second)
		}
		assert.Equal(t, h.group().Term, types.Term(1), "promoted after a freeze of %d ms", freeze)
	}
}

func TestFrozenPrimaryIsReplaced(t *testing.T) {
	h := startServing(t)
	h.primary().frozenUntil = h.clock().Add(time.Hour)
	elapsed, ok := h.runUntil(3*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok && elapsed <= 1500*time.Millisecond, "failover took %v", elapsed)
}

func TestPartitionedPrimaryRejoinsWithoutItsWrites(t *testing.T) {
	h := startServing(t)
	old := h.primary()
	old.write(5)
	h.Run(100 * time.Millisecond)
	h.blocked[string(old.name)] = true
	old.write(3)
	_, ok := h.runUntil(3*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok)
	h.primary().write(1)
	h.Run(time.Second)
	delete(h.blocked, string(old.name))
	_, ok = h.runUntil(5*time.Second, func() bool { return old.term == 2 })
	assert.Assert(t, ok, "the old primary did not rejoin")
	h.Run(100 * time.Millisecond)
	assert.Equal(t, old.primary, false)
	assert.Equal(t, old.pos, types.LogPos{Term: 2, Offset: 6})
	assert.Equal(t, h.group().Term, types.Term(2))
}

func TestLaterLeaderRejoinsTheOldPrimary(t *testing.T) {
	h := startServing(t)
	old := h.primary()
	h.blocked[string(old.name)] = true
	old.write(3)
	_, ok := h.runUntil(3*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok)
	h.elect("c2")
	h.Run(time.Second)
	delete(h.blocked, string(old.name))
	_, ok = h.runUntil(2*time.Second, func() bool { return old.term == 2 && !old.primary && old.pos.Offset == 0 })
	assert.Assert(t, ok, "the old primary did not rejoin: %+v", old.status())
}

func TestTwoPromotionsInARow(t *testing.T) {
	h := newHarness(t, 3, 4, 5)
	_, ok := h.runUntil(3*time.Second, func() bool { return h.serving(1) })
	assert.Assert(t, ok)
	for term := types.Term(2); term <= 3; term++ {
		h.primary().write(4)
		h.Run(50 * time.Millisecond)
		h.primary().down = true
		elapsed, ok := h.runUntil(3*time.Second, func() bool { return h.serving(term) })
		assert.Assert(t, ok && elapsed <= time.Second, "failover took %v", elapsed)
		assert.Equal(t, h.primary().pos.Offset, uint64(4*(term-1)))
	}
}

func TestNewPrimaryDiesAtOnce(t *testing.T) {
	h := newHarness(t, 3, 4, 5)
	_, ok := h.runUntil(3*time.Second, func() bool { return h.serving(1) })
	assert.Assert(t, ok)
	h.primary().write(4)
	h.Run(50 * time.Millisecond)
	h.primary().down = true
	dying := 0
	for _, name := range []types.TargetName{"t2", "t3", "t4", "t5"} {
		if target := h.targets[name]; !target.down && dying == 0 {
			target.crashOnPromote, target.pos.Offset = true, 4
			dying++
		}
	}
	elapsed, ok := h.runUntil(5*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok && elapsed <= 2*time.Second, "failover took %v: %+v", elapsed, h.group())
	assert.Equal(t, h.group().Term, types.Term(3))
	assert.Equal(t, h.primary().pos.Offset, uint64(4))
}

func TestNoPromotionWithoutQuorum(t *testing.T) {
	h := startServing(t)
	old := h.primary()
	behind := h.replica()
	behind.leader = ""
	old.write(3)
	h.Run(time.Second)
	for _, target := range h.targets {
		target.down = target != behind
	}
	h.Run(5 * time.Second)
	assert.Equal(t, h.group().Phase, types.GroupFencing)
	for _, target := range h.targets {
		target.down = false
	}
	_, ok := h.runUntil(5*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok, "%+v", h.group())
	assert.Equal(t, h.primary().pos.Offset, uint64(3))
}

func TestProxyThatIsCutOffHoldsUpTheNextTermUntilItsLeaseEnds(t *testing.T) {
	h := startServing(t)
	lost := h.proxies["p3"]
	h.blocked["p3"] = true
	h.Run(100 * time.Millisecond)
	h.primary().down = true
	_, ok := h.runUntil(4*time.Second, func() bool { return h.group().Phase == types.GroupServing && h.group().Term > 1 })
	assert.Assert(t, ok)
	assert.Assert(t, !lost.view.LeaseLive(h.clock()), "a proxy with a lease still acts on term 1 while term 2 has a primary")
	assert.Equal(t, lost.view.Group(service).Term, types.Term(1))
}

func TestControlLeaderIsCutOffSilently(t *testing.T) {
	h := startServing(t)
	h.partitionLeader("c2")
	h.Run(2 * time.Second)
	assert.Assert(t, h.serving(1), "a proxy did not renew its lease after the leader change")
	h.primary().down = true
	elapsed, ok := h.runUntil(3*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok && elapsed <= time.Second, "failover took %v", elapsed)
}

func TestLeaderChangesDuringAPromotion(t *testing.T) {
	for after := time.Duration(1); after <= 40; after += 3 {
		h := startServing(t)
		h.primary().write(4)
		h.Run(50 * time.Millisecond)
		h.primary().down = true
		_, ok := h.runUntil(3*time.Second, func() bool { return h.group().Phase == types.GroupFencing })
		assert.Assert(t, ok)
		h.Run(after * time.Millisecond)
		h.elect("c2")
		_, ok = h.runUntil(5*time.Second, func() bool { return h.serving(2) })
		assert.Assert(t, ok, "no second primary after a leader change at %d ms: %+v", after, h.group())
		assert.Equal(t, h.primary().pos.Offset, uint64(4))
		for _, target := range h.targets {
			assert.Assert(t, !target.primary || target.down || target.name == h.group().Primary || target.term < h.group().Term)
		}
	}
}

func TestFarBehindReplicaIsNotPromoted(t *testing.T) {
	h := startServing(t)
	behind := h.replica()
	behind.leader = ""
	h.primary().write(100)
	h.Run(50 * time.Millisecond)
	h.primary().down = true
	_, ok := h.runUntil(3*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok)
	assert.Assert(t, h.primary() != behind)
	assert.Equal(t, h.primary().pos.Offset, uint64(100))
	_, ok = h.runUntil(2*time.Second, func() bool { return behind.pos.Offset == 100 })
	assert.Assert(t, ok, "the replica did not catch up")
}

func TestOneProxyThatCannotReachThePrimary(t *testing.T) {
	h := startServing(t)
	h.blocked["p2>"+string(h.group().Primary)] = true
	h.Run(3 * time.Second)
	for i := range 6 {
		h.elect([]types.HostID{"c2", "c3", "c1"}[i%3])
		h.Run(3 * time.Second)
	}
	assert.Equal(t, h.group().Term, types.Term(1))
}

func TestPrimaryThatLostItsRoleIsReplaced(t *testing.T) {
	h := startServing(t)
	h.primary().write(4)
	h.Run(time.Second)
	h.primary().primary = false
	elapsed, ok := h.runUntil(3*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok && elapsed <= time.Second, "failover took %v", elapsed)
	assert.Equal(t, h.primary().pos.Offset, uint64(4))
}

// blockProxyAccess keeps all proxies from reaching a target. The control hosts
// still reach it.
func (h *harness) blockProxyAccess(target types.TargetName) {
	for id := range h.proxies {
		h.blocked[string(id)+">"+string(target)] = true
	}
}

func TestPrimaryThatOnlyControlReachesIsReplaced(t *testing.T) {
	h := startServing(t)
	old := h.primary()
	h.blockProxyAccess(old.name)
	old.write(2)
	_, ok := h.runUntil(3*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok)
	assert.Assert(t, h.primary() != old, "the primary that no proxy reaches was promoted again")
	h.Run(3 * time.Second)
	assert.Equal(t, h.group().Term, types.Term(2))
}

func TestTermsDoNotRunAway(t *testing.T) {
	h := startServing(t)
	for name := range h.targets {
		h.blockProxyAccess(name)
	}
	h.Run(time.Minute)
	assert.Assert(t, h.group().Term <= 16, "%d terms in a minute", h.group().Term)
	h.blocked = map[string]bool{}
	h.Run(10 * time.Second)
	assert.Assert(t, h.serving(2))
}

// TestFailuresInARowAreOverInTime fails one primary after the other, each
// after one second of service, and bounds every failover. Backoff after quick
// replacements must not add up beyond that bound.
func TestFailuresInARowAreOverInTime(t *testing.T) {
	const bound = 3 * time.Second // bound on the longest failover
	h := startServing(t)
	for term := types.Term(2); term < 12; term++ {
		old := h.primary()
		h.blockProxyAccess(old.name)
		elapsed, ok := h.runUntil(2*bound, func() bool { return h.serving(term) })
		assert.Assert(t, ok && elapsed <= bound, "failover to term %d took %v", term, elapsed)
		h.blocked = map[string]bool{}
		h.Run(time.Second)
	}
}

func TestReconfiguredService(t *testing.T) {
	h := startServing(t)
	h.primary().write(4)
	h.Run(time.Second)
	h.change(2, nil)
	_, ok := h.runUntil(time.Second, func() bool { return h.proxies["p1"].view.Group(service) == nil })
	assert.Assert(t, ok, "the service is still in the view of proxy p1")
	h.change(3, map[types.ServiceName]types.Service{service: {Name: service, Members: 3, Slots: 3, Connections: 20}})
	_, ok = h.runUntil(5*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok, "%+v", h.group())
	assert.Equal(t, h.primary().pos.Offset, uint64(4))
}

func TestNewLeaderWaitsBeforeMarkingMembersSilent(t *testing.T) {
	h := startServing(t)
	h.Run(time.Second) // between two announcements
	h.elect("c2")
	_, silent := h.runUntil(5*time.Second, func() bool {
		return slices.ContainsFunc(h.group().Members, func(m types.Target) bool { return m.State != types.TargetActive })
	})
	assert.Equal(t, silent, false)
}
