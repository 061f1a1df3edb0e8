package probe_test

import (
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/probe"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// limitedProber returns a prober of a managed service whose targets have 4 slots and
// accept 46 connections.
func limitedProber(primaryName types.TargetName, fleet types.Fleet) *probe.Prober {
	v := view(1, primaryName)
	v.Config = &types.Config{Services: map[types.ServiceName]types.Service{
		service: {Name: service, Managed: true, Connections: 46, Slots: 4},
	}}
	p := probe.New()
	p.SetView(v, 1000*ms)
	p.SetFleet(fleet, nil, 1000*ms)
	return p
}

// probesSince returns the probes of each target in the given time from 1000 ms on. answer
// makes the result of each.
func probesSince(p *probe.Prober, d time.Duration, answer func(effect.Probe) event.Probed) (map[types.TargetRef]int, bool) {
	count := make(map[types.TargetRef]int)
	closes := true
	for now := 1000 * ms; now < (1000 * ms).Add(d); now += 100 * ms {
		for _, eff := range p.Step(event.Input{Now: now, Event: tick}) {
			if e, ok := eff.(effect.Probe); ok {
				count[e.Ref]++
				closes = closes && e.Close
				probed := answer(e)
				probed.Ref, probed.ProbedAt = e.Ref, now
				p.Step(event.Input{Now: now + ms, Event: probed})
			}
		}
	}
	return count, closes
}

func replicaAnswers(effect.Probe) event.Probed {
	return event.Probed{Status: types.TargetStatus{Term: 1}}
}

func targetRejects(effect.Probe) event.Probed { return event.Probed{Busy: true, Full: true} }

// TestSearchIsBoundedByTheTargets covers a group without a primary: all proxies together
// ask a member of 4 slots 16 times a second, or less often if there are fewer proxies, and
// keep no connection if there are more proxies than the member has room for.
func TestSearchIsBoundedByTheTargets(t *testing.T) {
	const seconds = 200
	for _, proxies := range []int{4, 22, 34, 90, 300, 1300} {
		p := limitedProber("", types.Fleet{Proxies: proxies, Index: proxies - 1})
		count, closes := probesSince(p, seconds*time.Second, replicaAnswers)
		for ref, n := range count {
			all := float64(n*proxies) / seconds
			limit := 16.5
			if proxies <= 22 {
				limit = 5 * float64(proxies)
			}
			assert.Assert(t, all <= limit, "%d proxies probe %s %.1f times a second", proxies, ref, all)
			assert.Assert(t, all >= 9, "%d proxies probe %s %.1f times a second", proxies, ref, all)
		}
		assert.Equal(t, closes, proxies > 22, "%d proxies", proxies)
	}
}

// TestFirstSearchIsSpread covers a fleet whose proxies learn at the same time that a group
// has no primary.
func TestFirstSearchIsSpread(t *testing.T) {
	const proxies = 90
	atOnce := 0
	for i := range proxies {
		p := limitedProber("", types.Fleet{Proxies: proxies, Index: i})
		atOnce += len(probedTargets(p.Step(event.Input{Now: 1000 * ms, Event: tick})))
	}
	assert.Assert(t, atOnce <= 4, "%d of %d proxies probe at the same time", atOnce/2, proxies)
}

func TestUnknownFleetDoesNotSearchAGroupWithoutPrimary(t *testing.T) {
	p := limitedProber("", types.Fleet{})
	count, _ := probesSince(p, 10*time.Second, replicaAnswers)
	assert.Equal(t, len(count), 0)
}

// TestRejectedProbesComeLessOften covers a primary that is suspect and has no free
// connections.
func TestRejectedProbesComeLessOften(t *testing.T) {
	probes := func(answer func(effect.Probe) event.Probed) int {
		p := limitedProber("t1", types.Fleet{Proxies: 4, Index: 1})
		p.SetSuspects(map[types.ServiceName]bool{service: true}, 1000*ms)
		p.Step(event.Input{Now: 1001 * ms, Event: event.Probed{Ref: primary, ProbedAt: 1000 * ms, Busy: true}})
		count, _ := probesSince(p, 10*time.Second, answer)
		return count[primary]
	}
	accepted, rejected := probes(replicaAnswers), probes(targetRejects)
	assert.Assert(t, accepted >= 45, "%d probes that were accepted", accepted)
	assert.Assert(t, rejected <= 15, "%d probes that were rejected", rejected)
	assert.Assert(t, rejected >= 6, "%d probes that were rejected", rejected)
}

// TestContendedCandidatesAreProbedLessOften covers what other proxies found: a member has
// no free connections.
func TestContendedCandidatesAreProbedLessOften(t *testing.T) {
	p := limitedProber("", types.Fleet{Proxies: 90, Index: 1})
	p.SetShares(map[types.TargetRef]types.Share{replica: {Connections: 1, Contended: true}})
	count, _ := probesSince(p, 200*time.Second, replicaAnswers)
	assert.Assert(t, count[replica] <= count[primary]/3, "%v", count)
}

// TestSuspectPrimaryThatRejectedProbesIsProbedAtOnce covers a primary that crashes after it has rejected the
// connections of probes for a while.
func TestSuspectPrimaryThatRejectedProbesIsProbedAtOnce(t *testing.T) {
	for _, proxies := range []int{4, 30, 90} {
		p := limitedProber("t1", types.Fleet{Proxies: proxies, Index: proxies - 1})
		p.SetShares(map[types.TargetRef]types.Share{primary: {Connections: 1, Contended: true}})
		count, _ := probesSince(p, 120*time.Second, targetRejects)
		assert.Assert(t, count[primary] > 0)
		now := (1000 * ms).Add(120 * time.Second)
		for _, eff := range p.Step(event.Input{Now: now, Event: tick}) {
			if e, ok := eff.(effect.Probe); ok && e.Ref == primary {
				p.Step(event.Input{Now: now, Event: event.Probed{Ref: primary, ProbedAt: now, Busy: true, Full: true}})
			}
		}
		probed := probedTargets(p.SetSuspects(map[types.ServiceName]bool{service: true}, now+ms))
		assert.Assert(t, slices.Contains(probed, primary), "%d proxies: the primary is not probed", proxies)
	}
}
