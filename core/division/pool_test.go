package division

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/quota"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

const second = types.Instant(time.Second)

var tenRights = quota.Limit{Rights: 10, Period: 5 * time.Second, Rate: 2, Burst: 10}

func newPool() *pool { return &pool{holdings: make(map[types.HostID]*holding)} }

// ask reports a use and grants what the pool gives for it.
func (p *pool) ask(proxy types.HostID, use proto.QuotaUse, applied, seq uint64) int {
	p.report(proxy, use, applied)
	part := p.part(proxy, use, tenRights, tenRights.Rights, second)
	p.grant(proxy, seq, part)
	return part
}

// TestUsedRightsStayHeld covers a proxy that gave up its part right after it had used it.
func TestUsedRightsStayHeld(t *testing.T) {
	p := newPool()
	p.report("a", proto.QuotaUse{Part: 0, Used: 8}, 0)
	assert.Equal(t, p.ask("b", proto.QuotaUse{Waiting: 5}, 0, 1), 2)
	p.report("a", proto.QuotaUse{}, 0)
	assert.Equal(t, p.ask("b", proto.QuotaUse{Part: 2, Used: 2, Waiting: 3}, 1, 2), 6)
}

// TestOpenGrantsCount covers grants that a proxy has not confirmed, whether they arrived
// or not.
func TestOpenGrantsCount(t *testing.T) {
	p := newPool()
	assert.Equal(t, p.ask("a", proto.QuotaUse{Waiting: 6}, 0, 1), 6)
	assert.Equal(t, p.ask("a", proto.QuotaUse{}, 0, 2), 1, "a proxy keeps one right while others don't need it")
	assert.Equal(t, p.ask("b", proto.QuotaUse{Waiting: 9}, 0, 1), 4)
	p.report("a", proto.QuotaUse{Part: 1}, 2)
	assert.Equal(t, p.ask("b", proto.QuotaUse{Part: 4, Waiting: 9}, 1, 2), 9)
}

// TestLowerLimitTakesPartsBackInProportion covers parts of a limit that fell to a half.
func TestLowerLimitTakesPartsBackInProportion(t *testing.T) {
	p := newPool()
	p.report("a", proto.QuotaUse{Part: 12}, 0)
	p.report("b", proto.QuotaUse{Part: 8}, 0)
	assert.Equal(t, p.scaled(12, tenRights.Rights), 6)
	assert.Equal(t, p.scaled(8, tenRights.Rights), 4)
}

// TestUnknownOrganisationHasNoPool covers requests that name organisations before there is
// a configuration, or that it does not have.
func TestUnknownOrganisationHasNoPool(t *testing.T) {
	d := New(nil, nil)
	assert.Assert(t, d.pool("north") == nil)
	d.config = &types.Config{}
	assert.Assert(t, d.pool("north") == nil)
}
