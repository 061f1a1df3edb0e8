package daemon

import (
	"fmt"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/internal/outernames"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"gotest.tools/v3/assert"
)

// TestOperatorNames compares the paths and fields of the operators' HTTP
// interface to those on record.
func TestOperatorNames(t *testing.T) {
	lines := []string{
		api.PathAnnounce, api.PathConfig, api.PathHistory, api.PathStatus, api.PathPromote, api.PathHosts,
		api.PathDrain, api.PathHost, api.PathHealth, api.PathReady, api.PathMetrics,
		api.DrainPath("s", "t"), api.HostPath("h"), api.PathOrganisations,
	}
	for i, v := range []any{
		api.Announcement{}, api.ConfigChange{}, api.ChangeResult{}, api.Config{}, api.Promote{}, api.Status{},
		api.ProxyStatus{}, api.Error{}, api.Organisation{},
	} {
		lines = append(lines, outernames.Describe(fmt.Sprint("message ", i), reflect.TypeOf(v), outernames.JSON)...)
	}
	compare(t, "operator_names.txt", lines)
}

// TestEnumValues compares the values of enums that are stored, sent, logged or
// shown to those on record. A list holds its constants by their meaning, in the
// order of the recorded file.
func TestEnumValues(t *testing.T) {
	var lines []string
	add := func(kind string, values ...any) {
		for i, v := range values {
			lines = append(lines, fmt.Sprintf("%s %d: %#v", kind, i, reflect.ValueOf(v)))
		}
	}
	add("freshness: primary, session, age", types.FreshPrimary, types.FreshSession, types.FreshAge)
	add("durability: majority, primary", types.DurableMajority, types.DurablePrimary)
	add("idempotence: none, reads, all", types.IdempotentNone, types.IdempotentReads, types.IdempotentAll)
	add("target: active, leaving, silent", types.TargetActive, types.TargetLeaving, types.TargetSilent)
	add("group: forming, quiescing, fencing, serving",
		types.GroupForming, types.GroupQuiescing, types.GroupFencing, types.GroupServing)
	add("message: pre-vote, its reply, vote, its reply, append, its reply, snapshot, join",
		proto.MsgPreVote, proto.MsgPreVoteReply, proto.MsgVote, proto.MsgVoteReply, proto.MsgAppend,
		proto.MsgAppendReply, proto.MsgSnapshot, proto.MsgJoin)
	add("item: group, service, profile, route, organisation",
		proto.ItemGroup, proto.ItemService, proto.ItemProfile, proto.ItemRoute, proto.ItemOrganisation)
	add("outcome: not run, unknown", types.NotRun.String(), types.Unknown.String())
	add("role of settings: control, proxy", settings.RoleControl.String(), settings.RoleProxy.String())
	add("phase: forming, quiescing, fencing, serving", phaseNames[types.GroupForming],
		phaseNames[types.GroupQuiescing], phaseNames[types.GroupFencing], phaseNames[types.GroupServing])
	add("state: active, leaving, silent", stateNames[types.TargetActive], stateNames[types.TargetLeaving],
		stateNames[types.TargetSilent])
	add("kind of error", api.ErrNotLeader, api.ErrConflict, api.ErrNotFound, api.ErrRefused, api.ErrUnknown,
		api.ErrInvalid, api.ErrUnauthorized, api.ErrInternal)
	add("cause of another try", effect.CauseNoCapacity, effect.CauseBehind, effect.CauseNotPrimary, effect.CauseNoAnswer, effect.CausePriority)
	add("decision", effect.DecideLeader, effect.DecideStepDown, effect.DecideVoters, effect.DecideConfig,
		effect.DecideConflict, effect.DecideMember, effect.DecideTermBegun, effect.DecideTermServing,
		effect.DecidePromotionWaits, effect.DecideLeaseLost, effect.DecideLeaseGained, effect.DecideShare,
		effect.DecideRefuse, effect.DecideRetry, effect.DecideRequeue, effect.DecidePrimaryFound, effect.DecideSuspect,
		effect.DecideTargetLost, effect.DecideTargetFound, effect.DecideView, effect.DecideDrain, effect.DecideJoin,
		effect.DecideControlLost, effect.DecideViewStarted, effect.DecidePrimaryConfirmed, effect.DecideEjected, effect.DecideReturned, effect.DecideKeyRevoked)
	for _, c := range types.RefusalCodes() {
		lines = append(lines, fmt.Sprintf("refusal code %d", c))
	}
	compare(t, "enum_values.txt", lines)
}

func compare(t *testing.T, file string, lines []string) {
	t.Helper()
	got, err := outernames.Difference(filepath.Join("testdata", file), lines)
	assert.NilError(t, err)
	assert.Equal(t, got, "")
}
