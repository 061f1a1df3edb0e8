package consensus

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Limits of the log and its snapshots.
const (
	DefaultSnapshotEvery = 1000 // applied entries from one snapshot to the next
	logTailDivisor       = 10   // this part of them is kept for slow followers
	// maxLogBytes is the size of the applied entries from one snapshot to the next,
	// as entryBytes reckons it. A host reads its log into several times as much
	// memory when it starts, of the 256 MB that it may use.
	maxLogBytes   = 8 << 20
	snapshotRetry = 2 * time.Second // then an unanswered snapshot is sent again
)

// entryBytes reckons the size of an entry from what makes one large: the
// configuration and its source.
func entryBytes(e proto.Entry) int {
	const (
		plain = 256 // any entry
		item  = 128 // a service, profile or route
	)
	c, items := e.Command.Change, 0
	if c == nil {
		return plain
	}
	if c.Config != nil {
		items = len(c.Config.Services) + len(c.Config.Profiles) + len(c.Config.Routes)
	}
	return plain + len(c.Source) + item*items
}

// snapshotDue reports whether enough was applied since the last snapshot.
func (n *Node) snapshotDue() bool {
	var last uint64
	if n.snapshot != nil {
		last = n.snapshot.Index
	}
	return n.applied >= last+n.opt.SnapshotEvery || n.appliedBytes >= maxLogBytes
}

// logTail returns the index before the entries that are kept for slow followers.
func (n *Node) logTail() uint64 {
	index, size := n.applied, 0
	for index > n.log.base && n.applied-index < n.opt.SnapshotEvery/logTailDivisor {
		size += entryBytes(n.log.entry(index))
		if size > maxLogBytes/logTailDivisor {
			break
		}
		index--
	}
	return index
}

// takeSnapshot replaces the log up to the last applied entry by the state.
func (n *Node) takeSnapshot() {
	if !n.snapshotDue() {
		return
	}
	term, _ := n.log.term(n.applied)
	n.snapshot = &proto.Snapshot{
		Index: n.applied, Term: term,
		Voters: n.log.votersAt(n.applied), State: n.opt.State(),
	}
	n.disk.snapshot = n.snapshot
	n.appliedBytes = 0
	n.log.compact(n.logTail())
}

// sendSnapshot sends the last snapshot to a follower.
func (n *Node) sendSnapshot(h types.HostID, p *progress) {
	if n.snapshot == nil {
		return
	}
	p.snapshot = n.now
	n.send(proto.Message{Kind: proto.MsgSnapshot, To: h, Term: n.term, Round: n.lead.round, Snapshot: n.snapshot})
}

// install replaces the state and the log by a snapshot (Raft, section 7). It
// returns the last index that agrees with the leader.
func (n *Node) install(s *proto.Snapshot) uint64 {
	if s == nil || s.Index <= n.commit {
		return n.commit
	}
	if t, ok := n.log.term(s.Index); ok && t == s.Term {
		n.log.compact(s.Index)
	} else {
		n.truncate(n.log.base)
		n.log.reset(s)
	}
	n.snapshot, n.disk.snapshot = s, s
	n.commit, n.applied, n.appliedBytes = s.Index, s.Index, 0
	n.emit(effect.Restore{Snapshot: *s})
	return s.Index
}
