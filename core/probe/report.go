package probe

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// TakeNews reports whether control should hear at once of what happened since
// the last call: a target began to fail, failed for long, or came back.
func (p *Prober) TakeNews() bool {
	news := p.news
	p.news = false
	return news
}

// notice remembers a change of a target's alarm for TakeNews.
func (p *Prober) notice(t *target, now types.Instant) {
	if level := t.alarm(now); level != t.told {
		t.told, p.news = level, true
	}
}

func (t *target) alarm(now types.Instant) alarm {
	switch {
	case t.health.Failing && t.failingFor(now) >= FailingBound, t.heardAgo(now) >= SilentBound:
		return alarmFailed
	case t.health.Failing:
		return alarmFailing
	}
	return alarmNone
}

// heardAgo returns the time since the last answer, as if the target were probed
// at the shortest interval.
func (t *target) heardAgo(now types.Instant) time.Duration {
	return now.Sub(max(t.health.HeardAt, t.served, t.known)) - max(0, t.pace-interval)
}

// failingFor returns for how long a failing target has shown no life, neither to
// probes nor to requests. After a restart of everything, when all proxies connect
// at once, the primary of a managed service has startGrace to begin with.
func (t *target) failingFor(now types.Instant) time.Duration {
	since := max(t.health.FailedAt, t.served)
	if t.pace == managedInterval {
		since = max(since, t.known.Add(startGrace))
	}
	return max(0, now.Sub(since))
}

// Health returns what is known of each target.
func (p *Prober) Health() map[types.TargetRef]types.TargetHealth {
	out := make(map[types.TargetRef]types.TargetHealth, len(p.targets))
	for ref, t := range p.targets {
		out[ref] = t.health
	}
	return out
}

// Reports returns what control is told of the targets that there is something to
// tell of, in order of target.
func (p *Prober) Reports(now types.Instant) []proto.TargetReport {
	out := make([]proto.TargetReport, 0, len(p.targets))
	for _, ref := range p.refs() {
		t := p.targets[ref]
		silentSince, silent := p.silentSince(ref)
		if !silent && t.unknown(now) {
			continue
		}
		r := proto.TargetReport{
			Ref:      ref,
			Status:   p.status(ref, t),
			Failing:  t.health.Failing,
			HeardAgo: t.heardAgo(now),
		}
		if r.Failing {
			r.FailingFor = t.failingFor(now)
		}
		if silent {
			r.Failing, r.FailingFor = true, max(r.FailingFor, now.Sub(silentSince))
		}
		out = append(out, r)
	}
	return out
}

// status returns what a target last said of itself. A primary that was not asked
// yet shows by its answers to requests that it is one.
func (p *Prober) status(ref types.TargetRef, t *target) types.TargetStatus {
	if g := p.view.Groups[ref.Service]; t.health.AskedAt == 0 && t.served != 0 && g.Primary == ref.Name {
		return types.TargetStatus{Term: g.TargetTerm(), Primary: true}
	}
	return types.TargetStatus{Term: t.health.Term, Primary: t.health.Primary, Pos: t.health.Pos}
}

// unknown reports whether nothing current is known of the target: it is probed on
// occasion only, or has not been for long enough to say that it is silent.
func (t *target) unknown(now types.Instant) bool {
	switch {
	case t.health.Failing:
		return false
	case t.pace == 0:
		return t.health.HeardAt == 0 || now.Sub(t.health.HeardAt) > SilentBound
	}
	return t.health.AskedAt == 0 && t.served == 0 && t.heardAgo(now) < SilentBound
}
