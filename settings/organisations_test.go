package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/internal/key"
	"gotest.tools/v3/assert"
)

const withOrganisations = `
priority_order: true
profiles:
  strict: {freshness: primary, priority: 2}
services:
  ledger: {members: 3, slots: 3, connections: 20, default_profile: strict, profiles: [strict]}
quota_window: 10s
organisations:
  mill: # the paper mill
    keys:
      - secret-of-mill-0001
      # - secret-of-mill-0000
      - "secret-of-mill-0002"
    priority: 1
    rate: 266.5
    burst: 40
  yard: {keys: ['secret-of-yard-0001']}
`

func TestOrganisations(t *testing.T) {
	cfg, err := ParseConfig("f", []byte(withOrganisations))
	assert.NilError(t, err)
	assert.DeepEqual(t, cfg.Organisations, map[types.OrganisationName]types.Organisation{
		"mill": {
			Name: "mill", Keys: key.Digests([]string{"secret-of-mill-0001", "secret-of-mill-0002"}),
			Priority: 1, Rate: 266.5, Burst: 40,
		},
		"yard": {Name: "yard", Keys: key.Digests([]string{"secret-of-yard-0001"})},
	})
	assert.Equal(t, cfg.QuotaWindow, 10*time.Second)
	assert.Equal(t, cfg.PriorityOrder, true)
	assert.Equal(t, cfg.Profiles["strict"].Priority, 2)
}

func TestConfigWithoutOrganisations(t *testing.T) {
	cfg, err := ParseConfig("f", []byte("profiles:\n  strict: {freshness: primary}"+validService))
	assert.NilError(t, err)
	assert.Equal(t, len(cfg.Organisations), 0)
	assert.Equal(t, cfg.QuotaWindow, time.Duration(0))
	assert.Equal(t, cfg.PriorityOrder, false)
}

// TestOrganisationFindings checks that all findings are reported with their place and
// that none states a key.
func TestOrganisationFindings(t *testing.T) {
	const base = "profiles:\n  strict: {freshness: primary}" + validService
	for _, tt := range []struct {
		name, text string
		want       []string
	}{
		{
			"keys given twice",
			"organisations:\n  mill: {keys: [secret-0000000001, secret-0000000001]}\n  yard: {keys: [secret-0000000001]}",
			[]string{
				"f:6:36: organisations.mill.keys[1]: is the same key as organisations.mill.keys[0] in line 6",
				"f:7:17: organisations.yard.keys[0]: is the same key as organisations.mill.keys[0] in line 6",
			},
		},
		{
			"name given twice",
			"organisations:\n  mill: {keys: []}\n  mill: {keys: []}",
			[]string{"f:7:3: organisations.mill: duplicate key, first given in line 6"},
		},
		{
			"values out of range",
			"quota_window: 1ms\norganisations:\n  mill: {keys: [], rate: -1, burst: 2000000000, priority: 10}\n  Mill: {keys: [], burst: 3}",
			[]string{
				"f:5:15: quota_window: 1ms must lie between 1s and 1m0s",
				`f:7:26: organisations.mill.rate: "-1" must be a number of operations a second, above 0 and at most 1000000000`,
				"f:7:37: organisations.mill.burst: 2000000000 must lie between 0 and 1000000000",
				"f:7:59: organisations.mill.priority: 10 must lie between 0 and 9",
				`f:8:3: organisations.Mill: "Mill" ` + nameRule,
				"f:8:27: organisations.Mill.burst: is given, but rate is not",
			},
		},
		{
			"malformed keys",
			"organisations:\n  mill: {keys: [secret, \"secret with spaces in it\", [secret-0000000001]]}\n" +
				"  yard: {keys: secret-0000000002}\n  farm: {}",
			[]string{
				"f:6:17: organisations.mill.keys[0]: " + organisationKeyRule,
				"f:6:25: organisations.mill.keys[1]: " + organisationKeyRule,
				"f:6:53: organisations.mill.keys[2]: " + organisationKeyRule,
				"f:7:16: organisations.yard.keys: must be a list",
				"f:8:9: organisations.farm: keys is missing",
			},
		},
		{
			"key that reads as an alias",
			"organisations:\n  mill: {keys: [*secret-0000000001]}",
			[]string{"f:1:1: not valid YAML: unknown anchor referenced"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseConfig("f", []byte(base+tt.text))
			got := findings(t, err)
			assert.DeepEqual(t, got, tt.want)
			assert.Assert(t, !strings.Contains(strings.Join(got, "\n"), "secret"))
		})
	}
}

func TestHideKeys(t *testing.T) {
	text, err := HideKeys(withOrganisations)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(text, "secret"), text)
	assert.Equal(t, strings.Count(text, hiddenKey), 3)
	for _, kept := range []string{"rate: 266.5", "mill:", "quota_window: 10s", "strict:"} {
		assert.Assert(t, strings.Contains(text, kept), "%q is missing in %s", kept, text)
	}
	_, err = HideKeys(`{"owners":[{"secrets":["secret-0000000001"]}]}`)
	assert.Assert(t, err != nil, "keys of a text in another format can't be hidden")
}
