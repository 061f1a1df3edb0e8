package cluster

import (
	"math"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Update returns all that a proxy that holds version have lacks, or nil. It is a
// whole view when the changes since have are not known.
func (s *State) Update(have uint64) *proto.ViewUpdate {
	if have >= s.version {
		return nil
	}
	return s.part(proto.ViewCursor{}, s.begin(have), math.MaxInt)
}

// Merge returns the view that an update in one part makes of base, and whether it
// fits. A view never goes back to an older version. An update since an earlier
// version than base fits too, because it holds all that changed since base.
func Merge(base *types.ClusterView, u *proto.ViewUpdate) (*types.ClusterView, bool) {
	a := Assembly{view: base}
	fits := a.Take(u)
	return a.view, fits
}
