package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// The load of the comparison with an all-knowing router.
const (
	shareSessions = 40
	shareRequests = 20 // of one session, before a new one takes its place
	sharePause    = 40 * time.Millisecond
	shareWrites   = 0.1
	shareTime     = 10 * time.Second
	shareWarmUp   = 3 * time.Second // until all replicas have caught up once
	shareMaxAge   = 3 * time.Second
	shareAim      = 0.95 // of the reads that an all-knowing router sends to replicas
)

// shareLoad is a number of sessions that read and write in turns.
type shareLoad struct {
	sim     *sim
	profile types.ProfileName
	next    types.SessionID
	callers map[types.SessionID]*shareCaller

	replying *shareCaller

	reads, possible, served int
}

// shareCaller is what is true of one session, known to nobody but the oracle.
type shareCaller struct {
	left     int
	floor    uint64 // what it wrote, and read unless it reads by age
	possible bool   // a replica could serve the read under way
	under    *simStatement
}

func runShare(profile types.ProfileName, lag time.Duration) *shareLoad {
	config := testConfig()
	for name, p := range config.Profiles {
		p.RequestTimeout, p.QueueTimeout = 10*time.Second, 5*time.Second
		if name == "catalog" {
			p.MaxAge = shareMaxAge
		}
		config.Profiles[name] = p
	}
	svc := config.Services[svcName]
	svc.Profiles = []types.ProfileName{"session", "catalog"} // all wait for a majority
	config.Services[svcName] = svc
	targets := make(map[types.TargetName]*simTarget)
	for _, name := range []types.TargetName{"a", "b", "c"} {
		targets[name] = &simTarget{slots: 3, service: time.Millisecond, lag: lag}
	}
	targets["a"].lag = 0
	l := &shareLoad{sim: newSim(Options{}, config, targets), profile: profile, callers: make(map[types.SessionID]*shareCaller)}
	l.sim.replied = l.replied
	l.sim.observed = l.observed
	for range shareSessions {
		l.open()
	}
	l.sim.run(l.sim.now.Add(shareWarmUp))
	l.reads, l.possible, l.served = 0, 0, 0
	l.sim.run(l.sim.now.Add(shareTime))
	return l
}

func (l *shareLoad) open() {
	l.next++
	id := l.next
	l.callers[id] = &shareCaller{left: shareRequests}
	l.sim.step(event.SessionOpened{Session: id, Params: types.SessionParams{Service: svcName}})
	l.later(id)
}

func (l *shareLoad) later(id types.SessionID) {
	pause := time.Duration(l.sim.rand.ExpFloat64() * float64(sharePause))
	l.sim.after(pause, func() { l.ask(id) })
}

func (l *shareLoad) ask(id types.SessionID) {
	c := l.callers[id]
	if c.left == 0 {
		l.sim.step(event.SessionClosed{Session: id})
		delete(l.callers, id)
		l.open()
		return
	}
	c.left--
	c.under = &simStatement{write: l.sim.rand.Float64() < shareWrites}
	r := types.Request{Seq: types.RequestSeq(shareRequests - c.left), Profile: l.profile, Payload: c.under}
	c.possible = false
	if !c.under.write {
		r.Class = types.ClassRead
		l.reads++
		c.possible = l.sim.position("b") >= c.floor || l.sim.position("c") >= c.floor
	}
	if c.possible {
		l.possible++
	}
	l.sim.step(event.RequestArrived{Session: id, Request: r})
}

// observed comes just after the reply to the same request.
func (l *shareLoad) observed(o effect.Observation) {
	if l.replying.possible && o.Replica && o.Refusal == 0 {
		l.served++
	}
}

func (l *shareLoad) replied(id types.SessionID, _ *types.Refusal) {
	c := l.callers[id]
	l.replying = c
	if c.under.write || l.profile == "session" {
		c.floor = max(c.floor, c.under.position)
	}
	l.later(id)
}

// TestReplicasServeMostReads compares the share of reads that replicas serve
// with that of a router which knows every position and every session's past.
func TestReplicasServeMostReads(t *testing.T) {
	for _, profile := range []types.ProfileName{"catalog", "session"} {
		for _, lag := range []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second} {
			t.Run(string(profile)+" "+lag.String(), func(t *testing.T) {
				l := runShare(profile, lag)
				share := float64(l.served) / float64(l.possible)
				t.Logf("%s, lag %v: %d reads, all-knowing %d, served by replicas %d (%.1f%%)",
					profile, lag, l.reads, l.possible, l.served, 100*share)
				assert.Assert(t, share >= shareAim)
			})
		}
	}
}
