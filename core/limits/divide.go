package limits

// divide splits total among proxies by what they want. A proxy that wants none
// gets none, each other one gets at least one while there are enough, and what
// nobody wants is given out in equal parts.
func divide(total int, wants []int) []int {
	out := make([]int, len(wants))
	total = raise(out, total, func(i int) bool { return wants[i] > 0 && out[i] < 1 })
	total = raise(out, total, func(i int) bool { return out[i] < wants[i] })
	raise(out, total, func(i int) bool { return wants[i] > 0 })
	return out
}

// raise gives one at a time to the smallest part for which open holds, the
// first among equals, and returns what is left.
func raise(parts []int, total int, open func(i int) bool) int {
	for ; total > 0; total-- {
		least := -1
		for i := range parts {
			if open(i) && (least < 0 || parts[i] < parts[least]) {
				least = i
			}
		}
		if least < 0 {
			return total
		}
		parts[least]++
	}
	return 0
}

// equal returns part number at of total in n parts that differ by one at most.
func equal(total, n, at int) int {
	part := total / n
	if at < total%n {
		part++
	}
	return part
}
