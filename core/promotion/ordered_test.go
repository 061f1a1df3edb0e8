package promotion_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

func (w *world) promoteTo(n uint64, to types.TargetName) {
	w.call(n, w.leader, proto.OperatorRequest{Promote: &proto.Promote{Service: service, To: to}})
}

func TestOrderedChangeOfPrimary(t *testing.T) {
	w := started(t)
	old := w.primary()
	old.write(9)
	to := types.TargetName("t3")
	w.promoteTo(2, to)
	gap, ok := w.run(3*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok && gap <= 200*time.Millisecond, "the change took %v", gap)
	assert.Equal(t, w.group().Primary, to)
	assert.Equal(t, w.primary().pos.Offset, uint64(9))
	assert.Equal(t, w.replies[2].Err, proto.OpErrNone)
	w.Run(time.Second)
	assert.Equal(t, old.primary, false)
	assert.Equal(t, w.group().Term, types.Term(2))
}

func TestOrderedChangeWaitsForWorkUnderWay(t *testing.T) {
	w := started(t)
	busy := w.proxies["p2"]
	busy.writing = []types.ServiceName{service}
	busy.report()
	w.promoteTo(2, "t3")
	w.Run(500 * time.Millisecond)
	assert.Equal(t, w.group().Phase, types.GroupQuiescing)
	busy.writing = nil
	busy.report()
	gap, ok := w.run(time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok && gap <= 200*time.Millisecond, "the change took %v", gap)
}

func TestOrderedChangeWaitsNoLongerThanItsBound(t *testing.T) {
	w := started(t)
	busy := w.proxies["p2"]
	busy.writing = []types.ServiceName{service}
	busy.report()
	w.promoteTo(2, "t3")
	gap, ok := w.run(4*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok && gap >= 2*time.Second && gap <= 2500*time.Millisecond, "the change took %v", gap)
}

func TestOrderedChangeWaitsForItsTargetToCatchUp(t *testing.T) {
	w := started(t)
	w.primary().lag = 200 * time.Millisecond
	w.primary().write(9)
	w.promoteTo(2, "t3")
	_, ok := w.run(3*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok)
	assert.Equal(t, w.group().Primary, types.TargetName("t3"))
	assert.Equal(t, w.primary().pos.Offset, uint64(9))
}

func TestLeavingPrimaryIsReplaced(t *testing.T) {
	w := started(t)
	old := w.primary()
	old.leaving = true
	_, ok := w.run(4*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok, "%+v", w.group())
	assert.Assert(t, w.primary() != old)
	member, _ := w.group().Target(old.name)
	assert.Equal(t, member.State, types.TargetLeaving)
	w.Run(3 * time.Second)
	assert.Equal(t, w.group().Term, types.Term(2))
}

func TestDrainOutlastsAnnouncements(t *testing.T) {
	w := started(t)
	ref := types.TargetRef{Service: service, Name: "t3"}
	state := func() types.TargetState {
		member, _ := w.group().Target(ref.Name)
		return member.State
	}
	w.call(2, w.leader, proto.OperatorRequest{Drain: &proto.Drain{Ref: ref, On: true}})
	w.Run(5 * time.Second)
	assert.Equal(t, state(), types.TargetLeaving)
	w.elect("c2")
	w.Run(5 * time.Second)
	assert.Equal(t, state(), types.TargetLeaving)
	w.call(3, w.leader, proto.OperatorRequest{Drain: &proto.Drain{Ref: ref}})
	w.Run(5 * time.Second)
	assert.Equal(t, state(), types.TargetActive)
	assert.Equal(t, w.replies[2].Err, proto.OpErrNone)
	assert.Equal(t, w.replies[3].Err, proto.OpErrNone)
}

func TestSilentTargetGetsNoNewWork(t *testing.T) {
	w := started(t)
	w.targets["t3"].down = true
	state := func() types.TargetState {
		member, _ := w.group().Target("t3")
		return member.State
	}
	gap, ok := w.run(5*time.Second, func() bool { return state() == types.TargetSilent })
	assert.Assert(t, ok && gap <= 4*time.Second, "silence was noticed after %v", gap)
	w.targets["t3"].down = false
	_, ok = w.run(3*time.Second, func() bool { return state() == types.TargetActive })
	assert.Assert(t, ok)
}

func TestLeavingPrimaryIsReplacedAlthoughReplicasAreFarBehind(t *testing.T) {
	w := started(t)
	old := w.primary()
	old.lag = 2 * time.Second
	stop := false
	var write func()
	write = func() {
		if g := w.group(); g.Phase == types.GroupServing && g.Primary == old.name {
			old.write(1)
		}
		if !stop {
			w.Schedule(20*time.Millisecond, write)
		}
	}
	write()
	w.Run(3 * time.Second)
	old.leaving = true
	_, ok := w.run(time.Minute, func() bool { return w.serving(2) && w.primary() != old })
	stop = true
	assert.Assert(t, ok, "%+v", w.group())
	assert.Assert(t, w.group().Term <= 5, "%d terms", w.group().Term)
	assert.Equal(t, w.primary().pos.Offset, old.pos.Offset)
}
