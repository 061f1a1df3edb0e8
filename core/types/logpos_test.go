package types

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestTermHistoryCovers compares positions before and after two changes of
// primary.
func TestTermHistoryCovers(t *testing.T) {
	history := TermHistory{{Term: 1, Offset: 0}, {Term: 2, Offset: 50}, {Term: 3, Offset: 45}}
	for _, tc := range []struct {
		name        string
		have, floor LogPos
		covers      bool
	}{
		{"same term, behind", LogPos{1, 9}, LogPos{1, 10}, false},
		{"same term, at", LogPos{1, 10}, LogPos{1, 10}, true},
		{"older term with a larger offset", LogPos{1, 99}, LogPos{2, 60}, false},
		{"later term, floor before its start", LogPos{2, 60}, LogPos{1, 50}, true},
		{"later term, floor cut off by its start", LogPos{2, 60}, LogPos{1, 51}, false},
		{"two terms later, cut off by the second", LogPos{3, 80}, LogPos{1, 46}, false},
		{"two terms later, kept by both", LogPos{3, 80}, LogPos{1, 45}, true},
		{"entry of a term that a later one cut off", LogPos{3, 80}, LogPos{2, 55}, false},
		{"later term, but not caught up", LogPos{3, 30}, LogPos{1, 40}, false},
		{"zero floor", LogPos{3, 80}, LogPos{}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, history.Covers(tc.have, tc.floor), tc.covers)
		})
	}
}

// TestTermHistoryOmitsForks covers a term whose primary wrote entries that were
// never replicated: the next term starts on the log without them.
func TestTermHistoryOmitsForks(t *testing.T) {
	history := TermHistory{{Term: 1, Offset: 0}}
	history = history.Begin(TermStart{Term: 2, Offset: 4}, 1)
	history = history.Begin(TermStart{Term: 3, Offset: 9}, 1)
	assert.DeepEqual(t, history, TermHistory{{Term: 1, Offset: 0}, {Term: 3, Offset: 9}})
	assert.Assert(t, !history.Survives(LogPos{2, 5}, 3), "offset 5 belongs to term 1 now")
	assert.Assert(t, history.Survives(LogPos{1, 9}, 3))
	assert.Assert(t, history.Survives(LogPos{2, 5}, 2))
}

// TestLogPosCompareOrdersByTermFirst checks the order by which a promotion finds
// the most up-to-date member.
func TestLogPosCompareOrdersByTermFirst(t *testing.T) {
	ascending := []LogPos{{1, 5}, {1, 6}, {2, 0}, {2, 7}}
	for i, p := range ascending {
		for j, q := range ascending {
			want := 0
			if i < j {
				want = -1
			} else if i > j {
				want = 1
			}
			assert.Equal(t, p.Compare(q), want, "%v against %v", p, q)
		}
	}
}

func TestSurviving(t *testing.T) {
	h := TermHistory{{Term: 3}, {Term: 5, Offset: 100}, {Term: 7, Offset: 90}}
	cases := []struct {
		name      string
		pos, want LogPos
		current   Term
	}{
		{"before any later term", LogPos{3, 80}, LogPos{3, 80}, 7},
		{"beyond the start of a later term", LogPos{3, 105}, LogPos{3, 90}, 7},
		{"beyond the start of a term after current", LogPos{3, 95}, LogPos{3, 95}, 5},
		{"in a term that the history omits", LogPos{4, 95}, LogPos{3, 90}, 7},
		{"before the first listed term", LogPos{2, 95}, LogPos{3, 0}, 7},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := h.Surviving(c.pos, c.current)
			assert.Equal(t, got, c.want)
			assert.Assert(t, h.Survives(got, c.current))
		})
	}
}
