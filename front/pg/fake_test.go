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

// connsPerSession is the number of target connections between which the fake
// reducer alternates for each session.
const connsPerSession = 2

// fakeShard is a reducer that sends each request unchanged to one target.
// Outside transactions, the requests of a session alternate between
// connections.
type fakeShard struct {
	address    types.Address
	refuse     map[types.RequestSeq]types.Refusal
	unanswered types.RequestSeq     // request that is never answered
	closed     chan types.SessionID // sessions whose caller disconnected
	draining   bool
	view       *types.NodeView // published when the proxy starts, or nil

	sessions map[types.SessionID]*fakeSession
	waiting  map[types.ConnID]effect.SendTarget // to be sent once the connection is open
	open     map[types.ConnID]bool

	mu       sync.Mutex
	requests []types.Request
	params   []types.SessionParams
}

var stopping = types.Refusal{Code: types.RefuseDraining, Reason: "the proxy is stopping"}

type fakeSession struct {
	connIndex types.ConnID
	tx        types.TxStatus
	busy      bool
	ended     bool
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
		f.withLock(func() { f.params = append(f.params, e.Params) })
	case event.SessionClosed:
		delete(f.sessions, e.Session)
		f.closed <- e.Session
		return closeConns(e.Session)
	case event.RequestArrived:
		f.withLock(func() { f.requests = append(f.requests, e.Request) })
		return f.handleRequest(e)
	case event.TargetConnected:
		f.open[e.Conn] = true
		return []effect.Effect{f.waiting[e.Conn]}
	case event.TargetAnswered:
		return f.handleAnswer(e)
	case event.DrainBegan:
		f.draining = true
		return f.endIdle()
	}
	return nil
}

func (f *fakeShard) withLock(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *fakeShard) handleRequest(e event.RequestArrived) []effect.Effect {
	if r, ok := f.refuse[e.Request.Seq]; ok {
		return []effect.Effect{effect.RefuseCaller{Session: e.Session, Seq: e.Request.Seq, Refusal: r}}
	}
	if e.Request.Seq == f.unanswered {
		return nil
	}
	s := f.sessions[e.Session]
	if s.ended {
		return []effect.Effect{effect.RefuseCaller{Session: e.Session, Seq: e.Request.Seq, Refusal: stopping}}
	}
	if s.tx == types.TxIdle {
		s.connIndex = (s.connIndex + 1) % connsPerSession
	}
	s.busy = true
	conn := types.ConnID(e.Session)*connsPerSession + s.connIndex
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

func (f *fakeShard) handleAnswer(e event.TargetAnswered) []effect.Effect {
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
		out = append(out, effect.CloseConn{Conn: types.ConnID(id)*connsPerSession + turn})
	}
	return out
}

// endIdle ends the sessions that have no request in progress and no open
// transaction, if the proxy is draining.
func (f *fakeShard) endIdle() []effect.Effect {
	var out []effect.Effect
	for id, s := range f.sessions {
		if f.draining && !s.busy && s.tx == types.TxIdle {
			s.ended = true
			out = append(out, effect.EndSession{Session: id, Refusal: stopping})
		}
	}
	return out
}

// recordedRequests returns the requests received so far.
func (f *fakeShard) recordedRequests() []types.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]types.Request(nil), f.requests...)
}

// recordedParams returns the parameters of the sessions opened so far.
func (f *fakeShard) recordedParams() []types.SessionParams {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]types.SessionParams(nil), f.params...)
}

// harness is a front end with the fake reducer and a stand-in target.
type harness struct {
	shard   *fakeShard
	proxy   *runtime.Proxy
	server  *Server
	address string
}

// viewPart is a control reducer that only publishes one view.
type viewPart struct{ view *types.NodeView }

func (p viewPart) Step(in event.Input) []effect.Effect {
	if _, ok := in.Event.(event.Start); ok && p.view != nil {
		return []effect.Effect{effect.PublishView{View: p.view}}
	}
	return nil
}

// discardRecorder is a recorder that discards everything.
type discardRecorder struct{}

func (discardRecorder) Decision(effect.Decide)         {}
func (discardRecorder) Observation(effect.Observation) {}

func startHarness(t testing.TB, c Config, setup func(*fakeShard)) *harness {
	t.Helper()
	member, err := standin.Start(standin.Config{MaxConnections: 1000, Slots: 1000})
	assert.NilError(t, err)
	t.Cleanup(member.Close)
	shard := newFakeShard(member.Address())
	if setup != nil {
		setup(shard)
	}
	proxy := runtime.NewProxy(runtime.ProxyOptions{
		Control: core.New(viewPart{shard.view}), Shard: func(int) *core.Reducer { return core.New(shard) }, Shards: 1,
		Clock: runtime.NewClock(), Seed: func() uint64 { return 1 },
		Targets: targetpg.NewDialer(targetpg.Config{}), Recorder: discardRecorder{},
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
	return &harness{shard: shard, proxy: proxy, server: server, address: l.Addr().String()}
}

func (p *harness) url(parameters string) string {
	return "postgres://caller@" + p.address + "/spares?sslmode=disable" + parameters
}
