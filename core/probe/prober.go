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
	"github.com/camphorpaddle/camphorpaddle/core/proto"
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
	// service while its primary is missing, fails or says that it is none.
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
		p.samples[name].Follow(g.Primary, g.TargetTerm())
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

// SetSilent tells since when primaries answer no requests, whatever they answer
// to probes.
func (p *Prober) SetSilent(silent map[types.ServiceName]types.Instant) {
	if !maps.Equal(p.silent, silent) {
		p.news = true
	}
	p.silent = silent
}

// SetServed tells when primaries last answered a request of a shard.
func (p *Prober) SetServed(served map[types.TargetRef]types.Instant) {
	for ref, at := range served {
		if t := p.targets[ref]; t != nil {
			t.served = max(t.served, at)
		}
	}
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

// SetWaiting names the services whose positions a shard waits for.
func (p *Prober) SetWaiting(waiting map[types.ServiceName]bool, now types.Instant) []effect.Effect {
	p.waiting = waiting
	if len(waiting) == 0 {
		return nil
	}
	return p.probeWaiting(now)
}

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
		_, silent := p.silentSince(ref)
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
		if since, ok := p.silentSince(ref); ok {
			r.Failing, r.FailingFor = true, max(r.FailingFor, now.Sub(since))
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

// dueAt returns when the primary of a managed service is probed next. One that
// answers requests shows by that that it works.
func (p *Prober) dueAt(ref types.TargetRef, t *target) types.Instant {
	if !p.primaryWorks(ref.Service) {
		return t.asked.Add(seekInterval)
	}
	return max(t.asked, t.served, t.known).Add(t.pace)
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

// failedSince returns since when a target has failed whose probe just did. A
// primary that failed a request of a shard has since then.
func (p *Prober) failedSince(ref types.TargetRef, t *target, now types.Instant) types.Instant {
	if g := p.view.Groups[ref.Service]; p.suspect[ref.Service] && g.Primary == ref.Name && t.suspectAt > t.health.HeardAt {
		return t.suspectAt
	}
	return now
}

func arm(key uint64, at types.Instant) effect.Effect {
	return effect.ArmTimer{ID: event.TimerID{Domain: event.DomainProbe, Key: key}, At: at}
}
