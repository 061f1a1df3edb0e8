package organisation

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

var (
	millKey    = types.KeyDigest{1}
	yardKey    = types.KeyDigest{2}
	unknownKey = types.KeyDigest{3}
	noKey      = types.KeyDigest{}
)

const (
	leaseEnd = types.Instant(100)
	inLease  = leaseEnd - 1
)

// testView returns a view with two organisations, whose lease lives until leaseEnd.
func testView() *types.NodeView {
	config := &types.Config{
		Version: 1,
		Routes: map[types.DatabaseName]types.Route{
			"orders": {Database: "orders"}, "public": {Database: "public", Anonymous: true},
		},
		Organisations: map[types.OrganisationName]types.Organisation{
			"mill": {Name: "mill", Keys: []types.KeyDigest{millKey}}, "yard": {Name: "yard", Keys: []types.KeyDigest{yardKey}},
		},
	}
	return &types.NodeView{
		LeaseUntil: leaseEnd, Cluster: &types.ClusterView{Config: config}, KeyHolders: KeyHolders(config),
	}
}

func TestIdentify(t *testing.T) {
	for _, c := range []struct {
		name     string
		key      types.KeyDigest
		database types.DatabaseName
		now      types.Instant
		want     types.OrganisationName
		refusal  types.RefusalCode
	}{
		{"key", millKey, "orders", inLease, "mill", 0},
		{"key of another", yardKey, "orders", inLease, "yard", 0},
		{"key on a route that needs none", millKey, "public", inLease, "mill", 0},
		{"key without a lease", millKey, "orders", leaseEnd, "mill", 0},
		{"unknown key", unknownKey, "orders", inLease, "", types.RefuseUnknownKey},
		{"unknown key on a route that needs none", unknownKey, "public", inLease, "", types.RefuseUnknownKey},
		{"unknown key without a lease", unknownKey, "orders", leaseEnd, "", types.RefuseNoLease},
		{"no key", noKey, "orders", inLease, "", types.RefuseUnknownKey},
		{"no key without a lease", noKey, "orders", leaseEnd, "", types.RefuseNoLease},
		{"no key on a route that needs none", noKey, "public", inLease, "", 0},
		{"no key on a route that needs none, without a lease", noKey, "public", leaseEnd, "", 0},
		{"no key and no database name", noKey, "", inLease, "", types.RefuseUnknownKey},
	} {
		got, why := Identify(testView(), c.key, c.database, c.now)
		assert.Equal(t, got, c.want, c.name)
		if c.refusal == 0 {
			assert.Assert(t, why == nil, "%s: %v", c.name, why)
			continue
		}
		assert.Assert(t, why != nil, c.name)
		assert.Equal(t, why.Code, c.refusal, c.name)
		assert.Equal(t, why.Outcome, types.NotRun, c.name)
	}
}

func TestKeysAreIgnoredWithoutOrganisations(t *testing.T) {
	v := testView()
	v.Cluster.Config.Organisations = nil
	v.KeyHolders = KeyHolders(v.Cluster.Config)
	for _, key := range []types.KeyDigest{noKey, unknownKey} {
		name, why := Identify(v, key, "orders", inLease)
		assert.Equal(t, name, types.OrganisationName(""))
		assert.Assert(t, why == nil, "%v", why)
	}
	assert.Assert(t, !Revoked(v, millKey, "mill"))
}

func TestRevoked(t *testing.T) {
	v := testView()
	assert.Assert(t, !Revoked(v, millKey, "mill"))
	assert.Assert(t, !Revoked(v, noKey, ""), "a caller without an organisation has no key to lose")
	assert.Assert(t, Revoked(v, unknownKey, "mill"), "the key was removed")
	assert.Assert(t, Revoked(v, yardKey, "mill"), "the key was given to another organisation")
}
