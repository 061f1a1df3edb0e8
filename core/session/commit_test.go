package session

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// TestLostCommitIsNeverSaidToBeRolledBack breaks the connection after COMMIT
// was sent. Neither the refusal nor the end of the session may say "not run".
func TestLostCommitIsNeverSaidToBeRolledBack(t *testing.T) {
	d := newDriver(t)
	d.open(1)
	d.ask(1, types.Request{Payload: "begin"})
	d.answer(0, types.TxOpen)
	commit := d.ask(1, types.Request{Payload: "commit"})
	d.fail(true)
	assert.Equal(t, d.refusal(commit).Outcome, types.Unknown)
	assert.Equal(t, len(d.ended), 1)
	assert.Equal(t, d.ended[0].Refusal.Outcome, types.Unknown)
}
