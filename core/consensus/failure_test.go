package consensus_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/coretest"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// failoverTimeout bounds the time from the loss of a leader to the next one.
const failoverTimeout = 3 * time.Second

// TestLeaderIsReplaced checks that another host takes over and commits after each
// way in which a leader can fail.
func TestLeaderIsReplaced(t *testing.T) {
	others := func(c *harness, id types.HostID, do func(types.HostID)) {
		for other := range c.nodes {
			if other != id {
				do(other)
			}
		}
	}
	tests := []struct {
		name string
		lose func(c *harness, id types.HostID)
	}{
		{"crash", func(c *harness, id types.HostID) { c.cluster.Crash(id) }},
		{"freeze", func(c *harness, id types.HostID) { c.cluster.Freeze(id) }},
		{"isolated", func(c *harness, id types.HostID) { c.cluster.Isolate(id) }},
		{"receives nothing", func(c *harness, id types.HostID) {
			others(c, id, func(other types.HostID) { c.cluster.Cut(other, id) })
		}},
		{"reaches nobody", func(c *harness, id types.HostID) {
			others(c, id, func(other types.HostID) { c.cluster.Cut(id, other) })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				c := newHarness(t, seed, "a", "b", "c")
				lost := c.awaitLeader(failoverTimeout)
				tt.lose(c, lost.ID())
				found := c.cluster.RunUntil(failoverTimeout, func() bool {
					l := c.leader()
					return l != nil && l != lost
				})
				assert.Assert(t, found, "seed %d: no new leader", seed)
				c.awaitCommit(failoverTimeout, "after")
			}
		})
	}
}

// TestReturningHostDoesNotDisturb guards against a host that forces an election
// when it reconnects after 8 s without contact.
func TestReturningHostDoesNotDisturb(t *testing.T) {
	for _, cutLeader := range []bool{true, false} {
		for seed := range uint64(10) {
			c := newHarness(t, seed, "a", "b", "c")
			first := c.awaitLeader(failoverTimeout)
			lost := first
			if !cutLeader {
				lost = c.other(first)
			}
			c.cluster.Isolate(lost.ID())
			c.cluster.Run(8 * time.Second)
			assert.Equal(t, lost.LeadsUntil(), types.Instant(0))
			current := c.awaitLeader(failoverTimeout)
			term := current.Term()
			c.cluster.Heal()
			c.cluster.Run(5 * time.Second)
			assert.Equal(t, current.Term(), term, "seed %d, leader cut: %v", seed, cutLeader)
			assert.Equal(t, lost.Term(), term)
			assert.Assert(t, c.leader() == current)
		}
	}
}

// other returns a host that is not h.
func (c *harness) other(h *host) *host {
	for _, id := range []types.HostID{"a", "b"} {
		if n := c.nodes[id]; n != h {
			return n
		}
	}
	return nil
}

// TestVotersStayWithLiveLeader guards against an election by a follower that
// receives nothing from the leader, while the other follower does.
func TestVotersStayWithLiveLeader(t *testing.T) {
	for seed := range uint64(10) {
		c := newHarness(t, seed, "a", "b", "c")
		l := c.awaitLeader(failoverTimeout)
		term := l.Term()
		c.cluster.Cut(l.ID(), c.other(l).ID())
		c.cluster.Run(8 * time.Second)
		assert.Equal(t, l.Term(), term)
		assert.Assert(t, c.leader() == l)
	}
}

// TestSecondLossAfterRepair checks that the cluster survives the loss of its leader
// after a learner has become a voter in place of a crashed follower.
func TestSecondLossAfterRepair(t *testing.T) {
	c := newHarness(t, 1, "a", "b", "c")
	c.awaitLeader(failoverTimeout)
	c.cluster.Hosts["d"] = &coretest.Host{ID: "d", SyncTime: time.Millisecond}
	c.cluster.Start("d")
	c.cluster.Run(5 * time.Second)
	assert.Assert(t, isLearner(c.leader(), "d"))
	c.cluster.Crash(c.other(c.leader()).ID())
	c.cluster.Run(12 * time.Second)
	l := c.awaitLeader(failoverTimeout)
	assert.Assert(t, !isLearner(l, "d"))
	assert.Equal(t, len(l.Voters()), 3)
	c.cluster.Crash(l.ID())
	c.awaitCommit(failoverTimeout, "after the second loss")
}

// TestConsecutiveReplacements replaces the leader with an empty host four times. Each
// leader fails one catch-up time after the last new host has started, so each new
// host must be a voter by then.
func TestConsecutiveReplacements(t *testing.T) {
	const (
		catchUp      = 4 * time.Second // from the start of a new host to the next failure
		voterSilence = catchUp / 2
		replaceAfter = voterSilence + 200*time.Millisecond // the failed voter is silent long enough to be replaced
	)
	for seed := range uint64(10) {
		c := newHarness(t, seed, "a", "b", "c")
		c.policy = consensus.Policy{Voters: 3, VoterSilence: voterSilence}
		for _, h := range []types.HostID{"a", "b", "c"} {
			c.cluster.Crash(h)
			c.cluster.Start(h) // with the policy
		}
		c.awaitLeader(failoverTimeout)
		for i := range 4 {
			c.cluster.Crash(c.awaitLeader(failoverTimeout).ID())
			c.cluster.Run(replaceAfter)
			id := types.HostID(fmt.Sprint("new", i))
			c.cluster.Hosts[id] = &coretest.Host{ID: id, SyncTime: time.Millisecond}
			c.cluster.Start(id)
			c.cluster.Run(catchUp)
			assert.Assert(t, !isLearner(c.awaitLeader(failoverTimeout), id), "seed %d: %s is still a learner", seed, id)
		}
		c.awaitCommit(failoverTimeout, "after four replacements")
	}
}

// TestFiveVotersTolerateTwoLosses loses two of five voters for good, and two more once
// learners have replaced them.
func TestFiveVotersTolerateTwoLosses(t *testing.T) {
	c := newHarness(t, 1, "a")
	c.policy = consensus.Policy{Voters: 5, VoterSilence: 2 * time.Second}
	c.cluster.Crash("a")
	c.cluster.Start("a")
	c.awaitLeader(failoverTimeout)
	for _, id := range []types.HostID{"b", "c", "d", "e", "f", "g"} {
		c.cluster.Hosts[id] = &coretest.Host{ID: id, SyncTime: time.Millisecond}
		c.cluster.Start(id)
	}
	c.cluster.Run(5 * time.Second)
	assert.Equal(t, countVoters(c.leader()), 5)
	for range 2 {
		c.cluster.Crash(c.awaitLeader(failoverTimeout).ID())
		c.cluster.Crash(c.awaitLeader(failoverTimeout).ID())
		c.awaitCommit(failoverTimeout, "after two losses")
		c.cluster.Run(4 * time.Second)
	}
	c.awaitCommit(failoverTimeout, "after four losses")
}

func countVoters(h *host) int {
	n := 0
	for _, v := range h.Voters() {
		if !v.Learner {
			n++
		}
	}
	return n
}

// TestVoterWithHungDiskIsReplaced guards against a voter that is kept because it
// still acknowledges heartbeats, although its disk hangs.
func TestVoterWithHungDiskIsReplaced(t *testing.T) {
	c := newHarness(t, 1, "a", "b", "c")
	l := c.awaitLeader(failoverTimeout)
	c.cluster.Hosts["d"] = &coretest.Host{ID: "d", SyncTime: time.Millisecond}
	c.cluster.Start("d")
	c.cluster.Run(5 * time.Second)
	hungVoter := c.other(l)
	hungVoter.host.SyncTime = time.Hour
	c.awaitCommit(failoverTimeout, "with two disks")
	c.cluster.Run(12 * time.Second)
	_, member := consensus.WithoutHost(l.Voters(), hungVoter.ID())
	assert.Assert(t, !member)
	assert.Assert(t, hungVoter.DeferredMessages() < 10, "%d messages wait for the disk", hungVoter.DeferredMessages())
	assert.Assert(t, !isLearner(l, "d"))
	assert.Assert(t, c.leader() == l)
}

func isLearner(h *host, id types.HostID) bool {
	for _, v := range h.Voters() {
		if v.Host == id {
			return v.Learner
		}
	}
	return false
}

// TestLostDiskReturnsAsNewHost loses a voter's disk. The host returns under a new
// identity, as a learner, and replaces its former identity among the voters.
func TestLostDiskReturnsAsNewHost(t *testing.T) {
	c := newHarness(t, 1, "a", "b", "c")
	l := c.awaitLeader(failoverTimeout)
	lost := c.other(l).ID()
	c.cluster.Crash(lost)
	c.cluster.Hosts["new"] = &coretest.Host{ID: "new"}
	c.cluster.Start("new")
	c.cluster.Run(15 * time.Second)
	assert.Assert(t, strings.Contains(fmt.Sprint(l.Voters()), "new"))
	assert.Assert(t, !strings.Contains(fmt.Sprint(l.Voters()), "{"+string(lost)+" "))
	assert.Assert(t, !isLearner(l, "new"))
}

// TestRestartAfterManyChanges restarts a host that missed changes: few enough that
// the leader's log still holds them, and so many that it needs a snapshot.
func TestRestartAfterManyChanges(t *testing.T) {
	for _, tt := range []struct {
		changes, restores int
	}{{300, 0}, {1500, 1}} {
		t.Run(fmt.Sprint(tt.changes), func(t *testing.T) {
			c := newHarness(t, 1, "a", "b", "c")
			l := c.awaitLeader(failoverTimeout)
			down := c.other(l).ID()
			c.cluster.Crash(down)
			for i := range tt.changes {
				c.awaitCommit(time.Second, fmt.Sprint("change ", i))
			}
			c.cluster.Start(down)
			before := c.restores // Start has restored the host's own snapshot
			c.cluster.Run(2 * time.Second)
			assert.Equal(t, c.nodes[down].state, c.leader().state)
			assert.Equal(t, c.restores-before, tt.restores)
		})
	}
}

// TestRestartOfAll restarts all hosts at once and checks that the committed state
// survives.
func TestRestartOfAll(t *testing.T) {
	c := newHarness(t, 1, "a", "b", "c")
	c.awaitLeader(failoverTimeout)
	for i := range 1200 {
		c.awaitCommit(time.Second, fmt.Sprint("change ", i))
	}
	state, applied := c.leader().state, c.leader().applied
	for _, id := range []types.HostID{"a", "b", "c"} {
		c.cluster.Crash(id)
	}
	for _, id := range []types.HostID{"a", "b", "c"} {
		c.cluster.Start(id)
	}
	c.awaitLeader(failoverTimeout)
	assert.Equal(t, c.states[applied], state)
	assert.Assert(t, c.leader().applied > applied)
}

// TestBadNetwork commits over a network that drops, duplicates and reorders
// messages.
func TestBadNetwork(t *testing.T) {
	c := newHarness(t, 1, "a", "b", "c")
	c.cluster.Network.DropPercent, c.cluster.Network.DuplicatePercent = 10, 10
	c.cluster.Network.DelayMax = 30 * time.Millisecond
	for i := range 200 {
		c.awaitCommit(10*time.Second, fmt.Sprint("change ", i))
	}
}

// TestSlowDiskKeepsTheLease guards against a leader that loses its leader lease
// because the only follower left needs longer for a write than the lease lasts.
func TestSlowDiskKeepsTheLease(t *testing.T) {
	c := newHarness(t, 1, "a", "b", "c")
	l := c.awaitLeader(failoverTimeout)
	slow := c.other(l)
	for id, n := range c.nodes {
		if n != l && n != slow {
			c.cluster.Crash(id)
		}
	}
	slow.host.SyncTime = 2 * consensus.ElectionTimeoutMax
	for i := range 3 {
		c.propose(l, fmt.Sprint("change ", i))
		for range 40 {
			c.cluster.Run(consensus.HeartbeatInterval)
			assert.Assert(t, l.LeadsUntil() > c.cluster.LocalTime(l.host))
		}
		assert.Assert(t, c.hasCommitted(fmt.Sprint("change ", i)))
	}
}

// TestOneChangeOfVotersAtATime proposes sets of voters that the leader must drop
// (Ongaro's thesis, section 4.1).
func TestOneChangeOfVotersAtATime(t *testing.T) {
	c := newHarness(t, 1, "a", "b", "c")
	l := c.awaitLeader(failoverTimeout)
	set := func(names ...string) event.Proposed {
		var vs []proto.Voter
		for _, name := range names {
			vs = append(vs, voter(name))
		}
		return event.Proposed{Command: proto.Command{Voters: &proto.SetVoters{Voters: vs}}}
	}
	c.cluster.Step(l.host, set("a", "b", "c", "d", "e")) // two hosts at once
	assert.Equal(t, len(l.Voters()), 3)
	c.cluster.Step(l.host, set()) // nobody
	assert.Equal(t, len(l.Voters()), 3)
	c.cluster.Step(l.host, set("a", "b", "c", "d"))
	assert.Equal(t, len(l.Voters()), 4)
	c.cluster.Step(l.host, set("a", "b", "c", "d", "e")) // the previous change is not committed yet
	assert.Equal(t, len(l.Voters()), 4)
}

// TestRemovedLeaderStepsDown removes the leader from the voters (Raft, section 6).
// It must stop leading once the change is committed, and another host must lead.
func TestRemovedLeaderStepsDown(t *testing.T) {
	c := newHarness(t, 1, "a", "b", "c")
	l := c.awaitLeader(failoverTimeout)
	rest, ok := consensus.WithoutHost(l.Voters(), l.ID())
	assert.Assert(t, ok)
	c.cluster.Step(l.host, event.Proposed{Command: proto.Command{Voters: &proto.SetVoters{Voters: rest}}})
	c.cluster.RunUntil(failoverTimeout, func() bool { return c.leader() != nil && c.leader() != l })
	c.awaitCommit(failoverTimeout, "without the old leader")
	assert.Equal(t, l.LeadsUntil(), types.Instant(0))
}

// TestMessagesWaitForSync guards against replies to votes and appends
// that are sent before the state they report is synced. The test steps one host
// by hand.
func TestMessagesWaitForSync(t *testing.T) {
	first := &proto.Snapshot{Index: 1, Term: 1, Voters: []proto.Voter{voter("a"), voter("b"), voter("c")}}
	tests := []struct {
		name    string
		message proto.Message
		reply   proto.MessageKind
	}{
		{"vote", proto.Message{Kind: proto.MsgVote, From: "b", To: "a", Term: 2, LogIndex: 1, LogTerm: 1}, proto.MsgVoteReply},
		{"append", proto.Message{
			Kind: proto.MsgAppend, From: "b", To: "a", Term: 2, LogIndex: 1, LogTerm: 1,
			Entries: []proto.Entry{{Index: 2, Term: 2}},
		}, proto.MsgAppendReply},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := consensus.New(consensus.Options{
				Self:  voter("a"),
				Saved: consensus.PersistentState{HardState: proto.HardState{Term: 1, Commit: 1}, Snapshot: first},
			})
			n.Step(event.Input{Now: 1, Event: event.Start{}})
			at := types.Instant(10 * time.Second)
			var seq uint64
			for _, eff := range n.Step(event.Input{Now: at, Event: event.PeerMessage{Message: tt.message}}) {
				switch e := eff.(type) {
				case effect.SendPeer:
					t.Errorf("%v was sent before it was synced", e.Message)
				case effect.Persist:
					seq = e.Seq
				}
			}
			var sent []proto.MessageKind
			for _, eff := range n.Step(event.Input{Now: at, Event: event.Persisted{Seq: seq}}) {
				if s, ok := eff.(effect.SendPeer); ok {
					sent = append(sent, s.Message.Kind)
				}
			}
			assert.DeepEqual(t, sent, []proto.MessageKind{tt.reply})
		})
	}
}

// TestDisksFullInTurn fills the disk of one host after the other, of the leader and of
// followers, while changes are proposed. All changes are committed meanwhile, and long
// after the last disk has room again every host holds all of them and votes.
func TestDisksFullInTurn(t *testing.T) {
	for seed := range uint64(40) {
		c := newHarness(t, seed+1, "a", "b", "c", "d", "e")
		c.cluster.Network.DelayMin, c.cluster.Network.DelayMax = 5*time.Millisecond, 10*time.Millisecond
		for _, h := range c.cluster.Hosts {
			h.SyncTime = time.Millisecond
		}
		c.awaitLeader(failoverTimeout)
		for round, name := range []types.HostID{"a", "b", "leader", "c", "d", "leader", "e", "leader"} {
			if name == "leader" {
				name = c.awaitLeader(failoverTimeout).ID()
			}
			c.cluster.FillDisk(name, 2500*time.Millisecond)
			for i := range 25 {
				c.awaitCommit(failoverTimeout, fmt.Sprintf("round %d, change %d", round, i))
				c.cluster.Run(100 * time.Millisecond)
			}
			c.cluster.Run(500 * time.Millisecond)
		}
		for i := range 200 {
			c.awaitCommit(time.Second, fmt.Sprint("after all, change ", i))
			c.cluster.Run(100 * time.Millisecond)
		}
		c.cluster.Run(consensus.HeartbeatInterval) // followers learn of the last commit with a heartbeat
		l := c.leader()
		for id, n := range c.nodes {
			assert.Equal(t, n.state, l.state, "seed %d, host %s", seed, id)
			assert.Assert(t, n.DeferredMessages() < 10, "%d messages wait for the disk of %s", n.DeferredMessages(), id)
		}
	}
}
