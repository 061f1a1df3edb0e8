package cluster

import (
	"math"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Update returns an unbounded update for a proxy that holds version have, or nil if
// the proxy is current. It is a complete view if the changes since have are unknown.
func (s *State) Update(have uint64) *proto.ViewUpdate {
	if have >= s.version {
		return nil
	}
	return s.buildPart(proto.ViewCursor{}, s.startCursor(have), math.MaxInt)
}

// Merge returns base with a one-part update applied, and whether the update fits.
// A view never goes back to an older version. An update from a version before base
// fits too, because it holds all changes since base.
func Merge(base *types.ClusterView, u *proto.ViewUpdate) (*types.ClusterView, bool) {
	a := ViewAssembly{view: base}
	fits := a.Apply(u)
	return a.view, fits
}
