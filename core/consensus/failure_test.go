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
	others := func(o *oracle, id types.HostID, do func(types.HostID)) {
		for other := range o.nodes {
			if other != id {
				do(other)
			}
		}
	}
	tests := []struct {
		name string
		lose func(o *oracle, id types.HostID)
	}{
		{"crash", func(o *oracle, id types.HostID) { o.cluster.Crash(id) }},
		{"freeze", func(o *oracle, id types.HostID) { o.cluster.Freeze(id) }},
		{"isolated", func(o *oracle, id types.HostID) { o.cluster.Isolate(id) }},
		{"receives nothing", func(o *oracle, id types.HostID) {
			others(o, id, func(other types.HostID) { o.cluster.Cut(other, id) })
		}},
		{"reaches nobody", func(o *oracle, id types.HostID) {
			others(o, id, func(other types.HostID) { o.cluster.Cut(id, other) })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				o := newOracle(t, seed, "a", "b", "c")
				lost := o.awaitLeader(failoverTimeout)
				tt.lose(o, lost.ID())
				found := o.cluster.RunUntil(failoverTimeout, func() bool {
					l := o.leader()
					return l != nil && l != lost
				})
				assert.Assert(t, found, "seed %d: no new leader", seed)
				o.awaitCommit(failoverTimeout, "after")
			}
		})
	}
}

// TestReturningHostDoesNotDisturb guards against a host that forces an election
// when it reconnects after 8 s without contact.
func TestReturningHostDoesNotDisturb(t *testing.T) {
	for _, cutLeader := range []bool{true, false} {
		for seed := range uint64(10) {
			o := newOracle(t, seed, "a", "b", "c")
			first := o.awaitLeader(failoverTimeout)
			lost := first
			if !cutLeader {
				lost = o.other(first)
			}
			o.cluster.Isolate(lost.ID())
			o.cluster.Run(8 * time.Second)
			assert.Equal(t, lost.LeadsUntil(), types.Instant(0))
			current := o.awaitLeader(failoverTimeout)
			term := current.Term()
			o.cluster.Heal()
			o.cluster.Run(5 * time.Second)
			assert.Equal(t, current.Term(), term, "seed %d, leader cut: %v", seed, cutLeader)
			assert.Equal(t, lost.Term(), term)
			assert.Assert(t, o.leader() == current)
		}
	}
}

// other returns a host that is not h.
func (o *oracle) other(h *host) *host {
	for _, id := range []types.HostID{"a", "b"} {
		if n := o.nodes[id]; n != h {
			return n
		}
	}
	return nil
}

// TestVotersStayWithLiveLeader guards against an election by a follower that
// receives nothing from the leader, while the other follower does.
func TestVotersStayWithLiveLeader(t *testing.T) {
	for seed := range uint64(10) {
		o := newOracle(t, seed, "a", "b", "c")
		l := o.awaitLeader(failoverTimeout)
		term := l.Term()
		o.cluster.Cut(l.ID(), o.other(l).ID())
		o.cluster.Run(8 * time.Second)
		assert.Equal(t, l.Term(), term)
		assert.Assert(t, o.leader() == l)
	}
}

// TestSecondLossAfterRepair checks that the cluster survives the loss of a second
// voter after a learner has replaced the first one.
func TestSecondLossAfterRepair(t *testing.T) {
	o := newOracle(t, 1, "a", "b", "c")
	o.awaitLeader(failoverTimeout)
	o.cluster.Hosts["d"] = &coretest.Host{ID: "d", SyncTime: time.Millisecond}
	o.cluster.Start("d")
	o.cluster.Run(5 * time.Second)
	assert.Assert(t, isLearner(o.leader(), "d"))
	o.cluster.Crash(o.other(o.leader()).ID())
	o.cluster.Run(12 * time.Second)
	l := o.awaitLeader(failoverTimeout)
	assert.Assert(t, !isLearner(l, "d"))
	assert.Equal(t, len(l.Voters()), 3)
	o.cluster.Crash(l.ID())
	o.awaitCommit(failoverTimeout, "after the second loss")
}

// TestConsecutiveReplacements replaces the leader with an empty host four times. Each
// leader fails one catch-up time after the last new host has started, so each new
// host must be a voter by then.
func TestConsecutiveReplacements(t *testing.T) {
	const catchUp = 4 * time.Second
	for seed := range uint64(10) {
		o := newOracle(t, seed, "a", "b", "c")
		o.policy = consensus.Policy{Voters: 3, VoterSilence: catchUp / 2}
		for _, h := range []types.HostID{"a", "b", "c"} {
			o.cluster.Crash(h)
			o.cluster.Start(h) // with the policy
		}
		o.awaitLeader(failoverTimeout)
		for i := range 4 {
			o.cluster.Crash(o.awaitLeader(failoverTimeout).ID())
			o.cluster.Run(2200 * time.Millisecond)
			id := types.HostID(fmt.Sprint("new", i))
			o.cluster.Hosts[id] = &coretest.Host{ID: id, SyncTime: time.Millisecond}
			o.cluster.Start(id)
			o.cluster.Run(catchUp)
			assert.Assert(t, !isLearner(o.awaitLeader(failoverTimeout), id), "seed %d: %s is still a learner", seed, id)
		}
		o.awaitCommit(failoverTimeout, "after four replacements")
	}
}

// TestFiveVotersTolerateTwoLosses loses two of five voters for good, and two more once
// learners have replaced them.
func TestFiveVotersTolerateTwoLosses(t *testing.T) {
	o := newOracle(t, 1, "a")
	o.policy = consensus.Policy{Voters: 5, VoterSilence: 2 * time.Second}
	o.cluster.Crash("a")
	o.cluster.Start("a")
	o.awaitLeader(failoverTimeout)
	for _, id := range []types.HostID{"b", "c", "d", "e", "f", "g"} {
		o.cluster.Hosts[id] = &coretest.Host{ID: id, SyncTime: time.Millisecond}
		o.cluster.Start(id)
	}
	o.cluster.Run(5 * time.Second)
	assert.Equal(t, countVoters(o.leader()), 5)
	for range 2 {
		o.cluster.Crash(o.awaitLeader(failoverTimeout).ID())
		o.cluster.Crash(o.awaitLeader(failoverTimeout).ID())
		o.awaitCommit(failoverTimeout, "after two losses")
		o.cluster.Run(4 * time.Second)
	}
	o.awaitCommit(failoverTimeout, "after four losses")
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
	o := newOracle(t, 1, "a", "b", "c")
	l := o.awaitLeader(failoverTimeout)
	o.cluster.Hosts["d"] = &coretest.Host{ID: "d", SyncTime: time.Millisecond}
	o.cluster.Start("d")
	o.cluster.Run(5 * time.Second)
	hungVoter := o.other(l)
	hungVoter.host.SyncTime = time.Hour
	o.awaitCommit(failoverTimeout, "with two disks")
	o.cluster.Run(12 * time.Second)
	_, member := consensus.WithoutHost(l.Voters(), hungVoter.ID())
	assert.Assert(t, !member)
	assert.Assert(t, hungVoter.DeferredMessages() < 10, "%d messages wait for the disk", hungVoter.DeferredMessages())
	assert.Assert(t, !isLearner(l, "d"))
	assert.Assert(t, o.leader() == l)
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
	o := newOracle(t, 1, "a", "b", "c")
	l := o.awaitLeader(failoverTimeout)
	lost := o.other(l).ID()
	o.cluster.Crash(lost)
	o.cluster.Hosts["new"] = &coretest.Host{ID: "new"}
	o.cluster.Start("new")
	o.cluster.Run(15 * time.Second)
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
			o := newOracle(t, 1, "a", "b", "c")
			l := o.awaitLeader(failoverTimeout)
			down := o.other(l).ID()
			o.cluster.Crash(down)
			for i := range tt.changes {
				o.awaitCommit(time.Second, fmt.Sprint("change ", i))
			}
			o.cluster.Start(down)
			before := o.restores // Start has restored the host's own snapshot
			o.cluster.Run(2 * time.Second)
			assert.Equal(t, o.nodes[down].state, o.leader().state)
			assert.Equal(t, o.restores-before, tt.restores)
		})
	}
}

// TestRestartOfAll restarts all hosts at once and checks that the committed state
// survives.
func TestRestartOfAll(t *testing.T) {
	o := newOracle(t, 1, "a", "b", "c")
	o.awaitLeader(failoverTimeout)
	for i := range 1200 {
		o.awaitCommit(time.Second, fmt.Sprint("change ", i))
	}
	state, applied := o.leader().state, o.leader().applied
	for _, id := range []types.HostID{"a", "b", "c"} {
		o.cluster.Crash(id)
	}
	for _, id := range []types.HostID{"a", "b", "c"} {
		o.cluster.Start(id)
	}
	o.awaitLeader(failoverTimeout)
	assert.Equal(t, o.states[applied], state)
	assert.Assert(t, o.leader().applied > applied)
}

// TestBadNetwork commits over a network that drops, duplicates and reorders
// messages.
func TestBadNetwork(t *testing.T) {
	o := newOracle(t, 1, "a", "b", "c")
	o.cluster.Network.DropPercent, o.cluster.Network.DuplicatePercent = 10, 10
	o.cluster.Network.DelayMax = 30 * time.Millisecond
	for i := range 200 {
		o.awaitCommit(10*time.Second, fmt.Sprint("change ", i))
	}
}

// TestSlowDiskKeepsTheLease guards against a leader that loses its lease because
// the only follower left needs longer for a write than a lease lasts.
func TestSlowDiskKeepsTheLease(t *testing.T) {
	o := newOracle(t, 1, "a", "b", "c")
	l := o.awaitLeader(failoverTimeout)
	slow := o.other(l)
	for id, n := range o.nodes {
		if n != l && n != slow {
			o.cluster.Crash(id)
		}
	}
	slow.host.SyncTime = 2 * consensus.ElectionTimeoutMax
	for i := range 3 {
		o.propose(l, fmt.Sprint("change ", i))
		for range 40 {
			o.cluster.Run(consensus.HeartbeatInterval)
			assert.Assert(t, l.LeadsUntil() > o.cluster.LocalTime(l.host))
		}
		assert.Assert(t, o.hasCommitted(fmt.Sprint("change ", i)))
	}
}

// TestOneChangeOfVotersAtATime proposes sets of voters that the leader must drop
// (Ongaro's thesis, section 4.1).
func TestOneChangeOfVotersAtATime(t *testing.T) {
	o := newOracle(t, 1, "a", "b", "c")
	l := o.awaitLeader(failoverTimeout)
	set := func(names ...string) event.Proposed {
		var vs []proto.Voter
		for _, name := range names {
			vs = append(vs, voter(name))
		}
		return event.Proposed{Command: proto.Command{Voters: &proto.SetVoters{Voters: vs}}}
	}
	o.cluster.Step(l.host, set("a", "b", "c", "d", "e")) // two hosts at once
	assert.Equal(t, len(l.Voters()), 3)
	o.cluster.Step(l.host, set()) // nobody
	assert.Equal(t, len(l.Voters()), 3)
	o.cluster.Step(l.host, set("a", "b", "c", "d"))
	assert.Equal(t, len(l.Voters()), 4)
	o.cluster.Step(l.host, set("a", "b", "c", "d", "e")) // the last is not committed
	assert.Equal(t, len(l.Voters()), 4)
}

// TestRemovedLeaderStepsDown removes the leader from the voters (Raft, section 6).
func TestRemovedLeaderStepsDown(t *testing.T) {
	o := newOracle(t, 1, "a", "b", "c")
	l := o.awaitLeader(failoverTimeout)
	rest, ok := consensus.WithoutHost(l.Voters(), l.ID())
	assert.Assert(t, ok)
	o.cluster.Step(l.host, event.Proposed{Command: proto.Command{Voters: &proto.SetVoters{Voters: rest}}})
	o.cluster.RunUntil(failoverTimeout, func() bool { return o.leader() != nil && o.leader() != l })
	o.awaitCommit(failoverTimeout, "without the old leader")
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
