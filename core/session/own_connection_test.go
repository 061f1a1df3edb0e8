package session

import (
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// connectionOracle is what targets see of connections and callers of their requests: the
// organisation that each connection was opened for, and that of each request's caller.
type connectionOracle struct {
	*harness
	opened  map[types.ConnID]types.OrganisationName
	dialing []types.ConnID
	running []effect.SendTarget
	callers map[types.SessionID]types.OrganisationName
	seen    int // sends that were checked
}

func newConnectionOracle(t testing.TB, share types.Share) *connectionOracle {
	o := &connectionOracle{
		harness: newOrganisationHarness(t), opened: make(map[types.ConnID]types.OrganisationName),
		callers: make(map[types.SessionID]types.OrganisationName),
	}
	o.setShare("a", share)
	return o
}

// openCallers opens a number of sessions for each organisation.
func (o *connectionOracle) openCallers(each int) {
	for range each {
		for _, name := range []types.OrganisationName{"mill", "yard"} {
			id := types.SessionID(len(o.callers) + 1)
			o.callers[id] = name
			o.openWithKey(id, map[types.OrganisationName]types.KeyDigest{"mill": millKey, "yard": yardKey}[name])
		}
	}
}

func (o *connectionOracle) ids() []types.SessionID { return sortedKeys(o.callers) }

// send sends a request whose payload names its caller's organisation.
func (o *connectionOracle) send(id types.SessionID, r types.Request) {
	o.lastSeq++
	r.Seq, r.Payload, r.Fenced = o.lastSeq, o.callers[id], true
	o.step(event.RequestArrived{Session: id, Request: r})
}

// observe notes what was opened, and checks on which connection requests were sent.
func (o *connectionOracle) observe() {
	for _, e := range o.dials {
		o.opened[e.Conn] = e.Organisation
		o.dialing = append(o.dialing, e.Conn)
	}
	o.dials = nil
	for _, e := range o.sends[o.seen:] {
		assert.Assert(o.t, !o.closed[e.Conn], "an exchange on closed connection %d", e.Conn)
		for _, op := range e.Operations {
			if op.Kind == types.OpCaller {
				assert.Equal(o.t, o.opened[e.Conn], op.Payload.(types.OrganisationName), "organisation of connection %d", e.Conn)
			}
		}
		o.running = append(o.running, e)
	}
	o.seen = len(o.sends)
	o.dialing = slices.DeleteFunc(o.dialing, func(c types.ConnID) bool { return o.closed[c] })
	o.running = slices.DeleteFunc(o.running, func(e effect.SendTarget) bool { return o.closed[e.Conn] })
	held := 0
	for conn := range o.opened {
		if o.targetOf[conn] == "a" && !o.closed[conn] {
			held++
		}
	}
	assert.Assert(o.t, held <= max(o.view.Shares[ref("a")].Connections, len(o.running)+o.resting()), "%d connections", held)
}

// resting returns how many transactions wait for their caller.
func (o *connectionOracle) resting() int {
	n := 0
	for _, c := range o.shard.sessions {
		if c.inTransaction() && c.request == nil {
			n++
		}
	}
	return n
}

func (o *connectionOracle) connectOne(i int, full bool) {
	conn := o.dialing[i]
	o.dialing = slices.Delete(o.dialing, i, i+1)
	var err error
	if full {
		err = errConnRefused
	}
	o.step(event.TargetConnected{Conn: conn, Err: err, Full: full})
}

func (o *connectionOracle) answerOne(i int, tx types.TxStatus) {
	e := o.running[i]
	o.running = slices.Delete(o.running, i, i+1)
	o.answerWith(e, tx, types.TargetStatus{})
}

// TestRequestRunsOnItsOrganisationsConnection covers callers of two organisations whose
// requests wait, run, rest in transactions and time out while connections are opened,
// rejected and closed for each other.
func TestRequestRunsOnItsOrganisationsConnection(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := newConnectionOracle(t, types.Share{Connections: 2, Shared: 2, Slots: 1})
		o.openCallers(3)
		idle := func(id types.SessionID) bool { c := o.shard.sessions[id]; return c != nil && c.request == nil }
		send := func(r types.Request) func(*rapid.T) {
			return func(t *rapid.T) {
				if id := rapid.SampledFrom(o.ids()).Draw(t, "caller"); idle(id) && !(r.BeginsTx && o.shard.sessions[id].inTransaction()) {
					o.send(id, r)
				}
			}
		}
		pick := func(t *rapid.T, n int) int { return rapid.IntRange(0, n-1).Draw(t, "one of") }
		rt.Repeat(map[string]func(*rapid.T){
			"":      func(*rapid.T) { o.observe() },
			"write": send(types.Request{DiscardedOnClose: true, MayCommit: true}),
			"begin": send(types.Request{BeginsTx: true, DiscardedOnClose: true}),
			"connect": func(t *rapid.T) {
				if n := len(o.dialing); n > 0 {
					o.connectOne(pick(t, n), rapid.IntRange(0, 3).Draw(t, "full") == 0)
				}
			},
			"answer": func(t *rapid.T) {
				if n := len(o.running); n > 0 {
					o.answerOne(pick(t, n), rapid.SampledFrom([]types.TxStatus{types.TxIdle, types.TxOpen}).Draw(t, "transaction"))
				}
			},
			"share": func(t *rapid.T) {
				n := rapid.IntRange(1, 3).Draw(t, "connections")
				o.setShare("a", types.Share{Connections: n, Shared: rapid.IntRange(0, n).Draw(t, "shared"), Slots: 1})
			},
			"wait": func(t *rapid.T) { o.advance(time.Duration(rapid.IntRange(1, 80).Draw(t, "ms")) * time.Millisecond) },
		})
	})
}

// TestOrganisationsTakeTurnsOnOneConnection covers two organisations whose callers send
// without a pause through a proxy that may hold one connection, so that all requests are
// overdue: both are served, and the connection isn't opened anew for each request.
func TestOrganisationsTakeTurnsOnOneConnection(t *testing.T) {
	o := newConnectionOracle(t, types.Share{Connections: 1, Shared: 1, Slots: 1})
	o.openCallers(12)
	const length = time.Second
	answered := make(map[types.OrganisationName]int)
	count := func() {
		for _, a := range o.answers {
			answered[o.callers[a.Session]]++
		}
		o.answers = nil
	}
	for range int(length / (5 * time.Millisecond)) {
		for _, id := range o.ids() {
			if o.shard.sessions[id].request == nil {
				o.send(id, types.Request{DiscardedOnClose: true, MayCommit: true})
			}
		}
		o.observe()
		o.advance(5 * time.Millisecond)
		for len(o.dialing) > 0 {
			o.connectOne(0, false)
		}
		o.observe()
		for len(o.running) > 0 {
			o.answerOne(0, types.TxIdle)
		}
		count()
	}
	turns := int(length / pool.Turn)
	assert.Assert(t, answered["mill"] > 4*turns/2 && answered["yard"] > 4*turns/2, "%v", answered)
	assert.Assert(t, len(o.opened) <= turns+2, "%d connections for %v", len(o.opened), answered)
}

// TestHotOrganisationLeavesRoomForOthers covers an organisation with forty times the callers
// of another one, all of which send without a pause, at a target that opens no connection
// beyond its limit.
func TestHotOrganisationLeavesRoomForOthers(t *testing.T) {
	const limit, round = 3, 5 * time.Millisecond
	o := newConnectionOracle(t, types.Share{Connections: 8, Shared: 8, Slots: 2})
	o.openCallers(1)
	for id := types.SessionID(3); id <= 42; id++ {
		o.callers[id] = "mill"
		o.openWithKey(id, millKey)
	}
	var longest time.Duration
	waits := 0
	for range 300 {
		for _, id := range o.ids() {
			if o.shard.sessions[id].request == nil {
				o.send(id, types.Request{DiscardedOnClose: true, MayCommit: true})
			}
		}
		o.observe()
		o.advance(round)
		for len(o.dialing) > 0 {
			o.connectOne(0, o.openConns("a") > limit)
		}
		o.observe()
		for len(o.running) > 0 {
			if o.running[0].Operations[0].Payload == types.OrganisationName("yard") {
				longest = max(longest, o.now.Sub(o.shard.sessions[2].request.arrived))
				waits++
			}
			o.answerOne(0, types.TxIdle)
		}
	}
	assert.Assert(t, waits > 60, "%d answers", waits)
	assert.Assert(t, longest <= 3*pool.Turn, "a request of the small organisation took %s", longest)
	counts := o.shard.services[svcName].target("a").pool.Counts()
	assert.Assert(t, counts.Opened <= 2*limit && counts.Replaced <= limit, "%+v", counts)
}
