package session

import (
	"github.com/camphorpaddle/camphorpaddle/core/capacity"
	"github.com/camphorpaddle/camphorpaddle/core/routing"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// pickTarget selects one of the targets by the routing policy.
func (s *Shard) pickTarget(svc *service, names []types.TargetName) types.TargetName {
	g := s.view.Group(svc.name)
	candidates := make([]routing.Candidate, len(names))
	for i, name := range names {
		t := svc.target(name)
		member, _ := g.Target(name)
		candidates[i] = routing.Candidate{
			Target: name, Outstanding: t.pool.InFlight(), Slots: t.pool.Share().Slots,
			SameZone: member.AvailabilityZone == s.options.AvailabilityZone,
		}
		t.stats.Fill(&candidates[i], s.now.Sub(t.lastRunAt))
	}
	return names[s.policy(svc, g).Pick(candidates, s.random())]
}

// policy returns the routing policy for a service.
func (s *Shard) policy(svc *service, g *types.Group) routing.Policy {
	if s.crowded(svc, g) {
		return s.options.CrowdedPolicy
	}
	return s.options.Policy
}

// crowded reports whether this proxy gets only a few of the answers of the service's targets.
func (s *Shard) crowded(svc *service, g *types.Group) bool {
	if g == nil || len(g.Members) == 0 {
		return false
	}
	slots := capacity.SlotsOf(s.view.Cluster.Config.Services[svc.name], g.Members[0])
	return capacity.Crowded(slots, s.view.Proxies)
}
