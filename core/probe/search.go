package probe

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/capacity"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/retry"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// This file bounds what all proxies together ask of the members of a managed service
// while its primary is missing or fails. The members have room for a fixed number of
// connections, of which the control leader needs one to find the next primary.

// contendedSlowdown is by how much longer the proxies wait between two probes of a member
// that has no free connections.
const contendedSlowdown = 4

// SetShares applies what the leader says of the targets' connections.
func (p *Prober) SetShares(shares map[types.TargetRef]types.Share) {
	p.contended = make(map[types.TargetRef]bool)
	for ref, s := range shares {
		if s.Contended {
			p.contended[ref] = true
		}
	}
}

// Full reports whether a target rejected the connection of the last probe because of its
// limit.
func (p *Prober) Full(ref types.TargetRef, now types.Instant) bool {
	t := p.targets[ref]
	return t != nil && now < t.fullUntil
}

// lacksPrimary reports whether a managed service has no primary: there is none that could
// fail, and control asks the members by itself.
func (p *Prober) lacksPrimary(name types.ServiceName) bool {
	return p.view.Config.Managed(name) && p.view.Groups[name].Primary == ""
}

// keepsConnections reports whether the targets of a service have room for a connection of
// each proxy that stays open until the next probe.
func (p *Prober) keepsConnections(name types.ServiceName) bool {
	return !p.view.Config.Managed(name) || capacity.Kept(p.view.Config.Services[name], p.fleet) > 0
}

// probeCandidate probes a member of a managed service other than the primary while the
// primary isn't healthy and this member may have become the primary. The proxies take
// turns.
func (p *Prober) probeCandidate(ref types.TargetRef, t *target, now types.Instant) []effect.Effect {
	if p.primaryHealthy(ref.Service) {
		t.searchedSince = 0
		return nil
	}
	if t.searchedSince == 0 {
		t.searchedSince = now
	}
	if p.lacksPrimary(ref.Service) && p.fleet.Proxies == 0 || now < p.nextCandidateProbeAt(ref, t) {
		return nil
	}
	return p.probe(ref, t, now)
}

// nextCandidateProbeAt returns when a candidate is probed next. The first probe is later
// for each proxy than for the one before it.
func (p *Prober) nextCandidateProbeAt(ref types.TargetRef, t *target) types.Instant {
	interval := p.candidateInterval(ref)
	if t.probedAt >= t.searchedSince || interval == searchInterval {
		return t.probedAt.Add(interval)
	}
	return t.searchedSince.Add(p.spread(interval))
}

// candidateInterval returns the time between two probes of a candidate. If the members
// lack room for a connection of each proxy, all proxies together send at most
// maxProbesPerSlot.
func (p *Prober) candidateInterval(ref types.TargetRef) time.Duration {
	g := p.view.Groups[ref.Service]
	m, _ := g.Target(ref.Name)
	interval := searchInterval
	if !p.keepsConnections(ref.Service) {
		interval = max(interval, p.sharedInterval(g, m))
	}
	if p.contended[ref] {
		interval *= contendedSlowdown
	}
	return interval
}

// urgentInterval returns the time between two probes of a primary that seems to fail, so
// that all proxies together send at most maxUrgentProbesPerSlot.
func (p *Prober) urgentInterval(ref types.TargetRef) time.Duration {
	g := p.view.Groups[ref.Service]
	m, _ := g.Target(ref.Name)
	return p.sharedInterval(g, m) * maxProbesPerSlot / maxUrgentProbesPerSlot
}

// sharedInterval returns the time between two probes of a member of a managed service at
// which all proxies together send maxProbesPerSlot.
func (p *Prober) sharedInterval(g *types.Group, m types.Target) time.Duration {
	slots := max(1, capacity.SlotsOf(p.view.Config.Services[g.Service], m))
	return time.Duration(p.fleet.Proxies) * time.Second / time.Duration(maxProbesPerSlot*slots)
}

// countRejection postpones the next probe of a target that rejected a connection because
// of its limit, by twice as long each time. The proxies wait for different times.
func (p *Prober) countRejection(e event.Probed, t *target, now types.Instant) {
	if !e.Full {
		t.rejections, t.fullUntil = 0, 0
		return
	}
	limit := max(t.interval, p.candidateInterval(e.Ref))
	delay := retry.ExponentialDelay(searchInterval, limit, t.rejections)
	t.rejections++
	t.fullUntil = now.Add(delay + p.spread(delay))
}

// spread returns a part of d, a different one for each proxy.
func (p *Prober) spread(d time.Duration) time.Duration {
	if p.fleet.Proxies == 0 {
		return 0
	}
	return d * time.Duration(p.fleet.Index) / time.Duration(p.fleet.Proxies)
}
