package consensus

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// disk tracks writes that are not synced yet. Invariant: no message that depends
// on a write is sent before the event.Persisted of that write.
type disk struct {
	seq             uint64            // of the last write
	inFlight        []write           // issued and not synced yet, in order
	synced          uint64            // index of the last synced entry
	syncedTerm      proto.ControlTerm // last synced term
	term            proto.ControlTerm // term and vote of the last write
	vote            types.HostID
	unsavedEntries  []proto.Entry   // to write at the end of the current step
	unsavedSnapshot *proto.Snapshot // to write at the end of the current step
	deferred        []proto.Message // to send once the current step's write is synced
}

// write is an effect.Persist in flight.
type write struct {
	seq      uint64
	last     uint64 // index of the last entry in the log once the write is synced
	term     proto.ControlTerm
	messages []proto.Message // to send once the write is synced
}

// appendEntries appends entries to the log and to the current step's write.
func (n *Node) appendEntries(entries []proto.Entry) {
	n.log.append(entries)
	n.disk.unsavedEntries = append(n.disk.unsavedEntries, entries...)
}

// truncate drops the entries after index from the log. The write that follows
// replaces them on disk.
func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	n.disk.synced = min(n.disk.synced, index)
	for i := range n.disk.inFlight {
		w := &n.disk.inFlight[i]
		w.last = min(w.last, index)
	}
}

// send sends a message without waiting for the disk.
func (n *Node) send(m proto.Message) {
	m.From = n.self
	n.emit(effect.SendPeer{Message: m})
}

// sendSynced sends a message once the state changes so far are synced. A message
// to this host itself is handled locally at that point.
func (n *Node) sendSynced(m proto.Message) {
	m.From = n.self
	n.disk.deferred = append(n.disk.deferred, m)
}

// flush writes the state that the step changed. It sends the step's deferred
// messages, or attaches them to the last write in flight.
func (n *Node) flush() {
	d := &n.disk
	if len(d.unsavedEntries) > 0 || d.unsavedSnapshot != nil || d.term != n.term || d.vote != n.vote {
		n.persist()
	}
	deferred := d.deferred
	d.deferred = nil
	if len(d.inFlight) > 0 {
		w := &d.inFlight[len(d.inFlight)-1]
		w.messages = append(w.messages, deferred...)
		return
	}
	for _, m := range deferred {
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
		Entries:   d.unsavedEntries,
		Snapshot:  d.unsavedSnapshot,
	})
	d.unsavedEntries, d.unsavedSnapshot = nil, nil
	d.inFlight = append(d.inFlight, write{seq: d.seq, last: n.log.last(), term: n.term})
}

// handlePersisted sends the messages that waited for the writes up to seq.
func (n *Node) handlePersisted(seq uint64) {
	for len(n.disk.inFlight) > 0 && n.disk.inFlight[0].seq <= seq {
		w := n.disk.inFlight[0]
		n.disk.inFlight = n.disk.inFlight[1:]
		n.disk.synced = max(n.disk.synced, w.last)
		n.disk.syncedTerm = w.term
		for _, m := range w.messages {
			if m.To == n.self {
				n.handleMessage(m)
			} else {
				n.emit(effect.SendPeer{Message: m})
			}
		}
	}
}
