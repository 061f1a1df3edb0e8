package session

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/admission"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// usualLoad is the load of priorityLoad before and after the surge: the offered work
// divided by what the slots carry.
const usualLoad = 0.5

// priorityLoad is the load of one service that has only its primary left: 26
// proxies, 4 slots, and three profiles of different priority. During a surge of 12 s
// the load is the given one.
func priorityLoad(load float64) fleetConfig {
	const ms = time.Millisecond
	profile := func(name types.ProfileName, priority int, age, objective, timeout time.Duration) types.Profile {
		p := types.Profile{
			Name: name, Priority: priority, Weight: 8 >> priority, Freshness: types.FreshPrimary, Durability: types.DurablePrimary, Idempotent: types.IdempotentReads,
			Objective: objective, RequestTimeout: timeout, QueueTimeout: timeout, DrainTimeout: 7 * time.Second,
		}
		if age > 0 {
			p.Freshness, p.MaxAge = types.FreshAge, age
		}
		return p
	}
	c := fleetConfig{
		proxies: 26, slots: 4, maxQueue: 32, networkDelay: 4 * ms, duration: 24 * time.Second, members: 1, priorityOrder: true,
		surge: surge{at: 4 * time.Second, duration: 12 * time.Second, factor: load / usualLoad},
		classes: []requestClass{
			{database: "edits", profile: profile("edits", 0, 0, 250*ms, 800*ms), perSecond: 12, serviceTime: 4500 * time.Microsecond, writeRatio: 0.2, transactionRatio: 0.25},
			{database: "jobs", profile: profile("jobs", 1, 2500*ms, 500*ms, 800*ms), perSecond: 56, serviceTime: 14 * ms, writeRatio: 0.12, transactionRatio: 0.12},
			{database: "catalogue", profile: profile("catalogue", 2, 1500*ms, 1200*ms, 1500*ms), perSecond: 21, serviceTime: 22 * ms, transactionRatio: 0.1},
		},
	}
	c.scaleTo(usualLoad)
	return c
}

// scaleTo sets the arrival rates to a load.
func (c *fleetConfig) scaleTo(load float64) {
	var work float64
	for _, class := range c.classes {
		work += class.perSecond * (1 + 2*class.transactionRatio) * class.serviceTime.Seconds()
	}
	for i := range c.classes {
		c.classes[i].perSecond *= load * float64(c.slots) / work
	}
}

// surgeResult is the part of each profile's operations in a surge that was answered in
// time, and how long after the surge nine tenths were in time again in each second.
type surgeResult struct {
	inTime map[types.ProfileName]float64
	normal time.Duration
}

func runSurge(c fleetConfig, seed uint64) surgeResult {
	f := newFleet(c, seed)
	f.run()
	first, last := int(c.surge.at/time.Second), int((c.surge.at+c.surge.duration)/time.Second)
	r := surgeResult{inTime: make(map[types.ProfileName]float64)}
	for _, class := range f.classes {
		var sum secondCount
		for i, s := range class.seconds {
			switch {
			case i >= first && i < last:
				sum.sent, sum.inTime = sum.sent+s.sent, sum.inTime+s.inTime
			case i >= last && s.inTime*10 < s.sent*9:
				r.normal = max(r.normal, time.Duration(i+1-last)*time.Second)
			}
		}
		r.inTime[class.profile.Name] = float64(sum.inTime) / float64(sum.sent)
	}
	return r
}

func (r surgeResult) String() string {
	return fmt.Sprintf("in time: edits %.3f jobs %.3f catalogue %.3f; normal after %s",
		r.inTime["edits"], r.inTime["jobs"], r.inTime["catalogue"], r.normal)
}

// TestPriorityOrderInSurge covers surges of up to 2.5 times what the targets carry.
// Nothing is given up below their capacity. Beyond it the highest priority, which is an
// eighth of the capacity at most, is served, the lowest still gets the guaranteed part,
// and all is normal within 5 s.
func TestPriorityOrderInSurge(t *testing.T) {
	const guaranteed = 0.05
	for _, load := range []float64{0.7, 1, 1.5, 2, 2.5} {
		for seed := range uint64(2) {
			byWeight := priorityLoad(load)
			byWeight.priorityOrder = false
			before, r := runSurge(byWeight, seed), runSurge(priorityLoad(load), seed)
			t.Logf("load %.1f by weight:   %s", load, before)
			t.Logf("load %.1f by priority: %s", load, r)
			assert.Assert(t, r.normal <= 5*time.Second)
			if load < 1 {
				assert.Assert(t, r.inTime["edits"] > 0.98 && r.inTime["jobs"] > 0.98 && r.inTime["catalogue"] > 0.98)
				continue
			}
			assert.Assert(t, r.inTime["edits"] > 2.0/3 && r.inTime["edits"] > before.inTime["edits"])
			assert.Assert(t, r.inTime["jobs"] > r.inTime["catalogue"] && r.inTime["catalogue"] > guaranteed)
		}
	}
}

// TestPriorityOrderAtSlowPrimary covers a primary that takes five times as long while it
// still carries twice the load: lower priorities are not given up for higher ones.
func TestPriorityOrderAtSlowPrimary(t *testing.T) {
	for seed := range uint64(2) {
		c := priorityLoad(0)
		c.slow = slowness{at: c.surge.at, factor: 5}
		c.surge.factor = 1
		c.scaleTo(0.5 / c.slow.factor)
		r := runSurge(c, seed)
		t.Log(r)
		for name, part := range r.inTime {
			assert.Assert(t, part > 0.75, "%s", name)
		}
	}
}

// TestHotOrganisationGivesWay covers one of ten organisations that sends nine times its
// usual, so that the targets get 1.1 times what they carry. Its own requests are refused
// more than those of the others.
func TestHotOrganisationGivesWay(t *testing.T) {
	for _, members := range []int{1, 3} {
		const seeds = 3
		var parts [2]map[types.ProfileName]float64
		for i := range parts {
			parts[i] = make(map[types.ProfileName]float64)
		}
		for seed := range uint64(seeds) {
			c := priorityLoad(1)
			c.members, c.surge.factor = members, 9
			c.organisations = organisationLoad{names: 10, hot: true}
			c.scaleTo(0.6 * float64(members))
			f := newFleet(c, seed)
			f.run()
			for _, class := range f.classes {
				for i, o := range class.byOrganisation {
					parts[i][class.profile.Name] += float64(o.inTime) / float64(o.sent) / seeds
				}
			}
		}
		t.Logf("%d members, in time: the hot one %v, the others %v", members, parts[0], parts[1])
		for _, name := range []types.ProfileName{"jobs", "catalogue"} {
			assert.Assert(t, parts[1][name] > parts[0][name], "%s", name)
		}
	}
}

// TestHeldRequestIsRefusedAtItsDeadline covers a profile without an objective whose requests
// are not admitted.
func TestHeldRequestIsRefusedAtItsDeadline(t *testing.T) {
	h := newManagedHarness(t)
	h.config.PriorityOrder = true
	p := h.config.Profiles["strict"]
	p.Objective, p.Priority = 0, 1
	h.config.Profiles["strict"] = p
	h.setView(func(*types.NodeView, *types.Group) {})
	h.openDatabase(1, "orders")
	h.openDatabase(2, "orders")
	h.sendManagedRead(1)
	h.answerManaged(1)
	q := newQueue(nil)
	q.configure(h.config)
	svc := h.shard.services[svcName]
	r := &request{
		session: h.shard.sessions[2], service: svc, profile: p, arrived: h.now, stage: stageBackoff,
		deadline: h.now.Add(admissionInterval / 2),
	}
	h.shard.sessions[2].request = r
	var level admission.Level // of a target with a long queue
	for i := range 40 {
		level.Observe(types.Instant(i)*50*ms, time.Second, time.Millisecond, 2)
	}
	svc.target("a").level = level
	admitted := 0
	for range 10 {
		if h.shard.admitByPriority(r, q) {
			admitted++
			continue
		}
		assert.Assert(t, h.shard.sessions[2].request == nil, "held beyond its deadline")
		return
	}
	t.Fatalf("admitted %d times", admitted)
}
