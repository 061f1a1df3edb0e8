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

// maxOrderFactor bounds the entries of itemVersions.order for each item.
const maxOrderFactor = 2

// itemVersions tracks the version at which each item of the view last changed. It
// is part of the replicated state: every control host has the same versions.
type itemVersions struct {
	since   uint64 // changes after this version are known
	changed map[proto.ViewItem]uint64
	removed map[proto.ViewItem]uint64
	order   []proto.ItemVersion // sorted by version; also holds earlier versions of items
}

func newItemVersions() itemVersions {
	return itemVersions{changed: make(map[proto.ViewItem]uint64), removed: make(map[proto.ViewItem]uint64)}
}

func groupItem(name types.ServiceName) proto.ViewItem {
	return proto.ViewItem{Kind: proto.ItemGroup, Name: string(name)}
}

func (v *itemVersions) markChanged(item proto.ViewItem, version uint64) {
	if v.changed[item] == version {
		return
	}
	v.changed[item] = version
	delete(v.removed, item)
	v.insert(proto.ItemVersion{Item: item, Version: version})
}

func (v *itemVersions) markRemoved(item proto.ViewItem, version uint64) {
	delete(v.changed, item)
	v.removed[item] = version
	v.insert(proto.ItemVersion{Item: item, Version: version})
}

// insert adds an item to the order. Nearly always it follows all others.
func (v *itemVersions) insert(item proto.ItemVersion) {
	v.order = append(v.order, item)
	for i := len(v.order) - 1; i > 0 && compareVersions(v.order[i-1], v.order[i]) > 0; i-- {
		v.order[i-1], v.order[i] = v.order[i], v.order[i-1]
	}
	if len(v.order) > maxOrderFactor*(len(v.changed)+len(v.removed)) {
		v.pruneOrder()
	}
}

// sortAll sets the order of all items.
func (v *itemVersions) sortAll() {
	v.order = append(sortedVersions(v.changed), sortedVersions(v.removed)...)
	slices.SortFunc(v.order, compareVersions)
}

// pruneOrder drops the earlier versions of items.
func (v *itemVersions) pruneOrder() {
	v.order = slices.DeleteFunc(v.order, func(item proto.ItemVersion) bool { return !v.isCurrent(item) })
}

// isCurrent reports whether an item has not changed since.
func (v *itemVersions) isCurrent(item proto.ItemVersion) bool {
	return v.changed[item.Item] == item.Version || v.removed[item.Item] == item.Version
}

// recordConfigChange marks the items in which two configurations differ.
func (v *itemVersions) recordConfigChange(before, after *types.Config, version uint64) {
	old, now := configItems(before), configItems(after)
	var differ []proto.ViewItem
	for item, content := range now {
		if was, ok := old[item]; !ok || !itemsEqual(was, content) {
			differ = append(differ, item)
		}
	}
	for item := range old {
		if _, ok := now[item]; !ok {
			differ = append(differ, item)
		}
	}
	slices.SortFunc(differ, compareItems)
	for _, item := range differ {
		if _, ok := now[item]; ok {
			v.markChanged(item, version)
		} else {
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
	v.pruneOrder()
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
	first, found := slices.BinarySearchFunc(v.order, last, compareVersions)
	if found {
		first++
	}
	return func(yield func(proto.ItemVersion) bool) {
		for _, item := range v.order[first:] {
			if v.isCurrent(item) && !yield(item) {
				return
			}
		}
	}
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
	return cmp.Or(cmp.Compare(a.Version, b.Version), compareItems(a.Item, b.Item))
}

func compareItems(a, b proto.ViewItem) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
}
