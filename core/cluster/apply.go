package cluster

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// maxTermStarts is how many term starts the history of a group holds.
const maxTermStarts = 32

// apply applies one committed command. A command that no longer fits the state
// changes nothing.
func (s *State) apply(index uint64, c proto.Command) []effect.Effect {
	switch {
	case c.Change != nil:
		return s.applyChange(index, *c.Change)
	case c.Member != nil:
		return s.applyMember(index, *c.Member)
	case c.Quiesce != nil:
		s.applyQuiesce(index, *c.Quiesce)
	case c.BeginTerm != nil:
		return s.applyBeginTerm(index, *c.BeginTerm)
	case c.ServeTerm != nil:
		return s.applyServeTerm(index, *c.ServeTerm)
	case c.Confirm != nil:
		return s.applyConfirmPrimary(index, *c.Confirm)
	case c.Proxy != nil:
		s.applyProxy(*c.Proxy)
	case c.Voters != nil:
		s.voters = c.Voters.Voters
	}
	return nil
}

func (s *State) applyChange(index uint64, c proto.ChangeConfig) []effect.Effect {
	before := s.ledger.Config()
	result, changed := s.ledger.Apply(c)
	if !changed {
		if result.Accepted {
			return nil
		}
		return recordDecision(effect.Decide{Kind: effect.DecideConflict, Version: result.Version, Reason: result.Reason})
	}
	s.setVersion(index)
	s.configVersion, s.allManaged = index, s.ledger.Config().AllManaged()
	s.reconcileGroups(index)
	s.items.recordConfigChange(before, s.ledger.Config(), index)
	return recordDecision(effect.Decide{
		Kind: effect.DecideConfig, Version: result.Version,
		Reason: "change " + string(c.ID) + " was committed",
	})
}

// reconcileGroups creates groups for new services and deletes those of services
// that are no longer configured.
func (s *State) reconcileGroups(index uint64) {
	services := s.ledger.Config().Services
	for _, name := range slices.Sorted(maps.Keys(services)) {
		synchronous := services[name].SyncReplicas > 0
		switch g := s.groups[name]; {
		case g == nil:
			s.setGroup(index, &types.Group{Service: name, Synchronous: synchronous})
		case synchronous && !g.Synchronous:
			next := *g
			next.Synchronous = true
			s.setGroup(index, &next)
		}
	}
	for _, name := range s.Services() {
		if _, ok := services[name]; !ok {
			delete(s.groups, name)
			s.items.markRemoved(groupItem(name), index)
		}
	}
}

func (s *State) applyMember(index uint64, c proto.SetMember) []effect.Effect {
	g := s.groups[c.Service]
	if g == nil {
		return nil
	}
	next := *g
	old, known := g.Target(c.Target.Name)
	c.Target = resolveTarget(g, c, old, known)
	switch {
	case (c.Operator || c.CaughtUp) && !known:
		return nil
	case c.Remove && (!known || g.Primary == c.Target.Name):
		return nil
	case c.Remove:
		next.Members = withoutMember(g.Members, c.Target.Name)
	case known && old == c.Target:
		return nil
	case !known && s.isFull(g):
		return nil
	default:
		next.Members = withMember(g.Members, c.Target)
	}
	s.setGroup(index, &next)
	return recordDecision(effect.Decide{
		Kind: effect.DecideMember, Service: c.Service, Target: c.Target.Name, Term: g.Term,
		Reason: memberReason(c, known),
	})
}

// isFull reports whether a group has the configured number of members.
func (s *State) isFull(g *types.Group) bool {
	svc := s.ledger.Config().Services[g.Service]
	return svc.Members > 0 && len(g.Members) >= svc.Members
}

// resolveTarget returns the target that results from a command. Operators decide
// only whether a target is drained, announcements decide everything else, so that
// neither undoes a change of the other that was committed before.
func resolveTarget(g *types.Group, c proto.SetMember, old types.Target, known bool) types.Target {
	next := c.Target
	switch {
	case c.CaughtUp:
		next = old
		next.LogIncomplete = old.LogIncomplete && old.StartedAt != c.Target.StartedAt
	case c.Operator && known:
		next = old
		next.Drained = c.Target.Drained
		next.State = types.TargetActive
	default:
		next.Drained = known && old.Drained
		next.LogIncomplete = logIncomplete(g, c, old, known)
	}
	if next.Drained {
		next.State = types.TargetLeaving
	}
	return next
}

// logIncomplete reports whether an announced member may lack commits of the group's log
// that it, or the replica in whose place it joined, had received. A primary that crashed
// comes back with its log.
func logIncomplete(g *types.Group, c proto.SetMember, old types.Target, known bool) bool {
	switch {
	case !g.Synchronous || !g.Served() || c.Target.Name == g.LastPrimary:
		return false
	case !known:
		return c.Replaces
	}
	return old.LogIncomplete || old.StartedAt != 0 && old.StartedAt != c.Target.StartedAt
}

func memberReason(c proto.SetMember, known bool) string {
	switch {
	case c.CaughtUp:
		return "caught up with the primary"
	case c.Remove:
		return "removed"
	case !known:
		return "joined"
	case c.Target.Drained:
		return "drained by an operator"
	case c.Target.State == types.TargetLeaving:
		return "announced that it leaves"
	case c.Target.State == types.TargetSilent:
		return "no announcement in time"
	case c.Target.LogIncomplete:
		return "active, and may lack commits that it had received before it started anew"
	}
	return "active"
}

func (s *State) applyQuiesce(index uint64, c proto.Quiesce) {
	g := s.groups[c.Service]
	if g == nil || g.Term != c.Term || g.Phase != types.GroupServing {
		return
	}
	next := *g
	next.Phase = types.GroupQuiescing
	s.setGroup(index, &next)
}

func (s *State) applyBeginTerm(index uint64, c proto.BeginTerm) []effect.Effect {
	g := s.groups[c.Service]
	if g == nil || c.Term <= g.Term {
		return nil
	}
	next := *g
	next.Term, next.Phase, next.Primary, next.Unconfirmed = c.Term, types.GroupFencing, "", false
	s.setGroup(index, &next)
	return recordDecision(effect.Decide{
		Kind: effect.DecideTermBegun, Service: c.Service, Target: g.Primary, Term: c.Term, Reason: c.Reason,
	})
}

func (s *State) applyServeTerm(index uint64, c proto.ServeTerm) []effect.Effect {
	g := s.groups[c.Service]
	if g == nil || c.Term != g.Term || g.Phase != types.GroupFencing {
		return nil
	}
	if _, ok := g.Target(c.Primary); !ok {
		return nil
	}
	next := *g
	next.Phase, next.Primary, next.LastPrimary = types.GroupServing, c.Primary, c.Primary
	next.Synchronous = s.ledger.Config().Services[c.Service].SyncReplicas > 0
	next.LogTerm, next.Unconfirmed = c.LogTerm, c.Unconfirmed
	next.History = appendTermStart(g.History, c)
	if extra := len(next.History) - maxTermStarts; extra > 0 {
		next.History = next.History[extra:]
	}
	s.setGroup(index, &next)
	reason := "it held the furthest position of a quorum"
	if c.Unconfirmed {
		reason = "it is primary, but an earlier promotion request may still replace it"
	}
	return recordDecision(effect.Decide{
		Kind: effect.DecideTermServing, Service: c.Service, Target: c.Primary, Term: c.Term, Reason: reason,
	})
}

func (s *State) applyConfirmPrimary(index uint64, c proto.ConfirmPrimary) []effect.Effect {
	g := s.groups[c.Service]
	if g == nil || c.Term != g.Term || !g.Unconfirmed {
		return nil
	}
	next := *g
	next.Unconfirmed = false
	s.setGroup(index, &next)
	return recordDecision(effect.Decide{
		Kind: effect.DecidePrimaryConfirmed, Service: c.Service, Target: g.Primary, Term: c.Term,
		Reason: "no earlier promotion request can replace it any more",
	})
}

// appendTermStart appends the start of a term to a history. If the term of the
// entry before it is unknown, no fork can be detected and no earlier start is
// removed.
func appendTermStart(h types.TermHistory, c proto.ServeTerm) types.TermHistory {
	start := types.TermStart{Term: cmp.Or(c.LogTerm, c.Term), Offset: c.Start}
	if c.Last == 0 {
		return append(slices.Clone(h), start)
	}
	return h.Begin(start, c.Last)
}

func (s *State) applyProxy(c proto.SetProxy) {
	s.proxyOrder = nil
	if c.Remove {
		delete(s.proxies, c.Host)
		return
	}
	s.proxies[c.Host] = c
}

func (s *State) setGroup(index uint64, g *types.Group) {
	s.groups[g.Service] = g
	s.items.markChanged(groupItem(g.Service), index)
	s.setVersion(index)
}

// setVersion marks the state as changed by the entry at index.
func (s *State) setVersion(index uint64) {
	s.version = index
	s.view = nil
}

// withoutMember returns a copy of members without the one called name.
func withoutMember(members []types.Target, name types.TargetName) []types.Target {
	return slices.DeleteFunc(slices.Clone(members), func(t types.Target) bool { return t.Name == name })
}

// withMember returns a copy of members, sorted by name, with t added or replaced.
func withMember(members []types.Target, t types.Target) []types.Target {
	out := append(withoutMember(members, t.Name), t)
	slices.SortFunc(out, func(a, b types.Target) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}

// recordDecision returns the effect that records a decision.
func recordDecision(d effect.Decide) []effect.Effect { return []effect.Effect{d} }
