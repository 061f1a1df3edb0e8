package limits

import (
	"cmp"
	"slices"
)

// divide splits total among proxies by what they want. A proxy that wants none
// gets none, each other one gets at least one while there are enough, and what
// nobody wants is given out in equal parts.
func divide(total int, wants []int) []int {
	out := make([]int, len(wants))
	open := make([]int, 0, len(wants))
	for i, want := range wants {
		if want > 0 {
			open = append(open, i)
		}
	}
	slices.SortStableFunc(open, func(a, b int) int { return cmp.Compare(wants[a], wants[b]) })
	total = satisfy(out, open, wants, total)
	slices.Sort(open)
	spread(out, open, total)
	return out
}

// satisfy raises the parts together, each up to its want, and returns what is
// left. The parts in open come in rising order of want.
func satisfy(parts, open, wants []int, total int) int {
	level := 0
	for len(open) > 0 {
		step := wants[open[0]] - level
		if step*len(open) > total {
			slices.Sort(open)
			for n, i := range open {
				parts[i] = level + equal(total, len(open), n)
			}
			return 0
		}
		total -= step * len(open)
		level += step
		parts[open[0]] = level
		open = open[1:]
	}
	return total
}

// spread gives out what nobody asked for, each unit to the smallest part.
func spread(parts, open []int, total int) {
	if len(open) == 0 {
		return
	}
	rising := slices.Clone(open)
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
		parts[i] = level + equal(total, n, at)
	}
}

// equal returns part number at of total in n parts that differ by one at most.
func equal(total, n, at int) int {
	part := total / n
	if at < total%n {
		part++
	}
	return part
}

// proxiesPerSlot is how many proxies there are for each slot of a target from which on one
// exchange of each proxy fills the slots. Half of the proxies are then enough.
const proxiesPerSlot = 2

// slotShare returns part number at of a target's slots among n proxies. While they
// are few each may use one at least, as callers don't spread evenly over proxies.
func slotShare(slots, n, at int) int {
	part := equal(slots, n, at)
	if part == 0 && n < proxiesPerSlot*slots {
		return 1
	}
	return part
}
