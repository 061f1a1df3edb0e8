package consensus

// Held returns how many messages wait for the disk.
func (n *Node) Held() int {
	count := 0
	for _, w := range n.disk.inFlight {
		count += len(w.messages)
	}
	return count
}
