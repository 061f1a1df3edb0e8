package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/routing"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// findings returns the findings of an *InvalidError as strings.
func findings(t *testing.T, err error) []string {
	t.Helper()
	if err == nil {
		return nil
	}
	var invalid *InvalidError
	assert.Assert(t, errors.As(err, &invalid), "%v", err)
	var out []string
	for _, f := range invalid.Findings {
		out = append(out, f.String())
	}
	return out
}

const validService = `
services:
  ledger: {members: 3, slots: 3, connections: 20, default_profile: strict, profiles: [strict]}
`

func TestConfigFindings(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"empty", "", []string{"f:1:1: the file is empty"}},
		{"not yaml", "a: [", []string{"f:1:1: not valid YAML: line 1: did not find expected node content"}},
		{"list", "- a", []string{"f:1:1: must be a mapping, is a list"}},
		{"empty mapping", "{}", []string{"f:1:1: profiles is missing", "f:1:1: services is missing"}},
		{
			"unknown keys", "colour: red\nprofiles:\n  strict: {freshness: primary, speed: 3}" + validService,
			[]string{"f:1:1: colour: unknown key", "f:3:32: profiles.strict.speed: unknown key"},
		},
		{
			"wrong units",
			"profiles:\n  strict: {freshness: primary, request_timeout: 5, queue_timeout: 3 parsecs}" + validService,
			[]string{
				`f:2:49: profiles.strict.request_timeout: "5" must be a duration with a unit, such as 500ms or 5s`,
				`f:2:67: profiles.strict.queue_timeout: "3 parsecs" must be a duration with a unit, such as 500ms or 5s`,
			},
		},
		{
			"duplicate names",
			"profiles:\n  strict: {freshness: primary}\n  strict: {freshness: session}" + validService,
			[]string{"f:3:3: profiles.strict: duplicate key, first given in line 2"},
		},
		{
			"freshness age without max_age", "profiles:\n  strict: {freshness: age}" + validService,
			[]string{"f:2:23: profiles.strict.freshness: is age, but max_age is missing"},
		},
		{
			"max_age without freshness age", "profiles:\n  strict: {freshness: session, max_age: 5s}" + validService,
			[]string{"f:2:41: profiles.strict.max_age: is given, but freshness is not age"},
		},
		{
			"queue_timeout longer than request_timeout",
			"profiles:\n  strict: {freshness: primary, request_timeout: 1s, queue_timeout: 2s}" + validService,
			[]string{"f:2:68: profiles.strict.queue_timeout: 2s is longer than request_timeout 1s"},
		},
		{
			"contradictory service",
			"proxies: 4\nprofiles:\n  strict: {freshness: primary}\n  other: {freshness: primary}\nservices:\n" +
				"  ledger: {members: 2, slots: 0, connections: 4, default_profile: other, profiles: [strict, strict, absent]}",
			[]string{
				"f:6:21: services.ledger.members: 2 is even: use an odd number, so that a majority survives a failure",
				"f:6:31: services.ledger.slots: 0 must lie between 1 and 10000",
				"f:6:47: services.ledger.connections: 4 is too few for 4 proxies, which need 9",
				`f:6:67: services.ledger.default_profile: "other" is not in the service's profiles`,
				`f:6:93: services.ledger.profiles[1]: "strict" is listed twice, first in line 6`,
				`f:6:101: services.ledger.profiles[2]: profile "absent" does not exist`,
			},
		},
		{
			"alias", "profiles: &p\n  strict: {freshness: primary}\nservices: *p",
			[]string{`f:3:11: services: must be a mapping, is an alias, which is not supported`},
		},
		{
			"two documents", "profiles:\n  strict: {freshness: primary}" + validService + "---\na: b\n",
			[]string{"f:5:1: the file holds a second document"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg, err := ParseConfig("f", []byte(tt.text))
			assert.DeepEqual(t, findings(t, err), tt.want)
			assert.Assert(t, cfg == nil)
		})
	}
}

func TestNumberOfFindingsIsBounded(t *testing.T) {
	_, err := ParseConfig("f", []byte(strings.Repeat("a: b\n", maxFindings+50)))
	got := findings(t, err)
	assert.Equal(t, len(got), maxFindings+1)
	assert.Equal(t, got[maxFindings], "f:199:1: 52 more findings from here on")
}

func TestDaemonFindings(t *testing.T) {
	text := `
host: Entry_1
region: gulf
listen: {callers: "0.0.0.0:5432", http: "localhost:80", peers: "127.0.0.1:0"}
control: ["10.0.0.1:7400", "10.0.0.1:7400", "10.0.0.1:0"]
security: {certificate_file: a}
limits: {message_size: 16, answer_size: 1B}
trace: {sample: 2, endpoint: "10.0.0.9:4318"}
data_folder: x
`
	_, err := ParseDaemon("f", []byte(text), RoleProxy)
	assert.DeepEqual(t, findings(t, err), []string{
		"f:2:1: availability_zone is missing",
		`f:2:7: host: "Entry_1" ` + nameRule,
		`f:4:41: listen.http: "localhost:80" must be an IP address and a port, such as 10.0.0.1:7400`,
		"f:4:57: listen.peers: unknown key",
		"f:5:28: control[1]: 10.0.0.1:7400 is listed twice",
		`f:5:45: control[2]: "10.0.0.1:0" must be an address that other hosts can reach`,
		"f:6:11: security: TLS needs certificate_file, private_key_file and authority_file",
		`f:7:24: limits.message_size: "16" must be a size with a unit, such as 64KiB or 16MiB`,
		"f:7:41: limits.answer_size: 1B must lie between 1024 B and 1073741824 B",
		`f:8:17: trace.sample: "2" must be a number from 0 to 1`,
		`f:8:30: trace.endpoint: "10.0.0.9:4318" must be a URL with a path, such as http://10.0.0.9:4318/v1/traces`,
		"f:9:1: data_folder: unknown key",
	})
}

func TestKeyIsRequiredOutsideLoopback(t *testing.T) {
	text := "host: a\navailability_zone: z\nregion: r\ncontrol: [\"127.0.0.1:1\"]\n" +
		"listen: {callers: \"0.0.0.0:5432\", http: \"HTTP\"}\n"
	_, err := ParseDaemon("f", []byte(strings.Replace(text, "HTTP", "127.0.0.1:0", 1)), RoleProxy)
	assert.NilError(t, err)
	_, err = ParseDaemon("f", []byte(strings.Replace(text, "HTTP", "0.0.0.0:0", 1)), RoleProxy)
	assert.ErrorContains(t, err, "security.key_file: is missing")
}

func TestExamples(t *testing.T) {
	tests := []struct {
		folder, availabilityZones string
		services, slots, conns    int
	}{
		{"magnolia", "gulf-a lowcountry-a delta-a gulf-a", 3, 3, 20},
		{"kovacic", "kranj-shop celje-shop koper-shop kranj-shop", 3, 5, 55},
	}
	for _, tt := range tests {
		t.Run(tt.folder, func(t *testing.T) {
			cfg, err := ParseConfig("config.yaml", readExample(t, tt.folder, "config.yaml"))
			assert.NilError(t, err)
			assert.Equal(t, len(cfg.Services), tt.services)
			for _, s := range cfg.Services {
				assert.Equal(t, s.Members, 3)
				assert.Equal(t, s.Slots, tt.slots)
				assert.Equal(t, s.Connections, tt.conns)
				_, ok := cfg.Profile(s.Name, "")
				assert.Assert(t, ok)
			}
			for i, az := range strings.Fields(tt.availabilityZones) {
				n := string(rune('1' + i))
				for _, role := range []Role{RoleControl, RoleProxy} {
					name := role.String() + "-" + n + ".yaml"
					d, err := ParseDaemon(name, readExample(t, tt.folder, name), role)
					assert.NilError(t, err)
					assert.Equal(t, d.AvailabilityZone, types.AvailabilityZone(az))
					d.UnreadyDelay, d.Voters = 0, consensus.Policy{}
					if role == RoleProxy {
						d.UnreadyDelay, d.RoutingPolicy = 3*time.Second, routing.RecentLatency{}
					} else {
						d.Voters = consensus.Policy{Voters: 5, VoterSilence: 20 * time.Second}
					}
					text, err := d.YAML()
					assert.NilError(t, err)
					reparsed, err := ParseDaemon(name, text, role)
					assert.NilError(t, err)
					assert.DeepEqual(t, reparsed, d)
				}
			}
		})
	}
}

func readExample(t *testing.T, folder, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "examples", folder, name))
	assert.NilError(t, err)
	return data
}

func TestConfigValues(t *testing.T) {
	cfg, err := ParseConfig("f", readExample(t, "magnolia", "config.yaml"))
	assert.NilError(t, err)
	assert.DeepEqual(t, cfg.Profiles["catalog"], types.Profile{
		Name: "catalog", Freshness: types.FreshAge, MaxAge: 5 * time.Second,
		Durability: types.DurableMajority, Idempotent: types.IdempotentReads,
		RequestTimeout: 3 * time.Second, QueueTimeout: 500 * time.Millisecond,
		DrainTimeout: 2 * time.Second, Weight: 4,
	})
}

func FuzzConfig(f *testing.F) {
	for _, name := range []string{"config.yaml", "proxy-1.yaml", "control-1.yaml"} {
		data, err := os.ReadFile(filepath.Join("..", "examples", "kovacic", name))
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte(withOrganisations))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("profiles: {? [a] : b}\nservices: {<<: {a: b}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := ParseConfig("f", data)
		assert.Equal(t, cfg == nil, err != nil)
		if err != nil {
			assert.Assert(t, len(findings(t, err)) > 0)
		} else if _, err := HideKeys(string(data)); err != nil {
			t.Fatalf("the keys of a valid configuration can't be hidden: %v", err)
		}
		for _, role := range []Role{RoleProxy, RoleControl} {
			_, _ = ParseDaemon("f", data, role)
		}
		_, _ = ParseClient("f", data)
	})
}
