package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"gotest.tools/v3/assert"
)

const (
	testKey         = "correct horse"
	testAnnounceKey = "battery staple"
	testTimeout     = 20 * time.Second
)

const firstConfig = `
profiles:
  strict: {freshness: primary}
services:
  ledger: {members: 3, slots: 3, connections: 20, default_profile: strict, profiles: [strict]}
`

// startControlClient starts a cluster of one control host that requires keys, and
// returns a client for it.
func startControlClient(t *testing.T) *api.Client {
	t.Helper()
	dir := t.TempDir()
	secrets := settings.Security{
		KeyFile: filepath.Join(dir, "key"), AnnounceKeyFile: filepath.Join(dir, "announce"),
	}
	assert.NilError(t, os.WriteFile(secrets.KeyFile, []byte(testKey+"\n"), 0o600))
	assert.NilError(t, os.WriteFile(secrets.AnnounceKeyFile, []byte(testAnnounceKey), 0o600))
	c := startControl(t, secrets)
	return api.NewClient([]string{c.http.Addr().String()}, testKey, nil)
}

// startControl starts a cluster of one control host, which runs until the test ends.
func startControl(t *testing.T, secrets settings.Security) *Control {
	t.Helper()
	s := &settings.Daemon{
		Role: settings.RoleControl, Host: "control-1", AvailabilityZone: "az-1", Region: "north",
		Listen:    settings.Listen{Peers: "127.0.0.1:0", HTTP: "127.0.0.1:0"},
		Advertise: "127.0.0.1:1", Control: []types.Address{"127.0.0.1:1"},
		DataFolder: filepath.Join(t.TempDir(), "data"),
		Security:   secrets, DrainLimit: time.Second, Target: settings.DefaultTarget(),
	}
	_, err := InitControl(s)
	assert.NilError(t, err)
	c, err := NewControl(s, "test")
	assert.NilError(t, err)
	stop := runUntilStopped(t, c.Run)
	t.Cleanup(stop)
	return c
}

// runUntilStopped runs a daemon. The returned function stops it and waits until run
// returns.
func runUntilStopped(t *testing.T, run func(context.Context) error) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- run(ctx) }()
	return sync.OnceFunc(func() {
		cancel()
		assert.Check(t, <-result == nil)
	})
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// errorKind returns the kind of an API error, or the empty string for other errors.
func errorKind(err error) api.ErrorKind {
	var apiErr *api.Error
	if errors.As(err, &apiErr) {
		return apiErr.Kind
	}
	return ""
}

func putConfig(ctx context.Context, c *api.Client, id string, base uint64, source string) (api.ChangeResult, error) {
	var out api.ChangeResult
	err := c.Call(ctx, http.MethodPut, api.PathConfig,
		api.ConfigChange{ChangeID: id, Base: base, File: "f", Source: source}, &out)
	return out, err
}

func TestConfigChanges(t *testing.T) {
	c, ctx := startControlClient(t), testContext(t)
	first, err := putConfig(ctx, c, "a", 0, firstConfig)
	assert.NilError(t, err)
	assert.Equal(t, first.Version, uint64(1))

	repeated, err := putConfig(ctx, c, "a", 0, firstConfig)
	assert.NilError(t, err)
	assert.DeepEqual(t, repeated, first)

	_, err = putConfig(ctx, c, "b", 0, strings.ReplaceAll(firstConfig, "slots: 3", "slots: 4"))
	assert.Equal(t, errorKind(err), api.ErrConflict, "%v", err)

	_, err = putConfig(ctx, c, "c", 1, "services: 3")
	assert.Equal(t, errorKind(err), api.ErrInvalid)
	var refused *api.Error
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, len(refused.Findings), 2)

	st, err := c.LeaderStatus(ctx)
	assert.NilError(t, err)
	assert.Assert(t, st.ConfigSince > 0 && st.ConfigSince < st.Applied, "since %d, applied %d", st.ConfigSince, st.Applied)

	var cfg api.Config
	assert.NilError(t, c.Call(ctx, http.MethodGet, api.PathConfig, nil, &cfg))
	assert.DeepEqual(t, cfg, api.Config{Version: 1, Source: firstConfig})
	var history []api.ChangeResult
	assert.NilError(t, c.Call(ctx, http.MethodGet, api.PathHistory, nil, &history))
	assert.Equal(t, history[0], first)
}

func TestInvalidRequests(t *testing.T) {
	c, ctx := startControlClient(t), testContext(t)
	_, err := putConfig(ctx, c, "a", 0, firstConfig)
	assert.NilError(t, err)
	tests := []struct {
		name, method, path string
		in                 any
		want               api.ErrorKind
	}{
		{"no such path", "GET", "/v1/nothing", nil, api.ErrNotFound},
		{"no such method", "POST", api.PathConfig, nil, api.ErrNotFound},
		{"unknown field", "POST", api.PathPromote, map[string]string{"servize": "x"}, api.ErrInvalid},
		{"not an object", "POST", api.PathAnnounce, 3, api.ErrInvalid},
		{"no change id", "PUT", api.PathConfig, api.ConfigChange{Source: firstConfig}, api.ErrInvalid},
		{"body too large", "PUT", api.PathConfig, api.ConfigChange{
			ChangeID: "large", Base: 1, Source: firstConfig + "#" + strings.Repeat("x", maxRequestBytes),
		}, api.ErrInvalid},
		{"address without port", "POST", api.PathAnnounce,
			api.Announcement{Service: "ledger", Name: "a", Address: "10.0.0.1", AvailabilityZone: "z"}, api.ErrInvalid},
		{"unknown service", "POST", api.PathPromote, api.Promote{Service: "absent"}, api.ErrNotFound},
		{"unknown target", "PUT", api.DrainPath("ledger", "absent"), nil, api.ErrNotFound},
		{"unknown host", "DELETE", api.HostPath("absent"), nil, api.ErrNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := c.Call(ctx, tt.method, tt.path, tt.in, nil)
			assert.Equal(t, errorKind(err), tt.want, "%v", err)
		})
	}
}

func TestClusterKeyIsRequired(t *testing.T) {
	c, ctx := startControlClient(t), testContext(t)
	for _, key := range []string{"", "wrong", testKey + "x"} {
		other := api.NewClient(c.Addresses, key, nil)
		err := other.Call(ctx, http.MethodGet, api.PathStatus, nil, nil)
		assert.Equal(t, errorKind(err), api.ErrUnauthorized, "key %q", key)
	}
	announcer := api.NewClient(c.Addresses, testAnnounceKey, nil)
	err := announcer.Call(ctx, http.MethodGet, api.PathStatus, nil, nil)
	assert.Equal(t, errorKind(err), api.ErrUnauthorized)
	err = announcer.Call(ctx, http.MethodPost, api.PathAnnounce, struct{}{}, nil)
	assert.Equal(t, errorKind(err), api.ErrInvalid)
	for _, path := range []string{api.PathHealth, api.PathMetrics} {
		res, err := http.Get("http://" + c.Addresses[0] + path)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, res.Body)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, http.StatusOK, path)
	}
}

func TestReplyErrors(t *testing.T) {
	tests := []struct {
		reply proto.OperatorReply
		want  api.Error
	}{
		{
			proto.OperatorReply{Err: proto.OpErrNotLeader, Leader: "control-2"},
			api.Error{Kind: api.ErrNotLeader, Leader: "control-2", Message: "this control host is not the leader; the leader is control-2"},
		},
		{
			proto.OperatorReply{Err: proto.OpErrConflict, Reason: "version 4", Change: &proto.ChangeResult{Version: 4}},
			api.Error{Kind: api.ErrConflict, Version: 4, Message: "version 4"},
		},
		{
			proto.OperatorReply{Err: proto.OpErrNotLeader},
			api.Error{Kind: api.ErrNotLeader, Message: "this control host is not the leader and knows no leader"},
		},
		{proto.OperatorReply{Err: proto.OpErrUnknown}, api.Error{Kind: api.ErrUnknown}},
	}
	for _, tt := range tests {
		var got *api.Error
		assert.Assert(t, errors.As(replyError(tt.reply), &got))
		assert.DeepEqual(t, *got, tt.want)
		assert.Assert(t, errorStatus[got.Kind] != 0)
	}
	assert.NilError(t, replyError(proto.OperatorReply{}))
}
