package standin

import (
	"slices"
	"strconv"
	"time"
)

// handleStatement answers a statement, or schedules it if it needs a slot.
func (m *member) handleStatement(c *connState, e statementReceived) {
	c.request = &e
	if _, invalid := e.st.(invalidStatement); c.failed && !invalid && !allowedInFailed(e.st) {
		m.answer(c, result{err: errTransactionFailed})
		return
	}
	if usesSlot(e.st) {
		m.schedule(c)
		return
	}
	m.answer(c, m.executeControl(c, e.st))
}

// allowedInFailed reports whether a statement is allowed in a failed transaction.
func allowedInFailed(st statement) bool {
	switch st.(type) {
	case commitStatement, rollbackStatement, showStatement, emptyStatement:
		return true
	}
	return false
}

// executeControl executes a statement that needs no slot.
func (m *member) executeControl(c *connState, st statement) result {
	switch s := st.(type) {
	case beginStatement:
		c.explicit, c.readOnly = true, s.readOnly
		return result{tag: "BEGIN"}
	case commitStatement:
		return m.executeCommit(c)
	case rollbackStatement:
		m.endTransaction(c)
		return result{tag: "ROLLBACK"}
	case setStatement:
		c.readOnly = c.readOnly || s.transactionReadOnly
		return result{tag: "SET"}
	case showStatement:
		return m.show(s.name)
	case promoteStatement:
		return m.promote(s)
	case followStatement:
		return m.follow(s)
	case invalidStatement:
		return result{err: s.err}
	case lagStatement:
		m.emit(setLag(s))
		return result{tag: "PADDLE"}
	}
	return result{}
}

func (m *member) executeCommit(c *connState) result {
	if c.failed && !c.primaryReplaced {
		m.endTransaction(c)
		return result{tag: "ROLLBACK"}
	}
	if err := m.commit(c); err != nil {
		return result{err: err}
	}
	return result{tag: "COMMIT"}
}

// schedule executes the statement of a connection, or queues it for the write
// lock or for a slot.
func (m *member) schedule(c *connState) {
	st := c.request.st
	if c.primaryReplaced {
		m.answer(c, result{err: errPrimaryReplaced})
		return
	}
	if isWrite(st) {
		if err := m.checkWritable(c); err != nil {
			m.answer(c, result{err: err})
			return
		}
		if m.writer != nil && m.writer != c {
			m.lockWaiters = append(m.lockWaiters, c)
			return
		}
		m.writer = c
	}
	cost := m.cost(c.request)
	switch {
	case cost <= 0:
		m.executeRequest(c)
	case m.slotsInUse >= m.slots:
		m.slotWaiters = append(m.slotWaiters, c)
	default:
		m.slotsInUse++
		m.emit(delay{conn: c.id, duration: cost})
	}
}

func (m *member) checkWritable(c *connState) *sqlError {
	switch {
	case !m.primary:
		return errorf(codeReadOnly, "cannot execute a write on a replica")
	case c.readOnly:
		return errorf(codeReadOnly, "cannot execute a write in a read-only transaction")
	}
	return nil
}

// cost returns how long a statement holds its slot.
func (m *member) cost(e *statementReceived) time.Duration {
	s, ok := e.st.(sleepStatement)
	if !ok {
		return m.statementCost
	}
	v, err := s.seconds.eval(kindFloat, e.args)
	if err != nil || v == nil {
		return 0
	}
	seconds, _ := strconv.ParseFloat(*v, 64)
	return time.Duration(seconds * float64(time.Second))
}

// delayElapsed frees a slot, executes the statement that held it and schedules
// the queued statements.
func (m *member) delayElapsed(id connID) {
	m.slotsInUse--
	m.withConn(id, func(c *connState) {
		if c.request == nil {
			return
		}
		if c.primaryReplaced {
			m.answer(c, result{err: errPrimaryReplaced})
			return
		}
		m.executeRequest(c)
	})
	for m.slotsInUse < m.slots && len(m.slotWaiters) > 0 {
		next := m.slotWaiters[0]
		m.slotWaiters = m.slotWaiters[1:]
		m.schedule(next)
	}
}

// executeRequest executes the statement in progress in the transaction of the
// connection.
func (m *member) executeRequest(c *connState) {
	if isWrite(c.request.st) {
		if err := m.checkWritable(c); err != nil {
			m.answer(c, result{err: err})
			return
		}
	}
	m.answer(c, m.transaction(c).execute(c.request.st, c.request.args))
}

func (m *member) transaction(c *connState) *transaction {
	if c.tx == nil {
		c.tx = newTransaction(m.store)
	}
	return c.tx
}

// describe sends the parameter and column types of a statement.
func (m *member) describe(c *connState, st statement) {
	if c.failed && !allowedInFailed(st) {
		m.emit(replyDescription{conn: c.id, description: description{err: errTransactionFailed}})
		return
	}
	tx := c.tx
	if tx == nil {
		tx = newTransaction(m.store)
	}
	m.emit(replyDescription{conn: c.id, description: tx.describe(st)})
}

// positionSetting is the name of the setting that shows a member's position.
const positionSetting = "paddle.position"

// Roles that SHOW paddle.position reports.
const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

// showColumns returns the result columns of SHOW.
func showColumns(name string) []column {
	if name != positionSetting {
		return []column{{Name: name}}
	}
	return []column{
		{Name: "term", Kind: kindInt}, {Name: "role"},
		{Name: "log_term", Kind: kindInt}, {Name: "offset", Kind: kindInt},
	}
}

// fixedSettings holds the settings that client drivers read with SHOW.
var fixedSettings = map[string]string{
	"server_version": "16.0", "transaction_read_only": "off", "standard_conforming_strings": "on",
	"default_transaction_read_only": "off", "client_encoding": "UTF8",
}

func (m *member) show(name string) result {
	if name == positionSetting {
		return m.position()
	}
	v, ok := fixedSettings[name]
	if !ok {
		return result{err: errorf(codeUndefinedSetting, "unrecognized configuration parameter %q", name)}
	}
	return result{columns: showColumns(name), rows: [][]value{{textValue(v)}}, tag: "SHOW"}
}

// position returns the row that answers SHOW paddle.position and commands of
// control hosts.
func (m *member) position() result {
	role := roleReplica
	if m.primary {
		role = rolePrimary
	}
	term, offset := m.log.last()
	row := []value{uintValue(m.term), textValue(role), uintValue(term), uintValue(offset)}
	return result{columns: showColumns(positionSetting), rows: [][]value{row}, tag: "SHOW"}
}

func uintValue(n uint64) value { return textValue(strconv.FormatUint(n, 10)) }

// abortWrites fails the transaction that holds the write lock and the statements
// that wait for the lock.
func (m *member) abortWrites() {
	if w := m.writer; w != nil {
		m.writer = nil
		w.tx, w.failed, w.primaryReplaced = nil, true, true
	}
	waiting := slices.Clone(m.lockWaiters)
	m.lockWaiters = nil
	for _, c := range waiting {
		m.answer(c, result{err: errPrimaryReplaced})
	}
}
