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
	// slowLink is what callers leave of a proxy's link, in bytes a second: a
	// quarter of the 4.5 Mbit/s of the slowest ones at hand.
	slowLink = 4_500_000 / 8 / 4
	// largeRoutes is how many routes the largest configuration at hand adds.
	largeRoutes = 1400
	// inForceEverywhere is the target of letter 1.
	inForceEverywhere = 6 * time.Second
)

// links hold back what control sends to proxies as links of a given rate do.
type links struct {
	rate int                            // bytes a second; zero sets no limit
	free map[types.HostID]time.Duration // when a proxy's link is done with what was sent
	sent map[types.HostID]int           // bytes
}

// grant sends a grant to a proxy.
func (w *world) grant(from types.HostID, g proto.LeaseGrant) {
	deliver := func() { w.cluster.Message(from, g.Proxy, event.LeaseGranted{From: from, Grant: g}) }
	if w.links.rate == 0 {
		deliver()
		return
	}
	frame, err := wire.Encode(wire.Frame{LeaseGrant: &g})
	if err != nil {
		w.t.Fatalf("encoding a grant: %v", err)
	}
	took := time.Duration(len(frame)) * time.Second / time.Duration(w.links.rate)
	w.links.free[g.Proxy] = max(w.links.free[g.Proxy], w.cluster.Now()) + took
	w.links.sent[g.Proxy] += len(frame)
	run := w.proxies[g.Proxy].run
	w.cluster.Schedule(w.links.free[g.Proxy]-w.cluster.Now(), func() {
		if w.proxies[g.Proxy].run == run {
			deliver()
		}
	})
}

// slowDown bounds what control can send to each proxy from now on.
func (w *world) slowDown(rate int) {
	w.links = links{rate: rate, free: make(map[types.HostID]time.Duration), sent: make(map[types.HostID]int)}
}

// largeChange returns a change to a configuration with many routes and as many
// profiles. It differs from the one before in the route that it returns, and in
// the weights that every change has.
func (o *operators) largeChange(members int) (proto.ChangeConfig, types.DatabaseName) {
	c := o.change(members)
	session := testConfig(members).Profiles["session"]
	c.Config.Routes = make(map[types.DatabaseName]types.Route)
	for r := range largeRoutes {
		name := types.DatabaseName(fmt.Sprintf("database-%d", r))
		c.Config.Routes[name] = types.Route{Database: name, Service: service, Profile: "session"}
		c.Config.Profiles[types.ProfileName(name)] = session
	}
	added := types.DatabaseName(fmt.Sprintf("added-%s", c.ID))
	c.Config.Routes[added] = types.Route{Database: added, Service: service, Profile: "session"}
	return c, added
}

// routed reports whether every proxy acts on a route.
func (w *world) routed(name types.DatabaseName) bool {
	for _, id := range w.proxyIDs() {
		p := w.proxies[id]
		if !p.view.Routes(name) || !p.view.LeaseLive(w.cluster.Local(w.cluster.Hosts[id])) {
			return false
		}
	}
	return true
}

// enlarge puts a large configuration in force and returns the route that was added
// last.
func (m *machine) enlarge(t *testing.T) types.DatabaseName {
	t.Helper()
	c, added := m.operators.largeChange(3)
	m.operators.send(m.leading, operatorCall{change: c})
	inForce := m.cluster.RunUntil(inForceEverywhere, func() bool { return m.routed(added) })
	assert.Assert(t, inForce, "the large change is not in force")
	return added
}

// TestChangesOverSlowLinks guards against changes of a large configuration that
// don't reach proxies in time, as each brings the whole configuration again. The
// changes come faster than a whole configuration passes the links.
func TestChangesOverSlowLinks(t *testing.T) {
	const changes, gap = 8, 500 * time.Millisecond
	m := &machine{world: newWorld(t, 71, voters, 6, 3)}
	m.waitServing()
	m.slowDown(slowLink)
	added := m.enlarge(t)
	for range changes {
		var c proto.ChangeConfig
		c, added = m.operators.largeChange(3)
		m.operators.send(m.leading, operatorCall{change: c})
		m.cluster.Run(gap)
		assert.Assert(t, m.serving() != nil, "a proxy lost its lease after %s", c.ID)
	}
	assert.Assert(t, m.cluster.RunUntil(inForceEverywhere, func() bool { return m.routed(added) }), "the last change is not in force")
	m.operators.settled()
	m.checkAllServe()
}

// TestFirstViewOverASlowLink guards against proxies that never get their first
// view of a large configuration, although they reach the leader: once while
// nothing else happens, and once while the leader restarts again and again.
func TestFirstViewOverASlowLink(t *testing.T) {
	for _, restarts := range []int{0, 3} {
		t.Run(fmt.Sprint("restarts of the leader ", restarts), func(t *testing.T) {
			m := &machine{world: newWorld(t, 72, voters, 6, 3)}
			m.waitServing()
			added := m.enlarge(t)
			m.slowDown(slowLink)
			for _, id := range m.proxyIDs() {
				m.stop(id)
			}
			m.recover()
			for range restarts {
				m.cluster.Run(2 * time.Second)
				m.stop(m.leading)
				m.recover()
			}
			assert.Assert(t, m.cluster.RunUntil(inForceEverywhere, func() bool { return m.routed(added) }), "a proxy has no view")
			m.checkAllServe()
		})
	}
}

// TestOnlyChangesTravel guards against answers that carry the whole configuration
// after each change. A node may spend 9 KB a second on control (letter 1).
func TestOnlyChangesTravel(t *testing.T) {
	const budget = 9 << 10
	m := &machine{world: newWorld(t, 73, voters, 3, 3)}
	m.waitServing()
	m.enlarge(t)
	m.slowDown(slowLink)
	c, added := m.operators.largeChange(3)
	m.operators.send(m.leading, operatorCall{change: c})
	m.cluster.Run(time.Second)
	assert.Assert(t, m.routed(added))
	for _, id := range m.proxyIDs() {
		assert.Assert(t, m.links.sent[id] <= budget, "%s was sent %d bytes for one route", id, m.links.sent[id])
	}
}
