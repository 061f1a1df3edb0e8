// Package probe asks the targets of each group, again and again, where they
// stand, and works out how fresh each replica is.
package probe

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/freshness"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Times of probes.
const (
	// interval is the time between two probes of a target.
	interval = 100 * time.Millisecond
	// managedInterval is how long the primary of a managed service may have
	// answered nothing until it is probed. Its replicas are not probed.
	managedInterval = time.Second
	// seekInterval is the time between two probes of the members of a managed
	// service while its primary is missing, fails or says that it is none. All
	// proxies do so at once: half of the usual rate spares the members.
	seekInterval = 200 * time.Millisecond
	// timeout is how long a target may take to answer.
	timeout = 250 * time.Millisecond
	// demandInterval is the least time between two probes of a target whose
	// position a shard waits for.
	demandInterval = 2 * time.Millisecond
	// lostAfter is when a probe without any result is taken as lost.
	lostAfter = 4 * timeout
)

// Bounds of a primary's failure, as a proxy reports it.
const (
	// FailingBound is how long probes have to fail without a success.
	FailingBound = 300 * time.Millisecond
	// SilentBound is how long a target has to be silent.
	SilentBound = 500 * time.Millisecond
)

// startGrace is how long the primary of a managed service may fail the probes of a
// proxy that has just learnt of it. 32 proxies whose new connections take 27 ms of
// 6 slots each, several at a time, are done within a second.
const startGrace = time.Second

// Keys of the prober's timers.
const (
	timerAll uint64 = iota
	timerDemand
)

// Prober holds what one proxy knows of the targets from its own probes. The
// node part of a proxy steps it.
type Prober struct {
	view    *types.ClusterView
	targets map[types.TargetRef]*target
	samples map[types.ServiceName]*freshness.Samples
	waiting map[types.ServiceName]bool
	suspect map[types.ServiceName]bool          // services whose primary failed a shard
	silent  map[types.ServiceName]types.Instant // since when primaries answer no requests
	demand  bool                                // the demand timer is armed
	news    bool                                // control should hear of a change at once
}

// target is what is known of one target.
type target struct {
	address   types.Address
	health    types.TargetHealth
	known     types.Instant // when the target appeared
	asked     types.Instant // when the last probe was sent; zero before that
	told      alarm         // what control was told at once
	served    types.Instant // when it last answered a request of a shard
	underWay  bool
	suspectAt types.Instant // when a request on the primary last failed a shard
	pace      time.Duration // time between two probes while it answers; zero for none
}

// alarm is how far the failure of a target has come.
type alarm uint8

// The alarms, in rising order.
const (
	alarmNone    alarm = iota
	alarmFailing       // a probe failed
	alarmFailed        // FailingBound or SilentBound was reached
)

// New returns a prober without targets.
func New() *Prober {
	return &Prober{
		targets: make(map[types.TargetRef]*target),
		samples: make(map[types.ServiceName]*freshness.Samples),
		waiting: make(map[types.ServiceName]bool),
	}
}

// Step takes in one event.
func (p *Prober) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.Start:
		return p.probeAll(in.Now)
	case event.TimerFired:
		if e.ID.Domain == event.DomainProbe {
			return p.timer(in.Now, e.ID.Key)
		}
	case event.Probed:
		return p.probed(in.Now, e)
	}
	return nil
}

// SetView follows the members and primaries of a new cluster view.
func (p *Prober) SetView(view *types.ClusterView, now types.Instant) []effect.Effect {
	p.view = view
	var out []effect.Effect
	seen := make(map[types.TargetRef]bool)
	for _, name := range slices.Sorted(maps.Keys(view.Groups)) {
		g := view.Groups[name]
		if p.samples[name] == nil {
			p.samples[name] = new(freshness.Samples)
		}
		p.samples[name].SetPrimary(g.Primary, g.TargetTerm())
		for _, m := range g.Members {
			ref := types.TargetRef{Service: name, Name: m.Name}
			seen[ref] = true
			out = append(out, p.add(ref, m, pace(view, g, m.Name), now)...)
		}
	}
	maps.DeleteFunc(p.samples, func(name types.ServiceName, _ *freshness.Samples) bool { return view.Groups[name] == nil })
	maps.DeleteFunc(p.targets, func(ref types.TargetRef, _ *target) bool { return !seen[ref] })
	return out
}

// pace returns the time between two probes of a member, zero for none.
func pace(view *types.ClusterView, g *types.Group, name types.TargetName) time.Duration {
	switch {
	case !view.Config.Managed(g.Service):
		return interval
	case name == g.Primary:
		return managedInterval
	}
	return 0
}

// add takes in a member of a group and probes it if it is new, or was not
// probed so far.
func (p *Prober) add(ref types.TargetRef, m types.Target, pace time.Duration, now types.Instant) []effect.Effect {
	t := p.targets[ref]
	if t != nil && t.address == m.Address && (t.pace != 0 || pace == 0) {
		t.pace = pace
		return nil
	}
	t = &target{address: m.Address, known: now, pace: pace}
	p.targets[ref] = t
	if pace != interval {
		return nil
	}
	return p.probe(ref, t, now)
}

// SetWaiting names the services whose positions a shard waits for.
func (p *Prober) SetWaiting(waiting map[types.ServiceName]bool, now types.Instant) []effect.Effect {
	p.waiting = waiting
	if len(waiting) == 0 {
		return nil
	}
	return p.probeWaiting(now)
}

func (p *Prober) refs() []types.TargetRef {
	return slices.SortedFunc(maps.Keys(p.targets), func(a, b types.TargetRef) int {
		return strings.Compare(a.String(), b.String())
	})
}

func (p *Prober) timer(now types.Instant, key uint64) []effect.Effect {
	if key == timerAll {
		return p.probeAll(now)
	}
	p.demand = false
	return p.probeWaiting(now)
}

func (p *Prober) probeAll(now types.Instant) []effect.Effect {
	out := []effect.Effect{arm(timerAll, now.Add(interval))}
	for _, ref := range p.refs() {
		t := p.targets[ref]
		if t.pace == 0 {
			out = append(out, p.seek(ref, t, now)...)
			continue
		}
		p.notice(t, now)
		if t.pace == interval || t.health.Failing || p.dueAt(ref, t) <= now {
			out = append(out, p.probe(ref, t, now)...)
		}
	}
	return out
}

// probeWaiting probes the targets whose positions are waited for, except those
// that were asked a moment ago: a timer comes back to them. A failing target
// is left to the usual interval.
func (p *Prober) probeWaiting(now types.Instant) []effect.Effect {
	var out []effect.Effect
	var next types.Instant
	for _, ref := range p.refs() {
		t := p.targets[ref]
		if !p.waiting[ref.Service] || t.underWay || t.health.Failing {
			continue
		}
		if at := t.asked.Add(demandInterval); t.asked != 0 && now < at {
			next = earliest(next, at)
			continue
		}
		out = append(out, p.probe(ref, t, now)...)
	}
	if next != 0 && !p.demand {
		p.demand = true
		out = append(out, arm(timerDemand, next))
	}
	return out
}

func earliest(a, b types.Instant) types.Instant {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// probe asks one target unless a probe of it is under way.
func (p *Prober) probe(ref types.TargetRef, t *target, now types.Instant) []effect.Effect {
	if t.underWay && now.Sub(t.asked) < lostAfter {
		return nil
	}
	t.underWay, t.asked = true, now
	return []effect.Effect{effect.Probe{Ref: ref, Address: t.address, Timeout: timeout}}
}

func (p *Prober) probed(now types.Instant, e event.Probed) []effect.Effect {
	t := p.targets[e.Ref]
	if t == nil {
		return nil
	}
	t.underWay = false
	if e.Err != nil {
		if !t.health.Failing {
			t.health.Failing, t.health.FailedAt = true, p.failedSince(e.Ref, t, now)
		}
		p.notice(t, now)
		return nil
	}
	t.health.Failing, t.health.FailedAt = false, 0
	t.health.HeardAt = now
	if e.Busy {
		p.notice(t, now)
		if e.Status.Pos != (types.LogPos{}) && e.Status.Pos.Compare(t.health.Pos) >= 0 && t.health.AskedAt != 0 {
			t.health.AskedAt, t.health.Pos = e.AskedAt, e.Status.Pos
			p.refresh(e.Ref, t)
		}
		return nil
	}
	t.health.AskedAt = e.AskedAt
	if e.Status.Pos.Compare(t.health.Pos) < 0 {
		t.health.FreshAt = 0
	}
	if t.health.Term != e.Status.Term || t.health.Primary != e.Status.Primary {
		p.news = true
	}
	t.health.Term, t.health.Primary, t.health.Pos = e.Status.Term, e.Status.Primary, e.Status.Pos
	p.refresh(e.Ref, t)
	p.notice(t, now)
	if !p.waiting[e.Ref.Service] {
		return nil
	}
	return p.probeWaiting(now)
}

func arm(key uint64, at types.Instant) effect.Effect {
	return effect.ArmTimer{ID: event.TimerID{Domain: event.DomainProbe, Key: key}, At: at}
}
