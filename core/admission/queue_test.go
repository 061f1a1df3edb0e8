package admission

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// TestQueueSharesByWeight covers a profile that has many entries queued when those of
// another one arrive.
func TestQueueSharesByWeight(t *testing.T) {
	var q Queue[types.ProfileName]
	for range 300 {
		q.Push(Class{Profile: "catalog", Weight: 1}, "", 1, "catalog")
	}
	for range 100 {
		q.Pop()
	}
	for range 200 {
		q.Push(Class{Profile: "orders", Weight: 3}, "", 1, "orders")
	}
	got := make(map[types.ProfileName]int)
	for range 100 {
		v, _ := q.Pop()
		got[v]++
	}
	assert.Assert(t, got["orders"] >= 74 && got["orders"] <= 76, "%v of 100", got)
}

func TestQueueSkipsRemovedEntries(t *testing.T) {
	var q Queue[int]
	var entries []*Entry[int]
	for i := range 10 {
		entries = append(entries, q.Push(Class{Profile: "p", Weight: 1}, "", 1, i))
	}
	for _, i := range []int{0, 5, 5, 9} {
		q.Remove(entries[i])
	}
	assert.Equal(t, q.Len(), 7)
	assert.DeepEqual(t, q.Drain(), []int{1, 2, 3, 4, 6, 7, 8})
	assert.Equal(t, q.Len(), 0)
}

// TestQueueSharesByCost covers two profiles of equal weight, one of whose entries cost
// five times as much: both get the same total cost, not the same number of entries.
func TestQueueSharesByCost(t *testing.T) {
	var q Queue[types.ProfileName]
	for range 300 {
		q.Push(Class{Profile: "short", Weight: 1}, "", 8, "short")
		q.Push(Class{Profile: "long", Weight: 1}, "", 40, "long")
	}
	got := make(map[types.ProfileName]int)
	for range 120 {
		v, _ := q.Pop()
		got[v]++
	}
	assert.Assert(t, got["long"] >= 19 && got["long"] <= 21, "%v of 120", got)
}
