package session

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/routing"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

const (
	regions        = 3
	zonesPerRegion = 2
)

// spreadLoad is the load of one service whose members are in three regions, before proxies
// in six availability zones whose callers come in waves. load is the offered work divided
// by what the slots of all members carry.
func spreadLoad(proxies int, load float64) fleetConfig {
	const ms = time.Millisecond
	profile := func(name types.ProfileName, age, objective, timeout time.Duration) types.Profile {
		p := types.Profile{
			Name: name, Weight: 4, Freshness: types.FreshPrimary, Durability: types.DurablePrimary, Idempotent: types.IdempotentReads,
			Objective: objective, RequestTimeout: timeout, QueueTimeout: timeout, DrainTimeout: 7 * time.Second,
		}
		if age > 0 {
			p.Freshness, p.MaxAge = types.FreshAge, age
		}
		return p
	}
	c := fleetConfig{
		proxies: proxies, slots: 4, maxQueue: 32, networkDelay: 8 * ms, lag: 50 * ms, duration: 26 * time.Second,
		handshake: 12 * ms, delay: regionDelay, swing: callerWave,
		classes: []requestClass{
			{database: "acks", profile: profile("acks", 0, 300*ms, 1000*ms), perSecond: 24, serviceTime: 2500 * time.Microsecond, writeRatio: 0.2, transactionRatio: 0.25},
			{database: "views", profile: profile("views", 1500*ms, 500*ms, 1500*ms), perSecond: 24, serviceTime: 13 * ms, transactionRatio: 0.1},
			{database: "alerts", profile: profile("alerts", 2500*ms, 500*ms, 1000*ms), perSecond: 112, serviceTime: 7600 * time.Microsecond, writeRatio: 0.12, transactionRatio: 0.12},
		},
	}
	c.scaleTo(load * 3)
	return c
}

func regionOf(proxy int) int { return proxy % regions }

// regionDelay is the delay between a proxy and a member: members are in the first zone of
// each region.
func regionDelay(proxy int, member types.TargetName) time.Duration {
	switch {
	case regionOf(proxy) != int(member[0]-'a'):
		return 8 * time.Millisecond
	case proxy/regions%zonesPerRegion == 0:
		return 500 * time.Microsecond
	}
	return 3900 * time.Microsecond
}

// callerWave is the relative number of callers of a proxy, between 0.45 and 1.55.
func callerWave(proxy int, at types.Instant) float64 {
	const period, swing = 13 * time.Second, 0.55
	phase := 0.08 * float64(regionOf(proxy)+regions*(proxy/regions%zonesPerRegion))
	return 1 + swing*math.Sin(2*math.Pi*(float64(at)/float64(period)+phase))
}

// evenness is what a load looks like at the replicas and to the callers.
type evenness struct {
	peakToMean float64 // of the work at the replicas, mean over all windows
	p99        time.Duration
	inTime     float64
	regions    float64 // part of the exchanges that go between regions
	afterwards map[types.TargetName]int
}

// evenWindow is the length of the windows in which the work at the replicas is compared.
const evenWindow = 100 * time.Millisecond

// runEvenness runs a fleet and counts the statements of each member from countFrom on.
func runEvenness(c fleetConfig, seed uint64, countFrom time.Duration) evenness {
	const samplesPerWindow = 20
	f := newFleet(c, seed)
	var ratios []float64
	work := make(map[types.TargetName]int)
	samples := 0
	var sample func()
	sample = func() {
		for name, m := range f.members {
			if name != "a" {
				work[name] += m.busy + len(m.queue)
			}
		}
		if samples++; samples%samplesPerWindow == 0 {
			if ratio, ok := peakToMean(work); ok {
				ratios = append(ratios, ratio)
			}
			clear(work)
		}
		f.after(evenWindow/samplesPerWindow, sample)
	}
	f.after(time.Second, sample)
	before := make(map[types.TargetName]int)
	f.after(countFrom, func() {
		for name, m := range f.members {
			before[name] = m.statements
		}
	})
	f.run()
	e := evenness{
		p99: percentile(f.latencies, 99), inTime: f.inTimeRatio(), regions: float64(f.regionCrossings) / float64(f.exchanges),
		afterwards: make(map[types.TargetName]int),
	}
	for _, ratio := range ratios {
		e.peakToMean += ratio / float64(len(ratios))
	}
	for name, m := range f.members {
		e.afterwards[name] = m.statements - before[name]
	}
	return e
}

// peakToMean returns the largest value over the mean, and false if all are zero.
func peakToMean(work map[types.TargetName]int) (float64, bool) {
	peak, sum := 0, 0
	for _, w := range work {
		peak, sum = max(peak, w), sum+w
	}
	return float64(peak*len(work)) / float64(max(1, sum)), sum > 0
}

func (e evenness) String() string {
	return fmt.Sprintf("peak/mean %.2f; p99 %v; in time %.3f; between regions %.2f; afterwards %v",
		e.peakToMean, e.p99.Round(time.Millisecond), e.inTime, e.regions, e.afterwards)
}

// TestReplicaThatWasSlowGetsItsPartAgain covers a replica that is slow for 3 s, before
// proxies that each get a few answers a second. From 4 s later on it gets two thirds of
// what the other one gets at least, and callers are served no worse than by what
// LowestLatency remembers.
func TestReplicaThatWasSlowGetsItsPartAgain(t *testing.T) {
	for _, proxies := range []int{4, 30, 90} {
		results := make(map[routing.Policy]evenness)
		for _, p := range []routing.Policy{routing.LowestLatency{}, routing.TwoChoices{}, routing.RecentLatency{}} {
			c := spreadLoad(proxies, 0.15)
			c.policy = p
			c.slow = slowness{member: "b", at: 5 * time.Second, duration: 3 * time.Second, factor: 20}
			results[p] = runEvenness(c, 1, 12*time.Second)
			t.Logf("%d proxies, %T: %s", proxies, p, results[p])
		}
		recent, lowest := results[routing.RecentLatency{}], results[routing.LowestLatency{}]
		assert.Assert(t, 3*recent.afterwards["b"] >= 2*recent.afterwards["c"])
		assert.Assert(t, recent.inTime >= lowest.inTime-0.005)
	}
}

// TestCrowdedPolicy checks the choice between the two policies of a proxy.
func TestCrowdedPolicy(t *testing.T) {
	for proxies, want := range map[int]routing.Policy{0: routing.LowestLatency{}, 7: routing.LowestLatency{}, 8: routing.RecentLatency{}} {
		s := NewShard(Options{Policy: routing.LowestLatency{}, CrowdedPolicy: routing.RecentLatency{}})
		s.view = &types.NodeView{Cluster: &types.ClusterView{Config: testConfig()}, Proxies: proxies}
		g := &types.Group{Members: []types.Target{{Name: "a", Slots: 4}}}
		assert.Equal(t, s.policy(&service{name: svcName}, g), want, "%d proxies", proxies)
	}
}

// TestSteadyLoadIsSpread covers waves of callers over three regions: what RecentLatency
// forgets costs callers nothing while no replica is slow.
func TestSteadyLoadIsSpread(t *testing.T) {
	for _, load := range []float64{0.15, 0.5} {
		results := make(map[routing.Policy]evenness)
		for _, p := range []routing.Policy{routing.LowestLatency{}, routing.RecentLatency{}} {
			c := spreadLoad(30, load)
			c.policy = p
			results[p] = runEvenness(c, 1, 0)
			t.Logf("load %.2f, %T: %s", load, p, results[p])
		}
		recent, lowest := results[routing.RecentLatency{}], results[routing.LowestLatency{}]
		assert.Assert(t, recent.inTime >= lowest.inTime-0.005)
		assert.Assert(t, recent.regions <= lowest.regions+0.05)
	}
}
