package runtime

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// runProxy runs a proxy with the given reducer parts until the test ends.
func runProxy(t *testing.T, control, traffic partFunc, dialer TargetDialer) *Proxy {
	t.Helper()
	p := NewProxy(ProxyOptions{
		Control: core.New(control), Shards: 2, Clock: NewClock(), Seed: zeroSeed,
		Shard:   func(int) *core.Reducer { return core.New(traffic) },
		Targets: dialer, Recorder: noRecorder{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { p.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return p
}

func ignore(event.Input) []effect.Effect { return nil }

// TestLateAnswerNeverReachesTheNextRequest abandons a request and sends the next
// one: the late answer to the first must not be returned for the second.
func TestLateAnswerNeverReachesTheNextRequest(t *testing.T) {
	p := runProxy(t, ignore, func(in event.Input) []effect.Effect {
		ev, ok := in.Event.(event.RequestArrived)
		if !ok || ev.Request.Seq == 1 {
			return nil
		}
		return []effect.Effect{
			effect.AnswerCaller{Session: ev.Session, Seq: 1, Answer: types.Answer{Payload: "late"}},
			effect.AnswerCaller{Session: ev.Session, Seq: ev.Request.Seq, Answer: types.Answer{Payload: "own"}},
		}
	}, nil)
	s, err := p.OpenSession(types.SessionParams{Service: "orders"})
	assert.NilError(t, err)
	shortCtx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err = s.Do(shortCtx, types.Request{Seq: 1})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	ans, err := s.Do(context.Background(), types.Request{Seq: 2})
	assert.NilError(t, err)
	assert.Equal(t, ans.Payload, "own")
}

// TestSessionsOfAServiceShareAShard checks that all sessions of a service are on
// one shard, which owns the service's connections.
func TestSessionsOfAServiceShareAShard(t *testing.T) {
	p := runProxy(t, ignore, ignore, nil)
	var first *shard
	for range 20 {
		s, err := p.OpenSession(types.SessionParams{Service: "orders"})
		assert.NilError(t, err)
		if first == nil {
			first = s.shard
		}
		assert.Equal(t, s.shard, first)
	}
}

// TestPublishedViewReachesEveryShard checks that each shard processes the view that
// the control loop published.
func TestPublishedViewReachesEveryShard(t *testing.T) {
	reported := make(map[int]bool)
	done := make(chan struct{})
	p := runProxy(t, func(in event.Input) []effect.Effect {
		switch ev := in.Event.(type) {
		case event.Announced:
			view := &types.NodeView{Cluster: &types.ClusterView{Version: 7}}
			return []effect.Effect{effect.PublishView{View: view}}
		case event.ShardReported:
			if ev.Report.AppliedVersion == 7 && !reported[ev.Report.Shard] {
				reported[ev.Report.Shard] = true
				if len(reported) == 2 {
					close(done)
				}
			}
		}
		return nil
	}, func(in event.Input) []effect.Effect {
		if _, ok := in.Event.(event.ViewChanged); !ok {
			return nil
		}
		return []effect.Effect{effect.ReportShard{Report: event.ShardReport{AppliedVersion: in.View.Cluster.Version}}}
	}, nil)
	p.loop.post(event.Announced{})
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("a shard has not reported the published view")
	}
}

// TestRefusalComesAsATypedError checks that Do returns a refusal as a
// *types.Refusal, which the front ends depend on.
func TestRefusalComesAsATypedError(t *testing.T) {
	p := runProxy(t, ignore, func(in event.Input) []effect.Effect {
		ev, ok := in.Event.(event.RequestArrived)
		if !ok {
			return nil
		}
		refusal := types.Refusal{Code: types.RefuseNoLease, Reason: "the lease ran out"}
		return []effect.Effect{effect.RefuseCaller{Session: ev.Session, Seq: ev.Request.Seq, Refusal: refusal}}
	}, nil)
	s, err := p.OpenSession(types.SessionParams{Service: "orders"})
	assert.NilError(t, err)
	_, err = s.Do(context.Background(), types.Request{Seq: 1})
	var refusal *types.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Code, types.RefuseNoLease)
	assert.Equal(t, refusal.Error(), "not run: the lease ran out")
}

// decisionRecorder is a Recorder that keeps the decisions.
type decisionRecorder struct {
	noRecorder
	decisions []effect.Decide
}

// Decision implements Recorder.
func (r *decisionRecorder) Decision(d effect.Decide) { r.decisions = append(r.decisions, d) }

// TestRefusedSessionsAreRecorded guards against sessions that a proxy refuses at
// their start without recording the reason.
func TestRefusedSessionsAreRecorded(t *testing.T) {
	var recorder decisionRecorder
	p := NewProxy(ProxyOptions{
		Control: core.New(), Shards: 1, Clock: func() types.Instant { return 10 }, Seed: zeroSeed,
		Shard: func(int) *core.Reducer { return core.New() }, Recorder: &recorder,
	})
	_, refused := p.RefuseSession(types.SessionParams{Database: "orders"})
	assert.Assert(t, refused)
	p.view.Store(&types.NodeView{
		LeaseUntil: 20,
		Cluster: &types.ClusterView{Version: 7, Config: &types.Config{
			Version: 3, Routes: map[types.DatabaseName]types.Route{"orders": {Database: "orders"}},
		}},
	})
	_, refused = p.RefuseSession(types.SessionParams{Database: "orders"})
	assert.Assert(t, !refused)
	_, refused = p.RefuseSession(types.SessionParams{Database: "other"})
	assert.Assert(t, refused)
	assert.Equal(t, len(recorder.decisions), 2)
	last := recorder.decisions[1]
	assert.Equal(t, last.Kind, effect.DecideRefuse)
	assert.Equal(t, last.Refusal, types.RefuseUnknownDatabase)
	assert.Equal(t, last.Basis.ViewVersion, uint64(7))
	assert.Equal(t, last.Basis.ConfigVersion, uint64(3))
	assert.Equal(t, last.Basis.LeaseLeft, 10*time.Nanosecond)
}
