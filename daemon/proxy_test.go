package daemon

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/camphorpaddle/camphorpaddle/standin"
	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

const oneMemberConfig = `
profiles:
  strict: {freshness: primary}
services:
  ledger: {members: 1, slots: 3, connections: 20, default_profile: strict, profiles: [strict]}
`

// startProxy runs a control host, a group of one member and a proxy that
// serves it. The returned function stops the proxy and waits until Run returns.
func startProxy(t *testing.T, drainLimit time.Duration) (p *Proxy, stop func()) {
	t.Helper()
	ctx := testContext(t)
	c := startControl(t, settings.Security{})
	p, err := NewProxy(&settings.Daemon{
		Role: settings.RoleProxy, Host: "proxy-1", AvailabilityZone: "az-1", Region: "north",
		Listen:  settings.Listen{Callers: "127.0.0.1:0", HTTP: "127.0.0.1:0"},
		Control: []types.Address{types.Address(c.peers.Addr().String())},
		Limits:  settings.DefaultLimits(), Target: settings.DefaultTarget(), Shards: 1, DrainLimit: drainLimit,
	}, "test")
	assert.NilError(t, err)
	stop = runUntilStopped(t, p.Run)
	t.Cleanup(stop)
	member, err := standin.Start(standin.Config{
		Service: "ledger", Name: "member-1", AvailabilityZone: "az-1", Announce: []string{p.http.Addr().String()},
	})
	assert.NilError(t, err)
	t.Cleanup(member.Close)
	client := api.NewClient([]string{c.http.Addr().String()}, "", nil)
	_, err = putConfig(ctx, client, "a", 0, oneMemberConfig)
	assert.NilError(t, err)
	waitUntilServing(ctx, t, client)
	return p, stop
}

func waitUntilServing(ctx context.Context, t *testing.T, client *api.Client) {
	t.Helper()
	for {
		st, err := client.LeaderStatus(ctx)
		assert.NilError(t, err)
		if len(st.Services) == 1 && st.Services[0].Phase == "serving" {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func connect(ctx context.Context, p *Proxy) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://shop@%s/ledger?sslmode=disable", p.callers.Addr()))
}

func readyCode(t *testing.T, p *Proxy) int {
	t.Helper()
	res, err := http.Get("http://" + p.http.Addr().String() + api.PathReady)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	return res.StatusCode
}

// TestGracefulStop stops a proxy and drains it a second time while a transaction is
// open: the transaction must commit, and new connections must fail.
func TestGracefulStop(t *testing.T) {
	p, stop := startProxy(t, testTimeout)
	ctx := testContext(t)
	conn, err := connect(ctx, p)
	assert.NilError(t, err)
	tx, err := conn.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "CREATE TABLE orders (id bigint PRIMARY KEY)")
	assert.NilError(t, err)
	assert.Equal(t, readyCode(t, p), http.StatusOK)

	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	for !p.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	p.proxy.Drain(0)
	assert.Equal(t, readyCode(t, p), http.StatusServiceUnavailable)
	_, err = tx.Exec(ctx, "INSERT INTO orders (id) VALUES (1)")
	assert.NilError(t, err)
	assert.NilError(t, tx.Commit(ctx))
	<-stopped
	_, err = connect(ctx, p)
	assert.Assert(t, err != nil)
}

// TestDrainLimit stops a proxy while a caller keeps its transaction open: the drain
// limit must end the session.
func TestDrainLimit(t *testing.T) {
	p, stop := startProxy(t, 500*time.Millisecond)
	ctx := testContext(t)
	conn, err := connect(ctx, p)
	assert.NilError(t, err)
	tx, err := conn.Begin(ctx)
	assert.NilError(t, err)
	stop()
	_, err = tx.Exec(ctx, "SELECT 1")
	assert.Assert(t, err != nil)
}
