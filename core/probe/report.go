package probe

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// What control hears of healthy targets of managed services.
const (
	// newsDuration is how long a change is repeated, since a request may be lost.
	newsDuration = time.Second
	// repeatInterval is the minimum time between two reports of a target that has not
	// changed. Regular requests are further apart, early ones may be many.
	repeatInterval = 250 * time.Millisecond
	// reportRefresh is the time after which a target is reported although nothing has
	// changed, for a new control leader and for operators.
	reportRefresh = 3 * time.Second
)

// TakeReportDue reports whether a change since the last call has to be reported to control
// at once: a target began to fail, reached FailingThreshold or SilentThreshold, recovered or
// changed its term or role, or the set of silent primaries changed.
func (p *Prober) TakeReportDue() bool {
	due := p.reportDue
	p.reportDue = false
	return due
}

// updateAlarm makes a report due if the alarm of a target has changed.
func (p *Prober) updateAlarm(t *target, now types.Instant) {
	if current := t.alarm(now); current != t.reportedAlarm {
		t.reportedAlarm, t.changedAt, p.reportDue = current, now, true
	}
}

// alarm returns the stage of the target's failure.
func (t *target) alarm(now types.Instant) alarm {
	switch {
	case t.health.Failing && t.failingFor(now) >= FailingThreshold, t.sinceLastContact(now) >= SilentThreshold:
		return alarmFailed
	case t.health.Failing:
		return alarmFailing
	}
	return alarmNone
}

// sinceLastContact returns the time since the last answer, less the time by which the
// target's interval exceeds probeInterval, so that a target that is probed less often
// doesn't count as silent between two probes.
func (t *target) sinceLastContact(now types.Instant) time.Duration {
	return now.Sub(max(t.health.LastContact, t.lastAnsweredAt, t.addedAt)) - max(0, t.interval-probeInterval)
}

// failingFor returns for how long a failing target has answered neither probes nor
// requests. For the primary of a managed service the time starts after startupGrace,
// since all proxies connect to it at once when everything restarts.
func (t *target) failingFor(now types.Instant) time.Duration {
	since := max(t.health.FailingSince, t.lastAnsweredAt)
	if t.interval >= managedProbeInterval {
		since = max(since, t.addedAt.Add(startupGrace))
	}
	return max(0, now.Sub(since))
}

// Health returns the health of each target.
func (p *Prober) Health() map[types.TargetRef]types.TargetHealth {
	out := make(map[types.TargetRef]types.TargetHealth, len(p.targets))
	for ref, t := range p.targets {
		out[ref] = t.health
	}
	return out
}

// Reports returns the reports to control, in order of target. Targets without a
// current status are left out, and targets of managed services without news.
func (p *Prober) Reports(now types.Instant) []proto.TargetReport {
	out := make([]proto.TargetReport, 0, len(p.targets))
	for _, ref := range p.refs {
		t := p.targets[ref]
		silentSince, silent := p.silentSince(ref, now)
		if !silent && (t.lacksCurrentStatus(now) || p.answeredBeforeTerm(ref, t, now) || !p.hasNews(ref, t, now)) {
			continue
		}
		t.reportedAt = now
		r := proto.TargetReport{
			Ref:              ref,
			Status:           p.status(ref, t),
			Failing:          t.health.Failing,
			SinceLastContact: t.sinceLastContact(now),
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

// hasNews reports whether control has to hear of a target: it is not healthy, or was
// so until recently, or its last report is old. Targets that are probed at the regular
// interval always have news, since their positions count.
func (p *Prober) hasNews(ref types.TargetRef, t *target, now types.Instant) bool {
	switch {
	case t.interval == probeInterval:
		return true
	case t.changedAt < t.reportedAt && now.Sub(t.reportedAt) < repeatInterval:
		return false
	case t.health.Failing, t.sinceLastContact(now) >= SilentThreshold:
		return true
	case now.Sub(t.changedAt) < newsDuration, now.Sub(t.reportedAt) >= reportRefresh:
		return true
	}
	g := p.view.Groups[ref.Service]
	s := p.status(ref, t)
	return s.Term != g.TargetTerm() || s.Primary != (ref.Name == g.Primary)
}

// status returns the status that a target last reported. A primary that has answered
// no probe yet but has answered requests counts as primary of the group's term.
func (p *Prober) status(ref types.TargetRef, t *target) types.TargetStatus {
	if g := p.view.Groups[ref.Service]; t.health.ProbedAt == 0 && t.lastAnsweredAt != 0 && g.Primary == ref.Name {
		return types.TargetStatus{Term: g.TargetTerm(), Primary: true}
	}
	return types.TargetStatus{Term: t.health.Term, Primary: t.health.Primary, Pos: t.health.Pos}
}

// answeredBeforeTerm reports whether a target that has not failed was last probed before
// this proxy applied the view of the group's term. Such an answer shows an earlier term,
// which says nothing about the target now.
func (p *Prober) answeredBeforeTerm(ref types.TargetRef, t *target, now types.Instant) bool {
	if t.health.Failing || t.sinceLastContact(now) >= SilentThreshold {
		return false
	}
	return t.health.ProbedAt != 0 && t.health.ProbedAt < t.termSince && p.status(ref, t).Term != p.view.Groups[ref.Service].TargetTerm()
}

// lacksCurrentStatus reports whether there is nothing current to report of a target:
// it isn't probed regularly and hasn't answered recently, or it hasn't answered yet and
// was added less than SilentThreshold ago.
func (t *target) lacksCurrentStatus(now types.Instant) bool {
	switch {
	case t.health.Failing:
		return false
	case t.interval == 0:
		return t.health.LastContact == 0 || now.Sub(t.health.LastContact) > SilentThreshold
	}
	return t.health.ProbedAt == 0 && t.lastAnsweredAt == 0 && t.sinceLastContact(now) < SilentThreshold
}
