package core_test

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"gotest.tools/v3/assert"
)

// partFunc implements core.Part by a function.
type partFunc func(event.Input) []effect.Effect

func (f partFunc) Step(in event.Input) []effect.Effect { return f(in) }

// TestStepForwardsEffectsBetweenParts checks that a proposal reaches consensus
// and its commit reaches the state, within one step and in order.
func TestStepForwardsEffectsBetweenParts(t *testing.T) {
	index := uint64(0)
	consensus := partFunc(func(in event.Input) []effect.Effect {
		ev, ok := in.Event.(event.Proposed)
		if !ok {
			return nil
		}
		index++
		return []effect.Effect{
			effect.Persist{Seq: index},
			effect.Commit{Entry: proto.Entry{Index: index, Command: ev.Command}},
		}
	})
	state := partFunc(func(in event.Input) []effect.Effect {
		switch ev := in.Event.(type) {
		case event.OperatorCalled:
			return []effect.Effect{
				effect.Propose{Command: proto.Command{Change: ev.Request.Change}},
				effect.Propose{},
			}
		case event.Committed:
			return []effect.Effect{effect.ReplyOperator{Call: ev.Entry.Index}}
		}
		return nil
	})
	out := core.New(consensus, state).Step(event.Input{Event: event.OperatorCalled{}})
	assert.DeepEqual(t, out, []effect.Effect{
		effect.Persist{Seq: 1},
		effect.Persist{Seq: 2},
		effect.ReplyOperator{Call: 1},
		effect.ReplyOperator{Call: 2},
	})
}

// TestStepPassesEventToPartsInOrder checks that the parts handle an event in the
// order in which they were composed.
func TestStepPassesEventToPartsInOrder(t *testing.T) {
	var seen []int
	part := func(n int) core.Part {
		return partFunc(func(event.Input) []effect.Effect { seen = append(seen, n); return nil })
	}
	core.New(part(1), part(2), part(3)).Step(event.Input{Event: event.Start{}})
	assert.DeepEqual(t, seen, []int{1, 2, 3})
}
