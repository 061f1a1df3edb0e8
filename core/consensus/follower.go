package consensus

import (
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
)

// handleLeaderMessage handles an append or a snapshot from a leader.
func (n *Node) handleLeaderMessage(m proto.Message) {
	if m.Term < n.term {
		n.sendSynced(proto.Message{Kind: proto.MsgAppendReply, To: m.From, Term: n.term, Reject: true})
		return
	}
	n.becomeFollower(m.Term, m.From)
	n.lastContact = n.now
	n.silentSince = nil
	n.recordSilence(m.Silent)
	n.resetElectionTimer()
	reply := proto.Message{Kind: proto.MsgAppendReply, To: m.From, Term: n.term, Round: m.Round}
	if m.Kind == proto.MsgSnapshot {
		reply.Match = n.installSnapshot(m.Snapshot)
	} else {
		n.handleAppend(m, &reply)
	}
	if len(m.Entries) == 0 && !reply.Reject {
		n.acknowledgeRound(reply)
	}
	if !n.isDeferred(reply) {
		n.sendSynced(reply)
	}
}

// acknowledgeRound acknowledges a heartbeat without waiting for the writes in
// flight. It reports only what is already synced, so that a slow disk does not
// end the leader lease.
func (n *Node) acknowledgeRound(reply proto.Message) {
	if len(n.disk.inFlight) == 0 || n.disk.syncedTerm != n.term {
		return
	}
	reply.Match = min(reply.Match, n.disk.synced)
	n.send(reply)
}

// isDeferred reports whether an equivalent reply already waits for the last write
// in flight. Without this check, replies would pile up while a disk hangs.
func (n *Node) isDeferred(reply proto.Message) bool {
	if len(n.disk.inFlight) == 0 || reply.Reject {
		return false
	}
	deferred := n.disk.inFlight[len(n.disk.inFlight)-1].messages
	return slices.ContainsFunc(deferred, func(m proto.Message) bool {
		return m.Kind == reply.Kind && m.To == reply.To && m.Term == reply.Term && !m.Reject && m.Match == reply.Match
	})
}

// handleAppend appends the leader's entries to the log if the logs match (Raft,
// section 5.3).
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
		reply.Hint = n.conflictHint(m.LogIndex)
		return
	}
	reply.Match = m.LogIndex + uint64(len(m.Entries))
	n.mergeEntries(m.Entries)
	n.commit = max(n.commit, min(m.Commit, reply.Match))
}

// skipCommitted drops the entries of an append that are already committed here.
// Committed entries never differ from those of a leader.
func skipCommitted(m proto.Message, commit uint64) proto.Message {
	if m.LogIndex+uint64(len(m.Entries)) < commit {
		return m
	}
	m.Entries = m.Entries[commit-m.LogIndex:]
	m.LogIndex = commit
	return m
}

// mergeEntries appends the entries that are missing from the log, after truncating
// entries that conflict with them.
func (n *Node) mergeEntries(entries []proto.Entry) {
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

// conflictHint returns the last index at which the logs may match, given that they
// don't match at index: the end of this log, or the entry before the first one of
// the conflicting term.
func (n *Node) conflictHint(index uint64) uint64 {
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
