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

// maxRemoved is how many removed items are remembered. Beyond it, a proxy that
// missed the oldest removals takes over the whole view: 4,096 are three times the
// routes of the largest configuration at hand.
const maxRemoved = 4096

// itemVersions is at which version each item of the view changed last. It is part
// of the replicated state: every control host knows the same versions.
type itemVersions struct {
	since   uint64 // changes are known for versions from here on
	changed map[proto.ViewItem]uint64
	removed map[proto.ViewItem]uint64
	order   []proto.ItemVersion // of all items, by version; nil after a change
}

func newItemVersions() itemVersions {
	return itemVersions{changed: make(map[proto.ViewItem]uint64), removed: make(map[proto.ViewItem]uint64)}
}

func groupItem(name types.ServiceName) proto.ViewItem {
	return proto.ViewItem{Kind: proto.ItemGroup, Name: string(name)}
}

func (v *itemVersions) change(item proto.ViewItem, version uint64) {
	v.changed[item] = version
	delete(v.removed, item)
	v.order = nil
}

func (v *itemVersions) remove(item proto.ViewItem, version uint64) {
	delete(v.changed, item)
	v.removed[item] = version
	v.order = nil
}

// changeConfig notes how one configuration differs from the one before.
func (v *itemVersions) changeConfig(before, after *types.Config, version uint64) {
	old, now := configItems(before), configItems(after)
	for item, content := range now {
		if was, ok := old[item]; !ok || !sameItem(was, content) {
			v.change(item, version)
		}
	}
	for item := range old {
		if _, ok := now[item]; !ok {
			v.remove(item, version)
		}
	}
	v.forgetRemoved()
}

// forgetRemoved drops the oldest removals beyond maxRemoved, whole versions at a
// time.
func (v *itemVersions) forgetRemoved() {
	extra := len(v.removed) - maxRemoved
	if extra <= 0 {
		return
	}
	v.since = sorted(v.removed)[extra-1].Version
	maps.DeleteFunc(v.removed, func(_ proto.ViewItem, version uint64) bool { return version <= v.since })
	v.order = nil
}

// configItems returns what a configuration consists of.
func configItems(c *types.Config) map[proto.ViewItem]any {
	out := make(map[proto.ViewItem]any, len(c.Services)+len(c.Profiles)+len(c.Routes))
	for name, s := range c.Services {
		out[proto.ViewItem{Kind: proto.ItemService, Name: string(name)}] = s
	}
	for name, p := range c.Profiles {
		out[proto.ViewItem{Kind: proto.ItemProfile, Name: string(name)}] = p
	}
	for name, r := range c.Routes {
		out[proto.ViewItem{Kind: proto.ItemRoute, Name: string(name)}] = r
	}
	return out
}

// sameItem reports whether two items of the same kind are equal.
func sameItem(a, b any) bool {
	x, ok := a.(types.Service)
	if !ok {
		return a == b
	}
	y := b.(types.Service)
	if !slices.Equal(x.Profiles, y.Profiles) {
		return false
	}
	x.Profiles, y.Profiles = nil, nil
	return x.Name == y.Name && x.Members == y.Members && x.Slots == y.Slots && x.Connections == y.Connections &&
		x.DefaultProfile == y.DefaultProfile && x.Managed == y.Managed
}

// following returns the items, changed and removed, that come after a cursor in
// order of version.
func (v *itemVersions) following(last proto.ItemVersion) iter.Seq[proto.ItemVersion] {
	if v.order == nil {
		v.order = append(sorted(v.changed), sorted(v.removed)...)
		slices.SortFunc(v.order, compareVersions)
	}
	first, found := slices.BinarySearchFunc(v.order, last, compareVersions)
	if found {
		first++
	}
	return slices.Values(v.order[first:])
}

func sorted(versions map[proto.ViewItem]uint64) []proto.ItemVersion {
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
