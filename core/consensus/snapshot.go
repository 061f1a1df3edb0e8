package consensus

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Limits of the log and its snapshots.
const (
	DefaultSnapshotEvery = 1000            // applied entries from one snapshot to the next
	logTailDivisor       = 10              // this part of them is kept for slow followers
	snapshotRetry        = 2 * time.Second // then an unanswered snapshot is sent again
)

// takeSnapshot replaces the log up to the last applied entry by the state.
func (n *Node) takeSnapshot() {
	var last uint64
	if n.snapshot != nil {
		last = n.snapshot.Index
	}
	if n.applied < last+n.opt.SnapshotEvery {
		return
	}
	term, _ := n.log.term(n.applied)
	n.snapshot = &proto.Snapshot{
		Index: n.applied, Term: term,
		Voters: n.log.votersAt(n.applied), State: n.opt.State(),
	}
	n.disk.snapshot = n.snapshot
	n.log.compact(n.applied - n.opt.SnapshotEvery/logTailDivisor)
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
	n.commit, n.applied = s.Index, s.Index
	n.emit(effect.Restore{Snapshot: *s})
	return s.Index
}
