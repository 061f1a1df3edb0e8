// Package freshness estimates how old a replica's data is. It relates log positions
// of the primary to the instants at which they were requested.
package freshness

import (
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// maxSamples is the number of positions of a primary that are kept.
const maxSamples = 512

// sample is a position that the primary reported.
type sample struct {
	requestedAt types.Instant
	pos         types.LogPos
}

// Samples holds positions of one primary in one term. Both the request times and
// the positions ascend.
type Samples struct {
	term    types.Term
	primary types.TargetName
	list    []sample
}

// SetPrimary sets the primary and the term, and discards the samples of other ones.
func (s *Samples) SetPrimary(primary types.TargetName, term types.Term) {
	if s.term != term || s.primary != primary {
		*s = Samples{term: term, primary: primary}
	}
}

// Primary returns the primary whose positions are sampled, or "".
func (s *Samples) Primary() types.TargetName { return s.primary }

// LastRequestedAt returns when the latest sample was requested, or zero without samples.
func (s *Samples) LastRequestedAt() types.Instant {
	if len(s.list) == 0 {
		return 0
	}
	return s.list[len(s.list)-1].requestedAt
}

// Add adds a position that the primary had at or after requestedAt. Of samples with
// the same position only the latest is kept, because it covers all that the earlier
// ones cover.
func (s *Samples) Add(requestedAt types.Instant, pos types.LogPos) {
	n := sample{requestedAt: requestedAt, pos: pos}
	if last := len(s.list) - 1; last >= 0 {
		switch prev := s.list[last]; {
		case n.requestedAt <= prev.requestedAt || n.pos.Compare(prev.pos) < 0:
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

// FreshAt returns the latest instant for which a member at position have holds every
// entry that was committed before, or zero if none is known.
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
	return s.list[n-1].requestedAt
}

// Floor returns the lowest known position that covers every entry committed
// before since, and whether one is known.
func (s *Samples) Floor(since types.Instant) (types.LogPos, bool) {
	n, _ := slices.BinarySearchFunc(s.list, since, func(x sample, since types.Instant) int {
		if x.requestedAt < since {
			return -1
		}
		return 1
	})
	if n == len(s.list) {
		return types.LogPos{}, false
	}
	return s.list[n].pos, true
}
