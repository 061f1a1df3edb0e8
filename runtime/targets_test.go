package runtime

import (
	"context"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// fullDialer rejects every connection and promotes targets.
type fullDialer struct{ promoted chan types.Term }

func (d fullDialer) Dial(context.Context, types.TargetRef, types.Address, types.OrganisationName) (TargetConn, error) {
	return nil, ErrTargetFull
}

func (d fullDialer) Promote(_ context.Context, _ types.TargetRef, token types.Term) (types.Result, error) {
	d.promoted <- token
	return types.Result{Err: types.TargetErrStaleTerm}, nil
}

// TestPromotionNeedsNoConnection covers a target without free connections that an external
// promotion service is to promote.
func TestPromotionNeedsNoConnection(t *testing.T) {
	dialer := fullDialer{promoted: make(chan types.Term, 1)}
	replied := make(chan event.TargetReplied, 1)
	host := NewControlHost(ControlOptions{
		Clock: NewClock(), Seed: zeroSeed, Recorder: noRecorder{}, Targets: dialer,
		Reducer: core.New(partFunc(func(in event.Input) []effect.Effect {
			switch e := in.Event.(type) {
			case event.Start:
				return []effect.Effect{effect.CallTarget{
					Call: 5, Service: "s", Target: types.Target{Name: "t"}, Timeout: testTimeout,
					Operation: types.Operation{Kind: types.OpPromote, Term: 7},
				}}
			case event.TargetReplied:
				replied <- e
			}
			return nil
		})),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = host.Run(ctx) }()
	assert.Equal(t, <-dialer.promoted, types.Term(7))
	r := <-replied
	assert.NilError(t, r.Err)
	assert.Equal(t, r.Call, uint64(5))
	assert.Equal(t, r.Result.Err, types.TargetErrStaleTerm)
}

// countingDialer counts the connections that it opened and that were closed.
type countingDialer struct{ opened, closed chan bool }

func (d countingDialer) Dial(context.Context, types.TargetRef, types.Address, types.OrganisationName) (TargetConn, error) {
	d.opened <- true
	return countedConn{d}, nil
}

type countedConn struct{ dialer countingDialer }

func (c countedConn) Exchange(_ context.Context, ops []types.Operation) ([]types.Result, bool, error) {
	return make([]types.Result, len(ops)), true, nil
}

func (c countedConn) Close() { c.dialer.closed <- true }

func TestConnectionOfAnOperationIsClosedAtOnce(t *testing.T) {
	dialer := countingDialer{opened: make(chan bool, 9), closed: make(chan bool, 9)}
	calls := newTargetCalls(dialer)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, closeAfter := range []bool{false, false, true, true} {
		done := make(chan error)
		calls.submit(ctx, targetKey{}, targetJob{
			timeout: time.Minute, closeAfter: closeAfter, done: func(_ types.Result, err error) { done <- err },
		})
		assert.NilError(t, <-done)
	}
	assert.Equal(t, len(dialer.opened), 2, "the first connection serves three operations")
	assert.Equal(t, len(dialer.closed), 2)
}
