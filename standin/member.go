package standin

import (
	"slices"
	"time"
)

// memberOptions holds the limits of a member and its simulated costs.
type memberOptions struct {
	maxConnections int
	slots          int
	statementCost  time.Duration
}

// member is the reducer of one simulated database process. It holds the log, the
// data, the role and the connections, which only step changes.
type member struct {
	memberOptions
	term          uint64
	primary       bool
	startPosition result // position before the first entry of the member's term as primary
	leader        string // address of the leader from which a replica replicates
	leaderChanges uint64 // number of changes of leader; identifies events of an earlier leader
	log           transactionLog
	store         *store
	conns         map[connID]*connState
	openConns     int          // connections that count towards maxConnections
	writer        *connState   // holder of the write lock
	lockWaiters   []*connState // FIFO queue for the write lock
	slotWaiters   []*connState // FIFO queue for a slot
	slotsInUse    int
	streamWaiters []*connState // streams whose follower has every entry
	leaving       bool
	now           int64 // wall clock time of the current event, in nanoseconds since the Unix epoch
	effects       []effect
}

// connState is the state of one connection.
type connState struct {
	id              connID
	counted         bool // in openConns
	tx              *transaction
	explicit        bool // the transaction was opened by BEGIN
	readOnly        bool
	failed          bool
	primaryReplaced bool               // the member's term as primary ended during the write transaction
	request         *statementReceived // the statement in progress
	sentOffset      uint64             // of a replication stream: offset of the last entry sent
}

func newMember(o memberOptions) *member {
	return &member{memberOptions: o, store: newStore(), conns: make(map[connID]*connState)}
}

// step handles one event and returns the resulting effects.
func (m *member) step(now int64, ev event) []effect {
	m.now = now
	m.effects = nil
	switch e := ev.(type) {
	case connOpened:
		m.openConn(e)
	case connClosed:
		m.closeConn(e.conn)
	case statementReceived:
		m.withConn(e.conn, func(c *connState) { m.handleStatement(c, e) })
	case describeReceived:
		m.withConn(e.conn, func(c *connState) { m.describe(c, e.st) })
	case batchEnded:
		m.withConn(e.conn, func(c *connState) { m.endBatch(c, e.failed) })
	case delayElapsed:
		m.delayElapsed(e.conn)
	case streamRequested:
		m.withConn(e.conn, func(c *connState) { m.startStream(c, e.st) })
	case entriesRequested:
		m.withConn(e.conn, func(c *connState) { m.handleEntriesRequest(c, e.after) })
	case leaderConnected:
		m.leaderConnected(e.leaderChanges)
	case entriesReceived:
		m.applyEntries(e)
	case leaveRequested:
		m.leaving = true
	}
	m.checkLeave()
	return m.effects
}

func (m *member) emit(eff effect) { m.effects = append(m.effects, eff) }

func (m *member) withConn(id connID, do func(*connState)) {
	if c, ok := m.conns[id]; ok {
		do(c)
	}
}

func (m *member) openConn(e connOpened) {
	if !e.replication && m.openConns >= m.maxConnections {
		m.emit(admit{conn: e.conn, err: errorf(codeTooManyConnections, "sorry, too many clients already")})
		return
	}
	m.conns[e.conn] = &connState{id: e.conn, counted: !e.replication}
	if !e.replication {
		m.openConns++
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
		m.openConns--
	}
	isConn := func(other *connState) bool { return other == c }
	m.lockWaiters = slices.DeleteFunc(m.lockWaiters, isConn)
	m.slotWaiters = slices.DeleteFunc(m.slotWaiters, isConn)
	m.streamWaiters = slices.DeleteFunc(m.streamWaiters, isConn)
	m.endTransaction(c)
}

// status returns the transaction status of a connection, as in ReadyForQuery.
func (c *connState) status() byte {
	switch {
	case c.failed && c.explicit:
		return 'E'
	case c.explicit:
		return 'T'
	}
	return 'I'
}

// answer sends the result of the statement in progress. An error fails the
// transaction.
func (m *member) answer(c *connState, r result) {
	c.request = nil
	if r.err != nil {
		m.fail(c)
	}
	m.emit(reply{conn: c.id, result: r, status: c.status()})
}

// fail discards the changes of a transaction. An explicit transaction remains
// in the failed state.
func (m *member) fail(c *connState) {
	explicit, primaryReplaced := c.explicit, c.primaryReplaced
	m.endTransaction(c)
	c.explicit, c.failed, c.primaryReplaced = explicit, explicit, explicit && primaryReplaced
}

// endTransaction ends a transaction. It discards changes that were not committed.
func (m *member) endTransaction(c *connState) {
	c.tx, c.explicit, c.failed, c.readOnly, c.primaryReplaced = nil, false, false, false, false
	m.releaseWriteLock(c)
}

// releaseWriteLock releases the write lock if c holds it and schedules the
// statements that wait for it, until one of them holds the lock.
func (m *member) releaseWriteLock(c *connState) {
	if m.writer != c {
		return
	}
	m.writer = nil
	for m.writer == nil && len(m.lockWaiters) > 0 {
		next := m.lockWaiters[0]
		m.lockWaiters = m.lockWaiters[1:]
		m.schedule(next)
	}
}

// endBatch handles the end of a batch, which ends an implicit transaction.
func (m *member) endBatch(c *connState, failed bool) {
	var r result
	switch {
	case c.explicit:
	case failed:
		m.endTransaction(c)
	default:
		r.err = m.commit(c)
	}
	m.emit(reply{conn: c.id, result: r, status: c.status()})
}

// commit writes the changes of a transaction to the log and the store.
func (m *member) commit(c *connState) *sqlError {
	if c.primaryReplaced {
		m.endTransaction(c)
		return errPrimaryReplaced
	}
	tx := c.tx
	if tx == nil || len(tx.changes) == 0 {
		m.endTransaction(c)
		return nil
	}
	m.appendEntry(tx.changes)
	m.endTransaction(c)
	return nil
}

// appendEntry appends an entry of the member's term to the log and applies it.
func (m *member) appendEntry(changes []change) {
	_, offset := m.log.last()
	m.log.add(entry{Term: m.term, Offset: offset + 1, Written: m.now, Changes: changes})
	m.store.apply(changes)
	m.notifyStreams()
}

// checkLeave emits leaveCompleted if a leaving member is not the primary and
// has no work in progress.
func (m *member) checkLeave() {
	if !m.leaving || m.primary || m.slotsInUse > 0 {
		return
	}
	for _, c := range m.conns {
		if c.explicit || c.request != nil || c.tx != nil {
			return
		}
	}
	m.emit(leaveCompleted{})
}
