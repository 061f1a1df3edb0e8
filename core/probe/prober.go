// Package probe periodically queries the role, term and log position of the
// targets of each group, and determines how fresh each replica is.
package probe

import (
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/freshness"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Intervals and timeouts of probes.
const (
	// probeInterval is the time between two probes of a target.
	probeInterval = 100 * time.Millisecond
	// managedProbeInterval is the minimum time after the last answer of a managed
	// service's primary to a request or probe at which it is probed. Replicas of managed
	// services are not probed regularly.
	managedProbeInterval = time.Second
	// maxProbesPerSlot bounds the probes that all proxies together send to a managed
	// primary in a second, for each of its slots. Each may take a new connection, which
	// takes 12 ms of a slot.
	maxProbesPerSlot = 4
	// maxUrgentProbesPerSlot is the same for a primary that seems to fail.
	maxUrgentProbesPerSlot = 16
	// searchInterval is the minimum time between two probes of a member of a managed
	// service while the primary is missing, fails or doesn't report itself as
	// primary. All proxies probe the primary at the same time, so the rate is half
	// of the regular one to limit the load.
	searchInterval = 200 * time.Millisecond
	// probeTimeout is how long a target may take to answer.
	probeTimeout = 250 * time.Millisecond
	// demandInterval is the minimum time between two probes of a target whose
	// position a shard waits for.
	demandInterval = 2 * time.Millisecond
	// probeLostAfter is the time after which a probe without a result counts as
	// lost, so that the target is probed again.
	probeLostAfter = 4 * probeTimeout
)

// Thresholds above which a target that a proxy reports counts as unreachable.
const (
	// FailingThreshold is the time for which probes fail without a success.
	FailingThreshold = 300 * time.Millisecond
	// SilentThreshold is the time since the last answer.
	SilentThreshold = 500 * time.Millisecond
)

// startupGrace is the time after a target was added during which failed probes of a
// managed service's primary don't count as a failure. When everything restarts, the
// connections of 32 proxies, several of each proxy, take 27 ms of one of 6 slots
// each, and all are open within a second.
const startupGrace = time.Second

// Keys of the prober's timers.
const (
	timerAll uint64 = iota
	timerDemand
)

// Prober schedules the probes of one proxy and keeps their results. Package node
// forwards events to it.
type Prober struct {
	view        *types.ClusterView
	targets     map[types.TargetRef]*target
	refs        []types.TargetRef // of targets, in order
	samples     map[types.ServiceName]*freshness.Samples
	waiting     map[types.ServiceName]bool
	suspect     map[types.ServiceName]bool          // services whose primary failed a request of a shard
	silent      map[types.ServiceName]types.Instant // since when primaries answer no requests
	fleet       types.Fleet                         // place among the proxies that probe the same targets
	contended   map[types.TargetRef]bool            // targets without free connections, as the leader says
	demandArmed bool                                // the timer of demandInterval is armed
	reportDue   bool                                // a change has to be reported to control at once
}

// target is the state of one target as this proxy observes it.
type target struct {
	address        types.Address
	health         types.TargetHealth
	addedAt        types.Instant // when the target was added at its current address
	probedAt       types.Instant // when the last probe was sent, or zero
	reportedAlarm  alarm         // alarm at the last check for a report
	lastAnsweredAt types.Instant // when the target last answered a request of a shard, or zero
	unansweredAt   types.Instant // when it last left a probe unanswered whose connection it accepted, or zero
	statusAt       types.Instant // when it last answered a probe with its status
	inFlight       bool
	suspectedAt    types.Instant // when the service last became suspect, see SetSuspects
	interval       time.Duration // time between two probes while it answers; zero if it isn't probed regularly
	term           types.Term    // of the group, in the view
	changedAt      types.Instant // when its alarm, term or role changed last
	termSince      types.Instant // when the view of the group's term was applied
	reportedAt     types.Instant // when it was last reported to control, or zero
	hintedSince    types.Instant // since when it is known to fail for another proxy, or zero
	searchedSince  types.Instant // since when it may have become the primary, or zero; of managed services
	rejections     int           // consecutive probes whose connection it rejected because of its limit
	fullUntil      types.Instant // it gets no probe before, since it rejected the last one
}

// alarm is the stage of a target's failure.
type alarm uint8

// The stages of a failure, in order of severity.
const (
	alarmNone    alarm = iota
	alarmFailing       // the last probe failed
	alarmFailed        // FailingThreshold or SilentThreshold was reached
)

// New returns a prober without targets.
func New() *Prober {
	return &Prober{
		targets: make(map[types.TargetRef]*target),
		samples: make(map[types.ServiceName]*freshness.Samples),
		waiting: make(map[types.ServiceName]bool),
	}
}

// Step processes one event.
func (p *Prober) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.Start:
		return p.probeAll(in.Now)
	case event.TimerFired:
		if e.ID.Domain == event.DomainProbe {
			return p.handleTimer(in.Now, e.ID.Key)
		}
	case event.Probed:
		return p.handleProbed(in.Now, e)
	}
	return nil
}

// SetView applies what a new cluster view changes of the members and primaries.
func (p *Prober) SetView(view *types.ClusterView, now types.Instant) []effect.Effect {
	old := p.view
	if old == nil {
		old = &types.ClusterView{}
	}
	p.view = view
	known := len(p.targets)
	removed := p.dropTargets(old)
	var changed []types.ServiceName
	for name, g := range view.Groups {
		if g != old.Groups[name] || view.Config != old.Config {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	var out []effect.Effect
	for _, name := range changed {
		out = append(out, p.setGroup(view.Groups[name], now)...)
	}
	if removed > 0 || len(p.targets) != known {
		p.refs = sortedRefs(p.targets)
	}
	return out
}

// setGroup applies the members and the primary of a group.
func (p *Prober) setGroup(g *types.Group, now types.Instant) []effect.Effect {
	if p.samples[g.Service] == nil {
		p.samples[g.Service] = new(freshness.Samples)
	}
	p.samples[g.Service].SetPrimary(g.Primary, g.TargetTerm())
	var out []effect.Effect
	for _, m := range g.Members {
		ref := types.TargetRef{Service: g.Service, Name: m.Name}
		out = append(out, p.addMember(ref, m, p.memberInterval(g, m), now)...)
		if t := p.targets[ref]; t.term != g.Term {
			t.term, t.termSince = g.Term, now
		}
	}
	return out
}

// dropTargets drops the targets of an earlier view that are no longer members, and
// returns their number.
func (p *Prober) dropTargets(old *types.ClusterView) int {
	dropped := 0
	for name, before := range old.Groups {
		g := p.view.Groups[name]
		if g == before {
			continue
		}
		if g == nil {
			delete(p.samples, name)
			g = &types.Group{}
		}
		for _, m := range before.Members {
			if _, ok := g.Target(m.Name); !ok {
				delete(p.targets, types.TargetRef{Service: name, Name: m.Name})
				dropped++
			}
		}
	}
	return dropped
}

// memberInterval returns the time between two probes of a member, or zero if it
// isn't probed regularly.
func (p *Prober) memberInterval(g *types.Group, m types.Target) time.Duration {
	switch {
	case !p.view.Config.Managed(g.Service):
		return probeInterval
	case m.Name == g.Primary:
		return max(managedProbeInterval, p.sharedInterval(g, m))
	}
	return 0
}

// addMember adds a member of a group, or updates its interval. A member that is new,
// has a new address or is regularly probed from now on is probed at once, except the
// primary of a managed service.
func (p *Prober) addMember(ref types.TargetRef, m types.Target, interval time.Duration, now types.Instant) []effect.Effect {
	t := p.targets[ref]
	if t != nil && t.address == m.Address && (t.interval != 0 || interval == 0) {
		t.interval = interval
		return nil
	}
	t = &target{address: m.Address, addedAt: now, changedAt: now, interval: interval}
	p.targets[ref] = t
	if interval != probeInterval {
		return nil
	}
	return p.probe(ref, t, now)
}

// SetWaiting sets the services for whose log positions a shard waits, and probes
// their targets.
func (p *Prober) SetWaiting(waiting map[types.ServiceName]bool, now types.Instant) []effect.Effect {
	p.waiting = waiting
	if len(waiting) == 0 {
		return nil
	}
	return p.probeWaiting(now)
}

func sortedRefs(targets map[types.TargetRef]*target) []types.TargetRef {
	return slices.SortedFunc(maps.Keys(targets), types.TargetRef.Compare)
}

func (p *Prober) handleTimer(now types.Instant, key uint64) []effect.Effect {
	if key == timerAll {
		return p.probeAll(now)
	}
	p.demandArmed = false
	return p.probeWaiting(now)
}

func (p *Prober) probeAll(now types.Instant) []effect.Effect {
	out := []effect.Effect{arm(timerAll, now.Add(probeInterval))}
	for _, ref := range p.refs {
		t := p.targets[ref]
		if t.interval == 0 {
			out = append(out, p.probeCandidate(ref, t, now)...)
			continue
		}
		p.updateAlarm(t, now)
		if t.interval == probeInterval || t.health.Failing || p.nextProbeAt(ref, t) <= now {
			out = append(out, p.probe(ref, t, now)...)
		}
	}
	return out
}

// probeWaiting probes the targets whose positions a shard waits for. Those probed
// less than demandInterval ago are left to a timer, and failing targets to the
// regular interval.
func (p *Prober) probeWaiting(now types.Instant) []effect.Effect {
	var out []effect.Effect
	var next types.Instant
	for _, ref := range p.refs {
		t := p.targets[ref]
		if !p.waiting[ref.Service] || t.inFlight || t.health.Failing {
			continue
		}
		if at := t.probedAt.Add(demandInterval); t.probedAt != 0 && now < at {
			next = earliest(next, at)
			continue
		}
		out = append(out, p.probe(ref, t, now)...)
	}
	if next != 0 && !p.demandArmed {
		p.demandArmed = true
		out = append(out, arm(timerDemand, next))
	}
	return out
}

// earliest returns the earlier of two instants; a zero a means none.
func earliest(a, b types.Instant) types.Instant {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// probe sends a probe to one target unless another one is in flight.
func (p *Prober) probe(ref types.TargetRef, t *target, now types.Instant) []effect.Effect {
	if now < t.fullUntil || t.inFlight && now.Sub(t.probedAt) < probeLostAfter {
		return nil
	}
	t.inFlight, t.probedAt = true, now
	return []effect.Effect{effect.Probe{Ref: ref, Address: t.address, Timeout: probeTimeout, Close: !p.keepsConnections(ref.Service)}}
}

// handleProbed applies the result of a probe. A busy target may answer with its log
// position only or with nothing, which leaves the known term and role as they are.
func (p *Prober) handleProbed(now types.Instant, e event.Probed) []effect.Effect {
	t := p.targets[e.Ref]
	if t == nil {
		return nil
	}
	t.inFlight = false
	if e.Err != nil {
		if !t.health.Failing {
			t.health.Failing, t.health.FailingSince = true, p.failedSince(e.Ref, t, now)
		}
		p.updateAlarm(t, now)
		return nil
	}
	t.health.Failing, t.health.FailingSince = false, 0
	t.health.LastContact = now
	p.countRejection(e, t, now)
	if e.Unanswered {
		t.unansweredAt = now
	}
	if e.Busy {
		p.updateAlarm(t, now)
		if e.Status.Pos != (types.LogPos{}) && e.Status.Pos.Compare(t.health.Pos) >= 0 && t.health.ProbedAt != 0 {
			t.health.ProbedAt, t.health.Pos = e.ProbedAt, e.Status.Pos
			p.updateFreshness(e.Ref, t)
		}
		return nil
	}
	t.health.ProbedAt, t.statusAt = e.ProbedAt, now
	if e.Status.Pos.Compare(t.health.Pos) < 0 {
		t.health.FreshAt = 0
	}
	if t.health.Term != e.Status.Term || t.health.Primary != e.Status.Primary {
		p.reportDue, t.changedAt = true, now
	}
	t.health.Term, t.health.Primary, t.health.Pos = e.Status.Term, e.Status.Primary, e.Status.Pos
	p.updateFreshness(e.Ref, t)
	p.updateAlarm(t, now)
	if !p.waiting[e.Ref.Service] {
		return nil
	}
	return p.probeWaiting(now)
}

func arm(key uint64, at types.Instant) effect.Effect {
	return effect.ArmTimer{ID: event.TimerID{Domain: event.DomainProbe, Key: key}, At: at}
}
