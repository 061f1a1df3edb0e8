package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// newUnkeptHarness returns a proxy that keeps no idle connections, with a caller whose reads
// two replicas may serve.
func newUnkeptHarness(t *testing.T) *harness {
	h := newColdHarness(t)
	h.closeSession(1)
	h.setView(func(v *types.NodeView, _ *types.Group) {
		for r := range v.Shares {
			v.Shares[r] = types.Share{Connections: 20, Shared: 20, Slots: 2}
		}
	})
	h.advance(2 * time.Second)
	assert.Equal(t, h.openConns("b")+h.openConns("c"), 0)
	for id := types.SessionID(21); id <= 26; id++ {
		h.openDatabase(id, "catalog")
	}
	h.dials = nil
	return h
}

func (h *harness) readAt(id types.SessionID) {
	h.lastSeq++
	h.step(event.RequestArrived{Session: id, Request: types.Request{
		Seq: h.lastSeq, Class: types.ClassRead, DiscardedOnClose: true, Payload: "read",
	}})
}

// TestReadOpensOneConnection covers a read that any of two replicas may serve, neither of
// which has a connection: one is opened, and one more only if that takes long.
func TestReadOpensOneConnection(t *testing.T) {
	h := newUnkeptHarness(t)
	h.readAt(21)
	assert.Equal(t, len(h.dials), 1)
	h.advance(hedgeAfter - time.Millisecond)
	assert.Equal(t, len(h.dials), 1)
	h.advance(pool.Turn)
	assert.Equal(t, len(h.dials), 2)
	assert.Assert(t, h.dials[0].Ref != h.dials[1].Ref)
}

// TestReadsSpreadOverReplicas covers more reads at once than one replica may get of a proxy.
func TestReadsSpreadOverReplicas(t *testing.T) {
	h := newUnkeptHarness(t)
	for id := types.SessionID(21); id <= 26; id++ {
		h.readAt(id)
	}
	assert.Equal(t, len(h.dials), 6)
	opened := make(map[types.TargetName]int)
	for _, d := range h.dials {
		opened[d.Ref.Name]++
	}
	assert.Assert(t, opened["b"] >= 2 && opened["c"] >= 2, "%v", opened)
}

// TestReadMovesFromUnreachableReplica covers a replica that refuses connections: the read
// opens one to the other replica at once.
func TestReadMovesFromUnreachableReplica(t *testing.T) {
	h := newUnkeptHarness(t)
	h.readAt(21)
	refused := h.dials[0]
	h.step(event.TargetConnected{Conn: refused.Conn, Err: errConnRefused})
	assert.Equal(t, len(h.dials), 2)
	assert.Assert(t, h.dials[1].Ref != refused.Ref)
}

// TestReadsOfOrganisationsSpreadOverReplicas covers reads of two organisations at a proxy
// that may run one request at a time on each of two replicas.
func TestReadsOfOrganisationsSpreadOverReplicas(t *testing.T) {
	h := newUnkeptHarness(t)
	h.setKeys(map[types.OrganisationName][]types.KeyDigest{"mill": {millKey}, "yard": {yardKey}})
	h.setView(func(v *types.NodeView, _ *types.Group) {
		for r := range v.Shares {
			v.Shares[r] = types.Share{Connections: 20, Shared: 20}
		}
	})
	h.dials = nil
	for id, key := range map[types.SessionID]types.KeyDigest{31: millKey, 32: yardKey} {
		h.step(event.SessionOpened{Session: id, Params: types.SessionParams{Database: "catalog", Key: key}})
	}
	h.readAt(31)
	h.readAt(32)
	assert.Equal(t, len(h.dials), 2)
	assert.Assert(t, h.dials[0].Ref != h.dials[1].Ref)
	assert.Equal(t, h.dials[0].Organisation, types.OrganisationName("mill"))
	assert.Equal(t, h.dials[1].Organisation, types.OrganisationName("yard"))
}
