package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// patientDriver has a known position, reads that may take 3 s, and members that
// have answered for some time.
func newWarmHarness(t *testing.T) *harness {
	h := newColdHarness(t)
	for range 30 {
		for id := types.SessionID(11); id <= 14; id++ {
			h.openDatabase(id, "catalog")
			h.sendManagedRead(id)
			h.answerManaged(40)
			h.closeSession(id)
		}
		h.advance(100 * time.Millisecond)
	}
	return h
}

func (h *harness) closeSession(id types.SessionID) { h.step(event.SessionClosed{Session: id}) }

// startingDriver has members that have hardly answered yet.
func newColdHarness(t *testing.T) *harness {
	h := newManagedHarness(t)
	p := h.config.Profiles["catalog"]
	p.MaxAge, p.RequestTimeout, p.QueueTimeout = time.Minute, 3*time.Second, 3*time.Second
	h.config.Profiles["catalog"] = p
	h.openDatabase(1, "catalog")
	h.sendManagedRead(1)
	h.answerManaged(40)
	return h
}

// TestReadLeavesAReplicaThatDoesNotAnswer covers a replica whose health is good
// and that answers nothing.
func TestReadMovesFromUnresponsiveReplica(t *testing.T) {
	h := newWarmHarness(t)
	seq := h.sendManagedRead(1)
	first, unresponsive := h.lastSent()
	assert.Assert(t, unresponsive != "a")
	h.advance(attemptTimeout + 50*time.Millisecond)
	h.connect()
	_, other := h.lastSent()
	assert.Assert(t, other != unresponsive && other != "a", "sent to %s again", other)
	assert.Assert(t, h.closed[first.Conn], "the silent replica still holds the connection")
	h.answerManaged(40)
	assert.Assert(t, h.answered(seq))
	for range 6 {
		h.sendManagedRead(1)
		_, name := h.lastSent()
		assert.Assert(t, name != unresponsive, "the next read went to the silent replica")
		h.answerManaged(40)
	}
}

// TestSilentReplicaIsTriedAgain bounds how long a replica is passed over.
func TestUnresponsiveReplicaIsRetried(t *testing.T) {
	h := newWarmHarness(t)
	h.sendManagedRead(1)
	_, unresponsive := h.lastSent()
	h.advance(attemptTimeout + 50*time.Millisecond)
	h.connect()
	h.answerManaged(40)
	h.advance(firstAvoid)
	retried := false
	for range 20 {
		h.sendManagedRead(1)
		h.connect()
		_, name := h.lastSent()
		retried = retried || name == unresponsive
		h.answerManaged(40)
	}
	assert.Assert(t, retried, "the replica is never asked again")
}

// TestWriteIsNotRepeated leaves a write with its target: it may have run.
func TestUnansweredWriteIsNotRetried(t *testing.T) {
	h := newWarmHarness(t)
	h.sendManagedWrite(1)
	sent := len(h.sends)
	h.advance(attemptTimeout + 500*time.Millisecond)
	assert.Equal(t, len(h.sends), sent)
}

// TestSlowAnswersAfterAStartAreAwaited covers the restart of everything, when all
// proxies connect at once: what is asked twice then is work done twice.
func TestSlowReadAfterStartupIsNotRetried(t *testing.T) {
	h := newColdHarness(t)
	seq := h.sendManagedRead(1)
	sent := len(h.sends)
	h.advance(attemptTimeout + 500*time.Millisecond)
	assert.Equal(t, len(h.sends), sent)
	assert.Equal(t, len(h.lastReport().Suspect), 0)
	h.answerManaged(40)
	assert.Assert(t, h.answered(seq))
}

// TestReplicaThatAnswersOthersIsNotLeft covers a long statement.
func TestSlowReadOnResponsiveReplicaIsNotRetried(t *testing.T) {
	h := newWarmHarness(t)
	h.sendManagedRead(1)
	e, slow := h.lastSent()
	for range 10 {
		h.openDatabase(2, "catalog")
		h.sendManagedRead(2)
		h.answerManaged(40)
		h.closeSession(2)
		h.advance(attemptTimeout / 8)
	}
	assert.Assert(t, !h.closed[e.Conn], "the read on %s was given up", slow)
}
