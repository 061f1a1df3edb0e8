package consensus

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/gravitational/trace"
)

// PersistentState is the Raft state that a control host keeps in its data folder.
// Entries follow the snapshot.
type PersistentState struct {
	HardState proto.HardState
	Snapshot  *proto.Snapshot
	Entries   []proto.Entry
}

// Apply applies a write to the saved state. Its snapshot is applied before its
// entries.
func (s *PersistentState) Apply(p effect.Persist) error {
	if p.Snapshot != nil {
		s.Snapshot = p.Snapshot
		s.DropCovered()
	}
	if p.HardState != nil {
		s.HardState = *p.HardState
	}
	return s.appendEntries(p.Entries)
}

// appendEntries appends entries. Saved entries with the same or a later index are
// replaced.
func (s *PersistentState) appendEntries(entries []proto.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	kept := s.Entries
	for len(kept) > 0 && kept[len(kept)-1].Index >= first {
		kept = kept[:len(kept)-1]
	}
	if len(kept) > 0 && kept[len(kept)-1].Index+1 != first {
		return trace.BadParameter("entry %d does not follow the last saved entry %d", first, kept[len(kept)-1].Index)
	}
	s.Entries = append(kept, entries...)
	return nil
}

// DropCovered removes the entries that the snapshot covers. If the snapshot's last
// entry is not among them, the later entries belong to a diverged log and are
// removed as well.
func (s *PersistentState) DropCovered() {
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
