package session

import (
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// entry is one record of a target's log.
type entry struct {
	term         types.Term
	moreInCommit bool            // further entries of the same commit follow
	tag          string          // of the write; empty for a claim
	id           types.RequestID // of the request, if it has one
	answer       types.Payload   // recorded for a claim
}

// statement is the payload of a caller's request in the model.
type statement struct {
	kind string // write, read, begin, commit
	tag  string
	id   types.RequestID
}

// snapshot is the payload of an answer in the model. A read sees the tags of all
// committed writes.
type snapshot struct {
	tag      string
	seenTags []string
}

// member is a target of the model, with its log, its term and the transactions
// of its connections.
type member struct {
	name    types.TargetName
	term    types.Term
	primary bool
	log     []entry
	conns   map[connKey]*targetTx
	freshAt types.Instant

	unnoticedRestart map[int]bool // indexes of proxies that have not noticed its restart
	requiredLength   int          // log length at which it has caught up after a wipe
}

// connKey identifies a connection of one proxy.
type connKey struct {
	proxy int
	conn  types.ConnID
}

// targetTx is the transaction state of a connection.
type targetTx struct {
	open    bool
	entries []entry
	owner   types.SessionID
	broken  bool
}

// transaction returns the transaction state of a connection.
func (m *member) transaction(key connKey) *targetTx {
	t, ok := m.conns[key]
	if !ok {
		t = &targetTx{}
		m.conns[key] = t
	}
	return t
}

func (m *member) status() types.TargetStatus {
	return types.TargetStatus{Term: m.term, Primary: m.primary, Pos: m.pos()}
}

// pos returns the position of the last entry.
func (m *member) pos() types.LogPos {
	if len(m.log) == 0 {
		return types.LogPos{}
	}
	return types.LogPos{Term: m.log[len(m.log)-1].term, Offset: uint64(len(m.log))}
}

// tags returns the tags of the committed writes in the order of the log.
func (m *member) tags() []string {
	var tags []string
	for _, e := range m.log {
		if e.tag != "" {
			tags = append(tags, e.tag)
		}
	}
	return tags
}

// claim returns the committed claim of a request id.
func (m *member) claim(id types.RequestID) (entry, bool) {
	i := slices.IndexFunc(m.log, func(e entry) bool { return e.id == id && e.tag == "" })
	if i < 0 {
		return entry{}, false
	}
	return m.log[i], true
}

// claimedElsewhere reports whether a connection other than own has claimed the
// id in an open transaction. A real target blocks until that one ends.
func (m *member) claimedElsewhere(id types.RequestID, own connKey) bool {
	for key, t := range m.conns {
		if key != own && slices.ContainsFunc(t.entries, func(e entry) bool { return e.id == id && e.tag == "" }) {
			return true
		}
	}
	return false
}

// follow makes the member a replica of term and truncates its log to the prefix
// that it shares with the leader's.
func (m *member) follow(term types.Term, leader *member) {
	keep := 0
	for keep < min(len(m.log), len(leader.log)) && m.log[keep].term == leader.log[keep].term {
		keep++
	}
	m.log, m.requiredLength = slices.Clone(m.log[:keep]), 0
	m.term, m.primary = term, false
	m.breakConns()
}

// promote makes the member the primary of term. The first entry of the term
// distinguishes its log from that of an earlier primary.
func (m *member) promote(term types.Term) {
	m.term, m.primary = term, true
	m.log = append(slices.Clone(m.log), entry{term: term})
	m.breakConns()
}

// breakConns closes all connections and rolls back their transactions.
func (m *member) breakConns() {
	for _, t := range m.conns {
		*t = targetTx{broken: true}
	}
}

// run executes an operation on a connection.
func (m *member) run(t *targetTx, op types.Operation) types.Result {
	res := types.Result{}
	switch op.Kind {
	case types.OpPosition:
		res.Status = m.status()
	case types.OpBegin:
		t.open = true
	case types.OpCommit:
		m.commit(t)
	case types.OpRollback:
		t.open, t.entries = false, nil
	case types.OpClaim:
		if _, ok := m.claim(op.RequestID); ok {
			res.Err = types.TargetErrDuplicate
			break
		}
		t.entries = append(t.entries, entry{id: op.RequestID})
	case types.OpRecordAnswer:
		t.entries[slices.IndexFunc(t.entries, func(e entry) bool { return e.id == op.RequestID })].answer = op.Payload
	case types.OpLookup:
		e, ok := m.claim(op.RequestID)
		res.Found, res.Payload = ok && e.answer != nil, e.answer
	case types.OpCaller:
		res = m.runStatement(t, op.Payload.(statement))
	}
	res.Tx = types.TxIdle
	if t.open {
		res.Tx = types.TxOpen
	}
	return res
}

func (m *member) runStatement(t *targetTx, stmt statement) types.Result {
	answer := snapshot{tag: stmt.tag}
	switch stmt.kind {
	case "begin":
		t.open = true
	case "commit":
		m.commit(t)
	case "read":
		answer.seenTags = m.tags()
	case "write":
		if !m.primary {
			return types.Result{Err: types.TargetErrReadOnly, Payload: answer}
		}
		t.entries = append(t.entries, entry{tag: stmt.tag, id: stmt.id})
		if !t.open {
			m.commit(t)
		}
	}
	return types.Result{Payload: answer}
}

func (m *member) commit(t *targetTx) {
	for i, e := range t.entries {
		e.term, e.moreInCommit = m.term, i < len(t.entries)-1
		m.log = append(m.log, e)
	}
	t.open, t.entries = false, nil
}
