package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// newWarmHarness returns a harness with a known position of the primary, a
// request timeout of 3 s for reads, and members that have answered for 3 s.
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

// newColdHarness returns a harness whose primary has answered a single read and
// whose replicas have answered none.
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

// TestReadMovesFromUnresponsiveReplica guards against reads that time out on a
// replica that passes its probes but answers no request.
func TestReadMovesFromUnresponsiveReplica(t *testing.T) {
	h := newWarmHarness(t)
	seq := h.sendManagedRead(1)
	first, unresponsive := h.lastSent()
	assert.Assert(t, unresponsive != "a")
	h.advance(attemptTimeout + 50*time.Millisecond)
	h.connect()
	_, other := h.lastSent()
	assert.Assert(t, other != unresponsive && other != "a", "second attempt was sent to %s", other)
	assert.Assert(t, h.closed[first.Conn], "the connection to the unresponsive replica %s is still open", unresponsive)
	h.answerManaged(40)
	assert.Assert(t, h.answered(seq))
	for range 6 {
		h.sendManagedRead(1)
		_, name := h.lastSent()
		assert.Assert(t, name != unresponsive, "a later read was sent to the unresponsive replica %s", name)
		h.answerManaged(40)
	}
}

// TestUnresponsiveReplicaIsRetried bounds how long an unresponsive replica gets
// no reads.
func TestUnresponsiveReplicaIsRetried(t *testing.T) {
	h := newWarmHarness(t)
	h.sendManagedRead(1)
	_, unresponsive := h.lastSent()
	h.advance(attemptTimeout + 50*time.Millisecond)
	h.connect()
	h.answerManaged(40)
	h.advance(baseEjectionTime)
	retried := false
	for range 20 {
		h.sendManagedRead(1)
		h.connect()
		_, name := h.lastSent()
		retried = retried || name == unresponsive
		h.answerManaged(40)
	}
	assert.Assert(t, retried, "replica %s gets no reads %v after its failure", unresponsive, baseEjectionTime)
}

// TestUnansweredWriteIsNotRetried guards against a write that runs twice: a
// write without an answer may have run.
func TestUnansweredWriteIsNotRetried(t *testing.T) {
	h := newWarmHarness(t)
	h.sendManagedWrite(1)
	sent := len(h.sends)
	h.advance(attemptTimeout + 500*time.Millisecond)
	assert.Equal(t, len(h.sends), sent)
}

// TestSlowReadAfterStartupIsNotRetried guards against retries that add load
// after a restart of the whole system: all proxies connect at once, answers are
// slow, and a read that is sent twice runs twice.
func TestSlowReadAfterStartupIsNotRetried(t *testing.T) {
	h := newColdHarness(t)
	seq := h.sendManagedRead(1)
	sent := len(h.sends)
	h.advance(attemptTimeout + 500*time.Millisecond)
	assert.Equal(t, len(h.sends), sent)
	assert.Equal(t, len(h.lastReport().SuspectServices), 0)
	h.answerManaged(40)
	assert.Assert(t, h.answered(seq))
}

// TestSlowReadOnResponsiveReplicaIsNotRetried guards against retrying a long
// statement whose replica answers other requests meanwhile.
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
	assert.Assert(t, !h.closed[e.Conn], "the read on %s was abandoned", slow)
}
