package consensus_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/coretest"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// Times of the replacements of a lost voter.
const (
	replacedIn     = 4 * time.Second        // from the start of the new host until the next disk may be lost
	outage         = 300 * time.Millisecond // of a host that is restarted or loses its disk
	recoveryLimit  = 5 * time.Second        // from the second loss until a host leads
	longOutage     = 1500 * time.Millisecond
	interruptEvery = 50 * time.Millisecond
	shortSilence   = replacedIn / 4 // after which a voter is replaced
	longSilence    = replacedIn / 2
)

// TestReplacementAtTheSameAddressInterrupted guards against a control group that ends
// with the second lost disk, because a restart of the leader, at any point of the first
// replacement, made the next leader count the silence of the lost voter from its own start.
func TestReplacementAtTheSameAddressInterrupted(t *testing.T) {
	testInterruptedReplacement(t, longSilence, replaceAtSameAddress, interruption{"leader restarted", restartLeader})
}

// TestReplacementAtANewAddressInterrupted is the same for a voter that is removed for
// good, and whose successor has another address.
func TestReplacementAtANewAddressInterrupted(t *testing.T) {
	testInterruptedReplacement(t, longSilence, replaceAtNewAddress, interruption{"leader restarted", restartLeader})
}

// TestReplacementAtTheSameAddressUnderLongInterruptions is the same for interruptions that
// take up to half of the time in which the new host has to be a voter.
func TestReplacementAtTheSameAddressUnderLongInterruptions(t *testing.T) {
	testInterruptedReplacement(t, longSilence, replaceAtSameAddress, longInterruptions...)
}

// TestReplacementAtANewAddressUnderLongInterruptions is the same for a successor with
// another address, with the silence after which the users' platform replaces a voter.
func TestReplacementAtANewAddressUnderLongInterruptions(t *testing.T) {
	testInterruptedReplacement(t, shortSilence, replaceAtNewAddress, longInterruptions...)
}

func replaceAtSameAddress(c *harness, lost types.HostID) { c.loseDisk(lost, "new1") }

func replaceAtNewAddress(c *harness, lost types.HostID) {
	c.cluster.Crash(lost)
	c.cluster.Run(outage)
	c.startNew("new1", "new1")
}

// interruption is what happens to the leader and others during a replacement.
type interruption struct {
	name string
	run  func(c *harness, leader types.HostID)
}

var longInterruptions = []interruption{
	{"leader restarted twice", func(c *harness, leader types.HostID) {
		restartLeader(c, leader)
		c.cluster.Run(longOutage / 2)
		restartLeader(c, leader)
	}},
	{"all restarted", func(c *harness, _ types.HostID) {
		var up []types.HostID
		for _, id := range []types.HostID{"a", "b", "c", "new1"} {
			if c.cluster.Hosts[id].Stepper != nil {
				c.cluster.Crash(id)
				up = append(up, id)
			}
		}
		c.cluster.Run(outage)
		for _, id := range up {
			c.cluster.Start(id)
		}
	}},
	{"leader cut off", func(c *harness, leader types.HostID) {
		c.cluster.Isolate(leader)
		c.cluster.Run(longOutage)
		c.cluster.Heal()
	}},
	{"leader frozen", func(c *harness, leader types.HostID) {
		c.cluster.Freeze(leader)
		c.cluster.Run(longOutage)
		c.cluster.Thaw(leader)
	}},
}

func restartLeader(c *harness, leader types.HostID) {
	c.cluster.Crash(leader)
	c.cluster.Run(outage)
	c.cluster.Start(leader)
}

// testInterruptedReplacement replaces a follower, interrupts that after each multiple of
// interruptEvery, and takes another disk once the new host counts as working.
func testInterruptedReplacement(t *testing.T, silence time.Duration, replace func(c *harness, lost types.HostID), interruptions ...interruption) {
	for _, i := range interruptions {
		t.Run(i.name, func(t *testing.T) {
			for after := time.Duration(0); after < replacedIn-outage; after += interruptEvery {
				for seed := range uint64(3) {
					c := newHarness(t, seed, "a", "b", "c")
					c.usePolicy(consensus.Policy{Voters: 3, VoterSilence: silence})
					l := c.awaitLeader(failoverTimeout)
					c.awaitCommit(failoverTimeout, "before")
					first := c.other(l).ID()
					replace(c, first)
					replaced := c.cluster.Now()
					c.cluster.Run(after)
					i.run(c, l.ID())
					c.cluster.Run(max(0, replaced+replacedIn-c.cluster.Now()))
					c.loseDisk(c.third(l.ID(), first), "new2")
					led := c.cluster.RunUntil(recoveryLimit, func() bool { return c.leader() != nil })
					assert.Assert(t, led, "seed %d, %s after %v: no leader after the second loss; voters %v",
						seed, i.name, after, c.nodes[l.ID()].Voters())
					c.awaitCommit(failoverTimeout, "after the second loss")
				}
			}
		})
	}
}

// TestExcessVoterIsTheSilentOne guards against a new leader that finds four voters, one of
// which is gone, and takes the vote of the host that was to replace it.
func TestExcessVoterIsTheSilentOne(t *testing.T) {
	for seed := range uint64(10) {
		c := newHarness(t, seed, "a", "b", "c", "d")
		c.usePolicy(consensus.Policy{Voters: 3, VoterSilence: longSilence})
		c.cluster.Crash("b")
		l := c.awaitLeader(failoverTimeout)
		lost := c.cluster.RunUntil(replacedIn, func() bool { return !isVoting(l, "d") || c.leader() != l })
		assert.Assert(t, !lost && !isVoting(l, "b"), "seed %d: voters %v", seed, l.Voters())
	}
}

// TestHostAtTheAddressOfALiveVoter checks that a voter that responds isn't replaced by a
// host that states its address by mistake.
func TestHostAtTheAddressOfALiveVoter(t *testing.T) {
	c := newHarness(t, 1, "a", "b", "c")
	l := c.awaitLeader(failoverTimeout)
	live := c.other(l).ID()
	c.startNew("new", types.Address(live))
	c.cluster.Run(replacedIn)
	assert.Assert(t, isVoting(l, live))
	assert.Assert(t, isLearner(l, "new"))
}

// usePolicy restarts all hosts with a policy.
func (c *harness) usePolicy(p consensus.Policy) {
	c.policy = p
	for id := range c.cluster.Hosts {
		c.cluster.Crash(id)
	}
	for _, id := range []types.HostID{"a", "b", "c", "d"} {
		if _, ok := c.cluster.Hosts[id]; ok {
			c.cluster.Start(id)
		}
	}
}

// loseDisk ends a host and starts it with an empty disk, under another identity at the
// same address.
func (c *harness) loseDisk(id, newID types.HostID) {
	c.cluster.Crash(id)
	c.cluster.Run(outage)
	c.startNew(newID, types.Address(id))
}

// startNew starts a host with an empty disk.
func (c *harness) startNew(id types.HostID, address types.Address) {
	c.addresses[id] = address
	c.cluster.Hosts[id] = &coretest.Host{ID: id, SyncTime: time.Millisecond}
	c.cluster.Start(id)
}

// third returns the one of the first three hosts that is neither of two.
func (c *harness) third(x, y types.HostID) types.HostID {
	for _, id := range []types.HostID{"a", "b", "c"} {
		if id != x && id != y {
			return id
		}
	}
	return ""
}

func isVoting(h *host, id types.HostID) bool {
	for _, v := range h.Voters() {
		if v.Host == id {
			return !v.Learner
		}
	}
	return false
}
