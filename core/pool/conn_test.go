package pool

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// TestMissingCountMatchesMissing covers connections that have all, a part or none of the
// setup that a session needs, or more than that.
func TestMissingCountMatchesMissing(t *testing.T) {
	set := func(names ...string) []types.Setting {
		var out []types.Setting
		for _, n := range names {
			out = append(out, types.Setting{Name: n, Value: "of " + n})
		}
		return out
	}
	a, b := &types.Prepared{Name: "a"}, &types.Prepared{Name: "b"}
	other := []types.Setting{{Name: "x", Value: "another"}}
	for _, tt := range []struct {
		name       string
		left, want *types.Setup
		operations int
	}{
		{"a new connection", nil, &types.Setup{Settings: set("x", "y"), Prepared: a}, 3},
		{"nothing needed", nil, nil, 0},
		{"complete setup", &types.Setup{Settings: set("x"), Prepared: a}, &types.Setup{Settings: set("x"), Prepared: a}, 0},
		{"another value", &types.Setup{Settings: set("x")}, &types.Setup{Settings: other}, 1},
		{"another statement", &types.Setup{Prepared: a}, &types.Setup{Prepared: b}, 1},
		{"an extra value", &types.Setup{Settings: set("x", "y")}, &types.Setup{Settings: set("x")}, 2},
		{"an extra value, whose reset drops the statement too", &types.Setup{Settings: set("x"), Prepared: a}, &types.Setup{Prepared: a}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var c Conn
			c.RecordSetup(c.Missing(tt.left))
			assert.Equal(t, c.missingCount(tt.want), tt.operations)
			assert.Equal(t, len(c.Missing(tt.want)), tt.operations)
			c.RecordSetup(c.Missing(tt.want))
			assert.Assert(t, c.HasSetup(tt.want))
		})
	}
}

// TestUnknownSetupIsReset guards against a connection that is used although an operation
// that would have changed its setup failed.
func TestUnknownSetupIsReset(t *testing.T) {
	want := &types.Setup{Settings: []types.Setting{{Name: "x", Value: "1"}}}
	for _, next := range []*types.Setup{want, nil} {
		var c Conn
		c.RecordSetup(c.Missing(want))
		c.ForgetSetup()
		assert.Assert(t, !c.HasSetup(next))
		ops := c.Missing(next)
		assert.Equal(t, ops[0].Kind, types.OpReset)
		c.RecordSetup(ops)
		assert.Assert(t, c.HasSetup(next))
	}
}
