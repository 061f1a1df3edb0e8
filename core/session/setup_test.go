package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

var valueX = &types.Setup{Settings: []types.Setting{{Name: "x", Value: "1"}}}

// TestFailedSetupRunsNoStatement guards against a statement that runs without its
// session's settings, or with those of another session: it was sent behind the operations
// that set them, and the target failed one of those.
func TestFailedSetupRunsNoStatement(t *testing.T) {
	prepared := &types.Setup{Prepared: &types.Prepared{Name: "p"}}
	for _, tt := range []struct {
		name          string
		before, setup *types.Setup // of another session on the connection, and of the request's
		request       types.Request
	}{
		{"SET before a write", nil, valueX, types.Request{Fenced: true, MayCommit: true, Payload: "write"}},
		{"SET before a read", nil, valueX, types.Request{Class: types.ClassRead, DiscardedOnClose: true, Payload: "read"}},
		{"RESET before a write", valueX, nil, types.Request{Fenced: true, MayCommit: true, Payload: "write"}},
		{"PREPARE before its use", nil, prepared, types.Request{Fenced: true, MayCommit: true, Payload: "execute"}},
		{"SET before BEGIN", nil, valueX, types.Request{Fenced: true, BeginsTx: true, DiscardedOnClose: true, Idempotent: true, Payload: "begin"}},
	} {
		for _, failure := range []types.TargetErrorKind{types.TargetErrFailed, types.TargetErrBusy, types.TargetErrStatement} {
			t.Run(tt.name+" "+failure.String(), func(t *testing.T) {
				h := newManagedHarness(t)
				h.setShare("a", types.Share{Connections: 1, Slots: 1})
				h.openDatabase(1, "orders")
				h.openDatabase(2, "orders")
				if tt.before != nil {
					h.sendRequest(2, types.Request{Fenced: true, MayCommit: true, Payload: "write", Setup: tt.before})
					h.answerManaged(1)
					h.answerManaged(1)
				}
				tt.request.Setup = tt.setup
				seq := h.sendRequest(1, tt.request)
				for range 2 {
					sent := len(h.sends)
					e, _ := h.lastSent()
					if !tt.request.BeginsTx {
						assert.Assert(t, !sendsStatement(e.Operations), "the statement is sent with %v", operationKinds(e))
					}
					h.reject(failure, types.TxIdle)
					assert.Assert(t, !h.answered(seq))
					assert.Equal(t, len(h.sends), sent)
					h.advance(100 * time.Millisecond)
					e, _ = h.lastSent()
					assert.Equal(t, e.Operations[0].Kind, types.OpReset, "the setup of the connection is unknown")
				}
				h.answerBegun(tt.request.BeginsTx)
				h.answerBegun(tt.request.BeginsTx)
				assert.Assert(t, h.answered(seq))
			})
		}
	}
}

// answerBegun answers the exchange that was sent last, if its request has no answer yet.
func (h *harness) answerBegun(begun bool) {
	if h.answered(h.lastSeq) {
		return
	}
	tx := types.TxIdle
	if begun {
		tx = types.TxOpen
	}
	e, _ := h.lastSent()
	h.answerWith(e, tx, types.TargetStatus{Pos: logPos(1)})
}

// sendsStatement reports whether operations hold the caller's statement.
func sendsStatement(ops []types.Operation) bool {
	for _, op := range ops {
		if op.Kind == types.OpCaller {
			return true
		}
	}
	return false
}

// TestFailedSetupWithinTransaction checks that a statement of a transaction waits for the
// settings that were changed within it, and that the transaction ends if the target has
// ended it.
func TestFailedSetupWithinTransaction(t *testing.T) {
	for _, failed := range []bool{false, true} {
		h := newManagedHarness(t)
		h.openDatabase(1, "orders")
		h.sendRequest(1, types.Request{Fenced: true, BeginsTx: true, DiscardedOnClose: true, Idempotent: true, Payload: "begin"})
		h.answerBegun(true)
		seq := h.sendRequest(1, types.Request{DiscardedOnClose: true, Payload: "read", Setup: valueX})
		if failed {
			h.reject(types.TargetErrFailed, types.TxFailed)
			assert.Equal(t, h.refusal(seq).Code, types.RefuseTransactionLost)
			assert.Equal(t, h.refusal(seq).Outcome, types.NotRun)
			assert.Equal(t, len(h.endedSessions), 1)
			continue
		}
		h.reject(types.TargetErrFailed, types.TxOpen)
		h.advance(100 * time.Millisecond)
		e, _ := h.lastSent()
		assert.DeepEqual(t, operationKinds(e), []types.OperationKind{types.OpReset, types.OpSetValue})
		h.answerBegun(true)
		h.answerBegun(true)
		assert.Assert(t, h.answered(seq))
	}
}

// TestBrokenSetupIsNotRun checks that a write counts as not run if the connection breaks,
// or nothing is answered, while only the setup was sent.
func TestBrokenSetupIsNotRun(t *testing.T) {
	write := types.Request{Fenced: true, MayCommit: true, Payload: "write", Setup: valueX}
	t.Run("connection breaks", func(t *testing.T) {
		h := newManagedHarness(t)
		h.openDatabase(1, "orders")
		seq := h.sendRequest(1, write)
		h.breakConn(true)
		h.connect()
		h.answerManaged(1)
		h.answerManaged(1)
		assert.Assert(t, h.answered(seq), "the write is sent again")
	})
	t.Run("no answer", func(t *testing.T) {
		h := newManagedHarness(t)
		h.openDatabase(1, "orders")
		seq := h.sendRequest(1, write)
		h.advance(time.Second)
		assert.Equal(t, h.refusal(seq).Outcome, types.NotRun)
	})
}
