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

// runProxy starts a proxy with the given parts until the test ends.
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

// TestLateAnswerNeverReachesTheNextRequest gives up a request, lets its answer
// come late and sends the next one.
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
	s, err := p.Open(types.SessionParams{Service: "orders"})
	assert.NilError(t, err)
	given, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err = s.Do(given, types.Request{Seq: 1})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	ans, err := s.Do(context.Background(), types.Request{Seq: 2})
	assert.NilError(t, err)
	assert.Equal(t, ans.Payload, "own")
}

// TestSessionsOfAServiceShareAShard checks the rule that lets one shard own a
// service's connections.
func TestSessionsOfAServiceShareAShard(t *testing.T) {
	p := runProxy(t, ignore, ignore, nil)
	var first *shard
	for range 20 {
		s, err := p.Open(types.SessionParams{Service: "orders"})
		assert.NilError(t, err)
		if first == nil {
			first = s.shard
		}
		assert.Equal(t, s.shard, first)
	}
}

// TestPublishedViewReachesEveryShard checks that shards are woken with the
// view that control published.
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
	case <-time.After(testWait):
		t.Fatal("a shard has not reported the published view")
	}
}

// TestRefusalComesAsATypedError checks what fronts rely on.
func TestRefusalComesAsATypedError(t *testing.T) {
	p := runProxy(t, ignore, func(in event.Input) []effect.Effect {
		ev, ok := in.Event.(event.RequestArrived)
		if !ok {
			return nil
		}
		refusal := types.Refusal{Code: types.RefuseNoLease, Reason: "the lease ran out"}
		return []effect.Effect{effect.RefuseCaller{Session: ev.Session, Seq: ev.Request.Seq, Refusal: refusal}}
	}, nil)
	s, err := p.Open(types.SessionParams{Service: "orders"})
	assert.NilError(t, err)
	_, err = s.Do(context.Background(), types.Request{Seq: 1})
	var refusal *types.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Code, types.RefuseNoLease)
	assert.Equal(t, refusal.Error(), "not run: the lease ran out")
}

// keptDecisions is a recorder that keeps the decisions.
type keptDecisions struct {
	noRecorder
	decisions []effect.Decide
}

// Decision implements Recorder.
func (k *keptDecisions) Decision(d effect.Decide) { k.decisions = append(k.decisions, d) }

// TestRefusedSessionsAreRecorded guards against sessions that a proxy refuses at
// their start without a line that tells why.
func TestRefusedSessionsAreRecorded(t *testing.T) {
	var kept keptDecisions
	p := NewProxy(ProxyOptions{
		Control: core.New(), Shards: 1, Clock: func() types.Instant { return 10 }, Seed: zeroSeed,
		Shard: func(int) *core.Reducer { return core.New() }, Recorder: &kept,
	})
	_, refused := p.RefuseDatabase("orders")
	assert.Assert(t, refused)
	p.view.Store(&types.NodeView{
		LeaseUntil: 20,
		Cluster: &types.ClusterView{Version: 7, Config: &types.Config{
			Version: 3, Routes: map[types.DatabaseName]types.Route{"orders": {Database: "orders"}},
		}},
	})
	_, refused = p.RefuseDatabase("orders")
	assert.Assert(t, !refused)
	_, refused = p.RefuseDatabase("other")
	assert.Assert(t, refused)
	assert.Equal(t, len(kept.decisions), 2)
	last := kept.decisions[1]
	assert.Equal(t, last.Kind, effect.DecideRefuse)
	assert.Equal(t, last.Basis.ViewVersion, uint64(7))
	assert.Equal(t, last.Basis.ConfigVersion, uint64(3))
	assert.Equal(t, last.Basis.LeaseLeft, 10*time.Nanosecond)
}
