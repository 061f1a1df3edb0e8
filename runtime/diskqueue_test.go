package runtime

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMergedWritesHaveTheSameEffect compares the state after a series of writes, some of
// which replace earlier entries, with that after the merged ones.
func TestMergedWritesHaveTheSameEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var writes []effect.Persist
		last, term := uint64(0), proto.ControlTerm(1)
		for i := range rapid.IntRange(1, 12).Draw(t, "writes") {
			w := effect.Persist{Seq: uint64(i + 1), HardState: &proto.HardState{Term: term, Commit: uint64(i)}}
			if rapid.Bool().Draw(t, "new term") {
				term++
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 && last > 0 {
				w.Snapshot = &proto.Snapshot{Index: last, Term: term}
			} else if n := rapid.IntRange(0, 4).Draw(t, "entries"); n > 0 {
				first := rapid.Uint64Range(max(1, last/2+1), last+1).Draw(t, "first")
				for k := range uint64(n) {
					w.Entries = append(w.Entries, proto.Entry{Index: first + k, Term: term})
				}
				last = first + uint64(n) - 1
			}
			writes = append(writes, w)
		}
		var one, merged consensus.PersistentState
		var oneErr, mergedErr error
		for _, w := range writes {
			if oneErr == nil {
				oneErr = one.Apply(w)
			}
		}
		syncs := 0
		for _, group := range groupWrites(writes) {
			syncs++
			if mergedErr == nil {
				mergedErr = merged.Apply(mergeWrites(group))
			}
		}
		if oneErr != nil {
			t.Skip("the writes don't follow each other")
		}
		assert.NilError(t, mergedErr)
		assert.DeepEqual(t, merged, one)
		assert.Assert(t, syncs <= len(writes))
	})
}

func TestWritesThatWaitTakeOneSync(t *testing.T) {
	var writes []effect.Persist
	for i := range uint64(50) {
		writes = append(writes, effect.Persist{Seq: i + 1, Entries: []proto.Entry{{Index: i + 1, Term: 1}}})
	}
	groups := groupWrites(writes)
	assert.Equal(t, len(groups), 1)
	assert.Equal(t, len(mergeWrites(groups[0]).Entries), 50)
}
