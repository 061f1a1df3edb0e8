// Package cluster implements the replicated control state: configuration, groups,
// terms, and the proxies that may hold a lease. Every control host applies the
// same commands in the same order and reaches the same state.
package cluster

import (
	"maps"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/configuration"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// State is the replicated state on one control host. Groups are immutable and
// replaced on change, so that views can share them.
type State struct {
	ledger  *configuration.Ledger
	groups  map[types.ServiceName]*types.Group
	proxies map[types.HostID]proto.SetProxy
	voters  []proto.Voter
	applied uint64

	version       uint64 // index of the last entry that changed the view
	configVersion uint64 // index of the entry that set the current configuration
	items         itemVersions

	view       *types.ClusterView // built on demand; nil after a change
	proxyOrder []proto.SetProxy   // proxies sorted by host, built on demand; nil after a change
	allManaged bool               // of the current configuration
}

// New returns the empty state.
func New() *State {
	return &State{
		ledger:  configuration.New(),
		groups:  make(map[types.ServiceName]*types.Group),
		proxies: make(map[types.HostID]proto.SetProxy),
		items:   newItemVersions(),
	}
}

// View returns the part of the state that proxies receive.
func (s *State) View() *types.ClusterView {
	if s.view == nil {
		s.view = &types.ClusterView{
			Version: s.version,
			Config:  s.ledger.Config(),
			Groups:  maps.Clone(s.groups),
		}
	}
	return s.view
}

// Version returns the version of the view.
func (s *State) Version() uint64 { return s.version }

// Config returns the current configuration.
func (s *State) Config() *types.Config { return s.ledger.Config() }

// AllManaged reports whether all services of the current configuration are managed.
func (s *State) AllManaged() bool { return s.allManaged }

// Group returns the group of a service, or nil.
func (s *State) Group(name types.ServiceName) *types.Group { return s.groups[name] }

// Services returns the services that have a group, sorted by name.
func (s *State) Services() []types.ServiceName { return slices.Sorted(maps.Keys(s.groups)) }

// GroupVersion returns the version of the view at which a group last changed.
func (s *State) GroupVersion(name types.ServiceName) uint64 { return s.items.changed[groupItem(name)] }

// ConfigSince returns the version of the view that introduced the current
// configuration.
func (s *State) ConfigSince() uint64 { return s.configVersion }

// Applied returns the index of the last applied entry.
func (s *State) Applied() uint64 { return s.applied }

// Voters returns the last committed set of control hosts.
func (s *State) Voters() []proto.Voter { return s.voters }

// Snapshot returns the whole state for a snapshot.
func (s *State) Snapshot() proto.ClusterState {
	out := proto.ClusterState{
		Config:  s.ledger.Config(),
		Source:  s.ledger.Source(),
		Changes: s.ledger.Records(),
		Proxies: s.Proxies(),
		Views:   s.viewVersions(),
	}
	for _, name := range s.Services() {
		out.Groups = append(out.Groups, s.groups[name])
	}
	return out
}

// Change returns the record of a past configuration change.
func (s *State) Change(id types.ChangeID) (proto.ChangeRecord, bool) { return s.ledger.Record(id) }

// Answer returns the answer to a configuration change that is already applied, as
// configuration.Ledger.Answer does.
func (s *State) Answer(c proto.ChangeConfig) (proto.ChangeResult, bool) { return s.ledger.Answer(c) }

// Proxy returns the registration of a proxy.
func (s *State) Proxy(host types.HostID) (proto.SetProxy, bool) {
	p, ok := s.proxies[host]
	return p, ok
}

// Proxies returns the proxies that may hold a lease, sorted by host. The caller must not
// modify the result.
func (s *State) Proxies() []proto.SetProxy {
	if s.proxyOrder == nil {
		s.proxyOrder = make([]proto.SetProxy, 0, len(s.proxies))
		for _, host := range slices.Sorted(maps.Keys(s.proxies)) {
			s.proxyOrder = append(s.proxyOrder, s.proxies[host])
		}
	}
	return s.proxyOrder
}

// Step handles event.Committed and event.Restored and ignores other events.
func (s *State) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.Committed:
		return s.commit(e.Entry)
	case event.Restored:
		s.restore(e.Snapshot)
	}
	return nil
}

func (s *State) commit(entry proto.Entry) []effect.Effect {
	if entry.Index <= s.applied {
		return nil
	}
	s.applied = entry.Index
	return s.apply(entry.Index, entry.Command)
}

func (s *State) restore(snap proto.Snapshot) {
	if snap.Index < s.applied {
		return
	}
	s.ledger = configuration.Restore(snap.State.Config, snap.State.Source, snap.State.Changes)
	s.allManaged = s.ledger.Config().AllManaged()
	s.groups = make(map[types.ServiceName]*types.Group)
	s.proxies, s.proxyOrder = make(map[types.HostID]proto.SetProxy), nil
	for _, g := range snap.State.Groups {
		s.groups[g.Service] = g
	}
	for _, p := range snap.State.Proxies {
		s.proxies[p.Host] = p
	}
	s.voters, s.applied = snap.Voters, snap.Index
	s.restoreVersions(snap.Index, snap.State.Views)
	s.view = nil
}

// viewVersions returns the versions of the view and its items for a snapshot.
func (s *State) viewVersions() proto.ViewVersions {
	return proto.ViewVersions{
		Version: s.version, ConfigSince: s.configVersion, Since: s.items.since,
		Changed: sortedVersions(s.items.changed), Removed: sortedVersions(s.items.removed),
	}
}

// restoreVersions restores the versions from a snapshot. A snapshot without
// versions marks every item as changed at its index.
func (s *State) restoreVersions(index uint64, v proto.ViewVersions) {
	s.items = newItemVersions()
	if v.Version == 0 {
		s.version, s.configVersion, s.items.since = index, index, index
		for name := range s.groups {
			s.items.changed[groupItem(name)] = index
		}
		for item := range configItems(s.ledger.Config()) {
			s.items.changed[item] = index
		}
		s.items.sortAll()
		return
	}
	s.version, s.configVersion, s.items.since = v.Version, v.ConfigSince, v.Since
	for _, c := range v.Changed {
		s.items.changed[c.Item] = c.Version
	}
	for _, r := range v.Removed {
		s.items.removed[r.Item] = r.Version
	}
	s.items.sortAll()
}
