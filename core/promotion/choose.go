package promotion

import (
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// choose returns the member to promote once enough members have answered. It
// then waits up to readGrace for the others, since one of them may be more
// up-to-date. An ordered change also waits for the member it asked for to
// catch up.
func (m *Manager) choose(now types.Instant, g *types.Group, a *attempt) (types.Target, bool) {
	if a.quorumAt == 0 {
		return types.Target{}, false
	}
	best, ok := m.mostUpToDate(g, a)
	switch {
	case !ok:
		return best, false
	case a.ordered && now < a.catchUpDeadline:
		return best, m.allAnswered(g, a) && a.matchesOrder(best)
	case len(a.statuses) == len(g.Members):
		return best, true
	}
	return best, now >= a.quorumAt.Add(readGrace)
}

// allAnswered reports whether every member has answered.
func (m *Manager) allAnswered(g *types.Group, a *attempt) bool {
	return len(a.statuses) == len(g.Members)
}

// matchesOrder reports whether a member is the one that an ordered change
// named or, if it named none, an active one.
func (a *attempt) matchesOrder(t types.Target) bool {
	if a.preferred != "" {
		return t.Name == a.preferred
	}
	return t.State == types.TargetActive
}

// mostUpToDate returns the member with the highest position. Ties go to the
// preferred member, then to an active one, then to the first by name. The
// primary that the proxies can't reach is skipped if enough other members
// answered.
func (m *Manager) mostUpToDate(g *types.Group, a *attempt) (types.Target, bool) {
	_, avoidedAnswered := a.statuses[a.avoided]
	skipAvoided := avoidedAnswered && len(a.statuses) > m.requiredAnswers(g)
	var best types.Target
	found := false
	for _, t := range g.Members {
		s, ok := a.statuses[t.Name]
		if !ok || skipAvoided && t.Name == a.avoided {
			continue
		}
		if !found || ranksBelow(a.statuses[best.Name].Pos, s.Pos, a.rank(best), a.rank(t)) {
			best, found = t, true
		}
	}
	return best, found
}

// ranksBelow reports whether position a comes before b or, if they are equal,
// rankA is below rankB.
func ranksBelow(a, b types.LogPos, rankA, rankB int) bool {
	if c := a.Compare(b); c != 0 {
		return c < 0
	}
	return rankA < rankB
}

// rank orders members at the same position. The highest rank is chosen.
func (a *attempt) rank(t types.Target) int {
	switch {
	case t.Name == a.preferred:
		return 3
	case t.Name == a.avoided:
		return 0
	case t.State == types.TargetActive:
		return 2
	}
	return 1
}
