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

// State returns the state of the connection.
func (c *Conn) State() State { return c.state }
