package systemtest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAllMembersLeaveInTurn releases every member of a service under load, each
// of which stays again before the next one leaves. Nothing in flight is refused.
func TestAllMembersLeaveInTurn(t *testing.T) {
	w := newWorld(t, 19, voters, 3, 3)
	w.waitServing()
	w.work(6, time.Second)
	for _, name := range w.targetNames() {
		leaving := w.targets[name]
		w.leaves(leaving)
		w.work(6, 3*time.Second)
		last := leaving.left.lastNew - leaving.left.at
		assert.Assert(t, last <= calmLeaveBound, "%s got new work %v after it announced that it leaves", name, last)
		leaving.left = nil
		w.work(6, 2*time.Second)
	}
	assert.Equal(t, len(w.oracle.refusals)+len(w.oracle.ends), 0, "refused: %v, ended: %v", w.oracle.refusals, w.oracle.ends)
	w.checkAllServe()
}

// TestLeavingTargetWhileTheLeaderIsCutOff lets the primary announce that it
// leaves when the control leader no longer hears the other control hosts or is
// not heard by them.
func TestLeavingTargetWhileTheLeaderIsCutOff(t *testing.T) {
	for _, ways := range []string{"both", "in", "out"} {
		t.Run(ways, func(t *testing.T) {
			w := newWorld(t, 20, voters, 3, 3)
			leaving := w.waitServing()
			w.work(6, time.Second)
			w.cutOff(w.leading, ways)
			w.leaves(leaving)
			w.work(6, leaveBound+time.Second)
			last := leaving.left.lastNew - leaving.left.at
			assert.Assert(t, last <= leaveBound, "%s got new work %v after it announced that it leaves", leaving.name, last)
			w.heal()
			w.cluster.Run(failoverBound)
			w.checkAllServe()
		})
	}
}
