package standin

import (
	"slices"
	"strconv"
	"time"
)

// arrive takes in a statement.
func (m *member) arrive(c *connState, e statementArrived) {
	c.request = &e
	if _, invalid := e.st.(invalidStatement); c.failed && !invalid && !allowedInFailed(e.st) {
		m.answer(c, result{err: errFailed})
		return
	}
	if usesSlot(e.st) {
		m.start(c)
		return
	}
	m.answer(c, m.runControl(c, e.st))
}

// allowedInFailed reports whether a statement runs in a failed transaction.
func allowedInFailed(st statement) bool {
	switch st.(type) {
	case commitStatement, rollbackStatement, showStatement, emptyStatement:
		return true
	}
	return false
}

// runControl runs a statement that does not touch the ledger.
func (m *member) runControl(c *connState, st statement) result {
	switch s := st.(type) {
	case beginStatement:
		c.explicit, c.readOnly = true, s.readOnly
		return result{tag: "BEGIN"}
	case commitStatement:
		return m.runCommit(c)
	case rollbackStatement:
		m.rollback(c)
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

func (m *member) runCommit(c *connState) result {
	if c.failed && !c.doomed {
		m.rollback(c)
		return result{tag: "ROLLBACK"}
	}
	if err := m.commit(c); err != nil {
		return result{err: err}
	}
	return result{tag: "COMMIT"}
}

// start runs a statement on the ledger, or lets it wait for the write lock or
// for a slot.
func (m *member) start(c *connState) {
	st := c.request.st
	if c.doomed {
		m.answer(c, result{err: errReplaced})
		return
	}
	if isWrite(st) {
		if err := m.checkWritable(c); err != nil {
			m.answer(c, result{err: err})
			return
		}
		if m.writer != nil && m.writer != c {
			m.locked = append(m.locked, c)
			return
		}
		m.writer = c
	}
	cost := m.cost(c.request)
	switch {
	case cost <= 0:
		m.run(c)
	case m.busy >= m.slots:
		m.slotted = append(m.slotted, c)
	default:
		m.busy++
		m.emit(delay{conn: c.id, time: cost})
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

// cost returns how long a statement keeps its slot.
func (m *member) cost(e *statementArrived) time.Duration {
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

// delayElapsed runs the statement that kept a slot and frees the slot.
func (m *member) delayElapsed(id connID) {
	m.busy--
	m.withConn(id, func(c *connState) {
		if c.request == nil {
			return
		}
		if c.doomed {
			m.answer(c, result{err: errReplaced})
			return
		}
		m.run(c)
	})
	for m.busy < m.slots && len(m.slotted) > 0 {
		next := m.slotted[0]
		m.slotted = m.slotted[1:]
		m.start(next)
	}
}

// run executes the statement under way in the connection's transaction.
func (m *member) run(c *connState) {
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
		c.tx = newTransaction(m.ledger)
	}
	return c.tx
}

// describe answers what a statement takes and returns.
func (m *member) describe(c *connState, st statement) {
	if c.failed && !allowedInFailed(st) {
		m.emit(replyDescription{conn: c.id, description: description{err: errFailed}})
		return
	}
	tx := c.tx
	if tx == nil {
		tx = newTransaction(m.ledger)
	}
	m.emit(replyDescription{conn: c.id, description: tx.describe(st)})
}

// positionName is the setting that holds a member's position.
const positionName = "paddle.position"

// Roles as a member reports them.
const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

// showColumns returns the columns of SHOW.
func showColumns(name string) []column {
	if name != positionName {
		return []column{{Name: name}}
	}
	return []column{
		{Name: "term", Kind: kindInt}, {Name: "role"},
		{Name: "log_term", Kind: kindInt}, {Name: "offset", Kind: kindInt},
	}
}

// shown are the settings that drivers ask for.
var shown = map[string]string{
	"server_version": "16.0", "transaction_read_only": "off", "standard_conforming_strings": "on",
	"default_transaction_read_only": "off", "client_encoding": "UTF8",
}

func (m *member) show(name string) result {
	if name == positionName {
		return m.position()
	}
	v, ok := shown[name]
	if !ok {
		return result{err: errorf(codeUndefinedSetting, "unrecognized configuration parameter %q", name)}
	}
	return result{columns: showColumns(name), rows: [][]value{{text(v)}}, tag: "SHOW"}
}

// position is the row that SHOW paddle.position and orders of control answer.
func (m *member) position() result {
	role := roleReplica
	if m.primary {
		role = rolePrimary
	}
	term, offset := m.log.last()
	row := []value{uintValue(m.term), text(role), uintValue(term), uintValue(offset)}
	return result{columns: showColumns(positionName), rows: [][]value{row}, tag: "SHOW"}
}

func uintValue(n uint64) value { return text(strconv.FormatUint(n, 10)) }

// abortWrites fails every transaction that changed something, and whoever
// waits for the write lock.
func (m *member) abortWrites() {
	if w := m.writer; w != nil {
		m.writer = nil
		w.tx, w.failed, w.doomed = nil, true, true
	}
	waiting := slices.Clone(m.locked)
	m.locked = nil
	for _, c := range waiting {
		m.answer(c, result{err: errReplaced})
	}
}
