package inproc

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/gravitational/trace"
)

// Memory is a database group in memory, for tests and examples. Its members
// understand SET key value, GET key, BEGIN, COMMIT and ROLLBACK.
type Memory struct {
	mu      sync.Mutex
	primary types.TargetName
	members map[types.TargetName]*memoryMember
	paused  map[types.TargetName]bool // replicas that get no entries
}

// memoryMember is a member: its log and what the log says.
type memoryMember struct {
	log    []change
	values map[string]string
}

// change is one entry of a log.
type change struct{ key, value string }

// NewMemory returns a group in term 1 whose first member is the primary.
func NewMemory(members ...types.TargetName) *Memory {
	m := &Memory{
		primary: members[0],
		members: make(map[types.TargetName]*memoryMember),
		paused:  make(map[types.TargetName]bool),
	}
	for _, name := range members {
		m.members[name] = &memoryMember{values: make(map[string]string)}
	}
	return m
}

// Group describes the group to a proxy.
func (m *Memory) Group(service types.ServiceName) *types.Group {
	g := &types.Group{
		Service: service, Term: 1, Phase: types.GroupServing, Primary: m.primary,
		History: types.TermHistory{{Term: 1}},
	}
	for name := range m.members {
		g.Members = append(g.Members, types.Target{Name: name, Address: types.Address(name)})
	}
	return g
}

// Pause stops replication to a replica, or lets it go on.
func (m *Memory) Pause(name types.TargetName, paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused[name] = paused
	m.replicate()
}

// replicate brings the replicas up to the primary.
func (m *Memory) replicate() {
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

// Dial implements runtime.TargetDialer.
func (m *Memory) Dial(_ context.Context, ref types.TargetRef, _ types.Address) (*MemoryConn, error) {
	if _, ok := m.members[ref.Name]; !ok {
		return nil, trace.NotFound("the group has no member %s", ref.Name)
	}
	return &MemoryConn{group: m, name: ref.Name}, nil
}

// MemoryConn is a connection to a member.
type MemoryConn struct {
	group *Memory
	name  types.TargetName
	open  bool
	wrote []change // of the open transaction
}

// Close drops the connection and rolls its transaction back.
func (c *MemoryConn) Close() {}

// Exchange runs the operations in order.
func (c *MemoryConn) Exchange(ctx context.Context, ops []types.Operation) ([]types.Result, bool, error) {
	if err := ctx.Err(); err != nil {
		return nil, false, trace.Wrap(err)
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	var results []types.Result
	for _, op := range ops {
		r := c.run(op)
		if c.open {
			r.Tx = types.TxOpen
		}
		results = append(results, r)
	}
	return results, true, nil
}

// Keys under which claims and their answers are kept beside the data.
const (
	claimPrefix  = "\x00claim "
	answerPrefix = "\x00answer "
)

func (c *MemoryConn) run(op types.Operation) types.Result {
	member := c.group.members[c.name]
	id := string(op.RequestID)
	switch op.Kind {
	case types.OpCaller:
		return c.statement(strings.Fields(op.Payload.(string)))
	case types.OpPosition:
		pos := types.LogPos{Term: 1, Offset: uint64(len(member.log))}
		return types.Result{Status: types.TargetStatus{Term: 1, Primary: c.name == c.group.primary, Pos: pos}}
	case types.OpBegin:
		c.open = true
	case types.OpCommit:
		c.commit()
	case types.OpRollback:
		c.open, c.wrote = false, nil
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

func (c *MemoryConn) statement(words []string) types.Result {
	switch {
	case len(words) == 1 && words[0] == "BEGIN":
		c.open = true
	case len(words) == 1 && words[0] == "COMMIT":
		c.commit()
	case len(words) == 1 && words[0] == "ROLLBACK":
		c.open, c.wrote = false, nil
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

// write adds to the open transaction, or commits at once without one.
func (c *MemoryConn) write(key, value string) {
	c.wrote = append(c.wrote, change{key, value})
	if !c.open {
		c.commit()
	}
}

func (c *MemoryConn) commit() {
	c.group.members[c.name].apply(c.wrote)
	c.open, c.wrote = false, nil
	c.group.replicate()
}
