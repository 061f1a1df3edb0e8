package systemtest

import (
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// writeID numbers the writes of a test.
type writeID int

// Statements that callers send as payloads.
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

// committed answers a commit that took hold.
const committed = "committed"

// callerOf returns who sent a statement.
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

// txn is an open transaction on a connection.
type txn struct {
	writes []writeID
	claim  types.RequestID
	failed bool
	caller string // whose statements it holds
	own    bool   // the caller began it
}

// exchange asks a target for operations and says where the results go.
type exchange struct {
	event.Event
	conn  connKey
	ops   []types.Operation
	reply func([]types.Result)
	close bool // the connection was closed
	sent  time.Duration
}

// target is a member of the database group. Its log outlives a crash.
type target struct {
	world   *world
	name    types.TargetName
	term    types.Term
	primary bool
	began   types.TargetStatus // before the first entry of its term
	leader  types.TargetName
	lag     time.Duration // of what it replicates
	log     []entry
	open    map[connKey]*txn // nil outside a transaction
	starts  int              // connections end with each
	left    *departure       // set while it announces that it leaves
}

func (t *target) host() types.HostID { return types.HostID(t.name) }

// Step runs exchanges.
func (t *target) Step(in event.Input) []effect.Effect {
	if e, ok := in.Event.(exchange); ok {
		if e.close {
			delete(t.open, e.conn)
			return nil
		}
		t.checkLeaving(e)
		results := make([]types.Result, len(e.ops))
		for i, op := range e.ops {
			t.checkOwner(e.conn, op)
			results[i] = t.run(e.conn, op)
			results[i].Tx = t.tx(e.conn)
		}
		e.reply(results)
	}
	return nil
}

// checkOwner checks that a transaction holds operations of one session only.
func (t *target) checkOwner(conn connKey, op types.Operation) {
	x := t.open[conn]
	if x == nil || op.Kind == types.OpPosition {
		return
	}
	if op.Kind != types.OpCaller {
		if x.own {
			t.world.t.Fatalf("operation %d on %v within the transaction of %s", op.Kind, conn, x.caller)
		}
		return
	}
	switch who := callerOf(op.Payload); x.caller {
	case "":
		x.caller = who
	case who:
	default:
		t.world.t.Fatalf("a statement of %s on %v within the transaction of %s", who, conn, x.caller)
	}
}

func (t *target) tx(conn connKey) types.TxStatus {
	switch x := t.open[conn]; {
	case x == nil:
		return types.TxIdle
	case x.failed:
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

func (t *target) run(conn connKey, op types.Operation) types.Result {
	switch op.Kind {
	case types.OpCaller:
		return t.statement(conn, op.Payload)
	case types.OpBegin:
		t.open[conn] = &txn{}
	case types.OpRollback:
		delete(t.open, conn)
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
	x := t.open[conn]
	if x != nil && x.failed {
		return t.failedStatement(conn, payload)
	}
	switch p := payload.(type) {
	case begin:
		t.open[conn] = &txn{caller: p.caller, own: true}
	case rollback:
		delete(t.open, conn)
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
		if x != nil {
			x.writes = append(x.writes, p.id)
			return types.Result{}
		}
		t.append(entry{writes: []writeID{p.id}})
	}
	return types.Result{}
}

// failedStatement answers a statement in a failed transaction, which only its
// end leaves.
func (t *target) failedStatement(conn connKey, payload types.Payload) types.Result {
	switch payload.(type) {
	case commit, rollback:
		delete(t.open, conn)
	}
	return types.Result{Err: types.TargetErrStatement}
}

func (t *target) claim(conn connKey, id types.RequestID) types.Result {
	x := t.open[conn]
	if x == nil || !t.primary {
		return types.Result{Err: types.TargetErrReadOnly}
	}
	if t.claimed(id) {
		x.failed = true
		return types.Result{Err: types.TargetErrDuplicate}
	}
	x.claim = id
	return types.Result{}
}

func (t *target) claimed(id types.RequestID) bool {
	return slices.ContainsFunc(t.log, func(e entry) bool { return e.claim == id })
}

// commit appends a transaction. Of two that claim one id the second fails, as
// a unique index has it.
func (t *target) commit(conn connKey) types.Result {
	x := t.open[conn]
	delete(t.open, conn)
	switch {
	case x == nil || x.failed:
		return types.Result{Err: types.TargetErrStatement}
	case len(x.writes) == 0 && x.claim == "":
		return types.Result{}
	case !t.primary:
		return types.Result{Err: types.TargetErrReadOnly}
	case x.claim != "" && t.claimed(x.claim):
		return types.Result{Err: types.TargetErrDuplicate}
	}
	t.append(entry{writes: x.writes, claim: x.claim})
	return types.Result{}
}

func (t *target) append(e entry) {
	e.term, e.at = t.term, t.world.cluster.Now()
	t.log = append(t.log, e)
	for _, id := range e.writes {
		t.world.oracle.applied(id)
	}
}

func (t *target) promote(term types.Term) types.Result {
	if term < t.term || term == t.term && !t.primary {
		return types.Result{Err: types.TargetErrStaleTerm, Status: t.status()}
	}
	if term == t.term {
		return types.Result{Status: t.began}
	}
	t.term, t.primary, t.leader = term, true, ""
	t.began = t.status()
	t.append(entry{}) // tells its log from that of an earlier primary
	return types.Result{Status: t.began}
}

func (t *target) follow(op types.Operation) types.Result {
	if op.Term < t.term {
		return types.Result{Err: types.TargetErrStaleTerm, Status: t.status()}
	}
	t.term, t.primary, t.leader = op.Term, false, op.Leader.Name
	for _, x := range t.open {
		x.failed = true
	}
	return types.Result{Status: t.status()}
}

// pull copies from the leader what is older than the lag.
func (t *target) pull(leader *target) {
	if !leader.primary || leader.term != t.term {
		return
	}
	same := 0
	for same < min(len(t.log), len(leader.log)) && t.log[same].term == leader.log[same].term {
		same++
	}
	t.log = slices.Clip(t.log[:same])
	for _, e := range leader.log[same:] {
		if t.world.cluster.Now()-e.at < t.lag {
			break
		}
		t.log = append(t.log, e)
	}
}
