package promotion_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

func (h *harness) promoteTo(n uint64, to types.TargetName) {
	h.call(n, h.leader, proto.OperatorRequest{Promote: &proto.Promote{Service: service, To: to}})
}

func TestOrderedChangeOfPrimary(t *testing.T) {
	h := startServing(t)
	old := h.primary()
	old.write(9)
	to := types.TargetName("t3")
	h.promoteTo(2, to)
	elapsed, ok := h.runUntil(3*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok && elapsed <= 200*time.Millisecond, "the change took %v", elapsed)
	assert.Equal(t, h.group().Primary, to)
	assert.Equal(t, h.primary().pos.Offset, uint64(9))
	assert.Equal(t, h.replies[2].Err, proto.OpErrNone)
	h.Run(time.Second)
	assert.Equal(t, old.primary, false)
	assert.Equal(t, h.group().Term, types.Term(2))
}

func TestOrderedChangeWaitsForWorkInProgress(t *testing.T) {
	h := startServing(t)
	busy := h.proxies["p2"]
	busy.writing = []types.ServiceName{service}
	busy.report()
	h.promoteTo(2, "t3")
	h.Run(500 * time.Millisecond)
	assert.Equal(t, h.group().Phase, types.GroupQuiescing)
	busy.writing = nil
	busy.report()
	elapsed, ok := h.runUntil(time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok && elapsed <= 200*time.Millisecond, "the change took %v", elapsed)
}

func TestOrderedChangeQuiesceTimeout(t *testing.T) {
	h := startServing(t)
	busy := h.proxies["p2"]
	busy.writing = []types.ServiceName{service}
	busy.report()
	h.promoteTo(2, "t3")
	elapsed, ok := h.runUntil(4*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok && elapsed >= 2*time.Second && elapsed <= 2500*time.Millisecond, "the change took %v", elapsed)
}

func TestOrderedChangeWaitsForCatchUp(t *testing.T) {
	h := startServing(t)
	h.primary().lag = 200 * time.Millisecond
	h.primary().write(9)
	h.promoteTo(2, "t3")
	_, ok := h.runUntil(3*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok)
	assert.Equal(t, h.group().Primary, types.TargetName("t3"))
	assert.Equal(t, h.primary().pos.Offset, uint64(9))
}

func TestLeavingPrimaryIsReplaced(t *testing.T) {
	h := startServing(t)
	old := h.primary()
	old.leaving = true
	_, ok := h.runUntil(4*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok, "%+v", h.group())
	assert.Assert(t, h.primary() != old)
	member, _ := h.group().Target(old.name)
	assert.Equal(t, member.State, types.TargetLeaving)
	h.Run(3 * time.Second)
	assert.Equal(t, h.group().Term, types.Term(2))
}

func TestDrainSurvivesAnnouncements(t *testing.T) {
	h := startServing(t)
	ref := types.TargetRef{Service: service, Name: "t3"}
	state := func() types.TargetState {
		member, _ := h.group().Target(ref.Name)
		return member.State
	}
	h.call(2, h.leader, proto.OperatorRequest{Drain: &proto.Drain{Ref: ref, On: true}})
	h.Run(5 * time.Second)
	assert.Equal(t, state(), types.TargetLeaving)
	h.elect("c2")
	h.Run(5 * time.Second)
	assert.Equal(t, state(), types.TargetLeaving)
	h.call(3, h.leader, proto.OperatorRequest{Drain: &proto.Drain{Ref: ref}})
	h.Run(5 * time.Second)
	assert.Equal(t, state(), types.TargetActive)
	assert.Equal(t, h.replies[2].Err, proto.OpErrNone)
	assert.Equal(t, h.replies[3].Err, proto.OpErrNone)
}

func TestSilentTargetGetsNoNewWork(t *testing.T) {
	h := startServing(t)
	h.targets["t3"].down = true
	state := func() types.TargetState {
		member, _ := h.group().Target("t3")
		return member.State
	}
	elapsed, ok := h.runUntil(5*time.Second, func() bool { return state() == types.TargetSilent })
	assert.Assert(t, ok && elapsed <= 4*time.Second, "the silent target was marked after %v", elapsed)
	h.targets["t3"].down = false
	_, ok = h.runUntil(3*time.Second, func() bool { return state() == types.TargetActive })
	assert.Assert(t, ok)
}

func TestLeavingPrimaryIsReplacedDespiteLaggingReplicas(t *testing.T) {
	h := startServing(t)
	old := h.primary()
	old.lag = 2 * time.Second
	stop := false
	var write func()
	write = func() {
		if g := h.group(); g.Phase == types.GroupServing && g.Primary == old.name {
			old.write(1)
		}
		if !stop {
			h.Schedule(20*time.Millisecond, write)
		}
	}
	write()
	h.Run(3 * time.Second)
	old.leaving = true
	_, ok := h.runUntil(time.Minute, func() bool { return h.serving(2) && h.primary() != old })
	stop = true
	assert.Assert(t, ok, "%+v", h.group())
	assert.Assert(t, h.group().Term <= 5, "%d terms", h.group().Term)
	assert.Equal(t, h.primary().pos.Offset, old.pos.Offset)
}
