package promotion_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// startSynchronous returns a harness whose managed service acknowledges a commit once one
// replica has received it. Its primary is t2.
func startSynchronous(t *testing.T) *harness {
	t.Helper()
	h := startManaged(t)
	h.setSyncReplicas(2, 1)
	for _, target := range h.targets {
		target.startedAt = 1
		target.sendAnnouncement()
	}
	h.Run(time.Second)
	return h
}

// setSyncReplicas orders configuration version n.
func (h *harness) setSyncReplicas(n uint64, syncReplicas int) {
	h.change(n, map[types.ServiceName]types.Service{
		service: {Name: service, Connections: 20, Managed: true, SyncReplicas: syncReplicas},
	})
	h.Run(500 * time.Millisecond)
}

// leave makes a member announce that it leaves.
func (h *harness) leave(name types.TargetName) {
	h.targets[name].leaving = true
	h.Run(2500 * time.Millisecond)
}

// write writes to the primary, and waits until the replicas that receive it have it.
func (h *harness) write() {
	h.targets["t2"].write(20)
	h.Run(100 * time.Millisecond)
}

// hideFromProxies cuts a target off from the proxies, but not from the control hosts.
func (h *harness) hideFromProxies(name types.TargetName) {
	for id := range h.proxies {
		h.blocked[string(id)+">"+string(name)] = true
	}
}

// TestLeavingReplicaHoldsAcknowledgedCommits guards against the promotion of an active
// member that lacks commits, which were acknowledged since a leaving one has them.
func TestLeavingReplicaHoldsAcknowledgedCommits(t *testing.T) {
	for _, tt := range []struct {
		name string
		then func(h *harness) // after the write
	}{
		{"crash", func(h *harness) { h.targets["t2"].down = true }},
		{"crash and another leader of the control hosts", func(h *harness) {
			h.targets["t2"].down = true
			h.Run(700 * time.Millisecond)
			h.elect("c2")
		}},
		{"crash after SyncReplicas was lowered", func(h *harness) {
			h.setSyncReplicas(3, 0)
			h.targets["t2"].down = true
		}},
		{"primary that only the control hosts reach", func(h *harness) { h.hideFromProxies("t2") }},
		{"release", func(h *harness) { h.targets["t2"].leaving = true }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := startSynchronous(t)
			h.leave("t1")
			h.targets["t3"].deaf = true
			h.write()
			acknowledged := h.targets["t1"].pos
			tt.then(h)
			_, ok := h.runUntil(2*managedFailoverBound, func() bool { return h.group().LastPrimary != "t2" })
			assert.Assert(t, ok, "no new primary: %+v", h.group())
			assert.Equal(t, h.group().LastPrimary, types.TargetName("t1"))
			assert.Assert(t, h.targets["t1"].pos.Compare(acknowledged) >= 0)
		})
	}
}

// TestUnknownPositionIsAwaited guards against the promotion of the only member that
// answers, although another one may hold the only copy of acknowledged commits. That one
// is neither removed while it is silent, nor passed over once it is back.
func TestUnknownPositionIsAwaited(t *testing.T) {
	h := startSynchronous(t)
	h.targets["t3"].deaf = true
	h.write()
	h.targets["t1"].down, h.targets["t2"].down = true, true
	h.Run(30 * time.Second)
	assert.Equal(t, len(h.promotionService.tokens), 0)
	assert.Equal(t, len(h.group().Members), 3)
	h.targets["t1"].down = false
	_, ok := h.runUntil(managedFailoverBound, func() bool { return h.group().Primary == "t1" })
	assert.Assert(t, ok, "%+v", h.group())
}

// TestLoweredSyncReplicasEndsTheWait checks that an operator may give up the commits that
// only silent members hold.
func TestLoweredSyncReplicasEndsTheWait(t *testing.T) {
	h := startSynchronous(t)
	h.targets["t3"].deaf = true
	h.write()
	h.targets["t1"].down, h.targets["t2"].down = true, true
	h.Run(5 * time.Second)
	h.setSyncReplicas(3, 0)
	_, ok := h.runUntil(managedFailoverBound, func() bool { return h.group().Primary == "t3" })
	assert.Assert(t, ok, "%+v", h.group())
}

// TestReplicaAtThePositionOfThePrimary checks that no further answer is awaited where the
// primary itself shows that a replica holds all that it acknowledged.
func TestReplicaAtThePositionOfThePrimary(t *testing.T) {
	h := startSynchronous(t)
	h.targets["t1"].down = true
	h.write()
	h.hideFromProxies("t2")
	_, ok := h.runUntil(managedFailoverBound, func() bool { return h.group().Primary == "t3" })
	assert.Assert(t, ok, "%+v", h.group())
}

// TestLeavingPrimaryStays checks that a leaving primary is not replaced by a replica that
// may lack acknowledged commits, and goes on serving.
func TestLeavingPrimaryStays(t *testing.T) {
	h := startSynchronous(t)
	h.targets["t3"].deaf = true
	h.write()
	h.targets["t1"].down = true
	h.leave("t2")
	_, ok := h.runUntil(managedFailoverBound, func() bool { return h.group().Phase == types.GroupFencing })
	assert.Assert(t, ok, "%+v", h.group())
	_, ok = h.runUntil(managedFailoverBound, func() bool { return h.group().Primary == "t2" })
	assert.Assert(t, ok, "%+v", h.group())
	assert.Assert(t, h.promotionService.lastTarget != "t3")
}

// TestSuccessorOfLeavingReplicaIsAwaited guards against the promotion of a member that lacks
// acknowledged commits, after the leaving replica that held them has ended and before the
// successor at its address, which takes over its log, has joined.
func TestSuccessorOfLeavingReplicaIsAwaited(t *testing.T) {
	h := startSynchronous(t)
	h.leave("t1")
	h.targets["t3"].deaf = true
	h.write()
	ended := h.targets["t1"]
	ended.down = true
	h.proxies["p1"].step(event.Announced{Announcement: proto.Announcement{Name: "t1", Terminated: true}})
	_, ok := h.runUntil(managedFailoverBound, func() bool { return len(h.group().Members) == 2 })
	assert.Assert(t, ok, "%+v", h.group())
	h.targets["t2"].down = true
	h.Run(3 * time.Second)
	assert.Equal(t, len(h.promotionService.tokens), 0)
	successor := h.addTargetAt("t4", "t1")
	successor.term, successor.pos, successor.leader = ended.term, ended.pos, "t2"
	_, ok = h.runUntil(managedFailoverBound, func() bool { return h.group().LastPrimary == "t4" })
	assert.Assert(t, ok, "%+v", h.group())
}

// TestPromotionTakesEffectAfterAnAnsweredOne guards against the loss of a commit that is
// acknowledged by a new primary, although an earlier request for another member was executed
// right before and takes effect later. For other services the answer is enough.
func TestPromotionTakesEffectAfterAnAnsweredOne(t *testing.T) {
	h := startSynchronous(t)
	h.promotionService.unansweredCalls, h.promotionService.executionDelay = 1, time.Hour
	h.hideFromProxies("t2")
	_, ok := h.runUntil(managedFailoverBound, func() bool { return len(h.promotionService.tokens) == 1 })
	assert.Assert(t, ok, "no promotion was requested")
	first := h.targets[h.promotionService.lastTarget]
	first.down = true // the next attempt chooses the third member
	_, ok = h.runUntil(managedFailoverBound, func() bool { return h.promotionService.lastTarget != first.name })
	assert.Assert(t, ok, "no promotion of the third member was requested")
	third := h.promotionService.lastTarget
	first.down = false
	h.Schedule(1200*time.Millisecond, func() { h.promotionService.makePrimary(first) })
	served := false
	_, trusted := h.runUntil(managedFailoverBound, func() bool {
		served = served || h.group().Primary == third
		return h.replacedUnderLease() != ""
	})
	assert.Assert(t, !trusted, "proxy %s trusts its lease after target %s was replaced", h.replacedUnderLease(), third)
	assert.Assert(t, served, "the third member did not serve")
	_, ok = h.runUntil(managedFailoverBound, func() bool { return h.confirmed() && h.primary() == first })
	assert.Assert(t, ok, "the last primary was not confirmed: %+v", h.group())
}

// TestPositionOfTheAttemptDoesNotConfirm guards against a primary that counts as confirmed
// because of an answer that was asked for before it served.
func TestPositionOfTheAttemptDoesNotConfirm(t *testing.T) {
	h := startSynchronous(t)
	h.elect("c2") // which assumes that an earlier leader left a request open
	h.Run(time.Second)
	before := h.group().Term
	h.targets["t2"].down = true
	_, ok := h.runUntil(managedFailoverBound, func() bool { return len(h.promotionService.tokens) == 1 })
	assert.Assert(t, ok, "no promotion was requested")
	chosen := h.targets[h.promotionService.lastTarget]
	chosen.frozenUntil = h.clock().Add(promotionLatency + 10*time.Millisecond) // it answers several polls at once then
	_, ok = h.runUntil(managedFailoverBound, func() bool { return h.serving(before + 1) })
	assert.Assert(t, ok, "no second primary: %+v", h.group())
	elapsed, ok := h.runUntil(confirmedBound, h.confirmed)
	assert.Assert(t, ok, "%+v", h.group())
	assert.Assert(t, elapsed > 500*time.Millisecond, "confirmed after %v, while an earlier request may take effect", elapsed)
}

// TestMemberWithoutItsLogProvesNothing guards against the promotion of a member that lacks
// acknowledged commits, because the only replica that had received them started again without
// its log, or another one joined in its place, and seems to show that there are none.
func TestMemberWithoutItsLogProvesNothing(t *testing.T) {
	for _, tt := range []struct {
		name string
		lose func(h *harness) // the log of t1
	}{
		{"started again", func(h *harness) { h.targets["t1"].restartWithoutLog() }},
		{"started again, and announces that later", func(h *harness) {
			t1 := h.targets["t1"]
			t1.down = true
			h.Run(1500 * time.Millisecond)
			t1.down, t1.pos, t1.startedAt = false, types.LogPos{}, 2
			h.Run(time.Second)
			t1.sendAnnouncement()
		}},
		{"started again, and another leader of the control hosts", func(h *harness) {
			h.targets["t1"].restartWithoutLog()
			h.Run(time.Second)
			h.elect("c2")
		}},
		{"lost, and another member joined in its place", func(h *harness) {
			h.targets["t1"].down = true
			h.addTargetAt("t4", "t1")
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := startSynchronous(t)
			h.targets["t3"].deaf = true
			h.write()
			acknowledged := h.targets["t2"].pos
			h.targets["t2"].down = true
			tt.lose(h)
			h.Run(8 * time.Second)
			assert.Equal(t, len(h.promotionService.tokens), 0, "target %s was promoted", h.promotionService.lastTarget)
			h.targets["t2"].down = false
			h.Run(managedFailoverBound)
			assert.Equal(t, h.group().Primary, types.TargetName("t2"), "%+v", h.group())
			assert.Assert(t, h.primary().pos.Compare(acknowledged) >= 0)
		})
	}
}

// TestMemberThatCaughtUpCounts checks that a replica which started again without its log is
// taken into account once it holds what the primary holds, and not before.
func TestMemberThatCaughtUpCounts(t *testing.T) {
	h := startSynchronous(t)
	h.write()
	t1 := h.targets["t1"]
	t1.deaf = true
	t1.restartWithoutLog()
	h.Run(2 * time.Second)
	assert.Assert(t, h.member("t1").LogIncomplete)
	t1.deaf = false
	h.write()
	_, ok := h.runUntil(time.Second, func() bool { return !h.member("t1").LogIncomplete })
	assert.Assert(t, ok, "%+v", h.group())
	h.targets["t3"].deaf = true
	h.write()
	h.targets["t2"].down = true
	_, ok = h.runUntil(managedFailoverBound, func() bool { return h.group().Primary == "t1" })
	assert.Assert(t, ok, "%+v", h.group())
}

// TestPrimaryKeepsItsLog checks that a primary which crashed and came back shows what it
// acknowledged, although its process is another one.
func TestPrimaryKeepsItsLog(t *testing.T) {
	h := startSynchronous(t)
	h.targets["t3"].deaf = true
	h.write()
	h.targets["t1"].down, h.targets["t2"].down = true, true
	h.Run(3 * time.Second)
	primary := h.targets["t2"]
	primary.down, primary.startedAt = false, 2
	_, ok := h.runUntil(managedFailoverBound, func() bool { return h.group().Primary == "t2" })
	assert.Assert(t, ok, "%+v", h.group())
	assert.Assert(t, !h.member("t2").LogIncomplete)
}

// member returns a member as it is recorded.
func (h *harness) member(name types.TargetName) types.Target {
	m, _ := h.group().Target(name)
	return m
}

// TestNewMemberDoesNotHoldUpAPromotion guards against a group that stays without a primary
// because a member joined meanwhile that never was a replica of the last primary.
func TestNewMemberDoesNotHoldUpAPromotion(t *testing.T) {
	for _, tt := range []struct {
		name string
		join func(h *harness)
	}{
		{"additional member", func(h *harness) { h.addTarget("t4") }},
		{"member at the address of the last primary", func(h *harness) { h.addTargetAt("t4", "t2") }},
		{"successor of the leaving primary", func(h *harness) {
			h.proxies["p1"].step(event.Announced{Announcement: proto.Announcement{Name: "t2", Terminated: true}})
			successor := h.addTargetAt("t4", "t2")
			successor.term, successor.pos = h.targets["t2"].term, h.targets["t2"].pos
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := startSynchronous(t)
			h.write()
			h.targets["t1"].down, h.targets["t3"].down = true, true
			h.targets["t2"].leaving = tt.name == "successor of the leaving primary"
			h.Run(2500 * time.Millisecond)
			h.targets["t2"].down = true
			h.Run(time.Second)
			tt.join(h)
			h.Run(2500 * time.Millisecond)
			h.targets["t1"].down, h.targets["t3"].down = false, false
			_, ok := h.runUntil(2*managedFailoverBound, func() bool { return h.group().LastPrimary != "t2" })
			assert.Assert(t, ok, "%+v", h.group())
		})
	}
}
