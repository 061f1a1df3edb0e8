package probe

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

// samples are positions of one primary in one term, in order of both fields.
type samples struct {
	term    types.Term
	primary types.TargetName
	list    []sample
}

// add remembers a sample. Of samples with the same position the latest is
// enough: what it covers, the earlier ones cover too.
func (s *samples) add(n sample) {
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

// freshAt returns the latest instant before which every committed entry is
// held by a member that stands at have, or zero.
func (s *samples) freshAt(h types.TermHistory, have types.LogPos) types.Instant {
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

// refresh works out the freshness of a target that answered, and of all
// replicas when the primary answered. A member outside of the group's term may
// hold entries that will be dropped, so that it is never fresh.
func (p *Prober) refresh(ref types.TargetRef, t *target) {
	g := p.view.Groups[ref.Service]
	s := p.samples[ref.Service]
	if g == nil || s == nil || g.Primary == "" {
		return
	}
	if t.health.Term != g.Term {
		t.health.FreshAt = 0
		return
	}
	if ref.Name != g.Primary {
		t.health.FreshAt = max(t.health.FreshAt, s.freshAt(g.History, t.health.Pos))
		return
	}
	if !t.health.Primary {
		return
	}
	t.health.FreshAt = t.health.AskedAt
	s.add(sample{asked: t.health.AskedAt, pos: t.health.Pos})
	for _, m := range g.Members {
		other := p.targets[types.TargetRef{Service: ref.Service, Name: m.Name}]
		if m.Name == g.Primary || other.health.Term != g.Term {
			continue
		}
		other.health.FreshAt = max(other.health.FreshAt, s.freshAt(g.History, other.health.Pos))
	}
}
