package inproc

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/gravitational/trace"
)

// MemoryGroup is a database group in memory, for tests and examples. Its
// members support SET key value, GET key, BEGIN, COMMIT and ROLLBACK.
type MemoryGroup struct {
	mu      sync.Mutex
	primary types.TargetName
	members map[types.TargetName]*memoryMember
	paused  map[types.TargetName]bool // replicas whose replication is paused
}

// memoryMember is one member: its log and the values that result from it.
type memoryMember struct {
	log    []change
	values map[string]string
}

// change is one log entry.
type change struct{ key, value string }

// NewMemoryGroup returns a group in term 1 whose first member is the primary.
func NewMemoryGroup(members ...types.TargetName) *MemoryGroup {
	m := &MemoryGroup{
		primary: members[0],
		members: make(map[types.TargetName]*memoryMember),
		paused:  make(map[types.TargetName]bool),
	}
	for _, name := range members {
		m.members[name] = &memoryMember{values: make(map[string]string)}
	}
	return m
}

// Group returns the group as the control component of a proxy sees it.
func (m *MemoryGroup) Group(service types.ServiceName) *types.Group {
	g := &types.Group{
		Service: service, Term: 1, Phase: types.GroupServing, Primary: m.primary,
		History: types.TermHistory{{Term: 1}},
	}
	for name := range m.members {
		g.Members = append(g.Members, types.Target{Name: name, Address: types.Address(name)})
	}
	return g
}

// SetPaused stops or resumes replication to a replica.
func (m *MemoryGroup) SetPaused(name types.TargetName, paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused[name] = paused
	m.replicate()
}

// replicate sends the replicas the log entries that they lack.
func (m *MemoryGroup) replicate() {
	log := m.members[m.primary].log
	for name, member := range m.members {
		if !m.paused[name] {
			member.apply(log[len(member.log):])
		}
	}
}

func (m *memoryMember) apply(changes []change) {
	for _, c := range changes {
		m.log = append(m.log, c)
		m.values[c.key] = c.value
	}
}

// Dial opens a connection to a member. Wrap it to return a runtime.TargetConn
// where a runtime.TargetDialer is needed.
func (m *MemoryGroup) Dial(_ context.Context, ref types.TargetRef, _ types.Address) (*MemoryConn, error) {
	if _, ok := m.members[ref.Name]; !ok {
		return nil, trace.NotFound("the group has no member %s", ref.Name)
	}
	return &MemoryConn{group: m, name: ref.Name}, nil
}

// MemoryConn is a connection to one member.
type MemoryConn struct {
	group         *MemoryGroup
	name          types.TargetName
	inTransaction bool
	uncommitted   []change // changes of the open transaction
}

// Close does nothing: the changes of an open transaction exist only in the
// connection and are dropped with it.
func (c *MemoryConn) Close() {}

// Exchange executes the operations in order.
func (c *MemoryConn) Exchange(ctx context.Context, ops []types.Operation) ([]types.Result, bool, error) {
	if err := ctx.Err(); err != nil {
		return nil, false, trace.Wrap(err)
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	var results []types.Result
	for _, op := range ops {
		r := c.execute(op)
		if c.inTransaction {
			r.Tx = types.TxOpen
		}
		results = append(results, r)
	}
	return results, true, nil
}

// Prefixes of the keys that hold claims and recorded answers among the data.
const (
	claimPrefix  = "\x00claim "
	answerPrefix = "\x00answer "
)

func (c *MemoryConn) execute(op types.Operation) types.Result {
	member := c.group.members[c.name]
	id := string(op.RequestID)
	switch op.Kind {
	case types.OpCaller:
		return c.executeStatement(strings.Fields(op.Payload.(string)))
	case types.OpPosition:
		pos := types.LogPos{Term: 1, Offset: uint64(len(member.log))}
		return types.Result{Status: types.TargetStatus{Term: 1, Primary: c.name == c.group.primary, Pos: pos}}
	case types.OpBegin:
		c.inTransaction = true
	case types.OpCommit:
		c.commit()
	case types.OpRollback:
		c.inTransaction, c.uncommitted = false, nil
	case types.OpClaim:
		if _, ok := member.values[claimPrefix+id]; ok {
			return types.Result{Err: types.TargetErrDuplicate}
		}
		c.write(claimPrefix+id, "")
	case types.OpRecordAnswer:
		c.write(answerPrefix+id, op.Payload.(string))
	case types.OpLookup:
		answer, ok := member.values[answerPrefix+id]
		return types.Result{Payload: answer, Found: ok}
	}
	return types.Result{}
}

func (c *MemoryConn) executeStatement(words []string) types.Result {
	switch {
	case len(words) == 1 && words[0] == "BEGIN":
		c.inTransaction = true
	case len(words) == 1 && words[0] == "COMMIT":
		c.commit()
	case len(words) == 1 && words[0] == "ROLLBACK":
		c.inTransaction, c.uncommitted = false, nil
	case len(words) == 2 && words[0] == "GET":
		return types.Result{Payload: c.group.members[c.name].values[words[1]]}
	case len(words) == 3 && words[0] == "SET" && c.name != c.group.primary:
		return types.Result{Err: types.TargetErrReadOnly, Payload: "replicas are read-only"}
	case len(words) == 3 && words[0] == "SET":
		c.write(words[1], words[2])
	default:
		return types.Result{Err: types.TargetErrStatement, Payload: fmt.Sprintf("unknown statement %q", strings.Join(words, " "))}
	}
	return types.Result{Payload: "OK"}
}

// write adds a change to the open transaction, or commits it at once if none is
// open.
func (c *MemoryConn) write(key, value string) {
	c.uncommitted = append(c.uncommitted, change{key, value})
	if !c.inTransaction {
		c.commit()
	}
}

func (c *MemoryConn) commit() {
	c.group.members[c.name].apply(c.uncommitted)
	c.inTransaction, c.uncommitted = false, nil
	c.group.replicate()
}
