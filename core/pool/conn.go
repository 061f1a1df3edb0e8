// Package pool holds a proxy's connections to the targets of one service and
// the queue of requests that wait for them. It only decides; the effects that
// dial, send and close are made by the caller of this package.
package pool

import "github.com/camphorpaddle/camphorpaddle/core/types"

// State is the state of a connection.
type State uint8

// The states of a connection.
const (
	Dialing State = iota
	Idle
	Taken // belongs to one session until it is released or dropped
)

// Conn is one connection to a target.
type Conn struct {
	ID      types.ConnID
	Ref     types.TargetRef
	Address types.Address
	Owner   types.SessionID // while taken
	setup   setup           // what sessions have left on it

	state    State
	seq      uint64 // number of the last exchange
	inFlight bool   // that exchange has no answer yet
}

// Begin starts an exchange and returns its number.
func (c *Conn) Begin() uint64 {
	c.seq++
	c.inFlight = true
	return c.seq
}

// Matches reports whether seq is the exchange under way.
func (c *Conn) Matches(seq uint64) bool { return c.inFlight && c.seq == seq }

// End marks the exchange under way as answered.
func (c *Conn) End() { c.inFlight = false }

// setup is what was set and prepared on a connection.
type setup struct {
	values   map[string]string
	prepared map[string]bool
}

// Prepare returns the operations that give the connection the state that a
// session needs, and takes them for done: a connection on which one fails is
// dropped.
func (c *Conn) Prepare(want *types.Setup) []types.Operation {
	var ops []types.Operation
	c.needs(want, func(op types.Operation) { ops = append(ops, op) })
	c.applied(ops)
	return ops
}

// missing returns how many operations Prepare would ask for.
func (c *Conn) missing(want *types.Setup) int {
	n := 0
	c.needs(want, func(types.Operation) { n++ })
	return n
}

// needs names the operations that give the connection the state that a session
// needs, in order.
func (c *Conn) needs(want *types.Setup, name func(types.Operation)) {
	if want == nil {
		want = &types.Setup{}
	}
	have := c.setup
	if !c.within(want.Settings) {
		name(types.Operation{Kind: types.OpReset})
		have = setup{}
	}
	for _, s := range want.Settings {
		if value, ok := have.values[s.Name]; !ok || value != s.Value {
			name(types.Operation{Kind: types.OpSetValue, Setting: s})
		}
	}
	if p := want.Prepared; p != nil && !have.prepared[p.Name] {
		name(types.Operation{Kind: types.OpPrepare, Statement: *p})
	}
}

// applied records operations that change the connection's state.
func (c *Conn) applied(ops []types.Operation) {
	for _, op := range ops {
		switch op.Kind {
		case types.OpReset:
			c.setup = setup{}
		case types.OpSetValue:
			if c.setup.values == nil {
				c.setup.values = make(map[string]string)
			}
			c.setup.values[op.Setting.Name] = op.Setting.Value
		case types.OpPrepare:
			if c.setup.prepared == nil {
				c.setup.prepared = make(map[string]bool)
			}
			c.setup.prepared[op.Statement.Name] = true
		}
	}
}

// within reports whether every value on the connection is one of a session's,
// so that nothing has to be dropped.
func (c *Conn) within(settings []types.Setting) bool {
	found := 0
	for _, s := range settings {
		if _, ok := c.setup.values[s.Name]; ok {
			found++
		}
	}
	return found == len(c.setup.values)
}

// State returns the state of the connection.
func (c *Conn) State() State { return c.state }
