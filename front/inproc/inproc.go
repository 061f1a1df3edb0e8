// Package inproc is a front for callers within the same process. Tests and
// programs that embed the proxy use it; statements and answers are strings.
package inproc

import (
	"context"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/runtime"
	"github.com/gravitational/trace"
)

// Session is a caller's session. One goroutine uses it.
type Session struct {
	session *runtime.Session
	lastSeq types.RequestSeq
}

// Open begins a session of a service.
func Open(p *runtime.Proxy, params types.SessionParams) (*Session, error) {
	s, err := p.OpenSession(params)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Session{session: s}, nil
}

// Mark states what a caller knows of a request.
type Mark func(*types.Request)

// Read declares the request a read.
func Read() Mark { return func(r *types.Request) { r.Class = types.ClassRead } }

// Idempotent allows the system to send the request again.
func Idempotent() Mark { return func(r *types.Request) { r.Idempotent = true } }

// Once gives the request an id under which it runs at most once.
func Once(id types.RequestID) Mark { return func(r *types.Request) { r.ID = id } }

// Profile picks a profile other than the service's default.
func Profile(name types.ProfileName) Mark {
	return func(r *types.Request) { r.Profile = name }
}

// Answer is the answer to a statement.
type Answer struct {
	Text  string
	Tx    types.TxStatus
	Floor types.LogPos // token for a session that goes on elsewhere
}

// Do runs a statement and waits for its answer. A refusal comes as
// *types.Refusal.
func (s *Session) Do(ctx context.Context, statement string, marks ...Mark) (Answer, error) {
	s.lastSeq++
	r := types.Request{Seq: s.lastSeq, Payload: statement, Bytes: len(statement)}
	for _, mark := range marks {
		mark(&r)
	}
	a, err := s.session.Do(ctx, r)
	if err != nil {
		return Answer{}, err
	}
	text, ok := a.Payload.(string)
	if !ok {
		return Answer{}, trace.BadParameter("the target's answer is a %T, not a string", a.Payload)
	}
	return Answer{Text: text, Tx: a.Tx, Floor: a.Floor}, nil
}

// Ended yields the reason once the proxy wants the session closed.
func (s *Session) Ended() <-chan types.Refusal { return s.session.Ended() }

// Close ends the session.
func (s *Session) Close() { s.session.Close() }

// readyInterval is how often Ready looks at the proxy's view.
const readyInterval = 2 * time.Millisecond

// Ready waits until the proxy acts on a view; requests before that are refused
// as not run.
func Ready(ctx context.Context, p *runtime.Proxy) error {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for p.View() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "waiting for the proxy's first view")
		}
	}
	return nil
}
