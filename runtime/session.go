package runtime

import (
	"context"
	"sync"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/session"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// Session is a caller's session as a front sees it. One goroutine of the front
// uses it.
type Session struct {
	shard   *shard
	id      types.SessionID
	replies chan reply
	ended   chan types.Refusal
	closed  chan struct{}
	closing sync.Once
}

// reply is the answer to a request, or its refusal.
type reply struct {
	seq     types.RequestSeq
	answer  types.Answer
	refusal *types.Refusal
}

// Open begins a session. All sessions of a service live on one shard, so that
// the shard owns the proxy's whole share of the service's targets.
func (p *Proxy) Open(params types.SessionParams) (*Session, error) {
	id := types.SessionID(p.next.Add(1))
	sh := p.shards[xxhash.Sum64String(string(p.service(params)))%uint64(len(p.shards))]
	s := &Session{
		shard: sh, id: id,
		replies: make(chan reply, 1),
		ended:   make(chan types.Refusal, 1),
		closed:  make(chan struct{}),
	}
	sh.sessions.Store(id, s)
	if !sh.loop.post(event.SessionOpened{Session: id, Params: params}) {
		sh.sessions.Delete(id)
		return nil, trace.ConnectionProblem(nil, "the proxy has stopped")
	}
	return s, nil
}

// RefuseDatabase returns why sessions with a database name can't be served now, and
// whether they can't. A refusal is recorded like that of a request.
func (p *Proxy) RefuseDatabase(name types.DatabaseName) (types.Refusal, bool) {
	view, now := p.View(), p.Clock()
	refusal, refused := session.RefuseDatabase(view, name, now)
	if refused {
		p.Recorder.Decision(effect.Decide{Kind: effect.DecideRefuse, Reason: refusal.Reason, Basis: session.ViewBasis(view, now)})
	}
	return refusal, refused
}

// service returns the service that a session begins with.
func (p *Proxy) service(params types.SessionParams) types.ServiceName {
	view := p.View()
	if params.Database == "" || !view.Routes(params.Database) {
		return params.Service
	}
	return view.Cluster.Config.Routes[params.Database].Service
}

// Do sends a request and waits for its answer. A refusal comes as
// *types.Refusal. When ctx ends first the session is of no more use.
func (s *Session) Do(ctx context.Context, r types.Request) (types.Answer, error) {
	if !s.shard.loop.post(event.RequestArrived{Session: s.id, Request: r}) {
		return types.Answer{}, stoppedRefusal(types.NotRun)
	}
	for {
		select {
		case rep := <-s.replies:
			if rep.seq != r.Seq {
				continue // late answer to a request that was given up
			}
			if rep.refusal != nil {
				return types.Answer{}, rep.refusal
			}
			return rep.answer, nil
		case <-ctx.Done():
			return types.Answer{}, trace.Wrap(ctx.Err(), "waiting for the answer")
		case <-s.shard.loop.done:
			return types.Answer{}, stoppedRefusal(types.Unknown)
		}
	}
}

// stoppedRefusal is the refusal of a request whose shard has stopped.
func stoppedRefusal(o types.Outcome) *types.Refusal {
	return &types.Refusal{Code: types.RefuseDraining, Outcome: o, Reason: "the proxy has stopped"}
}

// Ended yields the reason once the proxy wants the session closed. No request
// is in flight then.
func (s *Session) Ended() <-chan types.Refusal { return s.ended }

// Closed is closed once Close was called.
func (s *Session) Closed() <-chan struct{} { return s.closed }

// Close tells the proxy that the caller is gone.
func (s *Session) Close() {
	s.closing.Do(func() {
		close(s.closed)
		s.shard.sessions.Delete(s.id)
		s.shard.loop.post(event.SessionClosed{Session: s.id})
	})
}

func (s *Session) answer(e effect.AnswerCaller) {
	s.put(reply{seq: e.Seq, answer: e.Answer})
}

func (s *Session) refuse(e effect.RefuseCaller) {
	s.put(reply{seq: e.Seq, refusal: &e.Refusal})
}

// put keeps the latest reply; an older one that nobody took was given up.
func (s *Session) put(r reply) {
	select {
	case <-s.replies:
	default:
	}
	s.replies <- r
}

func (s *Session) end(r types.Refusal) {
	select {
	case s.ended <- r:
	default:
	}
}
