package standin

import "slices"

// streamBatchEntries bounds the entries of one message of a stream.
const streamBatchEntries = 256

// promote makes the member the primary of a term. Its first entry tells its
// log from that of an earlier primary; the answer is the position before it.
func (m *member) promote(s promoteStatement) result {
	switch {
	case s.term < m.term, s.term == m.term && !m.primary:
		return m.stale(s.term)
	case s.term == m.term:
		return m.began
	}
	m.abortWrites()
	m.term, m.primary, m.leader = s.term, true, ""
	m.epoch++
	m.emit(unfollow{})
	m.began = m.position()
	m.appendEntry(nil)
	return m.began
}

// follow makes the member a replica of a leader in a term. Entries of older
// terms behind the start of the term are dropped.
func (m *member) follow(s followStatement) result {
	if s.term < m.term || s.term == m.term && m.primary {
		return m.stale(s.term)
	}
	if s.term == m.term && s.address == m.leader {
		return m.position()
	}
	m.learnTerm(s.term)
	m.truncate(m.log.firstOlder(s.start, s.term))
	m.leader = s.address
	m.epoch++
	m.emit(follow{epoch: m.epoch, address: s.address})
	return m.position()
}

func (m *member) stale(term uint64) result {
	return result{err: errorf(codeStaleTerm, "term %d is not later than term %d", term, m.term)}
}

// learnTerm ends the member's own reign when a later term is known.
func (m *member) learnTerm(term uint64) {
	if term <= m.term {
		return
	}
	m.term = term
	if !m.primary {
		return
	}
	m.primary = false
	m.abortWrites()
	for _, c := range m.streams {
		m.emit(sendEntries{conn: c.id, err: errReplaced})
	}
	m.streams = nil
}

// truncate drops the log behind offset and builds the ledger again.
func (m *member) truncate(offset uint64) {
	if !m.log.truncate(offset) {
		return
	}
	m.ledger = newLedger()
	for _, e := range m.log.entries {
		m.ledger.apply(e.Changes)
	}
	for _, c := range m.conns {
		if c.tx != nil {
			c.tx.ledger = m.ledger
		}
	}
}

// followerConnected asks the leader for what the log lacks.
func (m *member) followerConnected(epoch uint64) {
	if epoch == m.epoch {
		m.emit(askStream{epoch: epoch, term: m.term, runs: m.log.runs()})
	}
}

// receive takes in entries of the leader.
func (m *member) receive(e entriesReceived) {
	if e.epoch != m.epoch {
		return
	}
	if e.truncate != nil {
		m.truncate(*e.truncate)
	}
	for _, entry := range e.entries {
		if m.log.add(entry) {
			m.ledger.apply(entry.Changes)
		}
	}
}

// startStream begins to send the log to a follower.
func (m *member) startStream(c *connState, s streamStatement) {
	m.learnTerm(s.term)
	if !m.primary || s.term != m.term {
		m.emit(sendEntries{conn: c.id, err: errorf(codeReadOnly, "not the primary of term %d", s.term)})
		return
	}
	agreed := common(m.log.runs(), s.runs)
	m.emit(sendEntries{conn: c.id, after: agreed, batch: streamBatch{Truncate: &agreed}})
}

// wantEntries sends entries to a follower, or lets it wait for the next.
func (m *member) wantEntries(c *connState, after uint64) {
	c.after = after
	if !m.primary {
		m.emit(sendEntries{conn: c.id, err: errReplaced})
		return
	}
	if !m.sendEntries(c) {
		m.streams = append(m.streams, c)
	}
}

// sendEntries sends the entries that a follower lacks, if there are any.
func (m *member) sendEntries(c *connState) bool {
	entries := m.log.from(c.after, streamBatchEntries)
	if len(entries) == 0 {
		return false
	}
	c.after += uint64(len(entries))
	m.emit(sendEntries{conn: c.id, after: c.after, batch: streamBatch{Entries: slices.Clone(entries)}})
	return true
}

// feedStreams sends new entries to the followers that wait.
func (m *member) feedStreams() {
	m.streams = slices.DeleteFunc(m.streams, m.sendEntries)
}
