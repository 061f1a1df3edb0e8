package systemtest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAllMembersLeaveInTurn lets every member of a service leave under load, and return
// before the next one leaves. No request in flight may be refused.
func TestAllMembersLeaveInTurn(t *testing.T) {
	s := newSimulation(t, 19, voters, 3, 3)
	s.awaitServing()
	s.work(6, time.Second)
	for _, name := range s.targetNames() {
		leaving := s.targets[name]
		s.announceLeaving(leaving)
		s.work(6, 3*time.Second)
		last := leaving.departure.lastNewWork - leaving.departure.announcedAt
		assert.Assert(t, last <= healthyLeaveBound, "%s got new work %v after it announced that it leaves", name, last)
		leaving.departure = nil
		s.work(6, 2*time.Second)
	}
	assert.Equal(t, len(s.oracle.refusals)+len(s.oracle.sessionEnds), 0, "refused requests: %v, ended sessions: %v", s.oracle.refusals, s.oracle.sessionEnds)
	s.checkAllServe()
}

// TestLeavingTargetWhileTheLeaderIsCutOff lets the primary announce that it leaves while
// the messages from or to the control leader are dropped.
func TestLeavingTargetWhileTheLeaderIsCutOff(t *testing.T) {
	for _, direction := range []string{"both", "in", "out"} {
		t.Run(direction, func(t *testing.T) {
			s := newSimulation(t, 20, voters, 3, 3)
			leaving := s.awaitServing()
			s.work(6, time.Second)
			s.cutOff(s.leader, direction)
			s.announceLeaving(leaving)
			s.work(6, leaveBound+time.Second)
			last := leaving.departure.lastNewWork - leaving.departure.announcedAt
			assert.Assert(t, last <= leaveBound, "%s got new work %v after it announced that it leaves", leaving.name, last)
			s.heal()
			s.cluster.Run(failoverBound)
			s.checkAllServe()
		})
	}
}
