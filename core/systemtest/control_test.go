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
	// repairBound is the longest time from the end of all failures until the
	// control hosts that run are members and three of them vote.
	repairBound = 40 * time.Second
	// failoverBound is the longest time without writes after a failure.
	failoverBound = 6 * time.Second
)

// addSpare adds a control host with an empty disk. It joins as a learner.
func (w *world) addSpare() types.HostID {
	w.spares++
	id := types.HostID(fmt.Sprintf("control-%d", voters+w.spares))
	w.cluster.Hosts[id] = &coretest.Host{ID: id, SyncTime: time.Millisecond}
	w.cluster.Start(id)
	return id
}

// members returns the voters and learners as the leader has them, or nil.
func (w *world) members() []proto.Voter {
	w.calls++
	call, leader := w.calls, w.leading
	w.cluster.Hand(leader, event.OperatorCalled{
		Call: call, Request: proto.OperatorRequest{Status: &proto.StatusRequest{}},
	})
	w.cluster.Run(askGap)
	if r, ok := w.replies[call]; ok && r.Status.Leader == leader {
		return r.Status.Voters
	}
	return nil
}

// repaired reports whether every control host that runs is a member, and three
// of them vote and nobody else.
func (w *world) repaired() bool {
	members, voting, running := w.members(), 0, 0
	for _, v := range members {
		if !v.Learner {
			voting++
		}
	}
	for _, id := range w.controls() {
		if w.cluster.Hosts[id].Stepper == nil {
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

func (w *world) waitRepaired() {
	w.t.Helper()
	for end := w.cluster.Now() + repairBound; w.cluster.Now() < end; {
		if w.repaired() {
			return
		}
	}
	w.t.Fatalf("the control hosts %v are not repaired within %v: %v", w.controls(), repairBound, w.members())
}

// loseDisk loses the disk of a control host once earlier losses are repaired.
// The host comes back under a new identity.
func (m *machine) loseDisk(t *rapid.T) {
	m.recover()
	m.waitRepaired()
	id := m.control(t, "lost")
	m.cluster.Crash(id)
	delete(m.cluster.Hosts, id)
	m.addSpare()
}

// checkChange checks that a change is accepted.
func (w *world) checkChange() {
	w.t.Helper()
	base := w.operators.version
	w.operators.change(len(w.targets))
	w.operators.settled()
	if w.operators.version <= base {
		w.t.Fatalf("no change was accepted on base %d", base)
	}
}

// TestSecondControlHostLostAfterRepair loses a voter, and another one, which
// leads, as soon as the spare has taken its place.
func TestSecondControlHostLostAfterRepair(t *testing.T) {
	m := &machine{world: newWorld(t, 11, voters, 3, 3)}
	m.addSpare()
	m.waitRepaired()
	m.checkChange()
	m.stop(m.follower())
	m.waitRepaired()
	m.stop(m.leading)
	m.cluster.Run(failoverBound)
	m.checkChange()
	m.checkAllServe()
}

// TestSilentlyCutOffControlHost cuts a control host off for a minute, in both
// directions or one, while callers work and operators change the
// configuration.
func TestSilentlyCutOffControlHost(t *testing.T) {
	for _, leads := range []bool{true, false} {
		for _, ways := range []string{"both", "in", "out"} {
			t.Run(fmt.Sprintf("leads %v, cut %s", leads, ways), func(t *testing.T) {
				w := newWorld(t, 12, voters, 3, 3)
				w.waitServing()
				lost := w.follower()
				if leads {
					lost = w.leading
				}
				w.cutOff(lost, ways)
				w.cluster.Run(failoverBound)
				w.work(6, time.Second)
				w.checkChange()
				w.cluster.Run(time.Minute)
				w.checkChange()
				w.checkAllServe()
				w.heal()
				w.cluster.Run(failoverBound)
				w.checkChange()
				w.checkAllServe()
			})
		}
	}
}

func (w *world) cutOff(id types.HostID, ways string) {
	for other := range w.cluster.Hosts {
		if ways != "out" {
			w.cluster.Cut(other, id)
		}
		if ways != "in" {
			w.cluster.Cut(id, other)
		}
	}
}

// TestPrimaryAndLeaderFailTogether crashes the primary and the control leader
// at once. Writes go on within the bound.
func TestPrimaryAndLeaderFailTogether(t *testing.T) {
	for seed := range uint64(20) {
		m := &machine{world: newWorld(t, 100+seed, voters, 3, 3)}
		primary := m.waitServing()
		m.work(6, time.Second)
		began := m.cluster.Now()
		m.stop(m.leading)
		m.stop(primary.host())
		c := m.oracle.newCaller()
		if !m.writeThrough(c, m.proxies["proxy-1"]) {
			t.Fatalf("seed %d: no write: %v", seed, m.oracle.refusals)
		}
		if gap := m.cluster.Now() - began; gap > failoverBound {
			t.Fatalf("seed %d: the next write came after %v", seed, gap)
		}
		m.recover()
		m.checkAllServe()
	}
}
