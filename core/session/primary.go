package session

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// knownPrimary is the member of a managed service that the proxy takes for its
// primary: the primary of the view, or a member that has reported itself as
// primary in a later term.
type knownPrimary struct {
	name   types.TargetName
	term   types.Term
	leased bool // the view names it as confirmed primary, so a live lease rules out another one
}

// updatePrimary applies the primary of a new view.
func (s *Shard) updatePrimary(svc *service) {
	g := s.view.Group(svc.name)
	if g == nil {
		svc.primary = knownPrimary{}
		return
	}
	known := knownPrimary{term: g.TargetTerm()}
	if hasPrimary(g) {
		known = knownPrimary{name: g.Primary, term: g.TargetTerm(), leased: !g.Unconfirmed}
	}
	for _, m := range g.Members {
		if h := s.lastProbe(svc, m.Name); h.Primary && !h.Failing && h.Term > known.term {
			known = knownPrimary{name: m.Name, term: h.Term}
		}
	}
	if known != svc.primary {
		s.emit(effect.Decide{
			Kind: effect.DecidePrimaryFound, Service: svc.name, Target: known.name, Host: s.options.Host, Term: known.term,
			Version: s.viewVersion(), Reason: known.source(g),
		})
	}
	if known.name != svc.primary.name {
		svc.silence = silenceDetector{}
	}
	svc.primary = known
	if known.name != "" {
		svc.samples.SetPrimary(known.name, known.term)
	}
}

// source says how the proxy learned of the primary.
func (p knownPrimary) source(g *types.Group) string {
	switch {
	case p.name == "":
		return "the view names no primary"
	case p.leased:
		return "the view names it as primary"
	case p.name == g.Primary && p.term == g.TargetTerm():
		return "the view names it as primary, which an earlier promotion request may still replace"
	}
	return "it reports itself as primary, in a later term than the view's"
}

// primaryOf returns the member that accepts a service's writes, or "".
func (s *Shard) primaryOf(svc *service) types.TargetName {
	if svc.managed(s.view) {
		return svc.primary.name
	}
	return s.view.Group(svc.name).Primary
}

// primaryTargets returns the target of requests that need the primary. It returns
// none, so that they wait, while an ordered change of primary is prepared or the
// primary is leaving.
func (s *Shard) primaryTargets(svc *service, g *types.Group) []types.TargetName {
	if g == nil || g.Phase == types.GroupQuiescing || svc.primary.name == "" || svc.departures.Leaving(svc.primary.name) {
		return nil
	}
	if !svc.selfFenced(s.view) && !(s.leaseLive() && svc.primary.leased) {
		return nil
	}
	return []types.TargetName{svc.primary.name}
}

// primaryAnsweredAt returns when the primary last answered a request as such, or zero.
func (svc *service) primaryAnsweredAt() types.Instant {
	if t, ok := svc.targets[svc.primary.name]; ok {
		return t.lastSignOfRole
	}
	return 0
}

// suspectDuration is how long a service's primary is reported to the control
// goroutine as suspect. The control goroutine probes the members every 200 ms
// meanwhile, so at least twice.
const suspectDuration = 400 * time.Millisecond

// suspectPrimary reports a service's primary to the control goroutine as
// suspect, so that the members are probed for the current one.
func (s *Shard) suspectPrimary(svc *service) {
	if s.now >= svc.suspectUntil {
		s.reports.urgent = true
		s.emit(effect.Decide{
			Kind: effect.DecideSuspect, Service: svc.name, Target: svc.primary.name, Host: s.options.Host,
			Term: svc.primary.term, Version: s.viewVersion(), Reason: "it failed or refused a request",
		})
	}
	svc.suspectUntil = s.now.Add(suspectDuration)
}

// suspectIfPrimary marks the request's target as suspect if it is the primary of
// a managed service.
func (s *Shard) suspectIfPrimary(r *request) {
	if r.service.managed(s.view) && r.target != "" && r.target == r.service.primary.name {
		s.suspectPrimary(r.service)
	}
}
