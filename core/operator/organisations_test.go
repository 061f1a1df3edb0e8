package operator_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"gotest.tools/v3/assert"
)

type fixedUses []proto.OrganisationUse

func (u fixedUses) Uses() []proto.OrganisationUse { return u }

func TestStatusHasTheUsesOfOrganisations(t *testing.T) {
	h := newHost()
	uses := fixedUses{{Organisation: "yard", Limit: 40, Held: 12, Used: 7, Period: 5 * time.Second}}
	h.handler.SetQuotas(uses)
	h.stepAt(1, event.OperatorCalled{Call: 1, Request: proto.OperatorRequest{Status: &proto.StatusRequest{}}})
	assert.DeepEqual(t, h.replies[1].Status.Organisations, []proto.OrganisationUse(uses))
}
