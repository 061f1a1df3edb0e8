package systemtest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/coretest"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"pgregory.net/rapid"
)

const (
	voters = 3
	// repairBound is the maximum time from the end of all failures until all running
	// control hosts are members and three of them are voters.
	repairBound = 40 * time.Second
	// failoverBound is the maximum time without writes after a failure.
	failoverBound = 6 * time.Second
)

// addSpare adds a control host with an empty disk, which joins as a learner.
func (s *simulation) addSpare() types.HostID {
	s.addedControls++
	id := types.HostID(fmt.Sprintf("control-%d", voters+s.addedControls))
	s.cluster.Hosts[id] = &coretest.Host{ID: id, SyncTime: time.Millisecond}
	s.cluster.Start(id)
	return id
}

// members returns the voters and learners that the leader reports, or nil without
// an answer from it.
func (s *simulation) members() []proto.Voter {
	s.calls++
	call, leader := s.calls, s.leader
	s.cluster.Deliver(leader, event.OperatorCalled{
		Call: call, Request: proto.OperatorRequest{Status: &proto.StatusRequest{}},
	})
	s.cluster.Run(retryInterval)
	if r, ok := s.replies[call]; ok && r.Status.Leader == leader {
		return r.Status.Voters
	}
	return nil
}

// controlsRepaired reports whether every running control host is a member and the
// voters are exactly three of them.
func (s *simulation) controlsRepaired() bool {
	members, voting, running := s.members(), 0, 0
	for _, v := range members {
		if !v.Learner {
			voting++
		}
	}
	for _, id := range s.controls() {
		if s.cluster.Hosts[id].Stepper == nil {
			continue
		}
		i := slices.IndexFunc(members, func(v proto.Voter) bool { return v.Host == id })
		if i < 0 {
			return false
		}
		if !members[i].Learner {
			running++
		}
	}
	return voting == voters && running == voters
}

func (s *simulation) awaitRepaired() {
	s.t.Helper()
	for end := s.cluster.Now() + repairBound; s.cluster.Now() < end; {
		if s.controlsRepaired() {
			return
		}
	}
	s.t.Fatalf("control hosts %v: expected all as members and three voters within %v, members are %v", s.controls(), repairBound, s.members())
}

// loseDisk destroys the disk of a control host after earlier losses are repaired.
// The host rejoins with a new identity.
func (m *machine) loseDisk(t *rapid.T) {
	m.recover()
	m.awaitRepaired()
	id := m.control(t, "lost")
	m.cluster.Crash(id)
	delete(m.cluster.Hosts, id)
	m.addSpare()
}

// checkChange checks that a configuration change is accepted.
func (s *simulation) checkChange() {
	s.t.Helper()
	base := s.operators.version
	s.operators.change(len(s.targets))
	s.operators.checkConverged()
	if s.operators.version <= base {
		s.t.Fatalf("no configuration change was accepted on base version %d", base)
	}
}

// TestSecondControlHostLostAfterRepair crashes a voter and, as soon as the spare has
// replaced it, the leader.
func TestSecondControlHostLostAfterRepair(t *testing.T) {
	m := &machine{simulation: newSimulation(t, 11, voters, 3, 3)}
	m.addSpare()
	m.awaitRepaired()
	m.checkChange()
	m.stop(m.follower())
	m.awaitRepaired()
	m.stop(m.leader)
	m.cluster.Run(failoverBound)
	m.checkChange()
	m.checkAllServe()
}

// TestSilentlyCutOffControlHost drops the messages of a control host for a minute, in
// both directions or one, while callers send requests and operators change the
// configuration.
func TestSilentlyCutOffControlHost(t *testing.T) {
	for _, isLeader := range []bool{true, false} {
		for _, direction := range []string{"both", "in", "out"} {
			t.Run(fmt.Sprintf("leader %v, cut %s", isLeader, direction), func(t *testing.T) {
				s := newSimulation(t, 12, voters, 3, 3)
				s.awaitServing()
				lost := s.follower()
				if isLeader {
					lost = s.leader
				}
				s.cutOff(lost, direction)
				s.cluster.Run(failoverBound)
				s.work(6, time.Second)
				s.checkChange()
				s.cluster.Run(time.Minute)
				s.checkChange()
				s.checkAllServe()
				s.heal()
				s.cluster.Run(failoverBound)
				s.checkChange()
				s.checkAllServe()
			})
		}
	}
}

// cutOff drops the messages to a host ("in"), from it ("out") or both ("both").
func (s *simulation) cutOff(id types.HostID, direction string) {
	for other := range s.cluster.Hosts {
		if direction != "out" {
			s.cluster.Cut(other, id)
		}
		if direction != "in" {
			s.cluster.Cut(id, other)
		}
	}
}

// TestPrimaryAndLeaderFailTogether crashes the primary and the control leader at the
// same time. Writes must resume within failoverBound.
func TestPrimaryAndLeaderFailTogether(t *testing.T) {
	for seed := range uint64(20) {
		m := &machine{simulation: newSimulation(t, 100+seed, voters, 3, 3)}
		primary := m.awaitServing()
		m.work(6, time.Second)
		failedAt := m.cluster.Now()
		m.stop(m.leader)
		m.stop(primary.host())
		c := m.oracle.newCaller()
		if !m.writeThrough(c, m.proxies["proxy-1"]) {
			t.Fatalf("seed %d: no write succeeded after the failures, refusals: %v", seed, m.oracle.refusals)
		}
		if gap := m.cluster.Now() - failedAt; gap > failoverBound {
			t.Fatalf("seed %d: the next write succeeded %v after the failures, the bound is %v", seed, gap, failoverBound)
		}
		m.recover()
		m.checkAllServe()
	}
}
