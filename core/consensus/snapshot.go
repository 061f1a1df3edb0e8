package consensus

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Limits of the log and its snapshots.
const (
	DefaultSnapshotEvery = 1000 // applied entries between two snapshots
	logTailDivisor       = 10   // a tenth of the log limits is kept for slow followers
	// maxLogBytes bounds the applied entries between two snapshots, by
	// estimateEntryBytes. A starting host needs several times as much memory to
	// read its log, out of a limit of 256 MB.
	maxLogBytes           = 8 << 20
	snapshotRetryInterval = 2 * time.Second // before an unacknowledged snapshot is sent again
)

// estimateEntryBytes estimates the size of an entry from the only parts that can
// be large: a configuration and its source.
func estimateEntryBytes(e proto.Entry) int {
	const (
		baseBytes = 256 // any entry
		itemBytes = 128 // a service, profile or route
	)
	c, items := e.Command.Change, 0
	if c == nil {
		return baseBytes
	}
	if c.Config != nil {
		items = len(c.Config.Services) + len(c.Config.Profiles) + len(c.Config.Routes)
	}
	return baseBytes + len(c.Source) + itemBytes*items
}

// snapshotDue reports whether enough entries or bytes were applied since the last
// snapshot to take another one.
func (n *Node) snapshotDue() bool {
	var last uint64
	if n.snapshot != nil {
		last = n.snapshot.Index
	}
	return n.applied >= last+n.opt.SnapshotEvery || n.appliedBytes >= maxLogBytes
}

// compactionIndex returns the index up to which the log is compacted after a
// snapshot. The applied entries after it are kept for slow followers.
func (n *Node) compactionIndex() uint64 {
	index, size := n.applied, 0
	for index > n.log.base && n.applied-index < n.opt.SnapshotEvery/logTailDivisor {
		size += estimateEntryBytes(n.log.entry(index))
		if size > maxLogBytes/logTailDivisor {
			break
		}
		index--
	}
	return index
}

// takeSnapshot takes a snapshot of the replicated state, if one is due, and
// compacts the log.
func (n *Node) takeSnapshot() {
	if !n.snapshotDue() {
		return
	}
	term, _ := n.log.term(n.applied)
	n.snapshot = &proto.Snapshot{
		Index: n.applied, Term: term,
		Voters: n.log.votersAt(n.applied), State: n.opt.State(),
	}
	n.disk.unsavedSnapshot = n.snapshot
	n.appliedBytes = 0
	n.log.compact(n.compactionIndex())
}

// sendSnapshot sends the latest snapshot to a follower.
func (n *Node) sendSnapshot(h types.HostID, p *progress) {
	if n.snapshot == nil {
		return
	}
	p.snapshotSentAt = n.now
	n.send(proto.Message{Kind: proto.MsgSnapshot, To: h, Term: n.term, Round: n.leaderState.lastRound, Snapshot: n.snapshot, Silent: n.silentVoters()})
}

// installSnapshot replaces the state and the log with a leader's snapshot (Raft,
// section 7). It returns the last index known to match the leader's log.
func (n *Node) installSnapshot(s *proto.Snapshot) uint64 {
	if s == nil || s.Index <= n.commit {
		return n.commit
	}
	if t, ok := n.log.term(s.Index); ok && t == s.Term {
		n.log.compact(s.Index)
	} else {
		n.truncate(n.log.base)
		n.log.reset(s)
	}
	n.snapshot, n.disk.unsavedSnapshot = s, s
	n.commit, n.applied, n.appliedBytes = s.Index, s.Index, 0
	n.emit(effect.Restore{Snapshot: *s})
	return s.Index
}
