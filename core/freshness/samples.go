// Package freshness relates positions of a primary to the instants at which
// they were asked for, and so tells how old a replica's data is.
package freshness

import (
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// maxSamples is how many positions of a primary are remembered.
const maxSamples = 512

// sample is a position that the primary reported.
type sample struct {
	asked types.Instant
	pos   types.LogPos
}

// Samples are positions of one primary in one term, in order of both fields.
type Samples struct {
	term    types.Term
	primary types.TargetName
	list    []sample
}

// Follow forgets the samples of an earlier primary or term.
func (s *Samples) Follow(primary types.TargetName, term types.Term) {
	if s.term != term || s.primary != primary {
		*s = Samples{term: term, primary: primary}
	}
}

// Primary returns the primary that the samples are of, or "".
func (s *Samples) Primary() types.TargetName { return s.primary }

// Latest returns when the latest position was asked for, or zero.
func (s *Samples) Latest() types.Instant {
	if len(s.list) == 0 {
		return 0
	}
	return s.list[len(s.list)-1].asked
}

// Add remembers a position that the primary held at or after the instant asked.
// Of samples with the same position the latest is enough: what it covers, the
// earlier ones cover too.
func (s *Samples) Add(asked types.Instant, pos types.LogPos) {
	n := sample{asked: asked, pos: pos}
	if last := len(s.list) - 1; last >= 0 {
		switch prev := s.list[last]; {
		case n.asked <= prev.asked || n.pos.Compare(prev.pos) < 0:
			return
		case n.pos == prev.pos:
			s.list[last] = n
			return
		}
	}
	s.list = append(s.list, n)
	if extra := len(s.list) - maxSamples; extra > 0 {
		s.list = slices.Delete(s.list, 0, extra)
	}
}

// FreshAt returns the latest instant before which every committed entry is
// held by a member that stands at have, or zero.
func (s *Samples) FreshAt(h types.TermHistory, have types.LogPos) types.Instant {
	n, _ := slices.BinarySearchFunc(s.list, have, func(x sample, have types.LogPos) int {
		if h.Covers(have, x.pos) {
			return -1
		}
		return 1
	})
	if n == 0 {
		return 0
	}
	return s.list[n-1].asked
}

// Floor returns the lowest known position that covers every entry committed
// before since, and whether one is known.
func (s *Samples) Floor(since types.Instant) (types.LogPos, bool) {
	n, _ := slices.BinarySearchFunc(s.list, since, func(x sample, since types.Instant) int {
		if x.asked < since {
			return -1
		}
		return 1
	})
	if n == len(s.list) {
		return types.LogPos{}, false
	}
	return s.list[n].pos, true
}
