package inproc_test

import (
	"context"
	"errors"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/front/inproc"
	"github.com/camphorpaddle/camphorpaddle/runtime"
	"gotest.tools/v3/assert"
)

// startProxy runs a proxy for the duration of the test and returns it with its
// context.
func startProxy(t *testing.T, group *inproc.MemoryGroup) (context.Context, *runtime.Proxy) {
	ctx, cancel := context.WithCancel(t.Context())
	proxy := newProxy(group)
	done := make(chan struct{})
	go func() { defer close(done); proxy.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	assert.NilError(t, inproc.WaitReady(ctx, proxy))
	return ctx, proxy
}

func openSession(t *testing.T, p *runtime.Proxy) *inproc.Session {
	s, err := inproc.Open(p, types.SessionParams{Service: "ledger"})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func TestSessionsReadTheirWrites(t *testing.T) {
	group := inproc.NewMemoryGroup("a", "b", "c")
	group.SetPaused("b", true)
	ctx, proxy := startProxy(t, group)
	for i := range 20 {
		value := string(rune('a' + i))
		_, err := openSession(t, proxy).Do(ctx, "SET stock "+value)
		assert.NilError(t, err)
		got, err := openSession(t, proxy).Do(ctx, "GET stock", inproc.Read())
		assert.NilError(t, err)
		assert.Equal(t, got.Text, value, "a session opened after the write does not see it")
	}
}

func TestRequestRunsOnce(t *testing.T) {
	group := inproc.NewMemoryGroup("a", "b", "c")
	ctx, proxy := startProxy(t, group)
	s := openSession(t, proxy)
	for range 3 {
		got, err := s.Do(ctx, "SET charge 1", inproc.Once("order-7"))
		assert.NilError(t, err)
		assert.Equal(t, got.Text, "OK")
		_, err = s.Do(ctx, "SET charge 0")
		assert.NilError(t, err)
	}
	got, err := s.Do(ctx, "GET charge", inproc.Read())
	assert.NilError(t, err)
	assert.Equal(t, got.Text, "0")
}

func TestTransactionIsAtomic(t *testing.T) {
	ctx, proxy := startProxy(t, inproc.NewMemoryGroup("a", "b", "c"))
	s, other := openSession(t, proxy), openSession(t, proxy)
	for _, statement := range []string{"BEGIN", "SET booth taken"} {
		got, err := s.Do(ctx, statement)
		assert.NilError(t, err)
		assert.Equal(t, got.Tx, types.TxOpen)
	}
	got, err := other.Do(ctx, "GET booth")
	assert.NilError(t, err)
	assert.Equal(t, got.Text, "", "another session sees an open transaction")
	_, err = s.Do(ctx, "COMMIT")
	assert.NilError(t, err)
	got, err = other.Do(ctx, "GET booth")
	assert.NilError(t, err)
	assert.Equal(t, got.Text, "taken")
}

func TestDrainingProxyEndsSessions(t *testing.T) {
	ctx, proxy := startProxy(t, inproc.NewMemoryGroup("a", "b", "c"))
	s := openSession(t, proxy)
	_, err := s.Do(ctx, "SET a 1")
	assert.NilError(t, err)
	proxy.Drain(0)
	reason := <-s.Ended()
	assert.Equal(t, reason.Code, types.RefuseDraining)
	_, err = s.Do(ctx, "SET a 2")
	var refusal *types.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Outcome, types.NotRun)
}

func TestStandaloneProxyKnowsKeys(t *testing.T) {
	config := &types.Config{Version: 1, Organisations: map[types.OrganisationName]types.Organisation{
		"mill": {Name: "mill", Keys: []types.KeyDigest{{1}}},
	}}
	for _, eff := range inproc.NewControl(config).Step(event.Input{Event: event.Start{}}) {
		if e, ok := eff.(effect.PublishView); ok {
			assert.DeepEqual(t, e.View.KeyHolders, map[types.KeyDigest]types.OrganisationName{{1}: "mill"})
			return
		}
	}
	t.Fatal("no view was published")
}
