package probe

import (
	"maps"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// The primary of a managed service is probed only when its answers to requests
// don't show that it works.

// SetSuspects names the services whose primary failed a shard, so that another
// member may lead by now.
func (p *Prober) SetSuspects(suspects map[types.ServiceName]bool, now types.Instant) []effect.Effect {
	var out []effect.Effect
	for _, ref := range p.refs() {
		if t := p.targets[ref]; suspects[ref.Service] && !p.suspect[ref.Service] && t.pace != interval {
			t.suspectAt = now
			out = append(out, p.probe(ref, t, now)...)
		}
	}
	p.suspect = suspects
	return out
}

// SetServed tells when primaries last answered a request of a shard.
func (p *Prober) SetServed(served map[types.TargetRef]types.Instant) {
	for ref, at := range served {
		if t := p.targets[ref]; t != nil {
			t.served = max(t.served, at)
		}
	}
}

// SetSilent tells since when primaries answer no requests, whatever they answer
// to probes.
func (p *Prober) SetSilent(silent map[types.ServiceName]types.Instant) {
	if !maps.Equal(p.silent, silent) {
		p.news = true
	}
	p.silent = silent
}

// silentSince returns since when the target has been silent as a primary.
func (p *Prober) silentSince(ref types.TargetRef) (types.Instant, bool) {
	since, ok := p.silent[ref.Service]
	return since, ok && p.view.Groups[ref.Service].Primary == ref.Name
}

// seek probes a member of a managed service that is not the primary while
// another primary may have to be found.
func (p *Prober) seek(ref types.TargetRef, t *target, now types.Instant) []effect.Effect {
	if p.primaryWorks(ref.Service) || t.asked != 0 && now.Sub(t.asked) < seekInterval {
		return nil
	}
	return p.probe(ref, t, now)
}

// primaryWorks reports whether the primary of a service answers as such.
func (p *Prober) primaryWorks(name types.ServiceName) bool {
	g := p.view.Groups[name]
	t := p.targets[types.TargetRef{Service: name, Name: g.Primary}]
	if t == nil || p.suspect[name] || t.health.Failing {
		return false
	}
	return t.health.AskedAt == 0 || t.health.Primary && t.health.Term == g.TargetTerm()
}

// dueAt returns when the primary of a managed service is probed next. One that
// answers requests shows by that that it works.
func (p *Prober) dueAt(ref types.TargetRef, t *target) types.Instant {
	if !p.primaryWorks(ref.Service) {
		return t.asked.Add(seekInterval)
	}
	return max(t.asked, t.served, t.known).Add(t.pace)
}

// failedSince returns since when a target has failed whose probe just did. A
// primary that failed a request of a shard has since then.
func (p *Prober) failedSince(ref types.TargetRef, t *target, now types.Instant) types.Instant {
	if g := p.view.Groups[ref.Service]; p.suspect[ref.Service] && g.Primary == ref.Name && t.suspectAt > t.health.HeardAt {
		return t.suspectAt
	}
	return now
}
