package pg

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	targetpg "github.com/camphorpaddle/camphorpaddle/dialer/pg"
	"github.com/camphorpaddle/camphorpaddle/runtime"
	"github.com/camphorpaddle/camphorpaddle/standin"
	"gotest.tools/v3/assert"
)

// connsPerSession is how many target connections the fake takes in turns.
const connsPerSession = 2

// fakeShard is a reducer that sends each request as it is to one target. The
// requests of a session outside transactions take turns between connections.
type fakeShard struct {
	address  types.Address
	refuse   map[types.RequestSeq]types.Refusal
	hold     types.RequestSeq     // a request that gets no answer
	closed   chan types.SessionID // sessions whose caller left
	draining bool

	sessions map[types.SessionID]*fakeSession
	waiting  map[types.ConnID]effect.SendTarget // until the connection is open
	open     map[types.ConnID]bool

	mu       sync.Mutex
	requests []types.Request
	params   []types.SessionParams
}

var stopping = types.Refusal{Code: types.RefuseDraining, Reason: "the proxy is stopping"}

type fakeSession struct {
	turn types.ConnID
	tx   types.TxStatus
	busy bool
	end  bool
}

func newFakeShard(address string) *fakeShard {
	return &fakeShard{
		closed:   make(chan types.SessionID, 10_000),
		address:  types.Address(address),
		sessions: make(map[types.SessionID]*fakeSession),
		waiting:  make(map[types.ConnID]effect.SendTarget),
		open:     make(map[types.ConnID]bool),
	}
}

func (f *fakeShard) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.SessionOpened:
		f.sessions[e.Session] = &fakeSession{}
		f.record(func() { f.params = append(f.params, e.Params) })
	case event.SessionClosed:
		delete(f.sessions, e.Session)
		f.closed <- e.Session
		return closeConns(e.Session)
	case event.RequestArrived:
		f.record(func() { f.requests = append(f.requests, e.Request) })
		return f.arrive(e)
	case event.TargetConnected:
		f.open[e.Conn] = true
		return []effect.Effect{f.waiting[e.Conn]}
	case event.TargetAnswered:
		return f.answer(e)
	case event.DrainBegan:
		f.draining = true
		return f.endIdle()
	}
	return nil
}

func (f *fakeShard) record(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *fakeShard) arrive(e event.RequestArrived) []effect.Effect {
	if r, ok := f.refuse[e.Request.Seq]; ok {
		return []effect.Effect{effect.RefuseCaller{Session: e.Session, Seq: e.Request.Seq, Refusal: r}}
	}
	if e.Request.Seq == f.hold {
		return nil
	}
	s := f.sessions[e.Session]
	if s.end {
		return []effect.Effect{effect.RefuseCaller{Session: e.Session, Seq: e.Request.Seq, Refusal: stopping}}
	}
	if s.tx == types.TxIdle {
		s.turn = (s.turn + 1) % connsPerSession
	}
	s.busy = true
	conn := types.ConnID(e.Session)*connsPerSession + s.turn
	send := effect.SendTarget{
		Conn: conn, Seq: uint64(e.Request.Seq),
		Operations: []types.Operation{{Kind: types.OpCaller, Payload: e.Request.Payload}, {Kind: types.OpPosition}},
	}
	if f.open[conn] {
		return []effect.Effect{send}
	}
	f.waiting[conn] = send
	return []effect.Effect{effect.DialTarget{Conn: conn, Address: f.address, Timeout: time.Minute}}
}

func (f *fakeShard) answer(e event.TargetAnswered) []effect.Effect {
	id := types.SessionID(e.Conn / connsPerSession)
	seq := types.RequestSeq(e.Seq)
	s, ok := f.sessions[id]
	if !ok {
		return nil
	}
	s.busy = false
	if e.Err != nil {
		return []effect.Effect{effect.RefuseCaller{Session: id, Seq: seq, Refusal: types.Refusal{
			Code: types.RefuseConnLost, Outcome: types.Unknown, Reason: e.Err.Error(),
		}}}
	}
	s.tx = e.Results[0].Tx
	out := []effect.Effect{effect.AnswerCaller{Session: id, Seq: seq, Answer: types.Answer{
		Payload: e.Results[0].Payload, Tx: s.tx, Floor: e.Results[1].Status.Pos,
	}}}
	return append(out, f.endIdle()...)
}

// closeConns closes the target connections of a session.
func closeConns(id types.SessionID) []effect.Effect {
	var out []effect.Effect
	for turn := range types.ConnID(connsPerSession) {
		out = append(out, effect.CloseTarget{Conn: types.ConnID(id)*connsPerSession + turn})
	}
	return out
}

// endIdle ends the sessions without anything under way while draining.
func (f *fakeShard) endIdle() []effect.Effect {
	var out []effect.Effect
	for id, s := range f.sessions {
		if f.draining && !s.busy && s.tx == types.TxIdle {
			s.end = true
			out = append(out, effect.EndSession{Session: id, Refusal: stopping})
		}
	}
	return out
}

// seen returns the requests so far.
func (f *fakeShard) seen() []types.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]types.Request(nil), f.requests...)
}

// path is a front over the fake reducer and a stand-in target.
type path struct {
	shard   *fakeShard
	proxy   *runtime.Proxy
	server  *Server
	address string
}

// idlePart is a control reducer without anything to do.
type idlePart struct{}

func (idlePart) Step(event.Input) []effect.Effect { return nil }

type silentRecorder struct{}

func (silentRecorder) Decision(effect.Decide)         {}
func (silentRecorder) Observation(effect.Observation) {}

func startPath(t testing.TB, c Config, setup func(*fakeShard)) *path {
	t.Helper()
	member, err := standin.Start(standin.Config{MaxConnections: 1000, Slots: 1000})
	assert.NilError(t, err)
	t.Cleanup(member.Close)
	shard := newFakeShard(member.Address())
	if setup != nil {
		setup(shard)
	}
	proxy := runtime.NewProxy(runtime.ProxyOptions{
		Control: core.New(idlePart{}), Shard: func(int) *core.Reducer { return core.New(shard) }, Shards: 1,
		Clock: runtime.NewClock(), Seed: func() uint64 { return 1 },
		Targets: targetpg.NewDialer(targetpg.Config{}), Recorder: silentRecorder{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() { proxy.Run(ctx); close(ran) }()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := New(c, proxy)
	go server.Serve(ctx, l)
	t.Cleanup(func() {
		ended, stop := context.WithCancel(context.Background())
		stop()
		server.Shutdown(ended)
		cancel()
		<-ran
	})
	return &path{shard: shard, proxy: proxy, server: server, address: l.Addr().String()}
}

func (p *path) url(parameters string) string {
	return "postgres://caller@" + p.address + "/spares?sslmode=disable" + parameters
}
