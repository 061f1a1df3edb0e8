package consensus

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// disk tracks what waits to be synced. Invariant: no message that depends on
// a write leaves before event.Persisted of that write.
type disk struct {
	seq        uint64            // of the last write
	writes     []write           // under way, in order
	synced     uint64            // last index that is synced
	syncedTerm proto.ControlTerm // last term that is synced
	term       proto.ControlTerm // term and vote of the last write
	vote       types.HostID
	entries    []proto.Entry   // to write with the current step
	snapshot   *proto.Snapshot // to write with the current step
	held       []proto.Message // to send after the current step's write
}

// write is one effect.Persist under way.
type write struct {
	seq      uint64
	last     uint64 // last index once it is synced
	term     proto.ControlTerm
	messages []proto.Message
}

// appendEntries adds entries to the log and to the step's write.
func (n *Node) appendEntries(entries []proto.Entry) {
	n.log.append(entries)
	n.disk.entries = append(n.disk.entries, entries...)
}

// truncate drops the entries after index from the log. The write that follows
// replaces them on disk.
func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	n.disk.synced = min(n.disk.synced, index)
	for i := range n.disk.writes {
		w := &n.disk.writes[i]
		w.last = min(w.last, index)
	}
}

// send sends a message at once.
func (n *Node) send(m proto.Message) {
	m.From = n.self
	n.emit(effect.SendPeer{Message: m})
}

// sendSynced sends a message once everything decided so far is synced. One to
// this host itself is received then.
func (n *Node) sendSynced(m proto.Message) {
	m.From = n.self
	n.disk.held = append(n.disk.held, m)
}

// flush writes what the step changed and sends or holds its messages.
func (n *Node) flush() {
	d := &n.disk
	if len(d.entries) > 0 || d.snapshot != nil || d.term != n.term || d.vote != n.vote {
		n.persist()
	}
	held := d.held
	d.held = nil
	if len(d.writes) > 0 {
		w := &d.writes[len(d.writes)-1]
		w.messages = append(w.messages, held...)
		return
	}
	for _, m := range held {
		n.emit(effect.SendPeer{Message: m})
	}
}

func (n *Node) persist() {
	d := &n.disk
	d.seq++
	d.term, d.vote = n.term, n.vote
	n.emit(effect.Persist{
		Seq:       d.seq,
		HardState: &proto.HardState{Term: n.term, Vote: n.vote, Commit: n.commit},
		Entries:   d.entries,
		Snapshot:  d.snapshot,
	})
	d.entries, d.snapshot = nil, nil
	d.writes = append(d.writes, write{seq: d.seq, last: n.log.last(), term: n.term})
}

// persisted sends what waited for the writes up to seq.
func (n *Node) persisted(seq uint64) {
	for len(n.disk.writes) > 0 && n.disk.writes[0].seq <= seq {
		w := n.disk.writes[0]
		n.disk.writes = n.disk.writes[1:]
		n.disk.synced = max(n.disk.synced, w.last)
		n.disk.syncedTerm = w.term
		for _, m := range w.messages {
			if m.To == n.self {
				n.receive(m)
			} else {
				n.emit(effect.SendPeer{Message: m})
			}
		}
	}
}
