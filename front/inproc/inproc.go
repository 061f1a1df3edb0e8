// Package inproc is a front end for callers in the same process: tests, and
// programs that embed the proxy. Statements and answers are strings.
package inproc

import (
	"context"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/runtime"
	"github.com/gravitational/trace"
)

// Session is a session of a caller. It is not safe for concurrent use.
type Session struct {
	session *runtime.Session
	lastSeq types.RequestSeq
}

// Open opens a session of a service.
func Open(p *runtime.Proxy, params types.SessionParams) (*Session, error) {
	s, err := p.OpenSession(params)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Session{session: s}, nil
}

// RequestOption sets an attribute of a request.
type RequestOption func(*types.Request)

// Read declares the request a read.
func Read() RequestOption { return func(r *types.Request) { r.Class = types.ClassRead } }

// Idempotent allows the proxy to send the request again.
func Idempotent() RequestOption { return func(r *types.Request) { r.Idempotent = true } }

// Once gives the request an id under which it runs at most once.
func Once(id types.RequestID) RequestOption { return func(r *types.Request) { r.ID = id } }

// Profile selects a profile other than the default of the service.
func Profile(name types.ProfileName) RequestOption {
	return func(r *types.Request) { r.Profile = name }
}

// Answer is the answer to a statement.
type Answer struct {
	Text  string
	Tx    types.TxStatus
	Floor types.LogPos // token with which another session reads from this position on
}

// Do runs a statement and waits for its answer. A refusal is returned as an
// error of type *types.Refusal.
func (s *Session) Do(ctx context.Context, statement string, options ...RequestOption) (Answer, error) {
	s.lastSeq++
	r := types.Request{Seq: s.lastSeq, Payload: statement, Bytes: len(statement)}
	for _, option := range options {
		option(&r)
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

// Ended returns a channel that receives the reason when the proxy ends the
// session.
func (s *Session) Ended() <-chan types.Refusal { return s.session.Ended() }

// Close closes the session.
func (s *Session) Close() { s.session.Close() }

// readyInterval is the interval at which WaitReady polls the proxy's view.
const readyInterval = 2 * time.Millisecond

// WaitReady waits until the proxy has applied its first view; earlier requests
// are refused as not run.
func WaitReady(ctx context.Context, p *runtime.Proxy) error {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for p.View() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "waiting for the first view of the proxy")
		}
	}
	return nil
}
