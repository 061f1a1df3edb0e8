package session

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/routing"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// loadDuration is how long a load runs, in virtual time.
const loadDuration = 10 * time.Second

// load sends reads or writes at a constant mean rate, each in its own session,
// and records the results.
type load struct {
	sim              *sim
	lastSession      types.SessionID
	token            types.LogPos
	latencies        []time.Duration // from arrival to answer
	queueTimes       []time.Duration // from arrival to a connection
	refused          map[types.RefusalCode]int
	refusedAtArrival int
}

func runLoad(policy routing.Policy, perSecond float64, profile types.ProfileName, targets map[types.TargetName]*simTarget, write bool) *load {
	l := &load{sim: newSim(Options{Policy: policy}, testConfig(), targets), refused: make(map[types.RefusalCode]int)}
	l.sim.onObservation = l.recordObservation
	l.sim.onReply = func(id types.SessionID, _ *types.Refusal) {
		l.sim.after(0, func() { l.sim.step(event.SessionClosed{Session: id}) })
	}
	l.sim.run(l.sim.now.Add(100 * time.Millisecond)) // opens the warm connections
	l.sendNext(perSecond, profile, write)
	l.sim.run(l.sim.now.Add(loadDuration))
	return l
}

// sendNext sends a request in a new session and schedules the next one, with
// exponentially distributed intervals.
func (l *load) sendNext(perSecond float64, profile types.ProfileName, write bool) {
	l.lastSession++
	l.sim.step(event.SessionOpened{Session: l.lastSession, Params: types.SessionParams{Service: svcName, Token: &l.token}})
	r := types.Request{Seq: 1, Profile: profile, Class: types.ClassRead, Payload: &simStatement{write: write}}
	if write {
		r.Class = types.ClassWrite
	}
	l.sim.step(event.RequestArrived{Session: l.lastSession, Request: r})
	interval := time.Duration(l.sim.rand.ExpFloat64() / perSecond * float64(time.Second))
	l.sim.after(interval, func() { l.sendNext(perSecond, profile, write) })
}

func (l *load) recordObservation(o effect.Observation) {
	if o.Refusal != 0 {
		l.refused[o.Refusal]++
		if o.DoneAt == o.ArrivedAt {
			l.refusedAtArrival++
		}
		return
	}
	l.latencies = append(l.latencies, o.DoneAt.Sub(o.ArrivedAt))
	l.queueTimes = append(l.queueTimes, o.AssignedAt.Sub(o.ArrivedAt))
}

func percentile[T cmp.Ordered](values []T, p int) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)*p/100]
}

func mean(values []time.Duration) time.Duration {
	var sum time.Duration
	for _, v := range values {
		sum += v
	}
	return sum / time.Duration(len(values))
}

// unequalTargets returns a primary and three replicas, of which c takes three
// times as long as the others.
func unequalTargets(slots int) map[types.TargetName]*simTarget {
	return map[types.TargetName]*simTarget{
		"a": {slots: slots, serviceTime: 4 * time.Millisecond},
		"b": {slots: slots, serviceTime: 4 * time.Millisecond},
		"c": {slots: slots, serviceTime: 12 * time.Millisecond},
		"d": {slots: slots, serviceTime: 4 * time.Millisecond},
	}
}

// TestDefaultPolicyOnUnequalReplicas compares the routing policies at 70% of the
// replicas' capacity. The mean latency of the default must not be above that of
// round robin.
func TestDefaultPolicyOnUnequalReplicas(t *testing.T) {
	for _, slots := range []int{3, 5} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			rate := 0.7 * float64(slots) * (2/0.004 + 1/0.012)
			means := make(map[string]time.Duration)
			for _, p := range []routing.Policy{&routing.RoundRobin{}, routing.LeastOutstanding{}, routing.TwoChoices{}, routing.Throughput{}} {
				l := runLoad(p, rate, "session", unequalTargets(slots), false)
				means[fmt.Sprintf("%T", p)] = mean(l.latencies)
				t.Logf("%T: %d answers, mean %v, median %v, 99th percentile %v, refused %v", p, len(l.latencies),
					mean(l.latencies).Round(10*time.Microsecond), percentile(l.latencies, 50).Round(10*time.Microsecond),
					percentile(l.latencies, 99).Round(10*time.Microsecond), l.refused)
			}
			assert.Assert(t, means[fmt.Sprintf("%T", routing.Default())] <= means["*routing.RoundRobin"])
		})
	}
}

// TestDoubleLoadIsShedEarly offers twice the capacity of the primary. The
// capacity must be used, and nine tenths of the refusals must come on arrival
// instead of after a wait in the queue.
func TestDoubleLoadIsShedEarly(t *testing.T) {
	targets := unequalTargets(3)
	capacity := 3 / 0.004
	l := runLoad(nil, 2*capacity, "strict", targets, false)
	refused := 0
	for _, n := range l.refused {
		refused += n
	}
	t.Logf("capacity %.0f/s, offered %.0f/s: answered %.0f/s, refused %.0f/s of which %.1f%% on arrival, queue time median %v, 99th percentile %v",
		capacity, 2*capacity, float64(len(l.latencies))/loadDuration.Seconds(), float64(refused)/loadDuration.Seconds(),
		100*float64(l.refusedAtArrival)/float64(refused), percentile(l.queueTimes, 50).Round(time.Millisecond), percentile(l.queueTimes, 99).Round(time.Millisecond))
	profile := testConfig().Profiles["strict"]
	assert.Assert(t, percentile(l.queueTimes, 99) <= profile.QueueTimeout)
	assert.Assert(t, float64(len(l.latencies)) >= 0.9*capacity*loadDuration.Seconds(), "%d answers, less than nine tenths of the capacity", len(l.latencies))
	assert.Assert(t, l.refusedAtArrival >= refused*9/10, "%d of %d refusals came on arrival", l.refusedAtArrival, refused)
}

// TestWriteLatencyByDurability logs the latency of writes for each durability at
// the replication lags of TestReplicasServeMostReads. Writes that wait for a
// majority must fail only if the lag reaches the request timeout.
func TestWriteLatencyByDurability(t *testing.T) {
	for _, profile := range []types.ProfileName{"session", "fast"} {
		for _, lag := range []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second} {
			targets := unequalTargets(3)
			delete(targets, "d")
			targets["b"].lag, targets["c"].lag = lag, lag
			l := runLoad(nil, 100, profile, targets, true)
			t.Logf("%s, lag %v: %d answers, refused %v", profile, lag, len(l.latencies), l.refused)
			if len(l.latencies) > 0 {
				t.Logf("  median %v, 99th percentile %v",
					percentile(l.latencies, 50).Round(100*time.Microsecond), percentile(l.latencies, 99).Round(100*time.Microsecond))
			}
			timeout := testConfig().Profiles[profile].RequestTimeout
			timesOut := profile == "session" && lag >= timeout
			assert.Equal(t, l.refused[types.RefuseNotDurable] > 0, timesOut)
		}
	}
}
