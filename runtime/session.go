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

// Session is a caller's session, as the front ends use it. It is used by one goroutine
// of a front end.
type Session struct {
	shard     *shard
	id        types.SessionID
	replies   chan reply
	ended     chan types.Refusal
	closed    chan struct{}
	closeOnce sync.Once
}

// reply is the answer to a request, or its refusal.
type reply struct {
	seq     types.RequestSeq
	answer  types.Answer
	refusal *types.Refusal
}

// OpenSession starts a session. All sessions that start with the same service are
// on one shard, so that this shard owns the proxy's whole share of the service's
// targets.
func (p *Proxy) OpenSession(params types.SessionParams) (*Session, error) {
	id := types.SessionID(p.lastSession.Add(1))
	sh := p.shards[xxhash.Sum64String(string(p.initialService(params)))%uint64(len(p.shards))]
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

// RefuseSession reports whether a session with the database name and the key of params is
// refused now, and returns the refusal. A refusal is recorded like that of a request.
func (p *Proxy) RefuseSession(params types.SessionParams) (types.Refusal, bool) {
	view, now := p.View(), p.Clock()
	refusal, refused := session.RefuseSession(view, params, now)
	if refused {
		p.Recorder.Decision(effect.Decide{
			Kind: effect.DecideRefuse, Reason: refusal.Reason, Refusal: refusal.Code, Basis: session.ViewBasis(view, now),
		})
	}
	return refusal, refused
}

// HasOrganisations reports whether callers need a key now.
func (p *Proxy) HasOrganisations() bool { return p.View().HasOrganisations() }

// initialService returns the service that a session starts with.
func (p *Proxy) initialService(params types.SessionParams) types.ServiceName {
	view := p.View()
	if params.Database == "" || !view.Routes(params.Database) {
		return params.Service
	}
	return view.Cluster.Config.Routes[params.Database].Service
}

// Do sends a request and waits for its answer. A refusal is returned as a
// *types.Refusal. If ctx ends first, the session can't be used any more.
func (s *Session) Do(ctx context.Context, r types.Request) (types.Answer, error) {
	if !s.shard.loop.post(event.RequestArrived{Session: s.id, Request: r}) {
		return types.Answer{}, stoppedRefusal(types.NotRun)
	}
	for {
		select {
		case rep := <-s.replies:
			if rep.seq != r.Seq {
				continue // late answer to a request that was abandoned
			}
			if rep.refusal != nil {
				return types.Answer{}, rep.refusal
			}
			return rep.answer, nil
		case <-ctx.Done():
			return types.Answer{}, trace.Wrap(ctx.Err(), "waiting for the answer to request %d", r.Seq)
		case <-s.shard.loop.done:
			return types.Answer{}, stoppedRefusal(types.Unknown)
		}
	}
}

// stoppedRefusal returns the refusal of a request whose shard has stopped.
func stoppedRefusal(o types.Outcome) *types.Refusal {
	return &types.Refusal{Code: types.RefuseDraining, Outcome: o, Reason: "the proxy has stopped"}
}

// Ended receives the reason when the proxy ends the session. No request of the
// session is in flight then.
func (s *Session) Ended() <-chan types.Refusal { return s.ended }

// Closed returns a channel that Close closes.
func (s *Session) Closed() <-chan struct{} { return s.closed }

// Close ends the session once its caller has disconnected. It may be called more
// than once.
func (s *Session) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.shard.sessions.Delete(s.id)
		s.shard.loop.post(event.SessionClosed{Session: s.id})
	})
}

func (s *Session) answer(e effect.AnswerCaller) {
	s.deliver(reply{seq: e.Seq, answer: e.Answer})
}

func (s *Session) refuse(e effect.RefuseCaller) {
	s.deliver(reply{seq: e.Seq, refusal: &e.Refusal})
}

// deliver passes a reply to Do. It replaces an older reply that was not read,
// because the request of that one was abandoned.
func (s *Session) deliver(r reply) {
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
