package limits

import (
	"testing"

	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestAllocate(t *testing.T) {
	cases := []struct {
		name    string
		total   int
		demands []int
		parts   []int
	}{
		{"no demand above one", 14, []int{1, 1, 1, 1}, []int{4, 4, 3, 3}},
		{"one demands all", 14, []int{14, 1, 1, 1}, []int{11, 1, 1, 1}},
		{"two demand more than half", 14, []int{10, 10, 1, 1}, []int{6, 6, 1, 1}},
		{"one without demand", 14, []int{1, 0, 1, 1}, []int{5, 0, 5, 4}},
		{"total below the number of proxies", 2, []int{9, 9, 9}, []int{1, 1, 0}},
	}
	for _, c := range cases {
		assert.DeepEqual(t, allocate(c.total, c.demands), c.parts)
	}
}

func TestAllocateUsesTheWholeTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 60).Draw(t, "total")
		demands := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 8).Draw(t, "demands")
		sum, active := 0, 0
		parts := allocate(total, demands)
		for i, part := range parts {
			sum += part
			if demands[i] > 0 {
				active++
				assert.Assert(t, part > 0 || total < len(demands), "%v of %d for %v", parts, total, demands)
			}
		}
		if active == 0 {
			total = 0
		}
		assert.Equal(t, sum, total)
	})
}

// unitByUnit is the reference implementation: it assigns one connection at a time,
// each to the smallest part that may still grow.
func unitByUnit(total int, demands []int) []int {
	parts := make([]int, len(demands))
	assign := func(mayGrow func(i int) bool) {
		for ; total > 0; total-- {
			least := -1
			for i := range parts {
				if mayGrow(i) && (least < 0 || parts[i] < parts[least]) {
					least = i
				}
			}
			if least < 0 {
				return
			}
			parts[least]++
		}
	}
	assign(func(i int) bool { return parts[i] < demands[i] })
	assign(func(i int) bool { return demands[i] > 0 })
	return parts
}

// TestAllocateEqualsUnitByUnit compares allocate with the reference implementation.
func TestAllocateEqualsUnitByUnit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.IntRange(0, 12), 0, 8).Draw(t, "demands")
		total := rapid.IntRange(0, 60).Draw(t, "total")
		assert.DeepEqual(t, allocate(total, demands), unitByUnit(total, demands))
	})
}
