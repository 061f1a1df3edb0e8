package session

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/organisation"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// identify sets the organisation of a request that begins an operation, or refuses the
// request. A transaction keeps the organisation that it began with.
func (s *Shard) identify(r *request) bool {
	c := r.session
	if r.inTx {
		r.organisation = c.organisation
		return true
	}
	name, why := organisation.Identify(s.view, c.key, c.database, s.now)
	if why != nil {
		s.refuse(r, why.Code, r.outcome(), why.Reason)
		return false
	}
	r.organisation = name
	return true
}

// endRevokedTransactions ends the transactions whose key a new configuration revokes. One
// with a statement in progress ends after the answer, as its target may be running it.
func (s *Shard) endRevokedTransactions() {
	if s.view.Cluster == nil || s.view.Cluster.Config == s.checkedConfig {
		return
	}
	s.checkedConfig = s.view.Cluster.Config
	for _, id := range sortedKeys(s.sessions) {
		if c := s.sessions[id]; c.request == nil && s.keyRevoked(c) {
			s.endRevoked(c)
		}
	}
}

// keyRevoked reports whether the key of the session's open transaction is revoked.
func (s *Shard) keyRevoked(c *session) bool {
	return c.inTransaction() && organisation.Revoked(s.view, c.key, c.organisation)
}

// endRevoked ends a transaction whose key is revoked.
func (s *Shard) endRevoked(c *session) {
	const reason = "the key of the transaction was taken away from its organisation"
	s.emit(effect.Decide{
		Kind: effect.DecideKeyRevoked, Service: c.service, Target: c.conn.Ref.Name, Host: s.options.Host,
		Version: s.viewVersion(), Reason: reason, Organisation: c.organisation,
	})
	s.endSession(c, refusal(types.RefuseUnknownKey, types.NotRun, reason))
}
