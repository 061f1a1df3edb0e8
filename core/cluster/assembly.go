package cluster

import (
	"maps"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// ViewAssembly holds a proxy's view and assembles the next one from parts. The view
// is replaced only once the last part has arrived.
type ViewAssembly struct {
	view   *types.ClusterView
	next   *types.ClusterView // the view with the parts received so far; nil before the first
	cursor proto.ViewCursor   // end of the last part
}

// View returns the last complete view, or nil.
func (a *ViewAssembly) View() *types.ClusterView { return a.view }

// Version returns the version of the last complete view, zero before the first.
func (a *ViewAssembly) Version() uint64 {
	if a.view == nil {
		return 0
	}
	return a.view.Version
}

// Cursor returns the cursor after the last part of the next view.
func (a *ViewAssembly) Cursor() proto.ViewCursor { return a.cursor }

// Apply applies an update and reports whether it advanced the view or its assembly.
// Updates may be lost, duplicated or delayed, and may come from any control host.
func (a *ViewAssembly) Apply(u *proto.ViewUpdate) bool {
	if u.Version <= a.Version() {
		return false
	}
	base, ok := a.baseFor(u)
	if !ok {
		return false
	}
	next := mergeUpdate(base, u)
	if u.More {
		a.next, a.cursor = next, u.Through
		return true
	}
	*a = ViewAssembly{view: next}
	return true
}

// baseFor returns the view that an update builds on. It reports false if the update
// can't be applied.
func (a *ViewAssembly) baseFor(u *proto.ViewUpdate) (*types.ClusterView, bool) {
	switch {
	case u.After != (proto.ViewCursor{}):
		return a.next, a.next != nil && u.After == a.cursor
	case u.Base > a.Version():
		return nil, false // the changes from the current version to Base are missing
	case u.More && a.next != nil && a.cursor.Base == u.Base && a.cursor.Since == u.Through.Since:
		return nil, false // a duplicate of the first part
	case u.Base == 0:
		return &types.ClusterView{}, true
	}
	return a.view, true
}

// mergeUpdate returns a copy of a view with an update applied. It modifies neither
// of them.
func mergeUpdate(base *types.ClusterView, u *proto.ViewUpdate) *types.ClusterView {
	next := &types.ClusterView{Version: u.Version, Config: base.Config, Groups: maps.Clone(base.Groups)}
	if next.Groups == nil {
		next.Groups = make(map[types.ServiceName]*types.Group)
	}
	for _, g := range u.Groups {
		next.Groups[g.Service] = g
	}
	for _, name := range u.RemovedGroups {
		delete(next.Groups, name)
	}
	if u.Config != nil {
		next.Config = mergeConfig(base.Config, u)
	}
	return next
}

func mergeConfig(base *types.Config, u *proto.ViewUpdate) *types.Config {
	if base == nil {
		base = &types.Config{}
	}
	next := &types.Config{
		Version: u.Config.Version, TransactionIdle: u.Config.TransactionIdle, Unfenced: u.Config.Unfenced,
		Services: mergeMaps(base.Services, u.Config.Services),
		Profiles: mergeMaps(base.Profiles, u.Config.Profiles),
		Routes:   mergeMaps(base.Routes, u.Config.Routes),

		Organisations: mergeMaps(base.Organisations, u.Config.Organisations),
		QuotaWindow:   u.Config.QuotaWindow, PriorityOrder: u.Config.PriorityOrder,
	}
	for _, item := range u.Removed {
		switch item.Kind {
		case proto.ItemService:
			delete(next.Services, types.ServiceName(item.Name))
		case proto.ItemProfile:
			delete(next.Profiles, types.ProfileName(item.Name))
		case proto.ItemRoute:
			delete(next.Routes, types.DatabaseName(item.Name))
		case proto.ItemOrganisation:
			delete(next.Organisations, types.OrganisationName(item.Name))
		}
	}
	return next
}

// mergeMaps returns a copy of base with the entries of changes. The result is nil
// if both are nil.
func mergeMaps[K comparable, V any](base, changes map[K]V) map[K]V {
	if base == nil && changes == nil {
		return nil
	}
	out := make(map[K]V, len(base)+len(changes))
	maps.Copy(out, base)
	maps.Copy(out, changes)
	return out
}
