package operator_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// uses returns the uses of organisations in the status at now.
func (h *host) uses(now types.Instant) []proto.OrganisationUse {
	h.stepAt(now, event.OperatorCalled{Call: 1, Request: proto.OperatorRequest{Status: &proto.StatusRequest{}}})
	return h.replies[1].Status.Organisations
}

func (h *host) requestLease(now types.Instant, proxy types.HostID, uses ...proto.QuotaUse) {
	h.stepAt(now, event.LeaseRequested{Request: proto.LeaseRequest{Proxy: proxy, QuotaUses: uses}})
}

func TestUsesOfOrganisationsAreSummed(t *testing.T) {
	h := newHost()
	const now = types.Instant(time.Hour)
	assert.Equal(t, len(h.uses(now)), 0)
	h.requestLease(now, "p1", proto.QuotaUse{Organisation: "yard", Admitted: 10, Demand: 30}, proto.QuotaUse{Organisation: "mill", Admitted: 1, Demand: 1})
	h.requestLease(now, "p2", proto.QuotaUse{Organisation: "yard", Admitted: 5, Demand: 5})
	assert.DeepEqual(t, h.uses(now), []proto.OrganisationUse{
		{Organisation: "mill", Admitted: 1, Demand: 1}, {Organisation: "yard", Admitted: 15, Demand: 35},
	})
	h.requestLease(now.Add(time.Second), "p1")
	assert.DeepEqual(t, h.uses(now.Add(time.Second)), []proto.OrganisationUse{{Organisation: "yard", Admitted: 5, Demand: 5}})
	assert.Equal(t, len(h.uses(now.Add(5*time.Second))), 0, "a proxy that is silent counts for ever")
}

func TestUsesOfAnEarlierLeaderAreForgotten(t *testing.T) {
	h := newHost()
	h.requestLease(1, "p1", proto.QuotaUse{Organisation: "yard", Admitted: 10, Demand: 30})
	h.role(false, 2)
	h.requestLease(2, "p2", proto.QuotaUse{Organisation: "yard", Admitted: 10, Demand: 30})
	assert.Equal(t, len(h.uses(3)), 0)
}
