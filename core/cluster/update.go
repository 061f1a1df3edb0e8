package cluster

import (
	"maps"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Update returns what a proxy that holds version have lacks, or nil. It is a
// whole view when the changes since have are not known.
func (s *State) Update(have uint64) *proto.ViewUpdate {
	if have >= s.version {
		return nil
	}
	if have == 0 || have < s.since {
		return s.whole()
	}
	u := &proto.ViewUpdate{Base: have, Version: s.version}
	if s.configVersion > have {
		u.Config = s.ledger.Config()
	}
	for _, name := range s.Services() {
		if s.groupVersion[name] > have {
			u.Groups = append(u.Groups, s.groups[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.gone)) {
		if s.gone[name] > have {
			u.Gone = append(u.Gone, name)
		}
	}
	return u
}

func (s *State) whole() *proto.ViewUpdate {
	u := &proto.ViewUpdate{Version: s.version, Config: s.ledger.Config()}
	for _, name := range s.Services() {
		u.Groups = append(u.Groups, s.groups[name])
	}
	return u
}

// Merge returns the view that an update makes of base, and whether it fits. A
// view never goes back to an older version. An update since an earlier version
// than base fits too, because it holds all that changed since base.
func Merge(base *types.ClusterView, u *proto.ViewUpdate) (*types.ClusterView, bool) {
	var have uint64
	if base != nil {
		have = base.Version
	}
	if u.Version <= have || u.Base > have {
		return base, false
	}
	next := &types.ClusterView{Version: u.Version, Config: u.Config, Groups: make(map[types.ServiceName]*types.Group)}
	if u.Base != 0 {
		maps.Copy(next.Groups, base.Groups)
		if next.Config == nil {
			next.Config = base.Config
		}
	}
	for _, g := range u.Groups {
		next.Groups[g.Service] = g
	}
	for _, name := range u.Gone {
		delete(next.Groups, name)
	}
	return next, true
}
