package session

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// leader is the member of a managed service that leads as far as the proxy
// knows: the primary of the view, or one that said so itself in a later term.
type leader struct {
	name   types.TargetName
	term   types.Term
	leased bool // control has confirmed it: a live lease rules out another one
}

// followLeader takes over the leader from a new view.
func (s *Shard) followLeader(svc *service) {
	g := s.view.Group(svc.name)
	if g == nil {
		svc.leader = leader{}
		return
	}
	known := leader{term: g.TargetTerm()}
	if hasPrimary(g) {
		known = leader{name: g.Primary, term: g.TargetTerm(), leased: true}
	}
	for _, m := range g.Members {
		if h := s.probed(svc, m.Name); h.Primary && !h.Failing && h.Term > known.term {
			known = leader{name: m.Name, term: h.Term}
		}
	}
	if known != svc.leader {
		s.emit(effect.Decide{
			Kind: effect.DecideLeaderFound, Service: svc.name, Target: known.name, Host: s.options.Host, Term: known.term,
			Version: s.seen(), Reason: known.source(),
		})
	}
	if known.name != svc.leader.name {
		svc.silence = silence{}
	}
	svc.leader = known
	if known.name != "" {
		svc.samples.SetPrimary(known.name, known.term)
	}
}

// source says how the leader is known.
func (l leader) source() string {
	switch {
	case l.name == "":
		return "the view names none"
	case l.leased:
		return "the view names it"
	}
	return "it says so itself, in a later term than the view's"
}

// primaryOf returns the member that takes a service's writes, or "".
func (s *Shard) primaryOf(svc *service) types.TargetName {
	if svc.managed(s.view) {
		return svc.leader.name
	}
	return s.view.Group(svc.name).Primary
}

// leaderTargets returns the target of requests that need the primary. They wait
// while an ordered change is prepared.
func (s *Shard) leaderTargets(svc *service, g *types.Group) []types.TargetName {
	if g == nil || g.Phase == types.GroupQuiescing || svc.leader.name == "" || svc.departures.Leaving(svc.leader.name) {
		return nil
	}
	return []types.TargetName{svc.leader.name}
}

// leaderHeardAt returns when the primary last answered a request, or zero.
func (svc *service) leaderHeardAt() types.Instant {
	if t, ok := svc.targets[svc.leader.name]; ok {
		return t.heardAt
	}
	return 0
}

// suspectFor is how long control is told that a service's primary failed: the
// members are asked every 200 ms meanwhile, at least twice.
const suspectFor = 400 * time.Millisecond

// suspect has the members of a service asked which of them leads.
func (s *Shard) suspect(svc *service) {
	if s.now >= svc.suspectUntil {
		s.reports.urgent = true
		s.emit(effect.Decide{
			Kind: effect.DecideSuspect, Service: svc.name, Target: svc.leader.name, Host: s.options.Host,
			Term: svc.leader.term, Version: s.seen(), Reason: "it failed or refused a request",
		})
	}
	svc.suspectUntil = s.now.Add(suspectFor)
}

// suspectTarget suspects the primary when it has failed a request.
func (s *Shard) suspectTarget(r *request) {
	if r.service.managed(s.view) && r.target != "" && r.target == r.service.leader.name {
		s.suspect(r.service)
	}
}
