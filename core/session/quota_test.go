package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

const limitedOrganisation = types.OrganisationName("north")

// limit gives limitedOrganisation operations in each window.
func (h *harness) limit(operations int) {
	config := *h.config
	config.QuotaWindow = 5 * time.Second
	config.Organisations = map[types.OrganisationName]types.Organisation{
		limitedOrganisation: {Name: limitedOrganisation, Rate: 0.01, Burst: operations},
	}
	h.config = &config
	h.setView(func(v *types.NodeView, g *types.Group) { v.Fleet = types.Fleet{Proxies: 1} })
}

// admitForOrganisation applies the limit to a request as requestArrived does.
func (h *harness) admitForOrganisation(id types.SessionID) bool {
	c := h.shard.sessions[id]
	r := &request{session: c, service: h.shard.service(c.service), organisation: limitedOrganisation, inTx: c.inTransaction()}
	c.request = r
	h.shard.out = nil
	admitted := h.shard.admitByQuota(r)
	for _, eff := range h.shard.out {
		h.record(eff)
	}
	c.request = nil
	return admitted
}

func TestRequestBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.limit(1)
	h.openSession(1)
	assert.Assert(t, h.admitForOrganisation(1))
	assert.Assert(t, !h.admitForOrganisation(1))
	refused := h.refusals[len(h.refusals)-1].Refusal
	assert.Equal(t, refused.Code, types.RefuseOverQuota)
	assert.Equal(t, refused.Outcome, types.NotRun)
	assert.Assert(t, refused.RetryAfter > 0)
}
