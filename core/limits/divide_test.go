package limits

import (
	"testing"

	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestDivide(t *testing.T) {
	cases := []struct {
		name  string
		total int
		wants []int
		parts []int
	}{
		{"nobody wants more", 14, []int{1, 1, 1, 1}, []int{4, 4, 3, 3}},
		{"one wants all", 14, []int{14, 1, 1, 1}, []int{11, 1, 1, 1}},
		{"two want more than half", 14, []int{10, 10, 1, 1}, []int{6, 6, 1, 1}},
		{"one is gone", 14, []int{1, 0, 1, 1}, []int{5, 0, 5, 4}},
		{"too few for all", 2, []int{9, 9, 9}, []int{1, 1, 0}},
	}
	for _, c := range cases {
		assert.DeepEqual(t, divide(c.total, c.wants), c.parts)
	}
}

func TestDivideGivesOutAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 60).Draw(t, "total")
		wants := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 8).Draw(t, "wants")
		sum, takers := 0, 0
		parts := divide(total, wants)
		for i, part := range parts {
			sum += part
			if wants[i] > 0 {
				takers++
				assert.Assert(t, part > 0 || total < len(wants), "%v of %d for %v", parts, total, wants)
			}
		}
		if takers == 0 {
			total = 0
		}
		assert.Equal(t, sum, total)
	})
}

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

func TestSlotsAmongFewAndManyProxies(t *testing.T) {
	cases := []struct {
		slots, proxies int
		shares         []int
	}{
		{3, 4, []int{1, 1, 1, 1}}, // the last would have none otherwise, whatever its callers ask for
		{5, 4, []int{2, 1, 1, 1}},
		{2, 4, []int{1, 1, 0, 0}},
		{0, 2, []int{0, 0}},
	}
	for _, c := range cases {
		var shares []int
		for at := range c.proxies {
			shares = append(shares, slotShare(c.slots, c.proxies, at))
		}
		assert.DeepEqual(t, shares, c.shares)
	}
}
