package session

import (
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// maxProbeGap is the longest time between two probes of a target that still
// shows that the target was reachable throughout.
const maxProbeGap = 200 * time.Millisecond

// initialFloor returns a position at or after every write that was
// acknowledged before the session opened, or false while none is known.
//
// The primary's position is one, if it was requested after the session opened.
// If every acknowledged write is held by a majority, so is the highest position
// that a majority holds. It is lower, so lagging replicas reach it earlier.
//
// Until deadline it waits for the members that may still lower the floor.
func (s *Shard) initialFloor(c *session, deadline types.Instant) (types.LogPos, bool) {
	svc, g := s.services[c.service], s.view.Group(c.service)
	if svc == nil || !s.leaseLive() || !hasPrimary(g) {
		return types.LogPos{}, false
	}
	pos, complete, ok := s.majorityFloor(svc, g, c.openedAt)
	if !complete && s.now < deadline {
		return types.LogPos{}, false
	}
	if ok {
		return pos, true
	}
	h := svc.health(s.view, g.Primary)
	if h.ProbedAt < c.openedAt || h.Term != g.TargetTerm() || !h.Primary {
		return types.LogPos{}, false
	}
	return h.Pos, true
}

// majorityFloor returns the highest position that a majority may have held
// when the session opened, and whether the position of every member that can
// lower it is known. A member with an unknown position may hold any position.
func (s *Shard) majorityFloor(svc *service, g *types.Group, opened types.Instant) (floor types.LogPos, complete, ok bool) {
	if !s.requiresMajority(svc) {
		return types.LogPos{}, true, false
	}
	size := s.groupSize(svc, g)
	var known []types.LogPos
	complete = true
	for _, m := range g.Members {
		h := s.lastProbe(svc, m.Name)
		switch {
		case h.Failing || h.Term != g.TargetTerm() || !svc.target(m.Name).caughtUp:
		case h.ProbedAt < opened:
			complete = false
		default:
			known = append(known, h.Pos)
		}
	}
	rank := types.Quorum(size) - (size - len(known))
	if rank < 1 {
		return types.LogPos{}, complete, false
	}
	slices.SortFunc(known, func(a, b types.LogPos) int { return b.Compare(a) })
	return known[rank-1], complete, true
}

// requiresMajority reports whether every profile of the service makes writes
// wait for a majority.
func (s *Shard) requiresMajority(svc *service) bool {
	config := s.view.Cluster.Config
	for _, name := range config.Services[svc.name].Profiles {
		if config.Profiles[name].Durability != types.DurableMajority {
			return false
		}
	}
	return true
}

// groupSize returns the number of members that a majority of the group is
// computed from.
func (s *Shard) groupSize(svc *service, g *types.Group) int {
	return max(s.view.Cluster.Config.Services[svc.name].Members, len(g.Members))
}

// lastProbe returns the result of a target's last probe. Unlike answers to
// requests, probes come at intervals and so reveal that the target was
// unreachable.
func (s *Shard) lastProbe(svc *service, name types.TargetName) types.TargetHealth {
	return s.view.Health[types.TargetRef{Service: svc.name, Name: name}]
}

// updateCatchUp tracks which members still hold every entry that they have held
// in the current term. A member that was unreachable, or whose position went
// back, may have lost entries; it counts again once it has reached a position
// that the primary reported later.
func (s *Shard) updateCatchUp(svc *service) {
	g := s.view.Group(svc.name)
	if !hasPrimary(g) {
		for _, t := range svc.targets {
			t.caughtUp, t.catchUpPos = false, types.LogPos{}
		}
		return
	}
	primary := s.lastProbe(svc, g.Primary)
	for _, m := range g.Members {
		t, h := svc.target(m.Name), s.lastProbe(svc, m.Name)
		if h.Failing || h.Term != g.TargetTerm() || h.Pos.Compare(t.prevProbe.Pos) < 0 || h.ProbedAt.Sub(t.prevProbe.ProbedAt) > maxProbeGap {
			t.caughtUp, t.catchUpPos, t.catchUpResetAt = false, types.LogPos{}, s.now
		}
		t.prevProbe = h
		if h.Failing || h.Term != g.TargetTerm() || t.caughtUp {
			continue
		}
		if t.catchUpPos == (types.LogPos{}) && primary.ProbedAt > t.catchUpResetAt && primary.Term == g.TargetTerm() && primary.Primary {
			t.catchUpPos = primary.Pos
		}
		t.caughtUp = t.catchUpPos != (types.LogPos{}) && g.History.Covers(h.Pos, t.catchUpPos)
	}
}
