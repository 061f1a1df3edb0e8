package systemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/wire"
	"gotest.tools/v3/assert"
)

const (
	// slowLinkRate is the part of a proxy's link that callers leave to control, in
	// bytes per second: a quarter of the 4.5 Mbit/s of the slowest links.
	slowLinkRate = 4_500_000 / 8 / 4
	// extraRoutes is the number of routes that a large change adds, as many as the
	// largest known configuration has.
	extraRoutes = 1400
	// rolloutBound is the maximum time from a change until every proxy uses it.
	rolloutBound = 6 * time.Second
)

// linkLimits delays what control sends to proxies according to the rate of their links.
type linkLimits struct {
	rate      int                            // bytes per second; zero means unlimited
	idleAt    map[types.HostID]time.Duration // when all bytes sent to a proxy have been transmitted
	sentBytes map[types.HostID]int           // bytes sent to a proxy
}

// grant sends a lease grant to a proxy at the rate of its link.
func (s *simulation) grant(from types.HostID, g proto.LeaseGrant) {
	deliver := func() { s.cluster.Send(from, g.Proxy, event.LeaseGranted{From: from, Grant: g}) }
	if s.links.rate == 0 {
		deliver()
		return
	}
	frame, err := wire.Encode(wire.Frame{LeaseGrant: &g})
	if err != nil {
		s.t.Fatalf("encoding a lease grant: %v", err)
	}
	transmission := time.Duration(len(frame)) * time.Second / time.Duration(s.links.rate)
	s.links.idleAt[g.Proxy] = max(s.links.idleAt[g.Proxy], s.cluster.Now()) + transmission
	s.links.sentBytes[g.Proxy] += len(frame)
	incarnation := s.proxies[g.Proxy].incarnation
	s.cluster.Schedule(s.links.idleAt[g.Proxy]-s.cluster.Now(), func() {
		if s.proxies[g.Proxy].incarnation == incarnation {
			deliver()
		}
	})
}

// limitLinks limits the rate at which control can send to each proxy.
func (s *simulation) limitLinks(rate int) {
	s.links = linkLimits{rate: rate, idleAt: make(map[types.HostID]time.Duration), sentBytes: make(map[types.HostID]int)}
}

// largeChange returns a change to a configuration with extraRoutes routes and as many
// profiles. It differs from the previous change in the route that is returned, and in
// the weights, which differ in every change.
func (o *operators) largeChange(members int) (proto.ChangeConfig, types.DatabaseName) {
	c := o.change(members)
	session := testConfig(members).Profiles["session"]
	c.Config.Routes = make(map[types.DatabaseName]types.Route)
	for r := range extraRoutes {
		name := types.DatabaseName(fmt.Sprintf("database-%d", r))
		c.Config.Routes[name] = types.Route{Database: name, Service: service, Profile: "session"}
		c.Config.Profiles[types.ProfileName(name)] = session
	}
	added := types.DatabaseName(fmt.Sprintf("added-%s", c.ID))
	c.Config.Routes[added] = types.Route{Database: added, Service: service, Profile: "session"}
	return c, added
}

// allProxiesRoute reports whether every proxy has a live lease and a route for the
// database.
func (s *simulation) allProxiesRoute(name types.DatabaseName) bool {
	for _, id := range s.proxyIDs() {
		p := s.proxies[id]
		if !p.view.Routes(name) || !p.view.LeaseLive(s.cluster.LocalTime(s.cluster.Hosts[id])) {
			return false
		}
	}
	return true
}

// applyLargeConfig applies a large configuration and returns the route that was added
// last.
func (m *machine) applyLargeConfig(t *testing.T) types.DatabaseName {
	t.Helper()
	c, added := m.operators.largeChange(3)
	m.operators.send(m.leader, operatorCall{change: c})
	inEffect := m.cluster.RunUntil(rolloutBound, func() bool { return m.allProxiesRoute(added) })
	assert.Assert(t, inEffect, "a proxy does not use the large configuration after %v", rolloutBound)
	return added
}

// TestChangesOverSlowLinks guards against changes of a large configuration that don't
// reach proxies in time because each of them transmits the whole configuration. The
// changes come faster than the links can transmit whole configurations.
func TestChangesOverSlowLinks(t *testing.T) {
	const changes, interval = 8, 500 * time.Millisecond
	m := &machine{simulation: newSimulation(t, 71, voters, 6, 3)}
	m.awaitServing()
	m.limitLinks(slowLinkRate)
	added := m.applyLargeConfig(t)
	for range changes {
		var c proto.ChangeConfig
		c, added = m.operators.largeChange(3)
		m.operators.send(m.leader, operatorCall{change: c})
		m.cluster.Run(interval)
		assert.Assert(t, m.commonPrimary() != nil, "a proxy lost its lease after %s", c.ID)
	}
	assert.Assert(t, m.cluster.RunUntil(rolloutBound, func() bool { return m.allProxiesRoute(added) }), "a proxy does not use the last change after %v", rolloutBound)
	m.operators.checkConverged()
	m.checkAllServe()
}

// TestFirstViewOverASlowLink guards against proxies that reach the leader but never
// receive their first view of a large configuration: once without other failures,
// and once while the leader restarts repeatedly.
func TestFirstViewOverASlowLink(t *testing.T) {
	for _, restarts := range []int{0, 3} {
		t.Run(fmt.Sprint("restarts of the leader ", restarts), func(t *testing.T) {
			m := &machine{simulation: newSimulation(t, 72, voters, 6, 3)}
			m.awaitServing()
			added := m.applyLargeConfig(t)
			m.limitLinks(slowLinkRate)
			for _, id := range m.proxyIDs() {
				m.stop(id)
			}
			m.recover()
			for range restarts {
				m.cluster.Run(2 * time.Second)
				m.stop(m.leader)
				m.recover()
			}
			assert.Assert(t, m.cluster.RunUntil(rolloutBound, func() bool { return m.allProxiesRoute(added) }), "a proxy has no view with the last route after %v", rolloutBound)
			m.checkAllServe()
		})
	}
}

// TestOnlyChangesTravel guards against lease grants that carry the whole configuration
// after each change. The budget for control traffic is 9 KB per second for each node.
func TestOnlyChangesTravel(t *testing.T) {
	const budget = 9 << 10
	m := &machine{simulation: newSimulation(t, 73, voters, 3, 3)}
	m.awaitServing()
	m.applyLargeConfig(t)
	m.limitLinks(slowLinkRate)
	c, added := m.operators.largeChange(3)
	m.operators.send(m.leader, operatorCall{change: c})
	m.cluster.Run(time.Second)
	assert.Assert(t, m.allProxiesRoute(added))
	for _, id := range m.proxyIDs() {
		assert.Assert(t, m.links.sentBytes[id] <= budget, "%s was sent %d bytes for one changed route, the budget is %d", id, m.links.sentBytes[id], budget)
	}
}
