package limits

import (
	"testing"

	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// oneByOne gives out one connection at a time, each to the smallest part that
// may have it.
func oneByOne(total int, wants []int) []int {
	parts := make([]int, len(wants))
	give := func(open func(i int) bool) {
		for ; total > 0; total-- {
			least := -1
			for i := range parts {
				if open(i) && (least < 0 || parts[i] < parts[least]) {
					least = i
				}
			}
			if least < 0 {
				return
			}
			parts[least]++
		}
	}
	give(func(i int) bool { return parts[i] < wants[i] })
	give(func(i int) bool { return wants[i] > 0 })
	return parts
}

// TestDivideEqualsOneByOne compares with the plain rule.
func TestDivideEqualsOneByOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wants := rapid.SliceOfN(rapid.IntRange(0, 12), 0, 8).Draw(t, "wants")
		total := rapid.IntRange(0, 60).Draw(t, "total")
		assert.DeepEqual(t, divide(total, wants), oneByOne(total, wants))
	})
}
