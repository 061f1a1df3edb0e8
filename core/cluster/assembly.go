package cluster

import (
	"maps"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Assembly is a proxy's view and the parts of the next one that have come. The
// view stays as it is until the last part is there.
type Assembly struct {
	view *types.ClusterView
	next *types.ClusterView // what the parts make of the view; nil without any
	at   proto.ViewCursor   // end of the last part
}

// View returns the last complete view, or nil.
func (a *Assembly) View() *types.ClusterView { return a.view }

// Have returns the version of the last complete view, zero before the first.
func (a *Assembly) Have() uint64 {
	if a.view == nil {
		return 0
	}
	return a.view.Version
}

// At returns how far the next view has come.
func (a *Assembly) At() proto.ViewCursor { return a.at }

// Take takes over an update and reports whether it was of use. Any update may be
// lost, repeated or late, and come from any control host.
func (a *Assembly) Take(u *proto.ViewUpdate) bool {
	if u.Version <= a.Have() {
		return false
	}
	base, ok := a.follows(u)
	if !ok {
		return false
	}
	next := merged(base, u)
	if u.More {
		a.next, a.at = next, u.Through
		return true
	}
	*a = Assembly{view: next}
	return true
}

// follows returns what an update builds on, and whether it may be taken over.
func (a *Assembly) follows(u *proto.ViewUpdate) (*types.ClusterView, bool) {
	switch {
	case u.After != (proto.ViewCursor{}):
		return a.next, a.next != nil && u.After == a.at
	case u.Base > a.Have():
		return nil, false // it lacks the changes between
	case u.More && a.next != nil && a.at.Base == u.Base && a.at.Since == u.Through.Since:
		return nil, false // a first part again
	case u.Base == 0:
		return &types.ClusterView{}, true
	}
	return a.view, true
}

// merged returns a view with what an update changes. Neither is changed.
func merged(base *types.ClusterView, u *proto.ViewUpdate) *types.ClusterView {
	next := &types.ClusterView{Version: u.Version, Config: base.Config, Groups: maps.Clone(base.Groups)}
	if next.Groups == nil {
		next.Groups = make(map[types.ServiceName]*types.Group)
	}
	for _, g := range u.Groups {
		next.Groups[g.Service] = g
	}
	for _, name := range u.Gone {
		delete(next.Groups, name)
	}
	if u.Config != nil {
		next.Config = mergedConfig(base.Config, u)
	}
	return next
}

func mergedConfig(base *types.Config, u *proto.ViewUpdate) *types.Config {
	if base == nil {
		base = &types.Config{}
	}
	next := &types.Config{
		Version: u.Config.Version, TransactionIdle: u.Config.TransactionIdle,
		Services: mergedMap(base.Services, u.Config.Services),
		Profiles: mergedMap(base.Profiles, u.Config.Profiles),
		Routes:   mergedMap(base.Routes, u.Config.Routes),
	}
	for _, item := range u.Removed {
		switch item.Kind {
		case proto.ItemService:
			delete(next.Services, types.ServiceName(item.Name))
		case proto.ItemProfile:
			delete(next.Profiles, types.ProfileName(item.Name))
		case proto.ItemRoute:
			delete(next.Routes, types.DatabaseName(item.Name))
		}
	}
	return next
}

// mergedMap returns a copy of base with the entries of changes. It is nil when
// both are.
func mergedMap[K comparable, V any](base, changes map[K]V) map[K]V {
	if base == nil && changes == nil {
		return nil
	}
	out := make(map[K]V, len(base)+len(changes))
	maps.Copy(out, base)
	maps.Copy(out, changes)
	return out
}
