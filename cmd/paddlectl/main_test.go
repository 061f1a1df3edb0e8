package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"gotest.tools/v3/assert"
)

const validConfig = `
profiles:
  strict: {freshness: primary}
services:
  ledger: {members: 3, slots: 3, connections: 20, default_profile: strict, profiles: [strict]}
`

// fakeControl answers like a control host and records the changes it receives.
type fakeControl struct {
	refusal *api.Error // returned for every call when set
	delay   time.Duration
	silent  bool // closes the connection of every change without an answer
	changes []api.ConfigChange
	config  *api.Config // the configuration in effect; nil for one without organisations
	status  api.Status
}

func (f *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(f.delay)
	switch {
	case f.silent && r.Method != http.MethodGet:
		panic(http.ErrAbortHandler)
	case f.refusal != nil:
		w.WriteHeader(http.StatusConflict)
		f.writeJSON(w, f.refusal)
	case r.Method == http.MethodPut && r.URL.Path == api.PathConfig:
		var c api.ConfigChange
		_ = json.NewDecoder(r.Body).Decode(&c)
		f.changes = append(f.changes, c)
		f.writeJSON(w, api.ChangeResult{ChangeID: c.ChangeID, Accepted: true, Version: c.Base + 1})
	case r.URL.Path == api.PathConfig && f.config != nil:
		f.writeJSON(w, f.config)
	case r.URL.Path == api.PathConfig:
		f.writeJSON(w, api.Config{Version: 4, Source: validConfig})
	case r.URL.Path == api.PathOrganisations:
		f.writeJSON(w, []api.Organisation{
			{Name: "mill", Keys: 2, Priority: 1, Rate: 266, Burst: 40, Use: &api.OrganisationUse{Limit: 1370, Held: 1200, Used: 830, Period: "5s"}},
			{Name: "yard"},
		})
	case r.URL.Path == api.PathStatus:
		f.writeJSON(w, f.status)
	default:
		f.writeJSON(w, struct{}{})
	}
}

func (f *fakeControl) writeJSON(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

// ctl runs paddlectl against the fake and returns its output and exit code.
func ctl(t *testing.T, f *fakeControl, args ...string) (string, int) {
	t.Helper()
	srv := httptest.NewServer(f)
	defer srv.Close()
	var out bytes.Buffer
	cmd := newCommand()
	cmd.Writer = &out
	full := []string{"paddlectl", "--timeout", "300ms", "--control", strings.TrimPrefix(srv.URL, "http://")}
	err := cmdline.Run(context.Background(), cmd, append(full, args...))
	return out.String(), cmdline.ExitCode(err)
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "config.yaml")
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func TestExitCodes(t *testing.T) {
	good, bad := writeFile(t, validConfig), writeFile(t, "profiles: 3")
	refuse := func(k api.ErrorKind) *fakeControl { return &fakeControl{refusal: &api.Error{Kind: k}} }
	tests := []struct {
		name string
		fake *fakeControl
		args []string
		want int
	}{
		{"success", &fakeControl{}, []string{"config", "apply", good}, 0},
		{"unknown command", &fakeControl{}, []string{"config", "aply", good}, cmdline.ExitUsage},
		{"unknown flag", &fakeControl{}, []string{"status", "--colour"}, cmdline.ExitUsage},
		{"missing argument", &fakeControl{}, []string{"config", "apply"}, cmdline.ExitUsage},
		{"invalid format", &fakeControl{}, []string{"-o", "xml", "status"}, cmdline.ExitUsage},
		{"invalid file", &fakeControl{}, []string{"config", "apply", bad}, cmdline.ExitSettings},
		{"missing file", &fakeControl{}, []string{"config", "check", good + "x"}, cmdline.ExitNotFound},
		{"conflict", refuse(api.ErrConflict), []string{"config", "apply", "--base", "1", good}, cmdline.ExitConflict},
		{"not found", refuse(api.ErrNotFound), []string{"promote", "absent"}, cmdline.ExitNotFound},
		{"no leader", refuse(api.ErrNotLeader), []string{"config", "show"}, cmdline.ExitUnreachable},
		{"refused", refuse(api.ErrRefused), []string{"promote", "ledger"}, cmdline.ExitRefused},
		{"no key", refuse(api.ErrUnauthorized), []string{"status"}, cmdline.ExitUnauthorized},
		{"outcome unknown", refuse(api.ErrUnknown), []string{"promote", "ledger"}, cmdline.ExitUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, code := ctl(t, tt.fake, tt.args...)
			assert.Equal(t, code, tt.want)
		})
	}
}

// TestUnknownOutcomeIsKept covers calls whose time ends while they are tried again: an
// earlier try, or one without an answer, may have been executed.
func TestUnknownOutcomeIsKept(t *testing.T) {
	good := writeFile(t, validConfig)
	for delay := 40 * time.Millisecond; delay < 120*time.Millisecond; delay += 20 * time.Millisecond {
		_, code := ctl(t, &fakeControl{refusal: &api.Error{Kind: api.ErrUnknown}, delay: delay}, "promote", "ledger")
		assert.Equal(t, code, cmdline.ExitUnknown, "answers after %s", delay)
		_, code = ctl(t, &fakeControl{delay: delay}, "config", "apply", "--wait", good)
		assert.Equal(t, code, cmdline.ExitUnknown, "applied to no proxy, answers after %s", delay)
	}
	_, code := ctl(t, &fakeControl{silent: true}, "config", "apply", good)
	assert.Equal(t, code, cmdline.ExitUnknown, "the answer was lost")
	_, code = ctl(t, &fakeControl{silent: true, delay: time.Second}, "config", "apply", "--base", "4", good)
	assert.Equal(t, code, cmdline.ExitUnknown, "the answer came too late")
}

func TestInvalidFileIsNotSent(t *testing.T) {
	f := &fakeControl{}
	_, code := ctl(t, f, "config", "apply", writeFile(t, validConfig+"more: 1\n"))
	assert.Equal(t, code, cmdline.ExitSettings)
	assert.Equal(t, len(f.changes), 0)
}

func TestResentChangeKeepsItsID(t *testing.T) {
	f, file := &fakeControl{}, writeFile(t, validConfig)
	for range 2 {
		_, code := ctl(t, f, "config", "apply", "--base", "4", file)
		assert.Equal(t, code, 0)
	}
	_, code := ctl(t, f, "config", "apply", "--base", "5", file)
	assert.Equal(t, code, 0)
	assert.Equal(t, f.changes[0].ChangeID, f.changes[1].ChangeID)
	assert.Assert(t, f.changes[0].ChangeID != f.changes[2].ChangeID)
}

func TestApplyWaits(t *testing.T) {
	proxies := []api.Proxy{
		{Host: "proxy-1", LeaseLive: true, AppliedVersion: 9},
		{Host: "proxy-2", LeaseLive: false, AppliedVersion: 2},
	}
	tests := []struct {
		name   string
		status api.Status
		want   int
	}{
		{"applied or without lease", api.Status{Leading: true, ConfigVersion: 5, ConfigSince: 9, Proxies: proxies}, 0},
		{"a proxy is behind", api.Status{Leading: true, ConfigVersion: 5, ConfigSince: 10, Proxies: proxies}, cmdline.ExitUnknown},
		{"no leader", api.Status{ConfigVersion: 5, ConfigSince: 9, Proxies: proxies}, cmdline.ExitUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, code := ctl(t, &fakeControl{status: tt.status}, "config", "apply", "--wait", writeFile(t, validConfig))
			assert.Equal(t, code, tt.want)
		})
	}
}

func TestOutput(t *testing.T) {
	out, _ := ctl(t, &fakeControl{}, "profile", "list")
	assert.Equal(t, out, ""+
		"PROFILE  FRESHNESS  MAX AGE  IDEMPOTENT  DURABILITY  WEIGHT  SERVICES\n"+
		"strict   primary    0s       reads       majority    1       1\n")
	out, _ = ctl(t, &fakeControl{}, "organisation", "list")
	assert.Equal(t, out, ""+
		"ORGANISATION  KEYS  PRIORITY  RATE  BURST  LIMIT  HELD  USED  PERIOD\n"+
		"mill          2     1         266   40     1370   1200  830   5s\n"+
		"yard          0     0         -     -      -      -     -     -\n")
	out, _ = ctl(t, &fakeControl{status: api.Status{Host: "control-1", Term: 3}}, "-o", "json", "status")
	var st api.Status
	assert.NilError(t, json.Unmarshal([]byte(out), &st))
	assert.Equal(t, st.Term, uint64(3))
}

// TestShowHidesKeys checks that the keys of organisations are shown on request only, also
// if the configuration was given in a format that the command does not know.
func TestShowHidesKeys(t *testing.T) {
	withKey := &api.Config{
		Version: 4, Organisations: 1, Source: validConfig + "organisations:\n  mill: {keys: [secret-0000000001]}\n",
	}
	for _, format := range []string{"table", "json"} {
		out, code := ctl(t, &fakeControl{config: withKey}, "-o", format, "config", "show")
		assert.Equal(t, code, 0)
		assert.Assert(t, strings.Contains(out, "mill") && !strings.Contains(out, "secret"), out)
		out, code = ctl(t, &fakeControl{config: withKey}, "-o", format, "config", "show", "--keys")
		assert.Equal(t, code, 0)
		assert.Assert(t, strings.Contains(out, "secret-0000000001"), out)
	}
	foreign := &api.Config{Version: 4, Organisations: 1, Source: `{"keys":["secret-0000000001"]}`}
	out, code := ctl(t, &fakeControl{config: foreign}, "config", "show")
	assert.Assert(t, code != 0)
	assert.Assert(t, !strings.Contains(out, "secret"), out)
	out, _ = ctl(t, &fakeControl{}, "config", "show")
	assert.Equal(t, out, "# version 4\n"+validConfig+"\n", "a configuration without organisations is shown as it was applied")
}

func TestEveryCommandHasHelp(t *testing.T) {
	for _, args := range [][]string{{}, {"config"}, {"config", "apply"}, {"target", "drain"}, {"host", "add"}, {"promote"}, {"organisation", "list"}} {
		out, code := ctl(t, &fakeControl{}, append(args, "--help")...)
		assert.Equal(t, code, 0)
		assert.Assert(t, strings.Contains(out, "USAGE:"), out)
	}
}
