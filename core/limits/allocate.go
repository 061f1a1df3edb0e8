package limits

import (
	"cmp"
	"slices"
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
				parts[i] = level + evenPart(total, len(active), n)
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
		parts[i] = level + evenPart(total, n, at)
	}
}

// evenPart returns part number at when total is split into n parts that differ
// by at most one.
func evenPart(total, n, at int) int {
	part := total / n
	if at < total%n {
		part++
	}
	return part
}

// maxProxiesPerSlot bounds the proxies for each slot of a target up to which every
// proxy gets at least one slot. From this ratio on one exchange of each of half of
// the proxies is enough to fill the slots.
const maxProxiesPerSlot = 2

// slotShare returns the part number at of a target's slots among n proxies. Below
// maxProxiesPerSlot each proxy gets at least one slot, even if the sum exceeds the
// slots, because callers do not spread evenly over proxies.
func slotShare(slots, n, at int) int {
	part := evenPart(slots, n, at)
	if part == 0 && n < maxProxiesPerSlot*slots {
		return 1
	}
	return part
}
