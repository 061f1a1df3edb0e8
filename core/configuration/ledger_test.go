package configuration_test

import (
	"fmt"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/configuration"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func change(id int, base uint64, text string) proto.ChangeConfig {
	return proto.ChangeConfig{
		ID: types.ChangeID(fmt.Sprint(id)), Base: base, Source: text, Author: "operator", Config: &types.Config{},
	}
}

func TestOneOfTwoChangesWithEqualBasesIsAccepted(t *testing.T) {
	l := configuration.New()
	first, _ := l.Apply(change(1, 0, "one"))
	second, changed := l.Apply(change(2, 0, "two"))
	assert.Equal(t, first.Accepted, true)
	assert.Equal(t, changed, false)
	assert.DeepEqual(t, second, proto.ChangeResult{
		ID: "2", Version: 1, Reason: "the change is based on version 0, the current version is 1",
	})
	assert.Equal(t, l.Source(), "one")
}

func TestIDUsedTwiceIsRefused(t *testing.T) {
	l := configuration.New()
	l.Apply(change(1, 0, "one"))
	again, changed := l.Apply(change(1, 1, "other"))
	assert.Equal(t, again.Accepted || changed, false)
	kept, _ := l.Apply(change(1, 0, "one"))
	assert.Equal(t, kept.Accepted, true, "the refusal replaced the first answer")
}

func TestOldestAnswersAreDropped(t *testing.T) {
	l := configuration.New()
	for i := range 10_010 {
		l.Apply(change(i, uint64(i), "text"))
	}
	assert.Equal(t, len(l.Records()), 10_000)
	_, ok := l.Record("9")
	assert.Equal(t, ok, false)
	_, ok = l.Record("10")
	assert.Equal(t, ok, true)
}

// TestChangesAgainstOracle applies new and repeated changes with any base and id, and
// restores the ledger from a snapshot. The oracle is the list of accepted texts and
// the first answer to each change.
func TestChangesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := configuration.New()
		var accepted []string
		answers := map[string]proto.ChangeResult{}
		byID := map[types.ChangeID]string{}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				version := uint64(len(accepted))
				base := version - min(version, rapid.Uint64Range(0, 1).Draw(t, "behind"))
				c := change(rapid.IntRange(0, 20).Draw(t, "id"), base, rapid.StringMatching("[ab]").Draw(t, "text"))
				key := fmt.Sprintf("%s on %d: %s", c.ID, c.Base, c.Source)
				got, changed := l.Apply(c)
				if first, ok := answers[key]; ok {
					assert.DeepEqual(t, got, first)
					assert.Equal(t, changed, false)
					return
				}
				_, used := byID[c.ID]
				assert.Equal(t, changed, !used && base == version)
				if used {
					assert.Equal(t, got.Accepted, false)
					return
				}
				byID[c.ID], answers[key] = key, got
				if changed {
					accepted = append(accepted, c.Source)
				}
			},
			"restore": func(t *rapid.T) {
				l = configuration.Restore(l.Config(), l.Source(), l.Records())
			},
			"": func(t *rapid.T) {
				assert.Equal(t, l.Config().Version, uint64(len(accepted)))
				if len(accepted) > 0 {
					assert.Equal(t, l.Source(), accepted[len(accepted)-1])
				}
			},
		})
	})
}

// TestChangeWithoutConfigurationIsNotApplied guards against a committed change that ends
// every control host that applies it.
func TestChangeWithoutConfigurationIsNotApplied(t *testing.T) {
	l := configuration.New()
	l.Apply(change(1, 0, "one"))
	for _, c := range []proto.ChangeConfig{{Number: 7}, {ID: "2", Base: 1}} {
		result, changed := l.Apply(c)
		assert.Equal(t, result.Accepted || changed, false)
	}
	assert.Equal(t, l.Source(), "one")
}
