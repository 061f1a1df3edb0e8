// Package organisation decides to which organisation a caller belongs.
package organisation

import (
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// KeyHolders returns the organisation of each key of a configuration.
func KeyHolders(c *types.Config) map[types.KeyDigest]types.OrganisationName {
	if c == nil || len(c.Organisations) == 0 {
		return nil
	}
	holders := make(map[types.KeyDigest]types.OrganisationName, len(c.Organisations))
	for name, o := range c.Organisations {
		for _, key := range o.Keys {
			holders[key] = name
		}
	}
	return holders
}

// Identify returns the organisation whose key a caller presented. The name is empty if
// the configuration has no organisations, or if the caller presented no key and its route
// needs none. Every other caller is refused.
//
// A key counts as unknown only under a live lease. Without one the configuration may be
// outdated, and another proxy may know the key.
func Identify(
	view *types.NodeView, key types.KeyDigest, database types.DatabaseName, now types.Instant,
) (types.OrganisationName, *types.Refusal) {
	config := view.Cluster.Config
	if len(config.Organisations) == 0 {
		return "", nil
	}
	if name, ok := view.KeyHolders[key]; ok {
		return name, nil
	}
	switch {
	case key == types.KeyDigest{} && config.Routes[database].Anonymous:
		return "", nil
	case !view.LeaseLive(now):
		return "", refuse(types.RefuseNoLease, "the %s is not in a configuration that may be outdated", key)
	case key == types.KeyDigest{}:
		return "", refuse(types.RefuseUnknownKey, "the caller presented no key")
	}
	return "", refuse(types.RefuseUnknownKey, "the key belongs to no organisation")
}

func refuse(code types.RefusalCode, format string, args ...any) *types.Refusal {
	return &types.Refusal{Code: code, Outcome: types.NotRun, Reason: fmt.Sprintf(format, args...)}
}

// Revoked reports whether a caller of an organisation may no longer act for it, because
// its key was removed or given to another organisation.
func Revoked(view *types.NodeView, key types.KeyDigest, name types.OrganisationName) bool {
	return name != "" && len(view.Cluster.Config.Organisations) > 0 && view.KeyHolders[key] != name
}
