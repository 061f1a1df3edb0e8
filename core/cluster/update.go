package cluster

import (
	"math"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// maxPartBytes bounds one part of an update, as estimated from its items. It
	// passes a link of 4.5 Mbit/s in 29 ms, well within the 200 ms after which a
	// proxy asks another control host.
	maxPartBytes = 16 << 10
	// itemBytes and groupBytes are what an item takes besides its name: about
	// what its other fields come to in the encoding of package wire.
	itemBytes  = 64
	groupBytes = 640
)

// Part returns the next part of what a proxy lacks that holds version have and
// has come as far as a cursor, or nil. It is of bounded size.
func (s *State) Part(have uint64, at proto.ViewCursor) *proto.ViewUpdate {
	if have >= s.version {
		return nil
	}
	begin := s.begin(have)
	if at.Begun == 0 || at.Base != begin.Base || at.Since != begin.Since {
		return s.part(proto.ViewCursor{}, begin, maxPartBytes)
	}
	if s.version < at.Newest {
		return nil // the parts so far leave out what was changed since on another host
	}
	return s.part(at, at, maxPartBytes)
}

// begin returns the cursor before the first part for a proxy that holds version
// have.
func (s *State) begin(have uint64) proto.ViewCursor {
	if have < s.items.since {
		have = 0
	}
	return proto.ViewCursor{
		Since: s.items.since, Base: have, Begun: s.version, Last: proto.ItemVersion{Version: have, Item: afterAll},
	}
}

// afterAll sorts after each item of the same version.
var afterAll = proto.ViewItem{Kind: math.MaxUint8}

// part collects the items that follow a cursor, up to a number of bytes.
func (s *State) part(after, from proto.ViewCursor, limit int) *proto.ViewUpdate {
	u := &proto.ViewUpdate{Base: from.Base, Version: s.version, After: after, Through: from}
	u.Through.Newest = s.version
	config := s.ledger.Config()
	if s.configVersion > from.Base {
		u.Config = &types.Config{
			Version: config.Version, TransactionIdle: config.TransactionIdle,
			Services: emptyLike(config.Services), Profiles: emptyLike(config.Profiles), Routes: emptyLike(config.Routes),
		}
	}
	size := 0
	for next := range s.items.following(from.Last) {
		if size >= limit {
			u.More = true
			return u
		}
		u.Through.Last = next
		if s.add(u, next) {
			size += bytesOf(next.Item)
		}
	}
	return u
}

// add adds an item to an update and reports whether the proxy needs it: of what
// was removed before the first part it knows nothing.
func (s *State) add(u *proto.ViewUpdate, next proto.ItemVersion) bool {
	if _, ok := s.items.removed[next.Item]; ok {
		if u.Base == 0 && next.Version <= u.Through.Begun {
			return false
		}
		if next.Item.Kind == proto.ItemGroup {
			u.Gone = append(u.Gone, types.ServiceName(next.Item.Name))
		} else {
			u.Removed = append(u.Removed, next.Item)
		}
		return true
	}
	if next.Item.Kind == proto.ItemGroup {
		u.Groups = append(u.Groups, s.groups[types.ServiceName(next.Item.Name)])
	} else {
		addConfigItem(u.Config, s.ledger.Config(), next.Item)
	}
	return true
}

// addConfigItem copies an item from one configuration to another.
func addConfigItem(to, from *types.Config, item proto.ViewItem) {
	switch item.Kind {
	case proto.ItemService:
		name := types.ServiceName(item.Name)
		to.Services[name] = from.Services[name]
	case proto.ItemProfile:
		name := types.ProfileName(item.Name)
		to.Profiles[name] = from.Profiles[name]
	case proto.ItemRoute:
		name := types.DatabaseName(item.Name)
		to.Routes[name] = from.Routes[name]
	}
}

// emptyLike returns an empty map, or nil for nil.
func emptyLike[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return nil
	}
	return make(map[K]V)
}

func bytesOf(item proto.ViewItem) int {
	if item.Kind == proto.ItemGroup {
		return groupBytes
	}
	return itemBytes + len(item.Name)
}
