package standin

import "slices"

// streamBatchEntries is the maximum number of log entries in one message of a
// replication stream.
const streamBatchEntries = 256

// promote makes the member the primary of a term and appends an entry without
// changes. The entry distinguishes the log from that of an earlier primary. The
// result is the position before that entry.
func (m *member) promote(s promoteStatement) result {
	switch {
	case s.term < m.term, s.term == m.term && !m.primary:
		return m.staleTerm(s.term)
	case s.term == m.term:
		return m.startPosition
	}
	m.abortWrites()
	m.term, m.primary, m.leader = s.term, true, ""
	m.leaderChanges++
	m.emit(stopFollower{})
	m.startPosition = m.position()
	m.appendEntry(nil)
	return m.startPosition
}

// follow makes the member a replica of a leader in a term. It drops the entries
// after the start of that term that were written in an older term.
func (m *member) follow(s followStatement) result {
	if s.term < m.term || s.term == m.term && m.primary {
		return m.staleTerm(s.term)
	}
	if s.term == m.term && s.address == m.leader {
		return m.position()
	}
	m.observeTerm(s.term)
	m.truncate(m.log.truncationOffset(s.start, s.term))
	m.leader = s.address
	m.leaderChanges++
	m.emit(startFollower{leaderChanges: m.leaderChanges, address: s.address})
	return m.position()
}

func (m *member) staleTerm(term uint64) result {
	return result{err: errorf(codeStaleTerm, "term %d is not later than term %d", term, m.term)}
}

// observeTerm records a later term. If the member is the primary, it steps down.
func (m *member) observeTerm(term uint64) {
	if term <= m.term {
		return
	}
	m.term = term
	if !m.primary {
		return
	}
	m.primary = false
	m.abortWrites()
	for _, c := range m.streamWaiters {
		m.emit(sendEntries{conn: c.id, err: errPrimaryReplaced})
	}
	m.streamWaiters = nil
}

// truncate drops the log entries after offset and rebuilds the store from the
// remaining ones.
func (m *member) truncate(offset uint64) {
	if !m.log.truncate(offset) {
		return
	}
	m.store = newStore()
	for _, e := range m.log.entries {
		m.store.apply(e.Changes)
	}
	for _, c := range m.conns {
		if c.tx != nil {
			c.tx.store = m.store
		}
	}
}

// leaderConnected requests the missing log entries from the leader.
func (m *member) leaderConnected(leaderChanges uint64) {
	if leaderChanges == m.leaderChanges {
		m.emit(requestStream{leaderChanges: leaderChanges, term: m.term, termEnds: m.log.termEnds()})
	}
}

// applyEntries appends entries of the leader to the log and applies them. It
// ignores those of an earlier leader.
func (m *member) applyEntries(e entriesReceived) {
	if e.leaderChanges != m.leaderChanges {
		return
	}
	if e.truncate != nil {
		m.truncate(*e.truncate)
	}
	for _, entry := range e.entries {
		if m.log.add(entry) {
			m.store.apply(entry.Changes)
		}
	}
}

// startStream starts a replication stream to a follower.
func (m *member) startStream(c *connState, s streamStatement) {
	m.observeTerm(s.term)
	if !m.primary || s.term != m.term {
		m.emit(sendEntries{conn: c.id, err: errorf(codeReadOnly, "not the primary of term %d", s.term)})
		return
	}
	agreed := lastCommonOffset(m.log.termEnds(), s.termEnds)
	m.emit(sendEntries{conn: c.id, after: agreed, batch: streamBatch{Truncate: &agreed}})
}

// handleEntriesRequest sends the entries that a follower is missing, or registers
// the stream to be sent the next entries.
func (m *member) handleEntriesRequest(c *connState, after uint64) {
	c.sentOffset = after
	if !m.primary {
		m.emit(sendEntries{conn: c.id, err: errPrimaryReplaced})
		return
	}
	if !m.sendEntries(c) {
		m.streamWaiters = append(m.streamWaiters, c)
	}
}

// sendEntries sends the entries that a follower is missing and reports whether
// there were any.
func (m *member) sendEntries(c *connState) bool {
	entries := m.log.from(c.sentOffset, streamBatchEntries)
	if len(entries) == 0 {
		return false
	}
	c.sentOffset += uint64(len(entries))
	m.emit(sendEntries{conn: c.id, after: c.sentOffset, batch: streamBatch{Entries: slices.Clone(entries)}})
	return true
}

// notifyStreams sends new entries to the waiting followers.
func (m *member) notifyStreams() {
	m.streamWaiters = slices.DeleteFunc(m.streamWaiters, m.sendEntries)
}
