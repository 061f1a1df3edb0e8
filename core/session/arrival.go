package session

import (
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// maxProbeGap is the longest time between two probes of a target that tells
// that it was not away between them.
const maxProbeGap = 200 * time.Millisecond

// initialFloor returns a position at or after every write that was
// acknowledged before the session opened, or false while none is known.
//
// The primary's position, asked for after that, is such a position. Where all
// acknowledged writes are on a majority, so is the one that only a minority of
// the members has passed, which lagging replicas reach sooner.
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
	if h.AskedAt < c.openedAt || h.Term != g.TargetTerm() || !h.Primary {
		return types.LogPos{}, false
	}
	return h.Pos, true
}

// majorityFloor returns the highest position that a majority may have held
// when the session opened, and whether every member that can lower it is known.
// A member that is not known may hold anything.
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
		case h.AskedAt < opened:
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

// requiresMajority reports whether every write of the service waits for a
// majority.
func (s *Shard) requiresMajority(svc *service) bool {
	config := s.view.Cluster.Config
	for _, name := range config.Services[svc.name].Profiles {
		if config.Profiles[name].Durability != types.DurableMajority {
			return false
		}
	}
	return true
}

// groupSize returns how many members the group's majority is counted of.
func (s *Shard) groupSize(svc *service, g *types.Group) int {
	return max(s.view.Cluster.Config.Services[svc.name].Members, len(g.Members))
}

// lastProbe returns what the last probe of a target brought. Unlike answers to
// requests, probes notice when the target was away.
func (s *Shard) lastProbe(svc *service, name types.TargetName) types.TargetHealth {
	return s.view.Health[types.TargetRef{Service: svc.name, Name: name}]
}

// updateCatchUp keeps track of which members hold all that they ever held in
// the current term. One that was away, or whose position went back, may have
// lost entries; it counts again once it has reached a position that the
// primary reported later.
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
		if h.Failing || h.Term != g.TargetTerm() || h.Pos.Compare(t.prevProbe.Pos) < 0 || h.AskedAt.Sub(t.prevProbe.AskedAt) > maxProbeGap {
			t.caughtUp, t.catchUpPos, t.catchUpResetAt = false, types.LogPos{}, s.now
		}
		t.prevProbe = h
		if h.Failing || h.Term != g.TargetTerm() || t.caughtUp {
			continue
		}
		if t.catchUpPos == (types.LogPos{}) && primary.AskedAt > t.catchUpResetAt && primary.Term == g.TargetTerm() && primary.Primary {
			t.catchUpPos = primary.Pos
		}
		t.caughtUp = t.catchUpPos != (types.LogPos{}) && g.History.Covers(h.Pos, t.catchUpPos)
	}
}
