package session

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/routing"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// organisationLoad is a number of organisations whose callers ask by Zipf's law, most of
// them through a few proxies.
type organisationLoad struct {
	names int
	hot   bool // equal parts through any proxy instead, and the fleet's surge is the first one's
}

// anyProxyPart is the part of the operations that come through any proxy.
const anyProxyPart = 0.23

func (o organisationLoad) name(i int) types.OrganisationName {
	return types.OrganisationName(fmt.Sprint("organisation-", i))
}

func (o organisationLoad) key(i int) types.KeyDigest { return types.KeyDigest{1, byte(i)} }

func (o organisationLoad) configuration() map[types.OrganisationName]types.Organisation {
	out := make(map[types.OrganisationName]types.Organisation)
	for i := range o.names {
		out[o.name(i)] = types.Organisation{Name: o.name(i), Keys: []types.KeyDigest{o.key(i)}}
	}
	return out
}

// draw returns the organisation of an operation.
func (o organisationLoad) draw(random *rand.Rand) int {
	if o.names == 0 {
		return 0
	}
	var sum float64
	for i := range o.names {
		sum += 1 / float64(i+1)
	}
	u := random.Float64() * sum
	for i := range o.names {
		if u -= 1 / float64(i+1); u < 0 {
			return i
		}
	}
	return o.names - 1
}

// pickProxy returns the proxy of an operation: that of one of the organisation's long
// sessions, of which a large one has more, or any.
func (o organisationLoad) pickProxy(random *rand.Rand, organisation, proxies int) int {
	const longSessions = 100 // of the largest
	if random.Float64() < anyProxyPart {
		return random.IntN(proxies)
	}
	h := fnv.New64a()
	fmt.Fprint(h, organisation, " ", random.IntN(max(2, longSessions/(organisation+1))))
	return int(h.Sum64() % uint64(proxies))
}

// tenantFleet is the load of one service with a number of organisations.
func tenantFleet(organisations int, factor float64) fleetConfig {
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
	return fleetConfig{
		proxies: 26, slots: 4, maxQueue: 32, networkDelay: 8 * ms, lag: 60 * ms, duration: 20 * time.Second, delay: regionDelay,
		connLimit: 70, handshake: 12 * ms, policy: routing.LowestLatency{}, organisations: organisationLoad{names: organisations},
		classes: []requestClass{
			{database: "edits", profile: profile("edits", 0, 250*ms, 2*time.Second), perSecond: 12 * factor, serviceTime: 4500 * time.Microsecond, writeRatio: 0.2, transactionRatio: 0.25},
			{database: "catalogue", profile: profile("catalogue", 1500*ms, 1200*ms, 4*time.Second), perSecond: 21 * factor, serviceTime: 22 * ms, transactionRatio: 0.1},
			{database: "jobs", profile: profile("jobs", 2500*ms, 500*ms, 2*time.Second), perSecond: 55 * factor, serviceTime: 14 * ms, writeRatio: 0.12, transactionRatio: 0.12},
		},
	}
}

// connsPerOperation returns how many connections the members accepted for each operation.
func (f *fleet) connsPerOperation() float64 {
	opened, sent := 0, 0
	for _, m := range f.members {
		opened += m.opened
	}
	for _, c := range f.classes {
		sent += c.sent
	}
	return float64(opened) / float64(sent)
}

// TestFleetServesOrganisations covers 76 organisations that come through 26 proxies before
// members of 70 connections, on a quiet day and with 2.3 times as many operations.
func TestFleetServesOrganisations(t *testing.T) {
	for _, c := range []struct {
		organisations int
		factor        float64
		most          float64 // new connections for an operation
	}{{0, 1, 0.1}, {76, 1, 0.85}, {76, 2.3, 0.85}} {
		f := newFleet(tenantFleet(c.organisations, c.factor), 1)
		f.run()
		t.Logf("%d organisations, load %.1f: %.3f new connections an operation; %s", c.organisations, c.factor, f.connsPerOperation(), f)
		assert.Assert(t, f.inTimeRatio() > 0.995)
		assert.Assert(t, f.connsPerOperation() < c.most)
	}
}
