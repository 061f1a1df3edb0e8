package session

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

var (
	millKey = types.KeyDigest{1}
	yardKey = types.KeyDigest{2}
)

// newOrganisationHarness returns a managed harness with organisations mill and yard.
func newOrganisationHarness(t testing.TB) *harness {
	h := newManagedHarness(t)
	h.setKeys(map[types.OrganisationName][]types.KeyDigest{"mill": {millKey}, "yard": {yardKey}})
	return h
}

// setKeys publishes a configuration in which the organisations have the given keys.
func (h *harness) setKeys(keys map[types.OrganisationName][]types.KeyDigest) {
	next := *h.config
	next.Organisations = make(map[types.OrganisationName]types.Organisation)
	for name, k := range keys {
		next.Organisations[name] = types.Organisation{Name: name, Keys: k}
	}
	h.config = &next
	h.setView(func(*types.NodeView, *types.Group) {})
}

// revokeMill publishes a configuration without the key of organisation mill.
func (h *harness) revokeMill() {
	h.setKeys(map[types.OrganisationName][]types.KeyDigest{"mill": nil, "yard": {yardKey}})
}

func (h *harness) openWithKey(id types.SessionID, key types.KeyDigest) {
	h.step(event.SessionOpened{Session: id, Params: types.SessionParams{Database: "orders", Key: key}})
}

// begin opens a transaction of the session.
func (h *harness) begin(id types.SessionID) {
	h.sendRequest(id, types.Request{BeginsTx: true, Fenced: true, DiscardedOnClose: true, Payload: "begin"})
	e, _ := h.lastSent()
	h.answerWith(e, types.TxOpen, types.TargetStatus{})
	assert.Assert(h.t, h.shard.sessions[id].inTransaction())
}

// decided reports whether the shard recorded a decision of the kind.
func (h *harness) decided(kind effect.Decision) bool {
	for _, d := range h.decisions {
		if d.Kind == kind {
			return true
		}
	}
	return false
}

func TestRequestHasOrganisationOfKey(t *testing.T) {
	h := newOrganisationHarness(t)
	h.openWithKey(1, millKey)
	seq := h.sendManagedWrite(1)
	assert.Equal(t, h.shard.sessions[1].request.organisation, types.OrganisationName("mill"))
	h.answerManaged(1)
	assert.Assert(t, h.answered(seq))
	assert.Equal(t, h.lastObservation().Organisation, types.OrganisationName("mill"))
}

// TestOperationsAreObservedOnce checks that a transaction counts as one operation.
func TestOperationsAreObservedOnce(t *testing.T) {
	h := newOrganisationHarness(t)
	h.openWithKey(1, millKey)
	h.begin(1)
	assert.Assert(t, h.lastObservation().BeginsOperation)
	h.sendRequest(1, types.Request{MayCommit: true, Fenced: true, Payload: "commit"})
	h.answerManaged(1)
	assert.Assert(t, !h.lastObservation().BeginsOperation)
	h.sendManagedWrite(1)
	h.answerManaged(2)
	assert.Assert(t, h.lastObservation().BeginsOperation)
}

func (h *harness) lastObservation() effect.Observation {
	h.t.Helper()
	assert.Assert(h.t, len(h.observations) > 0)
	return h.observations[len(h.observations)-1]
}

func TestUnknownKeyIsRefused(t *testing.T) {
	h := newOrganisationHarness(t)
	for id, key := range map[types.SessionID]types.KeyDigest{1: {}, 2: {9}} {
		h.openWithKey(id, key)
		refused := h.refusal(h.sendManagedWrite(id))
		assert.Equal(t, refused.Code, types.RefuseUnknownKey)
		assert.Equal(t, refused.Outcome, types.NotRun)
	}
	assert.Equal(t, len(h.sends), 0)
}

// TestRevokedKeyEndsWithTheView covers a session that stays open while its key is
// removed, and later added to another organisation.
func TestRevokedKeyEndsWithTheView(t *testing.T) {
	h := newOrganisationHarness(t)
	h.openWithKey(1, millKey)
	h.sendManagedWrite(1)
	h.answerManaged(1)
	h.revokeMill()
	assert.Equal(t, h.refusal(h.sendManagedWrite(1)).Code, types.RefuseUnknownKey)
	assert.Equal(t, len(h.endedSessions), 0)
	h.setKeys(map[types.OrganisationName][]types.KeyDigest{"mill": nil, "yard": {yardKey, millKey}})
	seq := h.sendManagedWrite(1)
	assert.Equal(t, h.shard.sessions[1].request.organisation, types.OrganisationName("yard"))
	h.answerManaged(2)
	assert.Assert(t, h.answered(seq))
}

// TestRequestInProgressIsAnsweredAfterRevocation guards against an answer that is cut off
// although a target runs the request.
func TestRequestInProgressIsAnsweredAfterRevocation(t *testing.T) {
	h := newOrganisationHarness(t)
	h.openWithKey(1, millKey)
	seq := h.sendManagedWrite(1)
	h.revokeMill()
	h.answerManaged(1)
	assert.Assert(t, h.answered(seq))
	assert.Equal(t, len(h.endedSessions), 0)
}

func TestIdleTransactionOfRevokedKeyIsEnded(t *testing.T) {
	h := newOrganisationHarness(t)
	h.openWithKey(1, millKey)
	h.begin(1)
	h.openWithKey(2, yardKey)
	h.begin(2)
	conn := h.shard.sessions[1].conn.ID
	h.revokeMill()
	assert.Equal(t, len(h.endedSessions), 1)
	assert.Equal(t, h.endedSessions[0].Session, types.SessionID(1))
	assert.Equal(t, h.endedSessions[0].Refusal.Code, types.RefuseUnknownKey)
	assert.Equal(t, h.endedSessions[0].Refusal.Outcome, types.NotRun)
	assert.Assert(t, h.closed[conn])
	assert.Assert(t, h.decided(effect.DecideKeyRevoked))
	assert.Assert(t, h.shard.sessions[2].inTransaction(), "the transaction of another organisation goes on")
}

func TestTransactionOfRevokedKeyEndsAfterStatementInProgress(t *testing.T) {
	h := newOrganisationHarness(t)
	h.openWithKey(1, millKey)
	h.begin(1)
	seq := h.sendRequest(1, types.Request{DiscardedOnClose: true, Payload: "read"})
	assert.Equal(t, h.shard.sessions[1].request.organisation, types.OrganisationName("mill"))
	h.revokeMill()
	assert.Equal(t, len(h.endedSessions), 0)
	e, _ := h.lastSent()
	h.answerWith(e, types.TxOpen, types.TargetStatus{})
	assert.Assert(t, h.answered(seq))
	assert.Equal(t, len(h.endedSessions), 1)
	assert.Equal(t, h.endedSessions[0].Refusal.Code, types.RefuseUnknownKey)
}

// TestCommitInProgressSurvivesRevocation guards against a commit whose outcome the caller
// isn't told because its key is revoked meanwhile.
func TestCommitInProgressSurvivesRevocation(t *testing.T) {
	h := newOrganisationHarness(t)
	h.openWithKey(1, millKey)
	h.begin(1)
	commit := h.sendRequest(1, types.Request{MayCommit: true, Fenced: true, Payload: "commit"})
	h.revokeMill()
	h.answerManaged(1)
	assert.Assert(t, h.answered(commit))
	assert.Equal(t, len(h.endedSessions), 0)
	assert.Equal(t, h.refusal(h.sendManagedWrite(1)).Code, types.RefuseUnknownKey)
}

func TestTransactionBegunByRevokedKeyIsEnded(t *testing.T) {
	h := newOrganisationHarness(t)
	h.openWithKey(1, millKey)
	seq := h.sendRequest(1, types.Request{BeginsTx: true, Fenced: true, DiscardedOnClose: true, Payload: "begin"})
	h.revokeMill()
	e, _ := h.lastSent()
	h.answerWith(e, types.TxOpen, types.TargetStatus{})
	assert.Assert(t, h.answered(seq))
	assert.Equal(t, len(h.endedSessions), 1)
}

// TestKeyIsUnknownOnlyUnderLease guards against a proxy with an outdated configuration
// that tells callers that their key doesn't exist.
func TestKeyIsUnknownOnlyUnderLease(t *testing.T) {
	h := newOrganisationHarness(t)
	h.openWithKey(1, millKey)
	h.openWithKey(2, types.KeyDigest{9})
	h.expireLease()
	refused := h.refusal(h.sendManagedWrite(2))
	assert.Equal(t, refused.Code, types.RefuseNoLease)
	assert.Equal(t, refused.Outcome, types.NotRun)
	seq := h.sendManagedWrite(1)
	h.answerManaged(1)
	assert.Assert(t, h.answered(seq), "a key that the last configuration holds is served without a lease")
}
