package session

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// leader is the member of a managed service that the proxy takes for its
// primary: the primary of the view, or a member that has reported itself as
// primary in a later term.
type leader struct {
	name   types.TargetName
	term   types.Term
	leased bool // control has confirmed it, so a live lease rules out another primary
}

// updateLeader applies the leader of a new view.
func (s *Shard) updateLeader(svc *service) {
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
		if h := s.lastProbe(svc, m.Name); h.Primary && !h.Failing && h.Term > known.term {
			known = leader{name: m.Name, term: h.Term}
		}
	}
	if known != svc.leader {
		s.emit(effect.Decide{
			Kind: effect.DecideLeaderFound, Service: svc.name, Target: known.name, Host: s.options.Host, Term: known.term,
			Version: s.viewVersion(), Reason: known.source(),
		})
	}
	if known.name != svc.leader.name {
		svc.silence = silenceDetector{}
	}
	svc.leader = known
	if known.name != "" {
		svc.samples.SetPrimary(known.name, known.term)
	}
}

// source says how the proxy learned of the leader.
func (l leader) source() string {
	switch {
	case l.name == "":
		return "the view names no primary"
	case l.leased:
		return "the view names it as primary"
	}
	return "it reports itself as primary, in a later term than the view's"
}

// primaryOf returns the member that accepts a service's writes, or "".
func (s *Shard) primaryOf(svc *service) types.TargetName {
	if svc.managed(s.view) {
		return svc.leader.name
	}
	return s.view.Group(svc.name).Primary
}

// leaderTargets returns the target of requests that need the primary. It returns
// none, so that they wait, while an ordered change of primary is prepared or the
// primary is leaving.
func (s *Shard) leaderTargets(svc *service, g *types.Group) []types.TargetName {
	if g == nil || g.Phase == types.GroupQuiescing || svc.leader.name == "" || svc.departures.Leaving(svc.leader.name) {
		return nil
	}
	return []types.TargetName{svc.leader.name}
}

// leaderLastContact returns when the primary last answered a request, or zero.
func (svc *service) leaderLastContact() types.Instant {
	if t, ok := svc.targets[svc.leader.name]; ok {
		return t.lastContact
	}
	return 0
}

// suspectDuration is how long a service's primary is reported to control as
// suspect. Control probes the members every 200 ms meanwhile, so at least twice.
const suspectDuration = 400 * time.Millisecond

// suspectPrimary reports a service's primary to control as suspect, so that the
// members are probed for the current one.
func (s *Shard) suspectPrimary(svc *service) {
	if s.now >= svc.suspectUntil {
		s.reports.urgent = true
		s.emit(effect.Decide{
			Kind: effect.DecideSuspect, Service: svc.name, Target: svc.leader.name, Host: s.options.Host,
			Term: svc.leader.term, Version: s.viewVersion(), Reason: "it failed or refused a request",
		})
	}
	svc.suspectUntil = s.now.Add(suspectDuration)
}

// suspectIfPrimary marks the request's target as suspect if it is the primary of
// a managed service.
func (s *Shard) suspectIfPrimary(r *request) {
	if r.service.managed(s.view) && r.target != "" && r.target == r.service.leader.name {
		s.suspectPrimary(r.service)
	}
}
