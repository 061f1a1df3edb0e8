package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Behaviour of the stand-in members, after the site file kovacic-booths.
const (
	memberSlots       = 5
	memberQueue       = 40
	memberConnections = 55
	promoteTime       = 300 * time.Millisecond
	replicaLag        = 20 * time.Millisecond // mean
	replicaLagSpread  = 0.6                   // of its logarithm
	maxReplicaLag     = 120 * time.Millisecond
	heartbeatInterval = 1200 * time.Millisecond
	workTime          = 11 * time.Millisecond
)

// commit is one commit of a group.
type commit struct {
	pos        position
	items      map[string]string
	rolledBack bool // a promotion has removed it from the group's log
}

// entry is a commit in the log of a member.
type entry struct {
	commit  *commit
	applied time.Time // when the member applies it as a replica
}

// group is a service with its members, one of which is the primary.
type group struct {
	rig     *rig
	service string

	mu      sync.Mutex
	term    uint64
	primary *member
	members []*member
	runs    []run // of clients' statements
}

// run is a client's statement that a member has executed.
type run struct {
	id, text string
	member   string
	at       time.Time
	log      []entry // what the member had applied
}

// member is a stand-in for one member of a group.
type member struct {
	group   *group
	id      string
	address string
	born    time.Time
	slots   chan struct{}

	// The group's lock protects these.
	listener  net.Listener
	conns     map[net.Conn]bool
	stop      chan struct{} // closed while the member is down
	seq       uint64
	log       []entry
	lagFactor float64       // by which commits are applied later than usual
	work      time.Duration // of a read, write or commit
	fails     float64       // share of the clients' statements that it fails
}

// newGroup returns a group of three members that aren't started yet.
func newGroup(r *rig, service string) (*group, error) {
	g := &group{rig: r, service: service, term: 3}
	for i := range 3 {
		l, err := net.Listen("tcp", r.ip(30+len(r.groups)*10+i)+":0")
		if err != nil {
			return nil, err
		}
		g.members = append(g.members, &member{
			group: g, id: fmt.Sprintf("i-%s-%d", service, i), address: l.Addr().String(), listener: l,
			born: time.Now(), slots: make(chan struct{}, memberSlots), conns: map[net.Conn]bool{},
			stop: make(chan struct{}), lagFactor: 1, work: workTime,
		})
	}
	g.primary = g.members[0]
	r.groups = append(r.groups, g)
	return g, nil
}

// start starts all members.
func (g *group) start() {
	for _, m := range g.members {
		m.start()
	}
}

// applied returns the part of the log that the member has applied.
func (m *member) applied() []entry {
	n := len(m.log)
	if m.group.primary != m {
		for n > 0 && time.Now().Before(m.log[n-1].applied) {
			n--
		}
	}
	return m.log[:n:n]
}

// last returns the position of the last entry of a log.
func last(log []entry) position {
	if len(log) == 0 {
		return position{}
	}
	return log[len(log)-1].commit.pos
}

// commit appends a commit to the log of the primary. Replicas receive it unless they
// are down.
func (g *group) commit(items map[string]string) {
	c := &commit{pos: position{g.term, uint64(len(g.primary.log)) + 1}, items: items}
	g.primary.log = append(g.primary.log, entry{c, time.Now()})
	for _, m := range g.members {
		if m != g.primary && !m.down() {
			m.follow()
		}
	}
}

// down reports whether the member is down.
func (m *member) down() bool {
	select {
	case <-m.stop:
		return true
	default:
		return false
	}
}

// follow makes the log of a replica that of the primary. What the primary lacks is
// rolled back, what the replica lacks is received now and applied later.
func (m *member) follow() {
	source := m.group.primary.log
	same := 0
	for same < min(len(m.log), len(source)) && m.log[same].commit == source[same].commit {
		same++
	}
	m.log = m.log[:same:same]
	for _, e := range source[same:] {
		at := time.Now().Add(m.drawLag())
		if len(m.log) > 0 && at.Before(m.log[len(m.log)-1].applied) {
			at = m.log[len(m.log)-1].applied // commits are applied in order
		}
		m.log = append(m.log, entry{e.commit, at})
	}
}

// drawLag draws the time from receiving a commit until it is applied.
func (m *member) drawLag() time.Duration {
	lag := float64(replicaLag) * math.Exp(replicaLagSpread*rand.NormFloat64()-replicaLagSpread*replicaLagSpread/2)
	return time.Duration(min(lag, float64(maxReplicaLag)) * m.lagFactor)
}

// lead makes the member the primary of the next term with what it has received.
func (g *group) lead(m *member) {
	if m == g.primary || m.down() {
		return
	}
	for _, e := range g.primary.log {
		e.commit.rolledBack = true
	}
	for _, e := range m.log {
		e.commit.rolledBack = false
	}
	g.term++
	g.primary = m
	for _, other := range g.members {
		if other != m && !other.down() {
			other.follow()
		}
	}
}

// setLag makes the replicas of the group apply commits later by a factor.
func (g *group) setLag(factor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		m.lagFactor = factor
	}
}

// contains reports whether a log holds a commit.
func contains(log []entry, c *commit) bool {
	n := int(c.pos.number)
	return n <= len(log) && log[n-1].commit == c
}

// find returns the commit that wrote a value, or nil.
func (g *group) find(value string) *commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		for _, e := range m.log {
			for _, v := range e.commit.items {
				if v == value {
					return e.commit
				}
			}
		}
	}
	return nil
}

// runOf returns the last run of a client's statement.
func (g *group) runOf(id string) (run, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := len(g.runs) - 1; i >= 0; i-- {
		if g.runs[i].id == id {
			return g.runs[i], true
		}
	}
	return run{}, false
}

// ran reports whether a member has received a client's statement.
func (g *group) ran(id string) bool {
	_, ok := g.runOf(id)
	return ok
}
