package consensus

import (
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
)

// raftLog holds the entries after base and the sets of voters in effect there.
type raftLog struct {
	base         uint64 // index of the last compacted entry
	baseTerm     proto.ControlTerm
	entries      []proto.Entry
	voterConfigs []voterConfig // by ascending index; the last one is in effect
}

// voterConfig is a set of voters and the index of the entry that set it.
type voterConfig struct {
	index  uint64
	voters []proto.Voter
}

func newLog(s *proto.Snapshot, entries []proto.Entry) raftLog {
	var l raftLog
	if s != nil {
		l.reset(s)
	}
	l.append(entries)
	return l
}

// reset replaces the whole log with a snapshot.
func (l *raftLog) reset(s *proto.Snapshot) {
	*l = raftLog{base: s.Index, baseTerm: s.Term, voterConfigs: []voterConfig{{s.Index, s.Voters}}}
}

// last returns the index of the last entry.
func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term of an entry. It reports false if the entry is compacted
// away or beyond the end of the log.
func (l *raftLog) term(index uint64) (proto.ControlTerm, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entry(index).Term, true
}

// lastTerm returns the term of the last entry.
func (l *raftLog) lastTerm() proto.ControlTerm {
	t, _ := l.term(l.last())
	return t
}

// entry returns the entry at index, which must be in the log.
func (l *raftLog) entry(index uint64) proto.Entry { return l.entries[index-l.base-1] }

// entriesFrom returns up to limit entries, starting at index.
func (l *raftLog) entriesFrom(index uint64, limit int) []proto.Entry {
	es := l.entries[index-l.base-1:]
	return slices.Clip(es[:min(limit, len(es))])
}

// append appends entries, the first of which follows the last one in the log.
func (l *raftLog) append(entries []proto.Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.Command.Voters != nil {
			l.voterConfigs = append(l.voterConfigs, voterConfig{e.Index, e.Command.Voters.Voters})
		}
	}
}

// truncate removes the entries after index.
func (l *raftLog) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.base]) // a write in flight may still reference the tail
	for len(l.voterConfigs) > 0 && l.voterConfigs[len(l.voterConfigs)-1].index > index {
		l.voterConfigs = l.voterConfigs[:len(l.voterConfigs)-1]
	}
}

// compact removes the entries up to and including index.
func (l *raftLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	l.baseTerm, _ = l.term(index)
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base = index
	for len(l.voterConfigs) > 1 && l.voterConfigs[1].index <= index {
		l.voterConfigs = l.voterConfigs[1:]
	}
}

// voters returns the set in effect: the last one in the log, committed or not.
func (l *raftLog) voters() []proto.Voter {
	if len(l.voterConfigs) == 0 {
		return nil
	}
	return l.voterConfigs[len(l.voterConfigs)-1].voters
}

// votersAt returns the set that was in effect at index.
func (l *raftLog) votersAt(index uint64) []proto.Voter {
	for i := len(l.voterConfigs) - 1; i >= 0; i-- {
		if l.voterConfigs[i].index <= index {
			return l.voterConfigs[i].voters
		}
	}
	return nil
}

// votersIndex returns the index of the entry that set the current voters.
func (l *raftLog) votersIndex() uint64 {
	if len(l.voterConfigs) == 0 {
		return 0
	}
	return l.voterConfigs[len(l.voterConfigs)-1].index
}
