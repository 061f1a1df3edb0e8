package standin

import (
	"slices"
	"time"
)

// memberOptions are the limits of a member.
type memberOptions struct {
	maxConnections int
	slots          int
	statementCost  time.Duration
}

// member is the reducer: all state of the member, changed by step alone.
type member struct {
	memberOptions
	term    uint64
	primary bool
	began   result // position before the first entry of its term as primary
	leader  string // address of the member that is followed
	epoch   uint64 // numbers the changes of the leader
	log     transactionLog
	ledger  *ledger
	conns   map[connID]*connState
	open    int          // connections that count towards the limit
	writer  *connState   // holds the write lock
	locked  []*connState // wait for the write lock, in order
	slotted []*connState // wait for a slot, in order
	busy    int          // slots in use
	streams []*connState // wait for entries
	leaving bool
	wall    int64 // wall clock of the last event, in nanoseconds
	effects []effect
}

// connState is what the member keeps of a connection.
type connState struct {
	id       connID
	counted  bool
	tx       *transaction
	explicit bool // BEGIN opened the transaction
	readOnly bool
	failed   bool
	doomed   bool              // the member was replaced while the transaction wrote
	request  *statementArrived // the statement under way
	after    uint64            // of a stream: offset of the last entry sent
}

func newMember(o memberOptions) *member {
	return &member{memberOptions: o, ledger: newLedger(), conns: make(map[connID]*connState)}
}

// step takes in one event and returns what has to be done.
func (m *member) step(wall int64, ev event) []effect {
	m.wall = wall
	m.effects = nil
	switch e := ev.(type) {
	case connOpened:
		m.openConn(e)
	case connClosed:
		m.closeConn(e.conn)
	case statementArrived:
		m.withConn(e.conn, func(c *connState) { m.arrive(c, e) })
	case describeArrived:
		m.withConn(e.conn, func(c *connState) { m.describe(c, e.st) })
	case batchEnded:
		m.withConn(e.conn, func(c *connState) { m.endBatch(c, e.failed) })
	case delayElapsed:
		m.delayElapsed(e.conn)
	case streamArrived:
		m.withConn(e.conn, func(c *connState) { m.startStream(c, e.st) })
	case entriesWanted:
		m.withConn(e.conn, func(c *connState) { m.wantEntries(c, e.after) })
	case followerConnected:
		m.followerConnected(e.epoch)
	case entriesReceived:
		m.receive(e)
	case leaveAsked:
		m.leaving = true
	}
	m.checkLeft()
	return m.effects
}

func (m *member) emit(eff effect) { m.effects = append(m.effects, eff) }

func (m *member) withConn(id connID, do func(*connState)) {
	if c, ok := m.conns[id]; ok {
		do(c)
	}
}

func (m *member) openConn(e connOpened) {
	if !e.replication && m.open >= m.maxConnections {
		m.emit(admit{conn: e.conn, err: errorf(codeTooMany, "sorry, too many clients already")})
		return
	}
	m.conns[e.conn] = &connState{id: e.conn, counted: !e.replication}
	if !e.replication {
		m.open++
	}
	m.emit(admit{conn: e.conn})
}

func (m *member) closeConn(id connID) {
	c, ok := m.conns[id]
	if !ok {
		return
	}
	delete(m.conns, id)
	if c.counted {
		m.open--
	}
	isConn := func(other *connState) bool { return other == c }
	m.locked = slices.DeleteFunc(m.locked, isConn)
	m.slotted = slices.DeleteFunc(m.slotted, isConn)
	m.streams = slices.DeleteFunc(m.streams, isConn)
	m.rollback(c)
}

// status is the transaction status of a connection as the protocol writes it.
func (c *connState) status() byte {
	switch {
	case c.failed && c.explicit:
		return 'E'
	case c.explicit:
		return 'T'
	}
	return 'I'
}

// answer replies to the statement under way. An error fails the transaction.
func (m *member) answer(c *connState, r result) {
	c.request = nil
	if r.err != nil {
		m.fail(c)
	}
	m.emit(reply{conn: c.id, result: r, status: c.status()})
}

// fail drops what a transaction changed. One that BEGIN opened stays failed.
func (m *member) fail(c *connState) {
	explicit, doomed := c.explicit, c.doomed
	m.rollback(c)
	c.explicit, c.failed, c.doomed = explicit, explicit, explicit && doomed
}

// rollback ends a transaction without its changes.
func (m *member) rollback(c *connState) {
	c.tx, c.explicit, c.failed, c.readOnly, c.doomed = nil, false, false, false, false
	m.unlock(c)
}

// unlock gives the write lock to the next that waits.
func (m *member) unlock(c *connState) {
	if m.writer != c {
		return
	}
	m.writer = nil
	for m.writer == nil && len(m.locked) > 0 {
		next := m.locked[0]
		m.locked = m.locked[1:]
		m.start(next)
	}
}

// endBatch ends a transaction that no BEGIN opened.
func (m *member) endBatch(c *connState, failed bool) {
	var r result
	switch {
	case c.explicit:
	case failed:
		m.rollback(c)
	default:
		r.err = m.commit(c)
	}
	m.emit(reply{conn: c.id, result: r, status: c.status()})
}

// commit writes the changes of a transaction to the log and the ledger.
func (m *member) commit(c *connState) *sqlError {
	if c.doomed {
		m.rollback(c)
		return errReplaced
	}
	tx := c.tx
	if tx == nil || len(tx.changes) == 0 {
		m.rollback(c)
		return nil
	}
	m.appendEntry(tx.changes)
	m.rollback(c)
	return nil
}

// appendEntry writes the next entry of the member's own term.
func (m *member) appendEntry(changes []change) {
	_, offset := m.log.last()
	m.log.add(entry{Term: m.term, Offset: offset + 1, Written: m.wall, Changes: changes})
	m.ledger.apply(changes)
	m.feedStreams()
}

// checkLeft reports a leaving member that has nothing under way.
func (m *member) checkLeft() {
	if !m.leaving || m.primary || m.busy > 0 {
		return
	}
	for _, c := range m.conns {
		if c.explicit || c.request != nil || c.tx != nil {
			return
		}
	}
	m.emit(left{})
}
