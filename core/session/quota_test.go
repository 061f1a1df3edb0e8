package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

const limitedOrganisation = types.OrganisationName("north")

var limitedKey = types.KeyDigest{1}

// limit gives limitedOrganisation operations in each window.
func (h *harness) limit(operations int) {
	config := *h.config
	config.QuotaWindow = 5 * time.Second
	config.Organisations = map[types.OrganisationName]types.Organisation{
		limitedOrganisation: {Name: limitedOrganisation, Keys: []types.KeyDigest{limitedKey}, Rate: 0.01, Burst: operations},
	}
	h.config = &config
	h.setQuota(types.Quota{Rights: operations})
}

func (h *harness) setQuota(q types.Quota) {
	h.setView(func(v *types.NodeView, g *types.Group) {
		v.Quotas = map[types.OrganisationName]types.Quota{limitedOrganisation: q}
	})
}

// openLimited opens a session with a key of limitedOrganisation.
func (h *harness) openLimited(id types.SessionID) {
	h.step(event.SessionOpened{Session: id, Params: types.SessionParams{Service: svcName, Key: limitedKey}})
}

func (h *harness) sendLimited(id types.SessionID) types.RequestSeq {
	return h.sendRequest(id, types.Request{Profile: "strict", Class: types.ClassRead, Payload: "read"})
}

func TestRequestBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.limit(1)
	h.openLimited(1)
	h.openLimited(2)
	h.sendLimited(1)
	h.setQuota(types.Quota{Rights: 1, SpentUntil: h.now.Add(time.Second)})
	refused := h.refusal(h.sendLimited(2))
	assert.Equal(t, refused.Code, types.RefuseOverQuota)
	assert.Equal(t, refused.Outcome, types.NotRun)
	assert.Assert(t, refused.RetryAfter > 0)
}

// TestRequestWaitsForARight covers a caller that comes through a proxy without a part: its
// request waits for control's answer, which the shard asks for at once.
func TestRequestWaitsForARight(t *testing.T) {
	h := newHarness(t)
	h.limit(5)
	h.setQuota(types.Quota{})
	h.openLimited(1)
	seq := h.sendLimited(1)
	assert.Equal(t, len(h.sends), 0)
	assert.Equal(t, h.reports[len(h.reports)-1].QuotaUse[limitedOrganisation].Waiting, 1)
	h.setQuota(types.Quota{Rights: 1})
	h.connect()
	assert.Equal(t, len(h.sends), 1)
	h.answer(1, types.TxIdle)
	assert.Assert(t, h.answered(seq))
	assert.Equal(t, h.reports[len(h.reports)-1].QuotaUse[limitedOrganisation], event.QuotaUse{Used: 1})
}

// TestRequestDoesNotWaitForARightForLong covers a control leader that does not answer.
func TestRequestDoesNotWaitForARightForLong(t *testing.T) {
	h := newHarness(t)
	h.limit(5)
	h.setQuota(types.Quota{})
	h.openLimited(1)
	seq := h.sendLimited(1)
	h.advance(quotaTimeout)
	assert.Equal(t, h.refusal(seq).Code, types.RefuseOverQuota)
	assert.Equal(t, h.refusal(seq).Outcome, types.NotRun)
	assert.Equal(t, len(h.shard.lacking), 0)
	h.advance(time.Second)
	h.step(event.ViewChanged{})
	h.advance(reportInterval)
	assert.Equal(t, len(h.reports[len(h.reports)-1].QuotaUse), 0)
}

// TestRequestsWaitForTheFirstLease covers a restart of all hosts: requests wait up to their
// queue timeout until control has elected a leader, and are served in order then.
func TestRequestsWaitForTheFirstLease(t *testing.T) {
	h := newHarness(t)
	profile := h.config.Profiles["strict"]
	profile.QueueTimeout, profile.RequestTimeout = 3*time.Second, 5*time.Second
	h.config.Profiles["strict"] = profile
	service := h.config.Services[svcName]
	service.Managed = true
	h.config.Services[svcName] = service
	h.limit(5)
	h.setView(func(v *types.NodeView, g *types.Group) { v.LeaseUntil = 0 })
	for id := range types.SessionID(3) {
		h.openLimited(id + 1)
	}
	first, second, third := h.sendLimited(1), h.sendLimited(2), h.sendLimited(3)
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.refusals), 0)
	h.setView(func(v *types.NodeView, g *types.Group) {
		v.LeaseUntil = h.now.Add(time.Second)
		v.Quotas = map[types.OrganisationName]types.Quota{limitedOrganisation: {Rights: 2}}
	})
	assert.Equal(t, len(h.shard.lacking[limitedOrganisation]), 1)
	assert.Equal(t, h.shard.lacking[limitedOrganisation][0].Seq, third, "requests %d and %d came first", first, second)
	h.advance(time.Second)
	assert.Equal(t, h.refusal(third).Code, types.RefuseOverQuota)
	assert.Equal(t, h.refusal(third).Outcome, types.NotRun)
}

// TestCallerThatLeavesWaitsNoLonger covers a session that closes while its request waits
// for a right: the next request in order gets it.
func TestCallerThatLeavesWaitsNoLonger(t *testing.T) {
	h := newHarness(t)
	h.limit(5)
	h.setQuota(types.Quota{})
	h.openLimited(1)
	h.openLimited(2)
	h.sendLimited(1)
	seq := h.sendLimited(2)
	h.step(event.SessionClosed{Session: 1})
	h.setQuota(types.Quota{Rights: 1})
	h.connect()
	h.answer(1, types.TxIdle)
	assert.Assert(t, h.answered(seq))
}

// TestTransactionIsCountedOnce covers a transaction of an organisation at its limit: what
// follows its beginning is not refused.
func TestTransactionIsCountedOnce(t *testing.T) {
	h := newHarness(t)
	h.limit(1)
	h.openLimited(1)
	h.sendLimited(1)
	h.answer(1, types.TxOpen)
	h.setQuota(types.Quota{SpentUntil: h.now.Add(time.Second)})
	seq := h.sendLimited(1)
	h.answer(1, types.TxIdle)
	assert.Assert(t, h.answered(seq))
}

// TestRetryThatMayRunTwiceIsCounted covers a read whose answer was lost: the target may
// have run it, and runs it again.
func TestRetryThatMayRunTwiceIsCounted(t *testing.T) {
	h := newHarness(t)
	h.limit(5)
	h.openLimited(1)
	h.sendRequest(1, types.Request{Profile: "strict", Class: types.ClassRead, Idempotent: true, Payload: "read"})
	h.breakConn(true)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, h.reports[len(h.reports)-1].QuotaUse[limitedOrganisation].Used, 2)
}

// TestReadThatIsSentElsewhereIsCounted covers a read that a replica ran and failed, and that
// another member runs again.
func TestReadThatIsSentElsewhereIsCounted(t *testing.T) {
	h := newManagedHarness(t)
	h.limit(5)
	h.setView(func(v *types.NodeView, g *types.Group) {
		v.Proxies = 100
		v.KeyHolders = map[types.KeyDigest]types.OrganisationName{limitedKey: limitedOrganisation}
		v.Quotas = map[types.OrganisationName]types.Quota{limitedOrganisation: {Rights: 5}}
		for i := range g.Members {
			g.Members[i].Slots = 4
		}
	})
	h.step(event.SessionOpened{Session: 1, Params: types.SessionParams{Database: "catalog", Key: limitedKey}})
	h.sendManagedRead(1)
	h.answerManaged(40)
	seq := h.sendManagedRead(1)
	h.reject(types.TargetErrFailed, types.TxIdle)
	assert.Assert(t, !h.answered(seq))
	h.advance(reportInterval)
	assert.Equal(t, h.reports[len(h.reports)-1].QuotaUse[limitedOrganisation].Used, 3)
}

// TestWaitingRequestGetsARightThatComesFree covers a request that waits for control while
// the only right of the proxy is free again: it does not need another view.
func TestWaitingRequestGetsARightThatComesFree(t *testing.T) {
	h := newHarness(t)
	h.limit(1)
	h.openLimited(1)
	h.openLimited(2)
	h.sendLimited(1)
	h.answer(1, types.TxIdle)
	h.advance(4900 * time.Millisecond)
	seq := h.sendLimited(2)
	sent := len(h.sends)
	h.advance(200 * time.Millisecond)
	h.connect()
	assert.Equal(t, len(h.sends), sent+1)
	h.answer(2, types.TxIdle)
	assert.Assert(t, h.answered(seq))
}

// TestTimelyRequestsGetRightsFirst covers the backlog after a restart of all hosts: a right
// goes to a request that can still be in time, not to one that is late already.
func TestTimelyRequestsGetRightsFirst(t *testing.T) {
	h := newHarness(t)
	profile := h.config.Profiles["strict"]
	profile.QueueTimeout, profile.RequestTimeout, profile.Objective = 3*time.Second, 5*time.Second, 300*time.Millisecond
	h.config.Profiles["strict"] = profile
	h.limit(5)
	h.setQuota(types.Quota{})
	h.openLimited(1)
	h.openLimited(2)
	late := h.sendLimited(1)
	h.advance(400 * time.Millisecond)
	h.sendLimited(2)
	h.setQuota(types.Quota{Rights: 1})
	waiting := h.shard.lacking[limitedOrganisation]
	assert.Equal(t, len(waiting), 1)
	assert.Equal(t, waiting[0].Seq, late)
}

// TestRevokedKeyEndsTheWaitForARight covers a key that is taken away while a request waits.
func TestRevokedKeyEndsTheWaitForARight(t *testing.T) {
	h := newHarness(t)
	h.limit(5)
	h.setQuota(types.Quota{})
	h.openLimited(1)
	seq := h.sendLimited(1)
	config := *h.config
	config.Organisations = map[types.OrganisationName]types.Organisation{
		limitedOrganisation: {Name: limitedOrganisation, Rate: 0.01, Burst: 5},
	}
	h.config = &config
	h.setQuota(types.Quota{Rights: 1})
	assert.Equal(t, h.refusal(seq).Code, types.RefuseUnknownKey)
	assert.Equal(t, len(h.sends), 0)
}
