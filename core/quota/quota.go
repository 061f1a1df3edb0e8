// Package quota computes what the limit of an organisation allows, and admits the
// operations of organisations in a traffic shard. The limit is divided in rights: a
// right allows one operation to begin in any window.
package quota

import (
	"math"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// defaultWindow applies to configurations that set none.
const defaultWindow = 5 * time.Second

// Window returns the length of the sliding windows in which limits hold.
func Window(c *types.Config) time.Duration {
	if c == nil || c.QuotaWindow <= 0 {
		return defaultWindow
	}
	return c.QuotaWindow
}

// Limited reports whether an organisation has a limit.
func Limited(o types.Organisation) bool { return o.Rate > 0 }

// maxRights bounds the rights of one organisation, so that sums of them fit an int.
const maxRights = 1 << 30

// Rights returns how many operations of an organisation with a limit may begin in any
// window.
func Rights(o types.Organisation, window time.Duration) int {
	return int(min(math.Floor(o.Rate*window.Seconds()+float64(o.Burst)), maxRights))
}
