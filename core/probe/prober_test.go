package probe_test

import (
	"errors"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/probe"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	ms      = types.Instant(time.Millisecond)
	service = types.ServiceName("a")
)

var (
	primary = types.TargetRef{Service: service, Name: "t1"}
	replica = types.TargetRef{Service: service, Name: "t2"}
)

func view(term types.Term, primaryName types.TargetName) *types.ClusterView {
	return &types.ClusterView{Version: uint64(term), Groups: map[types.ServiceName]*types.Group{service: {
		Service: service, Term: term, Phase: types.GroupServing, Primary: primaryName,
		Members: []types.Target{{Name: "t1", Address: "1"}, {Name: "t2", Address: "2"}},
	}}}
}

func newProber(now types.Instant) (*probe.Prober, []effect.Effect) {
	p := probe.New()
	return p, p.SetView(view(1, "t1"), now)
}

func answerProbe(p *probe.Prober, ref types.TargetRef, sentAt, now types.Instant, offset uint64) []effect.Effect {
	return p.Step(event.Input{Now: now, Event: event.Probed{Ref: ref, ProbedAt: sentAt, Status: types.TargetStatus{
		Term: 1, Primary: ref == primary, Pos: types.LogPos{Term: 1, Offset: offset},
	}}})
}

func probedTargets(effects []effect.Effect) []types.TargetRef {
	var out []types.TargetRef
	for _, eff := range effects {
		if e, ok := eff.(effect.Probe); ok {
			out = append(out, e.Ref)
		}
	}
	return out
}

func TestOneProbeOfATargetAtATime(t *testing.T) {
	p, first := newProber(1000 * ms)
	assert.DeepEqual(t, probedTargets(first), []types.TargetRef{primary, replica})
	assert.Equal(t, len(probedTargets(p.Step(event.Input{Now: 1050 * ms, Event: tick}))), 0)
	answerProbe(p, primary, 1000*ms, 1060*ms, 1)
	again := p.Step(event.Input{Now: 1100 * ms, Event: tick})
	assert.DeepEqual(t, probedTargets(again), []types.TargetRef{primary})
}

func TestProbesOnDemand(t *testing.T) {
	p, _ := newProber(1000 * ms)
	p.SetWaiting(map[types.ServiceName]bool{service: true}, 1000*ms)
	assert.DeepEqual(t, probedTargets(answerProbe(p, primary, 1000*ms, 1003*ms, 1)), []types.TargetRef{primary})
	soon := answerProbe(p, primary, 1003*ms, 1004*ms, 1)
	assert.Equal(t, len(probedTargets(soon)), 0)
	assert.Equal(t, soon[0].(effect.ArmTimer).At, 1005*ms)
	fired := event.TimerFired{ID: soon[0].(effect.ArmTimer).ID}
	assert.DeepEqual(t, probedTargets(p.Step(event.Input{Now: 1005 * ms, Event: fired})), []types.TargetRef{primary})
	p.SetWaiting(nil, 1006*ms)
	assert.Equal(t, len(answerProbe(p, primary, 1005*ms, 1008*ms, 1)), 0)
}

func TestFailingTargetIsNotProbedOnDemand(t *testing.T) {
	p, _ := newProber(1000 * ms)
	p.SetWaiting(map[types.ServiceName]bool{service: true}, 1000*ms)
	failed := event.Probed{Ref: primary, ProbedAt: 1000 * ms, Err: errors.New("refused")}
	assert.Equal(t, len(p.Step(event.Input{Now: 1003 * ms, Event: failed})), 0)
	h := p.Health()[primary]
	assert.Equal(t, h.Failing, true)
	assert.Equal(t, h.FailingSince, 1003*ms)
}

func TestFailureMakesAReportDue(t *testing.T) {
	p, _ := newProber(1000 * ms)
	answerProbe(p, primary, 1000*ms, 1003*ms, 1)
	p.TakeReportDue()
	fail := func(now types.Instant) bool {
		p.Step(event.Input{Now: now, Event: event.Probed{Ref: primary, Err: errors.New("refused")}})
		return p.TakeReportDue()
	}
	assert.Equal(t, fail(1050*ms), true)
	assert.Equal(t, fail(1100*ms), false)
	assert.Equal(t, fail(1350*ms), true)
	assert.Equal(t, fail(1400*ms), false)
	answerProbe(p, primary, 1400*ms, 1401*ms, 1)
	assert.Equal(t, p.TakeReportDue(), true)
}

func TestFreshnessEndsWithAPositionThatWentBack(t *testing.T) {
	p, _ := newProber(1000 * ms)
	answerProbe(p, primary, 1000*ms, 1003*ms, 5)
	answerProbe(p, replica, 1001*ms, 1004*ms, 5)
	assert.Equal(t, p.Health()[primary].FreshAt, 1000*ms)
	assert.Equal(t, p.Health()[replica].FreshAt, 1000*ms)
	answerProbe(p, replica, 1050*ms, 1054*ms, 0)
	assert.Equal(t, p.Health()[replica].FreshAt, types.Instant(0))
}

func TestSamplesOfAnotherPrimaryDoNotCount(t *testing.T) {
	p, _ := newProber(1000 * ms)
	answerProbe(p, primary, 1000*ms, 1003*ms, 5)
	p.SetView(view(2, "t2"), 1010*ms)
	answerProbe(p, primary, 1020*ms, 1023*ms, 5)
	assert.Equal(t, p.Health()[primary].FreshAt, types.Instant(0), "a replaced primary counts as fresh")
}

// TestFreshness checks that a replica never counts as fresher than it is, whatever
// its replication lag and the latency of probes are.
func TestFreshness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, _ := newProber(1000 * ms)
		now := 1000 * ms
		offsets := map[types.TargetRef]uint64{}
		committed := []types.Instant{now} // when each offset of the primary was written
		t.Repeat(map[string]func(*rapid.T){
			"write": func(*rapid.T) {
				offsets[primary]++
				committed = append(committed, now)
			},
			"replicate": func(t *rapid.T) {
				offsets[replica] = rapid.Uint64Range(offsets[replica], offsets[primary]).Draw(t, "offset")
			},
			"pass": func(t *rapid.T) { now += types.Instant(rapid.IntRange(1, 50).Draw(t, "ms")) * ms },
			"probe": func(t *rapid.T) {
				ref := rapid.SampledFrom([]types.TargetRef{primary, replica}).Draw(t, "target")
				sentAt, read := now, offsets[ref]
				if rapid.Bool().Draw(t, "write during the probe") && ref == primary {
					now += ms
					offsets[primary]++
					committed = append(committed, now)
					if rapid.Bool().Draw(t, "read after the write") {
						read = offsets[ref]
					}
				}
				now += types.Instant(rapid.IntRange(1, 20).Draw(t, "answer ms")) * ms
				answerProbe(p, ref, sentAt, now, read)
			},
			"": func(t *rapid.T) {
				h := p.Health()[replica]
				if next := h.Pos.Offset + 1; next < uint64(len(committed)) {
					assert.Assert(t, committed[next] >= h.FreshAt,
						"offset %d is missing, written at %d, fresh at %d", next, committed[next], h.FreshAt)
				}
			},
		})
	})
}

// TestBusyTargetKeepsItsPositionCurrent covers an overloaded primary that answers
// probes with its log position only.
func TestBusyTargetKeepsItsPositionCurrent(t *testing.T) {
	p, _ := newProber(1000 * ms)
	answerProbe(p, primary, 1000*ms, 1001*ms, 5)
	p.Step(event.Input{Now: 1102 * ms, Event: event.Probed{
		Ref: primary, ProbedAt: 1100 * ms, Busy: true, Status: types.TargetStatus{Pos: types.LogPos{Term: 1, Offset: 9}},
	}})
	h := p.Health()[primary]
	assert.Equal(t, h.Pos.Offset, uint64(9))
	assert.Equal(t, h.ProbedAt, 1100*ms)
	assert.Assert(t, h.Primary && h.Term == 1)

	p.Step(event.Input{Now: 1202 * ms, Event: event.Probed{Ref: primary, ProbedAt: 1200 * ms, Busy: true}})
	assert.Equal(t, p.Health()[primary].ProbedAt, 1100*ms, "an answer without a position changed the known one")
}

// newManagedProber returns a prober of a managed service that was started at 1000 ms.
func newManagedProber() (*probe.Prober, []effect.Effect) {
	v := view(1, "t1")
	v.Config = &types.Config{Services: map[types.ServiceName]types.Service{service: {Name: service, Managed: true}}}
	p := probe.New()
	return p, p.SetView(v, 1000*ms)
}

var tick = event.TimerFired{ID: event.TimerID{Domain: event.DomainProbe}}

// TestPrimaryThatAnswersRequestsIsNotProbed guards against needless probes, which take
// up one of the connections that a target accepts. Connections of hosts that failed
// count against that limit for some time.
func TestPrimaryThatAnswersRequestsIsNotProbed(t *testing.T) {
	p, first := newManagedProber()
	assert.Equal(t, len(probedTargets(first)), 0, "the primary was probed at once; requests may show that it works")
	for now := 1100 * ms; now <= 5000*ms; now += 100 * ms {
		p.SetAnsweredAt(map[types.TargetRef]types.Instant{primary: now - 50*ms})
		assert.Equal(t, len(probedTargets(p.Step(event.Input{Now: now, Event: tick}))), 0, "probed at %d", now)
		assert.Assert(t, !p.TakeReportDue(), "a failure is reported to control at %d", now)
		for _, r := range p.Reports(now) {
			assert.Equal(t, r.Ref, primary, "only the primary has a current status")
			assert.Assert(t, r.SinceLastContact < probe.SilentThreshold, "reported silent at %d", now)
			assert.Assert(t, r.Status.Primary && r.Status.Term == 1)
		}
	}
	var again []types.TargetRef
	now := 5000 * ms
	for ; len(again) == 0 && now < 8000*ms; now += 100 * ms {
		again = probedTargets(p.Step(event.Input{Now: now, Event: tick}))
	}
	assert.DeepEqual(t, again, []types.TargetRef{primary})
	assert.Assert(t, now <= 6100*ms, "probed at %d, the last request was answered at 4950", now)
}

func TestSuspectPrimaryIsProbedAtOnce(t *testing.T) {
	p, _ := newManagedProber()
	p.SetAnsweredAt(map[types.TargetRef]types.Instant{primary: 1090 * ms})
	out := p.SetSuspects(map[types.ServiceName]bool{service: true}, 1100*ms)
	assert.DeepEqual(t, probedTargets(out), []types.TargetRef{primary, replica})
}

// failSuspectedPrimary makes the primary suspect and fails the probe that follows.
func failSuspectedPrimary(p *probe.Prober, suspectedAt, now types.Instant) {
	p.SetSuspects(map[types.ServiceName]bool{service: true}, suspectedAt)
	p.Step(event.Input{Now: now, Event: event.Probed{Ref: primary, ProbedAt: suspectedAt, Err: errors.New("timeout")}})
}

// TestFailureCountsFromTheUnansweredRequest guards against a late failover: the time
// between an unanswered request and the probe that then fails belongs to the failure.
func TestFailureCountsFromTheUnansweredRequest(t *testing.T) {
	p, _ := newManagedProber()
	p.SetAnsweredAt(map[types.TargetRef]types.Instant{primary: 4090 * ms})
	failSuspectedPrimary(p, 4400*ms, 4650*ms)
	assert.Equal(t, p.Reports(4650 * ms)[0].FailingFor, 250*time.Millisecond)
}

// TestPrimaryThatAnswersRequestsHasNotFailed covers an overloaded primary: it answers
// requests, but has no capacity for the new connections that probes need.
func TestPrimaryThatAnswersRequestsHasNotFailed(t *testing.T) {
	p, _ := newManagedProber()
	failSuspectedPrimary(p, 4400*ms, 4650*ms)
	p.SetAnsweredAt(map[types.TargetRef]types.Instant{primary: 4700 * ms})
	assert.Equal(t, p.Reports(4800 * ms)[0].FailingFor, 100*time.Millisecond)
}

// TestPrimaryHasStartupGrace covers a restart of everything, when all proxies connect
// to the primary at once and probes fail although it works.
func TestPrimaryHasStartupGrace(t *testing.T) {
	p, _ := newManagedProber()
	failSuspectedPrimary(p, 1200*ms, 1450*ms)
	assert.Equal(t, p.Reports(1900 * ms)[0].FailingFor, time.Duration(0))
	assert.Equal(t, p.Reports(2500 * ms)[0].FailingFor, 500*time.Millisecond)
}

// TestBusyPrimaryIsNotReportedAsSuperseded covers a primary that had no capacity to
// answer its first probe, which says nothing about its role.
func TestBusyPrimaryIsNotReportedAsSuperseded(t *testing.T) {
	p, _ := newManagedProber()
	p.Step(event.Input{Now: 2100 * ms, Event: event.Probed{Ref: primary, ProbedAt: 2000 * ms, Busy: true}})
	assert.Equal(t, len(p.Reports(2100*ms)), 0)
}

// TestControlHearsOfAHealthyPrimaryNowAndThen covers what a proxy reports of a primary
// that keeps answering: everything for a moment after it appeared, then one report in
// 3 s, and at once and repeatedly when it fails.
func TestControlHearsOfAHealthyPrimaryNowAndThen(t *testing.T) {
	p, _ := newManagedProber()
	reportsUntil := func(from, to types.Instant) (count int) {
		for now := from; now < to; now += 300 * ms {
			p.SetAnsweredAt(map[types.TargetRef]types.Instant{primary: now - 50*ms})
			p.Step(event.Input{Now: now, Event: tick})
			count += len(p.Reports(now))
		}
		return count
	}
	assert.Equal(t, reportsUntil(1000*ms, 2000*ms), 4)
	const seconds = 18
	assert.Equal(t, reportsUntil(2200*ms, (2200+seconds*1000)*ms), seconds/3)
	failedAt := types.Instant(25000) * ms
	failSuspectedPrimary(p, failedAt, failedAt+250*ms)
	for now := failedAt + 250*ms; now < failedAt+3000*ms; now += 300 * ms {
		assert.Assert(t, p.Reports(now)[0].Failing, "not reported as failing at %d", now)
	}
}

// TestEarlyRequestsDoNotRepeatReports covers a failing primary while the proxy sends many
// early requests: it is reported at once, as soon as its failure is complete, and four
// times a second otherwise.
func TestEarlyRequestsDoNotRepeatReports(t *testing.T) {
	p, _ := newManagedProber()
	p.SetAnsweredAt(map[types.TargetRef]types.Instant{primary: 4000 * ms})
	failSuspectedPrimary(p, 4100*ms, 4250*ms)
	count := 0
	var complete types.Instant
	for now := 4250 * ms; now < 6250*ms; now += 20 * ms {
		if now%(100*ms) == 50*ms {
			p.Step(event.Input{Now: now, Event: tick})
		}
		for _, r := range p.Reports(now) {
			count++
			if complete == 0 && r.FailingFor >= probe.FailingThreshold {
				complete = now
			}
		}
	}
	assert.Assert(t, count >= 8 && count <= 11, "%d reports in 2 s", count)
	assert.Assert(t, complete <= 4460*ms, "the whole failure is reported at %d", complete)
}

// TestAnswerFromBeforeTheTermIsNotReported covers a new primary that freezes for less
// than the bounds before it was probed in its term. Its answer from before the term must
// not count as one of a primary that was replaced.
func TestAnswerFromBeforeTheTermIsNotReported(t *testing.T) {
	p, _ := newProber(1000 * ms)
	answerProbe(p, replica, 1000*ms, 1010*ms, 1)
	p.SetView(view(2, "t2"), 1050*ms)
	for now := 1100 * ms; now < 1400*ms; now += 50 * ms {
		for _, r := range p.Reports(now) {
			assert.Assert(t, r.Ref != replica, "reported at %d: %+v", now, r)
		}
	}
	for now := 1500 * ms; now < 2000*ms; now += 100 * ms {
		p.Step(event.Input{Now: now, Event: tick})
	}
	found := false
	for _, r := range p.Reports(2000 * ms) {
		found = found || r.Ref == replica && r.SinceLastContact >= probe.SilentThreshold
	}
	assert.Assert(t, found, "a primary that stays silent is not reported")
}

// probesPerSecond returns the probes that a proxy among others sends to an idle managed
// primary that always answers.
func probesPerSecond(proxies int) float64 {
	p, _ := newManagedProber()
	p.SetFleet(types.Fleet{Proxies: proxies}, nil, 1000*ms)
	const seconds = 2000
	count := 0
	for now := 1100 * ms; now < (1000+seconds*1000)*ms; now += 100 * ms {
		for _, ref := range probedTargets(p.Step(event.Input{Now: now, Event: tick})) {
			count++
			answerProbe(p, ref, now, now+ms, 1)
		}
	}
	return float64(count) / seconds
}

// TestProbesOfAllProxiesAreBoundedByTheSlots covers a primary of one slot before more and
// more proxies, none of which has requests for it.
func TestProbesOfAllProxiesAreBoundedByTheSlots(t *testing.T) {
	for _, proxies := range []int{1, 4, 34, 78, 300, 1300} {
		all := probesPerSecond(proxies) * float64(proxies)
		assert.Assert(t, all <= 4.5, "%d proxies send %.1f probes a second", proxies, all)
		assert.Assert(t, all >= 0.9, "%d proxies send %.1f probes a second", proxies, all)
	}
}

// TestHintIsProbedAtOnce covers a primary that fails for another proxy, with and without
// a recent answer to this one.
func TestHintIsProbedAtOnce(t *testing.T) {
	p, _ := newManagedProber()
	fleet := types.Fleet{Proxies: 300}
	p.SetFleet(fleet, nil, 1000*ms)
	p.SetAnsweredAt(map[types.TargetRef]types.Instant{primary: 1900 * ms})
	suspects := []types.ServiceName{service, "unknown"}
	assert.Equal(t, len(probedTargets(p.SetFleet(fleet, suspects, 2000*ms))), 0)
	assert.DeepEqual(t, probedTargets(p.SetFleet(fleet, suspects, 2200*ms)), []types.TargetRef{primary})
	assert.Equal(t, len(probedTargets(p.SetFleet(fleet, suspects, 2300*ms))), 0, "a probe is in flight")
}
