package promotion

import (
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// choose returns the member to promote once enough have answered. It waits a
// short while for the others, since one of them may be further, and in an
// ordered change for the preferred member to catch up.
func (m *Manager) choose(now types.Instant, g *types.Group, r *run) (types.Target, bool) {
	if r.quorum == 0 {
		return types.Target{}, false
	}
	best, ok := m.furthest(g, r)
	switch {
	case !ok:
		return best, false
	case r.ordered && now < r.catchUp:
		return best, m.complete(g, r) && r.suits(best)
	case len(r.answers) == len(g.Members):
		return best, true
	}
	return best, now >= r.quorum.Add(readGrace)
}

// complete reports whether every member has answered.
func (m *Manager) complete(g *types.Group, r *run) bool { return len(r.answers) == len(g.Members) }

// suits reports whether a member is what an ordered change asked for.
func (r *run) suits(t types.Target) bool {
	if r.prefer != "" {
		return t.Name == r.prefer
	}
	return t.State == types.TargetActive
}

// furthest returns the member with the furthest position. Among equals it takes
// the preferred one, then an active one, then the first by name. The primary
// that the proxies can't reach is left out if the others are enough.
func (m *Manager) furthest(g *types.Group, r *run) (types.Target, bool) {
	_, avoided := r.answers[r.avoid]
	skip := avoided && len(r.answers) > m.needed(g)
	var best types.Target
	found := false
	for _, t := range g.Members {
		s, ok := r.answers[t.Name]
		if !ok || skip && t.Name == r.avoid {
			continue
		}
		if !found || before(r.answers[best.Name].Pos, s.Pos, r.rank(best), r.rank(t)) {
			best, found = t, true
		}
	}
	return best, found
}

func before(a, b types.LogPos, rankA, rankB int) bool {
	if c := a.Compare(b); c != 0 {
		return c < 0
	}
	return rankA < rankB
}

// rank orders members that hold the same position.
func (r *run) rank(t types.Target) int {
	switch {
	case t.Name == r.prefer:
		return 3
	case t.Name == r.avoid:
		return 0
	case t.State == types.TargetActive:
		return 2
	}
	return 1
}
