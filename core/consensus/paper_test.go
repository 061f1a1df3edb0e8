package consensus_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// manualNode is a node that a test steps by hand. Its writes are synced at once.
type manualNode struct {
	*consensus.Node
	now types.Instant
}

// newManualNode returns host a of a, b and c. Its saved term is hard, and its log
// holds entries of the given terms after the first snapshot.
func newManualNode(hard proto.ControlTerm, terms ...proto.ControlTerm) *manualNode {
	saved := consensus.PersistentState{
		HardState: proto.HardState{Term: hard, Commit: 1},
		Snapshot:  &proto.Snapshot{Index: 1, Term: 1, Voters: []proto.Voter{voter("a"), voter("b"), voter("c")}},
		Entries:   entriesFrom(2, terms...),
	}
	h := &manualNode{Node: consensus.New(consensus.Options{Self: voter("a"), Saved: saved}), now: 1}
	h.step(event.Start{})
	h.now = types.Instant(time.Minute)
	return h
}

func entriesFrom(index uint64, terms ...proto.ControlTerm) (out []proto.Entry) {
	for i, term := range terms {
		out = append(out, proto.Entry{Index: index + uint64(i), Term: term})
	}
	return out
}

// step gives the node an event and returns the messages that it sends.
func (h *manualNode) step(ev event.Event) (sent []proto.Message) {
	for _, eff := range h.Step(event.Input{Now: h.now, Event: ev}) {
		switch e := eff.(type) {
		case effect.Persist:
			sent = append(sent, h.step(event.Persisted{Seq: e.Seq})...)
		case effect.SendPeer:
			sent = append(sent, e.Message)
		}
	}
	return sent
}

// receive gives the node a message from host b and returns its reply to b.
func (h *manualNode) receive(m proto.Message) (reply proto.Message) {
	m.From, m.To = "b", "a"
	for _, out := range h.step(event.PeerMessage{Message: m}) {
		if out.To == "b" {
			reply = out
		}
	}
	return reply
}

// elect makes the node the leader of its next term.
func (h *manualNode) elect(t *testing.T) {
	t.Helper()
	h.step(event.TimerFired{ID: event.TimerID{Domain: event.DomainConsensus, Key: 1}})
	h.receive(proto.Message{Kind: proto.MsgPreVoteReply, Term: h.Term() + 1})
	h.receive(proto.Message{Kind: proto.MsgVoteReply, Term: h.Term()})
	assert.Equal(t, h.Leader(), types.HostID("a"))
}

// TestElectionRestriction covers section 5.4.1 of the Raft paper: a voter rejects a
// candidate whose log is less up-to-date than its own.
func TestElectionRestriction(t *testing.T) {
	tests := []struct {
		lastTerm proto.ControlTerm
		last     uint64
		granted  bool
	}{
		{lastTerm: 2, last: 9, granted: false}, // longer, but from an earlier term
		{lastTerm: 3, last: 3, granted: false},
		{lastTerm: 3, last: 4, granted: true},
		{lastTerm: 3, last: 5, granted: true},
		{lastTerm: 4, last: 2, granted: true},
	}
	for _, tt := range tests {
		for _, kind := range []proto.MessageKind{proto.MsgPreVote, proto.MsgVote} {
			h := newManualNode(3, 2, 3, 3)
			reply := h.receive(proto.Message{Kind: kind, Term: 5, LogIndex: tt.last, LogTerm: tt.lastTerm})
			assert.Equal(t, !reply.Reject, tt.granted, "%+v", tt)
		}
	}
}

// TestOneVoteInATerm covers section 5.2: only the first candidate gets the vote of
// a term, even if it asks twice.
func TestOneVoteInATerm(t *testing.T) {
	h := newManualNode(3, 3)
	request := proto.Message{Kind: proto.MsgVote, Term: 4, LogIndex: 2, LogTerm: 3}
	assert.Assert(t, !h.receive(request).Reject)
	assert.Assert(t, !h.receive(request).Reject)
	request.From, request.To = "c", "a"
	sent := h.step(event.PeerMessage{Message: request})
	assert.Assert(t, sent[0].Reject)
}

// TestLogMatching covers section 5.3 and figure 7: an append is accepted only where
// the logs match, and it replaces conflicting entries.
func TestLogMatching(t *testing.T) {
	tests := []struct {
		name     string
		own      []proto.ControlTerm // terms of the entries from index 2 on
		prev     uint64
		prevTerm proto.ControlTerm
		added    []proto.ControlTerm
		match    uint64
		hint     uint64 // of a rejection
	}{
		{name: "next", own: []proto.ControlTerm{2, 2}, prev: 3, prevTerm: 2, added: []proto.ControlTerm{5}, match: 4},
		{name: "again", own: []proto.ControlTerm{2, 2}, prev: 1, prevTerm: 1, added: []proto.ControlTerm{2}, match: 2},
		{name: "missing", own: []proto.ControlTerm{2}, prev: 7, prevTerm: 4, hint: 2},
		{name: "conflict", own: []proto.ControlTerm{2, 3, 3}, prev: 4, prevTerm: 4, hint: 2},
		{name: "replaced", own: []proto.ControlTerm{2, 3, 3}, prev: 2, prevTerm: 2, added: []proto.ControlTerm{4}, match: 3},
		{name: "committed", own: []proto.ControlTerm{2}, prev: 0, added: []proto.ControlTerm{1, 2}, match: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newManualNode(4, tt.own...)
			reply := h.receive(proto.Message{
				Kind: proto.MsgAppend, Term: 5, LogIndex: tt.prev, LogTerm: tt.prevTerm,
				Entries: entriesFrom(tt.prev+1, tt.added...),
			})
			assert.Equal(t, reply.Reject, tt.match == 0)
			assert.Equal(t, reply.Match, tt.match)
			assert.Equal(t, reply.Hint, tt.hint)
		})
	}
}

// TestCommitOfEarlierTerms covers section 5.4.2 and figure 8: an entry of an
// earlier term is committed only together with one of the leader's own term.
func TestCommitOfEarlierTerms(t *testing.T) {
	h := newManualNode(3, 2)
	h.elect(t)
	h.receive(proto.Message{Kind: proto.MsgAppendReply, Term: h.Term(), Match: 2})
	assert.Equal(t, h.Commit(), uint64(1))
	h.receive(proto.Message{Kind: proto.MsgAppendReply, Term: h.Term(), Match: 3})
	assert.Equal(t, h.Commit(), uint64(3))
}

// TestFormerLeaderHonorsItsLease makes a leader step down because another host is
// in a later term. Its leader lease is still valid then, so it must grant no vote
// before that ends.
func TestFormerLeaderHonorsItsLease(t *testing.T) {
	h := newManualNode(3, 3)
	h.elect(t)
	h.receive(proto.Message{Kind: proto.MsgAppendReply, Term: h.Term(), Match: 3, Round: 1})
	until := h.LeadsUntil()
	assert.Assert(t, until > h.now)
	h.now++
	later := h.Term() + 3
	h.receive(proto.Message{Kind: proto.MsgAppendReply, Term: later, Reject: true})
	assert.Equal(t, h.LeadsUntil(), types.Instant(0))
	request := proto.Message{Kind: proto.MsgVote, Term: later + 1, LogIndex: 9, LogTerm: later}
	h.now = until - 1
	assert.Equal(t, h.receive(request).Kind, proto.MessageKind(0))
	h.now = until.Add(consensus.ElectionTimeoutMin)
	assert.Equal(t, h.receive(request).Kind, proto.MsgVoteReply)
}

// TestVoterHonorsLeaseInLaterTerm gives a voter an append from its leader, and
// then a rejected pre-vote that raises its term. It must grant no vote in the later
// term either, as long as the leader lease may rely on the acknowledged append.
func TestVoterHonorsLeaseInLaterTerm(t *testing.T) {
	h := newManualNode(3, 3)
	h.receive(proto.Message{Kind: proto.MsgAppend, Term: 3, LogIndex: 2, LogTerm: 3, Round: 1})
	contactAt := h.now
	h.receive(proto.Message{Kind: proto.MsgPreVoteReply, Term: 4, Reject: true})
	assert.Equal(t, h.Term(), proto.ControlTerm(4))
	request := proto.Message{Kind: proto.MsgVote, Term: 4, LogIndex: 2, LogTerm: 3}
	h.now = contactAt.Add(consensus.ElectionTimeoutMin) - 1
	assert.Equal(t, h.receive(request).Kind, proto.MessageKind(0))
	h.now = contactAt.Add(consensus.ElectionTimeoutMin)
	assert.Assert(t, !h.receive(request).Reject)
}

// TestInstallSnapshot covers section 7: entries after a snapshot are kept only if
// the log matches the snapshot.
func TestInstallSnapshot(t *testing.T) {
	tests := []struct {
		name  string
		index uint64
		term  proto.ControlTerm
		match uint64 // of the reply
		after bool   // entry 4 of term 2 is still in the log
	}{
		{name: "same history", index: 3, term: 2, match: 3, after: true},
		{name: "other history", index: 3, term: 3, match: 3, after: false},
		{name: "beyond the log", index: 9, term: 3, match: 9, after: false},
		{name: "old", index: 1, term: 1, match: 1, after: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newManualNode(4, 2, 2, 2)
			reply := h.receive(proto.Message{Kind: proto.MsgSnapshot, Term: 5, Snapshot: &proto.Snapshot{
				Index: tt.index, Term: tt.term, Voters: h.Voters(),
			}})
			assert.Equal(t, reply.Match, tt.match)
			assert.Equal(t, h.Commit(), tt.match)
			probe := proto.Message{Kind: proto.MsgAppend, Term: 5, LogIndex: 4, LogTerm: 2}
			if tt.index > 4 {
				probe.LogIndex, probe.LogTerm = tt.index+1, 5
			}
			assert.Equal(t, !h.receive(probe).Reject, tt.after)
			next := proto.Message{Kind: proto.MsgAppend, Term: 5, LogIndex: tt.index, LogTerm: tt.term}
			assert.Assert(t, !h.receive(next).Reject)
		})
	}
}
