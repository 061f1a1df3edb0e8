package consensus

import (
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
)

// handleLeader takes in an append or a snapshot.
func (n *Node) handleLeader(m proto.Message) {
	if m.Term < n.term {
		n.sendSynced(proto.Message{Kind: proto.MsgAppendReply, To: m.From, Term: n.term, Reject: true})
		return
	}
	n.become(m.Term, m.From)
	n.heardAt = n.now
	n.resetElection()
	reply := proto.Message{Kind: proto.MsgAppendReply, To: m.From, Term: n.term, Round: m.Round}
	if m.Kind == proto.MsgSnapshot {
		reply.Match = n.install(m.Snapshot)
	} else {
		n.handleAppend(m, &reply)
	}
	if len(m.Entries) == 0 && !reply.Reject {
		n.replyRound(reply)
	}
	if !n.holds(reply) {
		n.sendSynced(reply)
	}
}

// replyRound acknowledges a heartbeat ahead of the writes under way, with what
// is synced so far, so that a slow disk does not end the leader's lease.
func (n *Node) replyRound(reply proto.Message) {
	if len(n.disk.writes) == 0 || n.disk.syncedTerm != n.term {
		return
	}
	reply.Match = min(reply.Match, n.disk.synced)
	n.send(reply)
}

// holds reports whether the last write under way already holds a reply that
// says as much. It keeps a disk that hangs from holding ever more of them.
func (n *Node) holds(reply proto.Message) bool {
	if len(n.disk.writes) == 0 || reply.Reject {
		return false
	}
	held := n.disk.writes[len(n.disk.writes)-1].messages
	return slices.ContainsFunc(held, func(m proto.Message) bool {
		return m.Kind == reply.Kind && m.To == reply.To && m.Term == reply.Term && !m.Reject && m.Match == reply.Match
	})
}

// handleAppend adds the leader's entries (Raft, section 5.3).
func (n *Node) handleAppend(m proto.Message, reply *proto.Message) {
	if m.LogIndex < n.commit {
		m = skipCommitted(m, n.commit)
		if m.LogIndex < n.commit {
			reply.Match = n.commit
			return
		}
		m.LogTerm, _ = n.log.term(n.commit)
	}
	if t, ok := n.log.term(m.LogIndex); !ok || t != m.LogTerm {
		reply.Reject = true
		reply.Hint = n.hint(m.LogIndex)
		return
	}
	reply.Match = m.LogIndex + uint64(len(m.Entries))
	n.merge(m.Entries)
	n.commit = max(n.commit, min(m.Commit, reply.Match))
}

// skipCommitted drops the entries of an append that are committed here. What
// is committed never differs from what a leader has.
func skipCommitted(m proto.Message, commit uint64) proto.Message {
	if m.LogIndex+uint64(len(m.Entries)) < commit {
		return m
	}
	m.Entries = m.Entries[commit-m.LogIndex:]
	m.LogIndex = commit
	return m
}

// merge adds entries and drops own ones that conflict.
func (n *Node) merge(entries []proto.Entry) {
	for i, e := range entries {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.truncate(e.Index - 1)
		}
		n.appendEntries(entries[i:])
		return
	}
}

// hint returns the last index at which the logs may agree, given that they
// don't at index: the end of this log, or the entry before the whole
// conflicting term.
func (n *Node) hint(index uint64) uint64 {
	if index > n.log.last() {
		return n.log.last()
	}
	conflict, ok := n.log.term(index)
	if !ok {
		return n.commit
	}
	for index > n.commit+1 {
		if t, ok := n.log.term(index - 1); !ok || t != conflict {
			break
		}
		index--
	}
	return max(n.commit, index-1)
}
