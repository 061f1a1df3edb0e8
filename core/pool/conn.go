// Package pool keeps track of a proxy's connections to the targets of one service. It only
// decides: the code that uses the package emits the effects that dial, send and close.
package pool

import "github.com/camphorpaddle/camphorpaddle/core/types"

// State is the state of a connection.
type State uint8

// The states of a connection.
const (
	Dialing State = iota
	Idle
	InUse // used by one session until it is released or dropped
)

// Conn is one connection to a target. It serves one organisation until it is closed, since
// the target was told the organisation's name when it was opened.
type Conn struct {
	ID           types.ConnID
	Ref          types.TargetRef
	Address      types.Address
	Organisation types.OrganisationName // empty for callers without one
	Owner        types.SessionID        // session that uses it, while in use
	setup        setup                  // settings and prepared statements that exist on it

	state     State
	idleSince types.Instant // while idle
	seq       uint64        // number of the last exchange
	inFlight  bool          // the last exchange has no answer yet
}

// BeginExchange starts an exchange, which is a sequence of operations and its answer, and returns
// its number.
func (c *Conn) BeginExchange() uint64 {
	c.seq++
	c.inFlight = true
	return c.seq
}

// Matches reports whether seq is the exchange in flight.
func (c *Conn) Matches(seq uint64) bool { return c.inFlight && c.seq == seq }

// EndExchange marks the exchange in flight as answered.
func (c *Conn) EndExchange() { c.inFlight = false }

// setup holds the settings and prepared statements of a connection.
type setup struct {
	unknown  bool // an operation that would have changed it failed
	values   map[string]string
	prepared map[string]bool
}

// Missing returns the operations that give the connection the setup that a session
// needs.
func (c *Conn) Missing(want *types.Setup) []types.Operation {
	var ops []types.Operation
	c.visitMissing(want, func(op types.Operation) { ops = append(ops, op) })
	return ops
}

// HasSetup reports whether the connection has the setup that a session needs.
func (c *Conn) HasSetup(want *types.Setup) bool { return c.missingCount(want) == 0 }

// missingCount returns the number of operations that Missing would return.
func (c *Conn) missingCount(want *types.Setup) int {
	n := 0
	c.visitMissing(want, func(types.Operation) { n++ })
	return n
}

// visitMissing calls visit, in order, for each operation that gives the connection the
// setup that a session needs.
func (c *Conn) visitMissing(want *types.Setup, visit func(types.Operation)) {
	if want == nil {
		want = &types.Setup{}
	}
	have := c.setup
	if !c.hasOnly(want.Settings) {
		visit(types.Operation{Kind: types.OpReset})
		have = setup{}
	}
	for _, s := range want.Settings {
		if value, ok := have.values[s.Name]; !ok || value != s.Value {
			visit(types.Operation{Kind: types.OpSetValue, Setting: s})
		}
	}
	if p := want.Prepared; p != nil && !have.prepared[p.Name] {
		visit(types.Operation{Kind: types.OpPrepare, Statement: *p})
	}
}

// RecordSetup updates the setup of the connection after operations that Missing returned
// have succeeded.
func (c *Conn) RecordSetup(ops []types.Operation) {
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

// ForgetSetup records that the setup of the connection is unknown, since an operation that
// would have changed it failed. The connection is reset before its next use.
func (c *Conn) ForgetSetup() { c.setup = setup{unknown: true} }

// hasOnly reports whether every setting on the connection is also one of settings, so
// that the connection needn't be reset.
func (c *Conn) hasOnly(settings []types.Setting) bool {
	if c.setup.unknown {
		return false
	}
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
