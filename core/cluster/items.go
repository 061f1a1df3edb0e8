package cluster

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// maxRemovedItems is how many removed items are kept. Beyond it, a proxy that missed
// the oldest removals receives the whole view. 4,096 is about three times the number
// of routes in the largest known configuration.
const maxRemovedItems = 4096

// itemVersions tracks the version at which each item of the view last changed. It
// is part of the replicated state: every control host has the same versions.
type itemVersions struct {
	since   uint64 // changes after this version are known
	changed map[proto.ViewItem]uint64
	removed map[proto.ViewItem]uint64
	order   []proto.ItemVersion // cache of all items, sorted by version; nil after a change
}

func newItemVersions() itemVersions {
	return itemVersions{changed: make(map[proto.ViewItem]uint64), removed: make(map[proto.ViewItem]uint64)}
}

func groupItem(name types.ServiceName) proto.ViewItem {
	return proto.ViewItem{Kind: proto.ItemGroup, Name: string(name)}
}

func (v *itemVersions) markChanged(item proto.ViewItem, version uint64) {
	v.changed[item] = version
	delete(v.removed, item)
	v.order = nil
}

func (v *itemVersions) markRemoved(item proto.ViewItem, version uint64) {
	delete(v.changed, item)
	v.removed[item] = version
	v.order = nil
}

// recordConfigChange marks the items in which two configurations differ.
func (v *itemVersions) recordConfigChange(before, after *types.Config, version uint64) {
	old, now := configItems(before), configItems(after)
	for item, content := range now {
		if was, ok := old[item]; !ok || !itemsEqual(was, content) {
			v.markChanged(item, version)
		}
	}
	for item := range old {
		if _, ok := now[item]; !ok {
			v.markRemoved(item, version)
		}
	}
	v.pruneRemoved()
}

// pruneRemoved drops the oldest removals beyond maxRemovedItems, whole versions at
// a time.
func (v *itemVersions) pruneRemoved() {
	extra := len(v.removed) - maxRemovedItems
	if extra <= 0 {
		return
	}
	v.since = sortedVersions(v.removed)[extra-1].Version
	maps.DeleteFunc(v.removed, func(_ proto.ViewItem, version uint64) bool { return version <= v.since })
	v.order = nil
}

// configItems returns the services, profiles, routes and organisations of a configuration
// by item.
func configItems(c *types.Config) map[proto.ViewItem]any {
	out := make(map[proto.ViewItem]any, len(c.Services)+len(c.Profiles)+len(c.Routes)+len(c.Organisations))
	for name, s := range c.Services {
		out[proto.ViewItem{Kind: proto.ItemService, Name: string(name)}] = s
	}
	for name, p := range c.Profiles {
		out[proto.ViewItem{Kind: proto.ItemProfile, Name: string(name)}] = p
	}
	for name, r := range c.Routes {
		out[proto.ViewItem{Kind: proto.ItemRoute, Name: string(name)}] = r
	}
	for name, o := range c.Organisations {
		out[proto.ViewItem{Kind: proto.ItemOrganisation, Name: string(name)}] = o
	}
	return out
}

// itemsEqual reports whether the contents of two items of the same kind are equal.
func itemsEqual(a, b any) bool {
	switch x := a.(type) {
	case types.Service:
		return servicesEqual(x, b.(types.Service))
	case types.Organisation:
		y := b.(types.Organisation)
		return x.Name == y.Name && slices.Equal(x.Keys, y.Keys) && x.Priority == y.Priority && x.Rate == y.Rate && x.Burst == y.Burst
	}
	return a == b
}

func servicesEqual(x, y types.Service) bool {
	if !slices.Equal(x.Profiles, y.Profiles) {
		return false
	}
	x.Profiles, y.Profiles = nil, nil
	return x.Name == y.Name && x.Members == y.Members && x.Slots == y.Slots && x.Connections == y.Connections &&
		x.DefaultProfile == y.DefaultProfile && x.Managed == y.Managed
}

// itemsAfter returns the changed and removed items that follow last, sorted by
// version.
func (v *itemVersions) itemsAfter(last proto.ItemVersion) iter.Seq[proto.ItemVersion] {
	if v.order == nil {
		v.order = append(sortedVersions(v.changed), sortedVersions(v.removed)...)
		slices.SortFunc(v.order, compareVersions)
	}
	first, found := slices.BinarySearchFunc(v.order, last, compareVersions)
	if found {
		first++
	}
	return slices.Values(v.order[first:])
}

func sortedVersions(versions map[proto.ViewItem]uint64) []proto.ItemVersion {
	out := make([]proto.ItemVersion, 0, len(versions))
	for item, version := range versions {
		out = append(out, proto.ItemVersion{Item: item, Version: version})
	}
	slices.SortFunc(out, compareVersions)
	return out
}

func compareVersions(a, b proto.ItemVersion) int {
	return cmp.Or(
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Item.Kind, b.Item.Kind),
		strings.Compare(a.Item.Name, b.Item.Name),
	)
}
