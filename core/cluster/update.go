package cluster

import (
	"math"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// maxPartBytes bounds the estimated size of one part of an update. A link of
	// 4.5 Mbit/s transfers a part in 29 ms, well within the 200 ms after which a
	// proxy turns to another control host.
	maxPartBytes = 16 << 10
	// itemBytes and groupBytes are the approximate encoded size of an item, apart
	// from its name, in the format of package wire.
	itemBytes  = 64
	groupBytes = 640
	// keyBytes is the encoded size of a key of an organisation.
	keyBytes = 34
)

// NextPart returns the next part of the update for a proxy that holds version have
// and has received the parts up to a cursor. It returns nil if there is none. The
// size of a part is bounded.
func (s *State) NextPart(have uint64, at proto.ViewCursor) *proto.ViewUpdate {
	if have >= s.version {
		return nil
	}
	begin := s.startCursor(have)
	if at.FirstVersion == 0 || at.Base != begin.Base || at.Since != begin.Since {
		return s.buildPart(proto.ViewCursor{}, begin, maxPartBytes)
	}
	if s.version < at.LastVersion {
		return nil // an earlier part came from a newer state and omitted items that this host can't send yet
	}
	return s.buildPart(at, at, maxPartBytes)
}

// startCursor returns the cursor before the first part for a proxy that holds
// version have. Base zero means a whole view.
func (s *State) startCursor(have uint64) proto.ViewCursor {
	if have < s.items.since {
		have = 0
	}
	return proto.ViewCursor{
		Since: s.items.since, Base: have, FirstVersion: s.version, Last: proto.ItemVersion{Version: have, Item: maxItem},
	}
}

// maxItem sorts after all other items of the same version.
var maxItem = proto.ViewItem{Kind: math.MaxUint8}

// buildPart returns an update with the items that follow the cursor from, up to an
// estimated size of limit bytes.
func (s *State) buildPart(after, from proto.ViewCursor, limit int) *proto.ViewUpdate {
	u := &proto.ViewUpdate{Base: from.Base, Version: s.version, After: after, Through: from}
	u.Through.LastVersion = s.version
	config := s.ledger.Config()
	if s.configVersion > from.Base {
		u.Config = &types.Config{
			Version: config.Version, TransactionIdle: config.TransactionIdle, Unfenced: config.Unfenced,
			Services: emptyCopy(config.Services), Profiles: emptyCopy(config.Profiles), Routes: emptyCopy(config.Routes),
			Organisations: emptyCopy(config.Organisations), QuotaWindow: config.QuotaWindow, PriorityOrder: config.PriorityOrder,
		}
	}
	size := 0
	for next := range s.items.itemsAfter(from.Last) {
		if size >= limit {
			u.More = true
			return u
		}
		u.Through.Last = next
		if s.addItem(u, next) {
			size += s.estimateItemBytes(next.Item)
		}
	}
	return u
}

// addItem adds an item to an update and reports whether the proxy needs it. A proxy
// that receives a whole view needs no removals from before its first part.
func (s *State) addItem(u *proto.ViewUpdate, next proto.ItemVersion) bool {
	if _, ok := s.items.removed[next.Item]; ok {
		if u.Base == 0 && next.Version <= u.Through.FirstVersion {
			return false
		}
		if next.Item.Kind == proto.ItemGroup {
			u.RemovedGroups = append(u.RemovedGroups, types.ServiceName(next.Item.Name))
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

// addConfigItem copies a service, profile, route or organisation between configurations.
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
	case proto.ItemOrganisation:
		name := types.OrganisationName(item.Name)
		to.Organisations[name] = from.Organisations[name]
	}
}

// emptyCopy returns an empty map of the same type, or nil if m is nil.
func emptyCopy[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return nil
	}
	return make(map[K]V)
}

func (s *State) estimateItemBytes(item proto.ViewItem) int {
	switch item.Kind {
	case proto.ItemGroup:
		return groupBytes
	case proto.ItemOrganisation:
		keys := s.ledger.Config().Organisations[types.OrganisationName(item.Name)].Keys
		return itemBytes + len(item.Name) + len(keys)*keyBytes
	}
	return itemBytes + len(item.Name)
}
