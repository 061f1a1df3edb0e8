package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// reservationLoad is the load of one of eight services in a large deployment: 32
// proxies, 3 members with 6 slots each, 207 operations per second.
func reservationLoad() fleetConfig {
	profile := func(name types.ProfileName, weight int, age, objective, timeout time.Duration) types.Profile {
		p := types.Profile{
			Name: name, Weight: weight, Freshness: types.FreshPrimary, Durability: types.DurablePrimary, Idempotent: types.IdempotentReads,
			Objective: objective, RequestTimeout: timeout, QueueTimeout: timeout, DrainTimeout: 7 * time.Second,
		}
		if age > 0 {
			p.Freshness, p.MaxAge = types.FreshAge, age
		}
		return p
	}
	second := time.Second
	return fleetConfig{
		proxies: 32, slots: 6, maxQueue: 48, networkDelay: 6 * time.Millisecond, lag: 90 * time.Millisecond, duration: 12 * second,
		classes: []requestClass{
			{database: "booking", profile: profile("booking", 4, 0, second/2, second), perSecond: 31, serviceTime: 11 * time.Millisecond, writeRatio: 0.35, transactionRatio: 0.25},
			{database: "board", profile: profile("board", 2, 3*second/2, 6*second/5, 3*second), perSecond: 31, serviceTime: 55 * time.Millisecond, transactionRatio: 0.1},
			{database: "reshuffle", profile: profile("reshuffle", 2, 5*second/2, second, second), perSecond: 145, serviceTime: 33 * time.Millisecond, writeRatio: 0.12, transactionRatio: 0.12},
		},
	}
}

// TestReadsThatOnlyThePrimaryCanServe covers replicas that lag so far that the
// primary gets more work than its capacity. As many callers as its slots can
// serve must be answered in time, and more than half of each class.
func TestReadsThatOnlyThePrimaryCanServe(t *testing.T) {
	for seed := range uint64(3) {
		c := reservationLoad()
		c.lagRaisedAt, c.raisedLag, c.duration = 4*time.Second, time.Minute, 24*time.Second
		f := newFleet(c, seed)
		f.run()
		t.Logf("capacity of the primary %.3f of the load; %s", f.primaryCapacityRatio(), f)
		assert.Assert(t, f.inTimeRatio() >= f.primaryCapacityRatio())
		for _, class := range f.classes {
			assert.Assert(t, 2*class.inTime > class.sent, "%d of %d operations on %s in time", class.inTime, class.sent, class.database)
		}
	}
}

// TestLoadWithinCapacityIsServed checks that nothing is refused while all
// members can serve the load.
func TestLoadWithinCapacityIsServed(t *testing.T) {
	f := newFleet(reservationLoad(), 1)
	f.run()
	t.Log(f)
	for _, class := range f.classes {
		assert.Equal(t, class.failed, 0, "failed operations on %s", class.database)
	}
	assert.Assert(t, f.inTimeRatio() > 0.99)
}

// TestBacklogAfterPauseIsServed guards against shedding a backlog that the
// members can work off: after 1.5 s without any answer, nine tenths of the
// operations that arrived meanwhile are served late instead of refused.
func TestBacklogAfterPauseIsServed(t *testing.T) {
	c := reservationLoad()
	c.pausedAt, c.pause = 4*time.Second, 1500*time.Millisecond
	f := newFleet(c, 1)
	f.run()
	t.Log(f)
	var sent, failed int
	for _, class := range f.classes {
		sent, failed = sent+class.sent, failed+class.failed
	}
	sentInPause := float64(sent) * c.pause.Seconds() / c.duration.Seconds() // expected number
	assert.Assert(t, float64(failed) < sentInPause/10, "%d operations failed, %.0f arrived during the pause", failed, sentInPause)
}

// TestMostCallersOnOneProxy guards against refusals by a proxy that has most of
// the callers of four proxies while the members have spare capacity.
func TestMostCallersOnOneProxy(t *testing.T) {
	c := reservationLoad()
	c.proxies, c.slots, c.lastProxyRatio = 4, 5, 0.4
	for i := range c.classes {
		c.classes[i].perSecond *= 0.72 // 150 operations per second for the service
	}
	for seed := range uint64(3) {
		f := newFleet(c, seed)
		f.run()
		t.Log(f)
		for _, class := range f.classes {
			assert.Equal(t, class.failed, 0, "failed operations on %s", class.database)
		}
		assert.Assert(t, f.inTimeRatio() > 0.99)
	}
}

// TestPrimaryServesReadsOfLostReplica covers a service that has lost a replica:
// the remaining one gets more reads than its capacity, while the primary has
// spare capacity.
func TestPrimaryServesReadsOfLostReplica(t *testing.T) {
	c := reservationLoad()
	c.proxies, c.slots, c.members = 4, 5, 2
	for i := range c.classes {
		c.classes[i].perSecond *= 1.05
	}
	for seed := range uint64(3) {
		f := newFleet(c, seed)
		f.run()
		t.Log(f)
		assert.Assert(t, f.inTimeRatio() > 0.95)
	}
}
