package probe

import (
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// This file holds the rules for targets of managed services. The primary of a managed
// service is probed only if there were no recent answers to requests that show that
// it works.

// SetSuspects sets the services whose primary failed a request of a shard, so that
// another member may be the primary by now. It probes the members of each managed
// service that becomes suspect.
func (p *Prober) SetSuspects(suspects map[types.ServiceName]bool, now types.Instant) []effect.Effect {
	before := p.suspect
	p.suspect = suspects
	var out []effect.Effect
	for _, ref := range p.refs {
		t := p.targets[ref]
		if !suspects[ref.Service] || before[ref.Service] || t.interval == probeInterval {
			continue
		}
		t.suspectedAt = now
		if t.interval == 0 {
			out = append(out, p.probeCandidate(ref, t, now)...)
			continue
		}
		t.fullUntil = 0 // a request failed, so that its rejections no longer show that it works
		out = append(out, p.probe(ref, t, now)...)
	}
	return out
}

// hintedContactAge is how long ago a primary must have answered to be probed because it
// fails for other proxies.
const hintedContactAge = 200 * time.Millisecond

// SetFleet sets the place of this proxy among those that probe the same targets, and the
// services whose primary fails for some of them. It probes those that have not answered
// lately.
func (p *Prober) SetFleet(fleet types.Fleet, suspects []types.ServiceName, now types.Instant) []effect.Effect {
	if p.view == nil {
		return nil
	}
	if fleet.Proxies > 0 && fleet != p.fleet {
		p.fleet = fleet
		p.updateIntervals()
	}
	var out []effect.Effect
	for _, ref := range p.refs {
		t := p.targets[ref]
		if g := p.view.Groups[ref.Service]; g.Primary != ref.Name || !slices.Contains(suspects, ref.Service) {
			t.hintedSince = 0
			continue
		}
		if t.hintedSince == 0 {
			t.hintedSince = now
		}
		if now >= p.nextHintedProbeAt(ref, t) {
			out = append(out, p.probe(ref, t, now)...)
		}
	}
	return out
}

// nextHintedProbeAt returns when a primary that fails for other proxies is probed next.
// The first probe comes at once, unless the primary answered this proxy lately or is new:
// then the hint is about the one before it.
func (p *Prober) nextHintedProbeAt(ref types.TargetRef, t *target) types.Instant {
	wait := hintedContactAge
	if t.probedAt >= t.hintedSince {
		wait = max(wait, p.urgentInterval(ref))
	}
	return max(t.probedAt.Add(wait), t.lastAnsweredAt.Add(wait), t.health.LastContact.Add(wait), t.addedAt.Add(startupGrace))
}

// updateIntervals sets the intervals of the primaries of managed services again.
func (p *Prober) updateIntervals() {
	for _, g := range p.view.Groups {
		m, ok := g.Target(g.Primary)
		if t := p.targets[types.TargetRef{Service: g.Service, Name: g.Primary}]; ok && t != nil {
			t.interval = p.memberInterval(g, m)
		}
	}
}

// SetAnsweredAt sets when primaries last answered a request of a shard.
func (p *Prober) SetAnsweredAt(answeredAt map[types.TargetRef]types.Instant) {
	for ref, at := range answeredAt {
		if t := p.targets[ref]; t != nil {
			t.lastAnsweredAt = max(t.lastAnsweredAt, at)
		}
	}
}

// SetSilentSince sets since when primaries have answered no requests. These count as
// failing even if they answer probes.
func (p *Prober) SetSilentSince(silent map[types.ServiceName]types.Instant) {
	if !maps.Equal(p.silent, silent) {
		p.reportDue = true
	}
	p.silent = silent
}

// silentSince returns since when a target that is the primary has answered no
// requests, and whether that shows that it has failed.
func (p *Prober) silentSince(ref types.TargetRef, now types.Instant) (types.Instant, bool) {
	since, ok := p.silent[ref.Service]
	if !ok || p.view.Groups[ref.Service].Primary != ref.Name {
		return 0, false
	}
	return since, !p.mayAwaitReplicas(ref, since, now)
}

// maxReplicaWait is how long a primary that answers probes may wait for its replicas.
// Replacing it takes up to 3 s, so waiting for longer costs callers more than that.
const maxReplicaWait = 3 * time.Second

// mayAwaitReplicas reports whether a primary that answers no requests may be waiting for
// replicas to receive its commits: it has left no probe unanswered since then, and too few
// replicas are known to hold all that it holds.
func (p *Prober) mayAwaitReplicas(primary types.TargetRef, since, now types.Instant) bool {
	if !p.view.Config.Synchronous(primary.Service) || now.Sub(since) >= maxReplicaWait {
		return false
	}
	return p.targets[primary].unansweredAt < since && !p.replicasConfirm(primary, since)
}

// replicasConfirm reports whether as many replicas as confirm a commit hold all that the
// primary holds. Only what was learnt after since counts.
func (p *Prober) replicasConfirm(primary types.TargetRef, since types.Instant) bool {
	own := p.targets[primary]
	if own.statusAt < since {
		return false
	}
	holders := 0
	for _, m := range p.view.Groups[primary.Service].Members {
		h := p.targets[types.TargetRef{Service: primary.Service, Name: m.Name}].health
		if m.Name != primary.Name && h.ProbedAt >= since && h.Pos.Compare(own.health.Pos) >= 0 {
			holders++
		}
	}
	return holders >= p.view.Config.Services[primary.Service].SyncReplicas
}

// primaryHealthy reports whether the primary of a service answers and, if it was
// probed, reports itself as primary of the group's term.
func (p *Prober) primaryHealthy(name types.ServiceName) bool {
	g := p.view.Groups[name]
	t := p.targets[types.TargetRef{Service: name, Name: g.Primary}]
	if t == nil || p.suspect[name] || t.health.Failing {
		return false
	}
	if _, silent := p.silent[name]; silent && p.view.Config.Synchronous(name) {
		return false // the positions of all members show whether it waits for its replicas
	}
	return t.health.ProbedAt == 0 || t.health.Primary && t.health.Term == g.TargetTerm()
}

// nextProbeAt returns when the primary of a managed service is probed next. Answers to
// requests postpone the probe, as they show that the primary works.
func (p *Prober) nextProbeAt(ref types.TargetRef, t *target) types.Instant {
	if !p.primaryHealthy(ref.Service) {
		interval := max(searchInterval, p.urgentInterval(ref))
		if t.probedAt == 0 {
			return t.addedAt.Add(p.spread(interval - searchInterval))
		}
		return t.probedAt.Add(interval)
	}
	if t.probedAt == 0 && t.lastAnsweredAt == 0 {
		return t.addedAt.Add(t.interval - p.stagger(t.interval))
	}
	return max(t.probedAt, t.lastAnsweredAt).Add(t.interval)
}

// stagger returns by how much earlier this proxy begins to probe than after a whole
// interval, so that proxies that started together take turns.
func (p *Prober) stagger(interval time.Duration) time.Duration {
	if interval <= managedProbeInterval {
		return 0
	}
	return p.spread(interval)
}

// failedSince returns the start of the failure of a target whose probe failed at now.
// For a primary that failed a request of a shard before, it is the time at which the
// service became suspect.
func (p *Prober) failedSince(ref types.TargetRef, t *target, now types.Instant) types.Instant {
	if g := p.view.Groups[ref.Service]; p.suspect[ref.Service] && g.Primary == ref.Name && t.suspectedAt > t.health.LastContact {
		return t.suspectedAt
	}
	return now
}
