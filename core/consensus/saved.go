package consensus

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/gravitational/trace"
)

// Saved is what a control host finds in its data folder. Entries follow the
// snapshot.
type Saved struct {
	HardState proto.HardState
	Snapshot  *proto.Snapshot
	Entries   []proto.Entry
}

// Apply adds a write to what is saved. The snapshot goes first.
func (s *Saved) Apply(p effect.Persist) error {
	if p.Snapshot != nil {
		s.Snapshot = p.Snapshot
		s.DropCovered()
	}
	if p.HardState != nil {
		s.HardState = *p.HardState
	}
	return s.appendEntries(p.Entries)
}

// appendEntries replaces the entries from the first index of entries on.
func (s *Saved) appendEntries(entries []proto.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	kept := s.Entries
	for len(kept) > 0 && kept[len(kept)-1].Index >= first {
		kept = kept[:len(kept)-1]
	}
	if len(kept) > 0 && kept[len(kept)-1].Index+1 != first {
		return trace.BadParameter("entry %d follows entry %d", first, kept[len(kept)-1].Index)
	}
	s.Entries = append(kept, entries...)
	return nil
}

// DropCovered drops the entries up to the snapshot. When the snapshot's last
// entry is missing, what follows belongs to another history and goes as well.
func (s *Saved) DropCovered() {
	if s.Snapshot == nil || len(s.Entries) == 0 || s.Entries[0].Index == s.Snapshot.Index+1 {
		return
	}
	for i, e := range s.Entries {
		if e.Index == s.Snapshot.Index && e.Term == s.Snapshot.Term {
			s.Entries = s.Entries[i+1:]
			return
		}
	}
	s.Entries = nil
}
