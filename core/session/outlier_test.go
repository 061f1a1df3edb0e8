package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/outlier"
	"github.com/camphorpaddle/camphorpaddle/core/routing"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// partialFailureLoad is the load of a service one replica of which fails part of the statements for
// 7 s.
func partialFailureLoad(proxies int, g partialFailure) fleetConfig {
	c := spreadLoad(proxies, 0.15)
	c.policy = routing.RecentLatency{}
	g.member, g.at, g.duration = "b", 5*time.Second, 7*time.Second
	c.failing = g
	return c
}

// TestReplicaThatFailsInPart covers replicas that fail or lose nearly half of the
// statements, for all proxies or those of one availability zone, while they answer the
// rest. With outlier detection nine of ten operations that suffered are served in time.
func TestReplicaThatFailsInPart(t *testing.T) {
	for name, g := range map[string]partialFailure{
		"errors":               {part: 0.45},
		"lost answers":         {part: 0.45, mute: true},
		"errors for one zone":  {part: 0.49, proxies: func(p int) bool { return p%(regions*zonesPerRegion) == 0 }},
		"nothing answered":     {part: 1, mute: true},
		"all statements fail":  {part: 1},
		"a few answers lost":   {part: 0.03, mute: true},
		"hardly any statement": {part: 0.01},
	} {
		for _, proxies := range []int{30, 90} {
			c := partialFailureLoad(proxies, g)
			before := newFleet(c, 1)
			before.run()
			c.crowded = true
			f := newFleet(c, 1)
			f.run()
			t.Logf("%s, %d proxies: %.4f in time and %v without, %.4f and %v with detection, %d ejections", name, proxies,
				before.inTimeRatio(), percentile(before.latencies, 99).Round(time.Millisecond),
				f.inTimeRatio(), percentile(f.latencies, 99).Round(time.Millisecond), f.decisions[effect.DecideEjected])
			const allowance = 0.001 // the first losses at each proxy
			assert.Assert(t, 1-f.inTimeRatio() <= (1-before.inTimeRatio())/10+allowance, "%s, %d proxies", name, proxies)
		}
	}
}

// TestHealthyReplicasAreNotEjected covers a load that queues at the targets at times.
func TestHealthyReplicasAreNotEjected(t *testing.T) {
	for _, load := range []float64{0.15, 0.5} {
		c := partialFailureLoad(30, partialFailure{})
		c.scaleTo(3 * load)
		c.crowded = true
		f := newFleet(c, 1)
		f.run()
		t.Log(f)
		assert.Equal(t, f.decisions[effect.DecideEjected], 0)
	}
}

// TestFailedReadGoesToAnotherTarget covers a replica that fails a read which may run twice.
func TestFailedReadGoesToAnotherTarget(t *testing.T) {
	h := newManagedHarness(t)
	h.setView(func(v *types.NodeView, g *types.Group) {
		v.Proxies = 100
		for i := range g.Members {
			g.Members[i].Slots = 4
		}
	})
	h.openDatabase(1, "catalog")
	h.sendManagedRead(1)
	h.answerManaged(40)
	seq := h.sendManagedRead(1)
	_, first := h.lastSent()
	h.reject(types.TargetErrFailed, types.TxIdle)
	assert.Assert(t, !h.answered(seq))
	h.advance(20 * time.Millisecond)
	h.connect()
	_, second := h.lastSent()
	assert.Assert(t, first != "a" && second != first, "sent to %s and %s", first, second)
	h.answerManaged(40)
	assert.Assert(t, h.answered(seq))
}

// TestPromotedReplicaIsNotEjected covers a replica that becomes the primary while it is
// ejected: no read to a replica tells that it is healthy again, and it must not keep
// another one from being ejected.
func TestPromotedReplicaIsNotEjected(t *testing.T) {
	h := newManagedHarness(t)
	h.openDatabase(1, "catalog")
	svc := h.shard.service(svcName)
	eject := func(name types.TargetName) outlier.Change {
		svc.outliers.Observe(name, true, 3, h.now)
		return svc.outliers.Observe(name, true, 3, h.now)
	}
	assert.Equal(t, eject("b"), outlier.Ejected)
	h.setView(func(_ *types.NodeView, g *types.Group) { g.Primary = "b" })
	assert.Equal(t, eject("c"), outlier.Ejected)
}
