package consensus

import "github.com/camphorpaddle/camphorpaddle/core/proto"

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
	n.replyRound(m, reply)
	n.sendSynced(reply)
}

// replyRound acknowledges a heartbeat ahead of the writes under way, with what
// is synced so far, so that a slow disk does not end the leader's lease.
func (n *Node) replyRound(m proto.Message, reply proto.Message) {
	waits := len(n.disk.writes) > 0
	if !waits || reply.Reject || len(m.Entries) > 0 || n.disk.syncedTerm != n.term {
		return
	}
	reply.Match = min(reply.Match, n.disk.synced)
	n.send(reply)
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
