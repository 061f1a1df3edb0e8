package probe

import (
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// updateFreshness updates the freshness of a target that answered and, if it is the
// primary, of all replicas. A member whose term isn't the group's is never fresh,
// since it may hold entries that will be dropped.
func (p *Prober) updateFreshness(ref types.TargetRef, t *target) {
	g := p.view.Groups[ref.Service]
	s := p.samples[ref.Service]
	if g == nil || s == nil || g.Primary == "" {
		return
	}
	if t.health.Term != g.TargetTerm() {
		t.health.FreshAt = 0
		return
	}
	if ref.Name != g.Primary {
		t.health.FreshAt = max(t.health.FreshAt, s.FreshAt(g.History, t.health.Pos))
		return
	}
	if !t.health.Primary {
		return
	}
	t.health.FreshAt = t.health.ProbedAt
	s.Add(t.health.ProbedAt, t.health.Pos)
	for _, m := range g.Members {
		other := p.targets[types.TargetRef{Service: ref.Service, Name: m.Name}]
		if m.Name == g.Primary || other.health.Term != g.TargetTerm() {
			continue
		}
		other.health.FreshAt = max(other.health.FreshAt, s.FreshAt(g.History, other.health.Pos))
	}
}
