package systemtest

import (
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// writeID identifies a write within a test.
type writeID int

// Statements, which callers send as payloads.
type (
	write struct {
		id     writeID
		caller string
	}
	read     struct{ caller string }
	begin    struct{ caller string }
	commit   struct{ caller string }
	rollback struct{ caller string }
)

// committed is the answer to a successful commit.
const committed = "committed"

// callerOf returns the name of the caller that sent a statement.
func callerOf(payload types.Payload) string {
	switch p := payload.(type) {
	case write:
		return p.caller
	case read:
		return p.caller
	case begin:
		return p.caller
	case commit:
		return p.caller
	case rollback:
		return p.caller
	}
	return ""
}

// entry is a committed transaction in a member's log.
type entry struct {
	term   types.Term
	writes []writeID
	claim  types.RequestID
	at     time.Duration
}

// targetTxn is an open transaction on a connection.
type targetTxn struct {
	writes   []writeID
	claim    types.RequestID
	failed   bool
	caller   string // that sent its statements
	explicit bool   // begun by a statement of the caller
}

// exchange is a list of operations for a target and the receiver of their results. The
// embedded event only makes it an event of the cluster.
type exchange struct {
	event.Event
	conn   connKey
	ops    []types.Operation
	reply  func([]types.Result)
	close  bool // the connection was closed
	sentAt time.Duration
}

// target simulates a member of the database group. Its log survives a crash.
type target struct {
	sim         *simulation
	name        types.TargetName
	term        types.Term
	primary     bool
	startStatus types.TargetStatus // status before the first entry of its term as primary
	source      types.TargetName   // primary that a replica replicates from
	lag         time.Duration      // of replication
	log         []entry
	txns        map[connKey]*targetTxn // open transactions
	starts      int                    // number of starts; connections do not survive one
	departure   *departure             // non-nil after it has announced that it leaves
}

func (t *target) host() types.HostID { return types.HostID(t.name) }

// Step executes exchanges.
func (t *target) Step(in event.Input) []effect.Effect {
	if e, ok := in.Event.(exchange); ok {
		if e.close {
			delete(t.txns, e.conn)
			return nil
		}
		t.checkNewWork(e)
		results := make([]types.Result, len(e.ops))
		for i, op := range e.ops {
			t.checkTxnOwner(e.conn, op)
			results[i] = t.execute(e.conn, op)
			results[i].Tx = t.txnStatus(e.conn)
		}
		e.reply(results)
	}
	return nil
}

// checkTxnOwner checks that a transaction contains operations of only one caller.
func (t *target) checkTxnOwner(conn connKey, op types.Operation) {
	txn := t.txns[conn]
	if txn == nil || op.Kind == types.OpPosition {
		return
	}
	if op.Kind != types.OpCaller {
		if txn.explicit {
			t.sim.t.Fatalf("operation %d of the proxy on connection %v within a transaction of %s", op.Kind, conn, txn.caller)
		}
		return
	}
	switch who := callerOf(op.Payload); txn.caller {
	case "":
		txn.caller = who
	case who:
	default:
		t.sim.t.Fatalf("a statement of %s on connection %v within a transaction of %s", who, conn, txn.caller)
	}
}

func (t *target) txnStatus(conn connKey) types.TxStatus {
	switch txn := t.txns[conn]; {
	case txn == nil:
		return types.TxIdle
	case txn.failed:
		return types.TxFailed
	}
	return types.TxOpen
}

func (t *target) status() types.TargetStatus {
	return types.TargetStatus{Term: t.term, Primary: t.primary, Pos: t.last()}
}

func (t *target) last() types.LogPos {
	pos := types.LogPos{Offset: uint64(len(t.log))}
	if n := len(t.log); n > 0 {
		pos.Term = t.log[n-1].term
	}
	return pos
}

func (t *target) execute(conn connKey, op types.Operation) types.Result {
	switch op.Kind {
	case types.OpCaller:
		return t.statement(conn, op.Payload)
	case types.OpBegin:
		t.txns[conn] = &targetTxn{}
	case types.OpRollback:
		delete(t.txns, conn)
	case types.OpCommit:
		return t.commit(conn)
	case types.OpClaim:
		return t.claim(conn, op.RequestID)
	case types.OpLookup:
		return types.Result{Found: t.claimed(op.RequestID), Payload: "recorded"}
	case types.OpPosition:
		return types.Result{Status: t.status()}
	case types.OpPromote:
		return t.promote(op.Term)
	case types.OpFollow:
		return t.follow(op)
	}
	return types.Result{}
}

func (t *target) statement(conn connKey, payload types.Payload) types.Result {
	txn := t.txns[conn]
	if txn != nil && txn.failed {
		return t.failedStatement(conn, payload)
	}
	switch p := payload.(type) {
	case begin:
		t.txns[conn] = &targetTxn{caller: p.caller, explicit: true}
	case rollback:
		delete(t.txns, conn)
	case commit:
		if r := t.commit(conn); r.Err != types.TargetErrNone {
			return r
		}
		return types.Result{Payload: committed}
	case read:
		return types.Result{Payload: slices.Clip(t.log)}
	case write:
		if !t.primary {
			return types.Result{Err: types.TargetErrReadOnly}
		}
		if txn != nil {
			txn.writes = append(txn.writes, p.id)
			return types.Result{}
		}
		t.append(entry{writes: []writeID{p.id}})
	}
	return types.Result{}
}

// failedStatement answers a statement in a failed transaction. Only a commit or a
// rollback ends the transaction.
func (t *target) failedStatement(conn connKey, payload types.Payload) types.Result {
	switch payload.(type) {
	case commit, rollback:
		delete(t.txns, conn)
	}
	return types.Result{Err: types.TargetErrStatement}
}

func (t *target) claim(conn connKey, id types.RequestID) types.Result {
	txn := t.txns[conn]
	if txn == nil || !t.primary {
		return types.Result{Err: types.TargetErrReadOnly}
	}
	if t.claimed(id) {
		txn.failed = true
		return types.Result{Err: types.TargetErrDuplicate}
	}
	txn.claim = id
	return types.Result{}
}

func (t *target) claimed(id types.RequestID) bool {
	return slices.ContainsFunc(t.log, func(e entry) bool { return e.claim == id })
}

// commit appends a transaction to the log. Of two transactions that claim the same
// request ID the second fails, as with a unique index.
func (t *target) commit(conn connKey) types.Result {
	txn := t.txns[conn]
	delete(t.txns, conn)
	switch {
	case txn == nil || txn.failed:
		return types.Result{Err: types.TargetErrStatement}
	case len(txn.writes) == 0 && txn.claim == "":
		return types.Result{}
	case !t.primary:
		return types.Result{Err: types.TargetErrReadOnly}
	case txn.claim != "" && t.claimed(txn.claim):
		return types.Result{Err: types.TargetErrDuplicate}
	}
	t.append(entry{writes: txn.writes, claim: txn.claim})
	return types.Result{}
}

func (t *target) append(e entry) {
	e.term, e.at = t.term, t.sim.cluster.Now()
	t.log = append(t.log, e)
	for _, id := range e.writes {
		t.sim.oracle.recordExecuted(id)
	}
}

func (t *target) promote(term types.Term) types.Result {
	if term < t.term || term == t.term && !t.primary {
		return types.Result{Err: types.TargetErrStaleTerm, Status: t.status()}
	}
	if term == t.term {
		return types.Result{Status: t.startStatus}
	}
	t.term, t.primary, t.source = term, true, ""
	t.startStatus = t.status()
	t.append(entry{}) // distinguishes its log from that of an earlier primary
	return types.Result{Status: t.startStatus}
}

func (t *target) follow(op types.Operation) types.Result {
	if op.Term < t.term {
		return types.Result{Err: types.TargetErrStaleTerm, Status: t.status()}
	}
	t.term, t.primary, t.source = op.Term, false, op.Leader.Name
	for _, txn := range t.txns {
		txn.failed = true
	}
	return types.Result{Status: t.status()}
}

// pull truncates the log after the common prefix with the source, and copies the
// entries of the source that are older than the replication lag.
func (t *target) pull(source *target) {
	if !source.primary || source.term != t.term {
		return
	}
	same := 0
	for same < min(len(t.log), len(source.log)) && t.log[same].term == source.log[same].term {
		same++
	}
	t.log = slices.Clip(t.log[:same])
	for _, e := range source.log[same:] {
		if t.sim.cluster.Now()-e.at < t.lag {
			break
		}
		t.log = append(t.log, e)
	}
}
