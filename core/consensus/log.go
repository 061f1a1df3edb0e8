package consensus

import (
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
)

// raftLog holds the entries after base and the voters that they set.
type raftLog struct {
	base     uint64 // index before the first entry
	baseTerm proto.ControlTerm
	entries  []proto.Entry
	configs  []config // rising; the last one is in force
}

// config is a set of voters and the entry that set it.
type config struct {
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

// reset replaces the whole log by a snapshot.
func (l *raftLog) reset(s *proto.Snapshot) {
	*l = raftLog{base: s.Index, baseTerm: s.Term, configs: []config{{s.Index, s.Voters}}}
}

// last returns the index of the last entry.
func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term of an entry, if the log still knows it.
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

// from returns at most limit entries from index on.
func (l *raftLog) from(index uint64, limit int) []proto.Entry {
	es := l.entries[index-l.base-1:]
	return slices.Clip(es[:min(limit, len(es))])
}

// append adds entries that follow the last one.
func (l *raftLog) append(entries []proto.Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.Command.Voters != nil {
			l.configs = append(l.configs, config{e.Index, e.Command.Voters.Voters})
		}
	}
}

// truncate drops the entries after index.
func (l *raftLog) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.base]) // the tail may be on its way to the disk
	for len(l.configs) > 0 && l.configs[len(l.configs)-1].index > index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// compact drops the entries up to index.
func (l *raftLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	l.baseTerm, _ = l.term(index)
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base = index
	for len(l.configs) > 1 && l.configs[1].index <= index {
		l.configs = l.configs[1:]
	}
}

// voters returns the set in force: the last one in the log, committed or not.
func (l *raftLog) voters() []proto.Voter {
	if len(l.configs) == 0 {
		return nil
	}
	return l.configs[len(l.configs)-1].voters
}

// votersAt returns the set that was in force at index.
func (l *raftLog) votersAt(index uint64) []proto.Voter {
	for i := len(l.configs) - 1; i >= 0; i-- {
		if l.configs[i].index <= index {
			return l.configs[i].voters
		}
	}
	return nil
}

// votersIndex returns the index of the entry that set the voters in force.
func (l *raftLog) votersIndex() uint64 {
	if len(l.configs) == 0 {
		return 0
	}
	return l.configs[len(l.configs)-1].index
}
