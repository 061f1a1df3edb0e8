package consensus

// DeferredMessages returns the number of messages that wait for a write to be synced.
func (n *Node) DeferredMessages() int {
	count := 0
	for _, w := range n.disk.inFlight {
		count += len(w.messages)
	}
	return count
}
