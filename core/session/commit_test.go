package session

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// TestLostCommitIsNotReportedAsRolledBack breaks the connection after COMMIT
// was sent. Neither the refusal nor the end of the session may report "not run".
func TestLostCommitIsNotReportedAsRolledBack(t *testing.T) {
	h := newHarness(t)
	h.openSession(1)
	h.sendRequest(1, types.Request{Payload: "begin"})
	h.answer(0, types.TxOpen)
	commit := h.sendRequest(1, types.Request{Payload: "commit"})
	h.breakConn(true)
	assert.Equal(t, h.refusal(commit).Outcome, types.Unknown)
	assert.Equal(t, len(h.endedSessions), 1)
	assert.Equal(t, h.endedSessions[0].Refusal.Outcome, types.Unknown)
}
