package limits

import (
	"cmp"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/capacity"
)

// allocate splits total among proxies by max-min fairness of their demands. A
// proxy without demand gets nothing. Each other one gets at least one while
// total suffices, and what exceeds all demands is distributed evenly.
func allocate(total int, demands []int) []int {
	out := make([]int, len(demands))
	active := make([]int, 0, len(demands))
	for i, demand := range demands {
		if demand > 0 {
			active = append(active, i)
		}
	}
	slices.SortStableFunc(active, func(a, b int) int { return cmp.Compare(demands[a], demands[b]) })
	total = fillDemands(out, active, demands, total)
	slices.Sort(active)
	distributeSurplus(out, active, total)
	return out
}

// fillDemands raises all parts together, each up to its demand, and returns the
// remainder of total. The indexes in active are sorted by rising demand.
func fillDemands(parts, active, demands []int, total int) int {
	level := 0
	for len(active) > 0 {
		step := demands[active[0]] - level
		if step*len(active) > total {
			slices.Sort(active)
			for n, i := range active {
				parts[i] = level + capacity.EvenPart(total, len(active), n)
			}
			return 0
		}
		total -= step * len(active)
		level += step
		parts[active[0]] = level
		active = active[1:]
	}
	return total
}

// distributeSurplus adds what exceeds the demands, each unit to the smallest part.
func distributeSurplus(parts, active []int, total int) {
	if len(active) == 0 {
		return
	}
	rising := slices.Clone(active)
	slices.SortStableFunc(rising, func(a, b int) int { return cmp.Compare(parts[a], parts[b]) })
	level, n := parts[rising[0]], 1
	for ; n < len(rising); n++ {
		step := parts[rising[n]] - level
		if step*n > total {
			break
		}
		total -= step * n
		level += step
	}
	lowest := rising[:n]
	slices.Sort(lowest)
	for at, i := range lowest {
		parts[i] = level + capacity.EvenPart(total, n, at)
	}
}
