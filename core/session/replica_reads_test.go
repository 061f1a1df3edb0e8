package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// The load of the comparison with an oracle router, which knows every position
// and the floor of every session.
const (
	replicaReadSessions   = 40
	replicaReadRequests   = 20 // per session, which is then replaced by a new one
	replicaReadInterval   = 40 * time.Millisecond
	replicaReadWriteRatio = 0.1
	replicaReadDuration   = 10 * time.Second
	replicaReadWarmUp     = 3 * time.Second // until every replica has caught up once
	replicaReadMaxAge     = 3 * time.Second
	minReplicaRatio       = 0.95 // of the reads that the oracle router sends to replicas
)

// replicaReadLoad is a number of sessions that each send reads and writes one
// after another, and the counts of the reads.
type replicaReadLoad struct {
	sim         *sim
	profile     types.ProfileName
	lastSession types.SessionID
	sessions    map[types.SessionID]*oracleSession

	replying *oracleSession

	reads, oracleReads, replicaReads int
}

// oracleSession is the state of one session as the oracle router knows it.
type oracleSession struct {
	remaining       int
	floor           uint64 // position of its writes, and of its reads unless they are age-bounded
	replicaPossible bool   // a replica can serve the read in progress
	current         *simStatement
}

func runReplicaReads(profile types.ProfileName, lag time.Duration) *replicaReadLoad {
	config := testConfig()
	for name, p := range config.Profiles {
		p.RequestTimeout, p.QueueTimeout = 10*time.Second, 5*time.Second
		if name == "catalog" {
			p.MaxAge = replicaReadMaxAge
		}
		config.Profiles[name] = p
	}
	svc := config.Services[svcName]
	svc.Profiles = []types.ProfileName{"session", "catalog"} // all wait for a majority
	config.Services[svcName] = svc
	targets := make(map[types.TargetName]*simTarget)
	for _, name := range []types.TargetName{"a", "b", "c"} {
		targets[name] = &simTarget{slots: 3, serviceTime: time.Millisecond, lag: lag}
	}
	targets["a"].lag = 0
	l := &replicaReadLoad{sim: newSim(Options{}, config, targets), profile: profile, sessions: make(map[types.SessionID]*oracleSession)}
	l.sim.onReply = l.recordReply
	l.sim.onObservation = l.recordObservation
	for range replicaReadSessions {
		l.openSession()
	}
	l.sim.run(l.sim.now.Add(replicaReadWarmUp))
	l.reads, l.oracleReads, l.replicaReads = 0, 0, 0
	l.sim.run(l.sim.now.Add(replicaReadDuration))
	return l
}

func (l *replicaReadLoad) openSession() {
	l.lastSession++
	id := l.lastSession
	l.sessions[id] = &oracleSession{remaining: replicaReadRequests}
	l.sim.step(event.SessionOpened{Session: id, Params: types.SessionParams{Service: svcName}})
	l.scheduleNext(id)
}

func (l *replicaReadLoad) scheduleNext(id types.SessionID) {
	interval := time.Duration(l.sim.rand.ExpFloat64() * float64(replicaReadInterval))
	l.sim.after(interval, func() { l.sendNext(id) })
}

func (l *replicaReadLoad) sendNext(id types.SessionID) {
	session := l.sessions[id]
	if session.remaining == 0 {
		l.sim.step(event.SessionClosed{Session: id})
		delete(l.sessions, id)
		l.openSession()
		return
	}
	session.remaining--
	session.current = &simStatement{write: l.sim.rand.Float64() < replicaReadWriteRatio}
	r := types.Request{Seq: types.RequestSeq(replicaReadRequests - session.remaining), Profile: l.profile, Payload: session.current}
	session.replicaPossible = false
	if !session.current.write {
		r.Class = types.ClassRead
		l.reads++
		session.replicaPossible = l.sim.position("b") >= session.floor || l.sim.position("c") >= session.floor
	}
	if session.replicaPossible {
		l.oracleReads++
	}
	l.sim.step(event.RequestArrived{Session: id, Request: r})
}

// recordObservation counts a read that a replica served. It is called right
// after recordReply for the same request.
func (l *replicaReadLoad) recordObservation(o effect.Observation) {
	if l.replying.replicaPossible && o.Replica && o.Refusal == 0 {
		l.replicaReads++
	}
}

func (l *replicaReadLoad) recordReply(id types.SessionID, _ *types.Refusal) {
	session := l.sessions[id]
	l.replying = session
	if session.current.write || l.profile == "session" {
		session.floor = max(session.floor, session.current.position)
	}
	l.scheduleNext(id)
}

// TestReplicasServeMostReads compares the number of reads that replicas serve
// with that of the oracle router.
func TestReplicasServeMostReads(t *testing.T) {
	for _, profile := range []types.ProfileName{"catalog", "session"} {
		for _, lag := range []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second} {
			t.Run(string(profile)+" "+lag.String(), func(t *testing.T) {
				l := runReplicaReads(profile, lag)
				ratio := float64(l.replicaReads) / float64(l.oracleReads)
				t.Logf("%s, lag %v: %d reads, oracle router %d, served by replicas %d (%.1f%%)",
					profile, lag, l.reads, l.oracleReads, l.replicaReads, 100*ratio)
				assert.Assert(t, ratio >= minReplicaRatio)
			})
		}
	}
}
