package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// oracle is what a target sees of the connections of a pool: for which organisation each
// was opened, and which of them run something.
type oracle struct {
	opened  map[types.ConnID]types.OrganisationName
	dialing map[types.ConnID]*Conn
	idle    map[types.ConnID]*Conn
	running map[types.ConnID]*Conn
}

// poolMachine drives a pool with requests of several organisations.
type poolMachine struct {
	oracle
	target  *Target
	now     types.Instant
	share   types.Share
	lastID  types.ConnID
	waiting []Waiting

	turnBegan types.Instant
}

func newPoolMachine() *poolMachine {
	m := &poolMachine{
		oracle: oracle{
			opened: make(map[types.ConnID]types.OrganisationName), dialing: make(map[types.ConnID]*Conn),
			idle: make(map[types.ConnID]*Conn), running: make(map[types.ConnID]*Conn),
		},
		target: NewTarget(types.TargetRef{Service: "s", Name: "t"}), now: types.Instant(time.Second),
	}
	for _, o := range []types.OrganisationName{"", "a", "b", "c", "d"} {
		m.waiting = append(m.waiting, Waiting{Organisation: o})
	}
	m.setShare(types.Share{Connections: 3, Shared: 3, Slots: 2})
	return m
}

func (m *poolMachine) setShare(share types.Share) {
	m.share = share
	m.closed(m.target.Update("10.0.0.1:1", share), true)
}

// closed removes closed connections. Only Update may close one that is being opened.
func (m *poolMachine) closed(conns []*Conn, byUpdate bool) {
	for _, c := range conns {
		if m.running[c.ID] != nil || m.dialing[c.ID] != nil && !byUpdate {
			panic(fmt.Sprintf("connection %d of organisation %q was closed in use or while it was opened", c.ID, c.Organisation))
		}
		delete(m.idle, c.ID)
		delete(m.dialing, c.ID)
	}
}

func (m *poolMachine) demand() Demand {
	busy := false
	for _, w := range m.waiting {
		busy = busy || w.Requests > 0
	}
	return Demand{Waiting: m.waiting, ServiceWaiting: busy, Organisations: true}
}

// plan opens and closes what the pool wants, and checks that nothing is closed that a
// waiting request could use.
func (m *poolMachine) plan(t *rapid.T) {
	p := m.target.PlanDials(m.demand(), m.now)
	m.closed(p.Close, false)
	needed := 0
	for _, closed := range p.Close {
		left := 0
		for _, c := range m.idle {
			if c.Organisation == closed.Organisation {
				left++
			}
		}
		for _, w := range m.waiting {
			if w.Organisation == closed.Organisation && left < w.Requests {
				needed++
				assert.Assert(t, closed.seq > 0, "a connection that a request waits for was closed before it was used")
			}
		}
	}
	assert.Assert(t, needed == 0 || needed == 1 && m.target.turnBegan == m.now && m.now.Sub(m.turnBegan) >= Turn, "%d connections that requests wait for were closed", needed)
	m.turnBegan = m.target.turnBegan
	for _, o := range p.Open {
		m.lastID++
		m.opened[m.lastID] = o
		m.dialing[m.lastID] = m.target.Dial(m.lastID, o)
	}
}

// serve starts a request of a waiting organisation if it can.
func (m *poolMachine) serve(t *rapid.T, i int) bool {
	w := &m.waiting[i]
	if w.Requests == 0 {
		return false
	}
	ready := m.target.Ready(w.Organisation)
	c := m.target.Acquire(1, w.Organisation, nil)
	assert.Equal(t, c != nil, ready)
	if c == nil {
		return false
	}
	assert.Assert(t, m.idle[c.ID] == c, "connection %d isn't idle", c.ID)
	assert.Equal(t, m.opened[c.ID], w.Organisation, "organisation of connection %d", c.ID)
	delete(m.idle, c.ID)
	m.running[c.ID] = c
	c.BeginExchange()
	w.Requests--
	return true
}

func (m *poolMachine) connect(c *Conn) {
	delete(m.dialing, c.ID)
	m.idle[c.ID] = c
	m.target.Connected(c, m.now)
}

func (m *poolMachine) release(c *Conn) {
	delete(m.running, c.ID)
	c.EndExchange()
	if m.target.Release(c, m.now) {
		m.idle[c.ID] = c
	}
}

func anyConn(t *rapid.T, conns map[types.ConnID]*Conn) *Conn {
	if len(conns) == 0 {
		return nil
	}
	return conns[rapid.SampledFrom(sortedIDs(conns)).Draw(t, "connection")]
}

func sortedIDs(conns map[types.ConnID]*Conn) []types.ConnID {
	var ids []types.ConnID
	for id := types.ConnID(1); len(ids) < len(conns); id++ {
		if conns[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestConnectionsServeOneOrganisation covers requests of several organisations before a
// target with fewer connections, whose share changes and that rejects some of them.
func TestConnectionsServeOneOrganisation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPoolMachine()
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				assert.Equal(t, m.target.Open(), len(m.dialing)+len(m.idle)+len(m.running))
				assert.Assert(t, len(m.dialing)+len(m.idle) == 0 || m.target.Open() <= m.share.Connections, "more open than the share allows")
				for id, c := range m.running {
					assert.Equal(t, c.Organisation, m.opened[id])
				}
			},
			"arrive": func(t *rapid.T) {
				w := &m.waiting[rapid.IntRange(0, len(m.waiting)-1).Draw(t, "organisation")]
				if w.Requests++; w.Requests == 1 {
					w.Since = m.now
				}
			},
			"serve": func(t *rapid.T) { m.serve(t, rapid.IntRange(0, len(m.waiting)-1).Draw(t, "organisation")) },
			"overdue": func(t *rapid.T) {
				w := &m.waiting[rapid.IntRange(0, len(m.waiting)-1).Draw(t, "organisation")]
				w.Since = m.now.Add(-Turn)
			},
			"plan": m.plan,
			"connect": func(t *rapid.T) {
				if c := anyConn(t, m.dialing); c != nil {
					m.connect(c)
				}
			},
			"reject": func(t *rapid.T) {
				if c := anyConn(t, m.dialing); c != nil {
					delete(m.dialing, c.ID)
					m.target.DialFailed(c, true, m.now)
				}
			},
			"release": func(t *rapid.T) {
				if c := anyConn(t, m.running); c != nil {
					m.release(c)
				}
			},
			"close idle": func(t *rapid.T) { m.closed(m.target.CloseIdle(m.now), false) },
			"share": func(t *rapid.T) {
				n := rapid.IntRange(1, 4).Draw(t, "connections")
				m.setShare(types.Share{Connections: n, Shared: rapid.IntRange(0, n).Draw(t, "shared"), Slots: 2})
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
		})
		m.finish(t)
	})
}

// finish lets everything come to its end and checks that each request is served.
func (m *poolMachine) finish(t *rapid.T) {
	const rounds = 400
	for range rounds {
		m.now = m.now.Add(maxDialBackoff)
		for _, id := range sortedIDs(m.running) {
			m.release(m.running[id])
		}
		for _, id := range sortedIDs(m.dialing) {
			m.connect(m.dialing[id])
		}
		for i := range m.waiting {
			m.serve(t, i)
		}
		m.plan(t)
	}
	for _, w := range m.waiting {
		assert.Equal(t, w.Requests, 0, "requests of organisation %q wait for ever", w.Organisation)
	}
}

// TestLeastRecentlyUsedMakesRoom covers an organisation without a connection at a target
// whose share is used up by idle ones of others.
func TestLeastRecentlyUsedMakesRoom(t *testing.T) {
	m := newPoolMachine()
	for i, o := range []types.OrganisationName{"a", "b", "c"} {
		c := m.target.Dial(types.ConnID(i+1), o)
		m.target.Connected(c, m.now.Add(-time.Duration(i)))
		c.BeginExchange()
		c.EndExchange()
	}
	assert.Assert(t, m.target.Starved("d", m.now))
	plan := m.target.PlanDials(Demand{Waiting: []Waiting{{Organisation: "d", Requests: 1, Since: m.now}, {Organisation: "c", Requests: 1, Since: m.now}}}, m.now)
	assert.DeepEqual(t, plan.Open, []types.OrganisationName{"d"})
	assert.Equal(t, len(plan.Close), 1)
	assert.Equal(t, plan.Close[0].Organisation, types.OrganisationName("b"), "the oldest is needed")
	assert.Equal(t, m.target.Counts(), types.ConnCounts{Opened: 3, Replaced: 1})
}

// TestUnreachableTargetIsTriedAgain covers a proxy that keeps no idle connection of a
// target: after a failed dial, no request waits for the target any more.
func TestUnreachableTargetIsTriedAgain(t *testing.T) {
	target := NewTarget(types.TargetRef{Service: "s", Name: "t"})
	target.Update("10.0.0.1:1", types.Share{Connections: 40, Shared: 40, Slots: 2})
	failed := types.Instant(time.Second)
	target.DialFailed(target.Dial(1, ""), false, failed)
	assert.Assert(t, !target.Reachable(failed))
	retried := target.NextDialAt(false)
	assert.Equal(t, dials(target, 0, false, retried-1), 0)
	assert.Equal(t, dials(target, 0, false, retried), 1)
}

// TestFullTargetIsReachableAgain covers a proxy that keeps no idle connection of a target
// that rejected one because of its limit.
func TestFullTargetIsReachableAgain(t *testing.T) {
	target := NewTarget(types.TargetRef{Service: "s", Name: "t"})
	target.Update("10.0.0.1:1", types.Share{Connections: 40, Shared: 40, Slots: 2})
	rejected := types.Instant(time.Second)
	target.DialFailed(target.Dial(1, ""), true, rejected)
	assert.Equal(t, dials(target, 0, false, rejected.Add(time.Hour)), 0, "a full target gets a connection that nobody waits for")
	assert.Assert(t, !target.Reachable(rejected.Add(fullDuration-1)))
	assert.Assert(t, target.Reachable(rejected.Add(fullDuration)))
}

// TestKeptConnectionOfAnOrganisationIsClosed covers an organisation whose callers don't come
// back, at a target of a service that is not managed. A connection without a name is kept,
// since every caller without one can use it.
func TestKeptConnectionOfAnOrganisationIsClosed(t *testing.T) {
	target := NewTarget(types.TargetRef{Service: "s", Name: "t"})
	target.Update("10.0.0.1:1", types.Share{Connections: 40, Slots: 2})
	for i, o := range []types.OrganisationName{"", "a"} {
		target.Connected(target.Dial(types.ConnID(i+1), o), 0)
	}
	end := types.Instant(keptIdleTimeout)
	assert.Equal(t, target.NextIdleClose(), end)
	assert.Equal(t, len(target.CloseIdle(end-1)), 0)
	closed := target.CloseIdle(end)
	assert.Equal(t, len(closed), 1)
	assert.Equal(t, closed[0].Organisation, types.OrganisationName("a"))
	assert.Equal(t, target.NextIdleClose(), types.Instant(0))
}
