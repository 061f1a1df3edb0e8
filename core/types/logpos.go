package types

import (
	"fmt"
	"slices"
)

// LogPos is a position in the log of a database group: the term in which the
// entry was written and its offset. Offsets continue across terms.
type LogPos struct {
	Term   Term
	Offset uint64
}

// Compare returns -1, 0 or 1 if p is before, at or after q. It compares the
// terms first, then the offsets.
func (p LogPos) Compare(q LogPos) int {
	switch {
	case p.Term != q.Term && p.Term < q.Term, p.Term == q.Term && p.Offset < q.Offset:
		return -1
	case p == q:
		return 0
	}
	return 1
}

// String returns term:offset.
func (p LogPos) String() string { return fmt.Sprintf("%d:%d", p.Term, p.Offset) }

// TermStart records the last offset that the log held when a term began.
type TermStart struct {
	Term   Term
	Offset uint64
}

// TermHistory lists the starts of a group's terms in ascending order. Terms
// that have no entries left in the log may be omitted.
type TermHistory []TermStart

// Begin returns the history with a new term that started after an entry of term
// last. It removes the terms after last, which started on a branch of the log
// that the group has discarded.
func (h TermHistory) Begin(start TermStart, last Term) TermHistory {
	kept := slices.DeleteFunc(slices.Clone(h), func(s TermStart) bool { return s.Term > last })
	return append(kept, start)
}

// Survives reports whether an entry at pos is still part of the log in term
// current: no later term up to current started before it, and its own term is
// not one that the history omits between two listed terms.
func (h TermHistory) Survives(pos LogPos, current Term) bool {
	earlier, own, later := false, false, false
	for _, s := range h {
		switch {
		case s.Term < pos.Term:
			earlier = true
		case s.Term == pos.Term:
			own = true
		case s.Term <= current && s.Offset < pos.Offset:
			return false
		case s.Term <= current:
			later = true
		}
	}
	return own || !earlier || !later
}

// Surviving returns the last position at or before pos that is still part of the log
// in term current.
func (h TermHistory) Surviving(pos LogPos, current Term) LogPos {
	out := LogPos{Offset: pos.Offset}
	for _, s := range h {
		switch {
		case s.Term <= pos.Term:
			out.Term = s.Term
		case s.Term <= current:
			out.Offset = min(out.Offset, s.Offset)
			if out.Term == 0 {
				out.Term = s.Term
			}
		}
	}
	return out
}

// Covers reports whether a member at position have holds every entry up to
// floor.
func (h TermHistory) Covers(have, floor LogPos) bool {
	if have.Term < floor.Term || have.Offset < floor.Offset {
		return false
	}
	return h.Survives(floor, have.Term)
}
