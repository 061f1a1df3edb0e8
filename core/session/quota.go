package session

import (
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// admitByQuota reports whether the limit of the caller's organisation allows the
// request, and refuses it otherwise. A transaction is admitted at its beginning.
func (s *Shard) admitByQuota(r *request) bool {
	if r.organisation == "" || r.inTx || s.quotas.Admit(s.view, r.organisation, s.now) {
		return true
	}
	s.refuseUntil(r, types.RefuseOverQuota, r.outcome(),
		fmt.Sprintf("organisation %q is at its limit", r.organisation), s.quotas.RetryAfter(s.view, r.organisation, s.now))
	return false
}

// chargeQuota counts the retry of a request whose last attempt was sent, since the targets
// may run it once more.
func (s *Shard) chargeQuota(r *request, sent bool) {
	if r.organisation != "" && sent {
		s.quotas.Charge(s.view, r.organisation, s.now)
	}
}
