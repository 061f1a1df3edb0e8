package operator

import (
	"cmp"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// usesExpiry is how long the uses that a proxy reported last count after its request.
const usesExpiry = 5 * time.Second

// receivedUses are the uses of organisations in the last lease request of a proxy.
type receivedUses struct {
	uses []proto.QuotaUse
	at   types.Instant
}

// recordUses replaces what is known of a proxy.
func (h *Handler) recordUses(now types.Instant, r proto.LeaseRequest) {
	if len(r.QuotaUses) == 0 {
		delete(h.uses, r.Proxy)
		return
	}
	h.uses[r.Proxy] = receivedUses{uses: r.QuotaUses, at: now}
}

// organisationUses returns the sums over all proxies, in order of the organisations.
func (h *Handler) organisationUses(now types.Instant) []proto.OrganisationUse {
	sums := make(map[types.OrganisationName]proto.OrganisationUse)
	for proxy, r := range h.uses {
		if now.Sub(r.at) >= usesExpiry {
			delete(h.uses, proxy)
			continue
		}
		for _, u := range r.uses {
			sum := sums[u.Organisation]
			sum.Organisation = u.Organisation
			sum.Admitted += u.Admitted
			sum.Demand += u.Demand
			sums[u.Organisation] = sum
		}
	}
	var out []proto.OrganisationUse
	for _, sum := range sums {
		out = append(out, sum)
	}
	slices.SortFunc(out, func(a, b proto.OrganisationUse) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return out
}
