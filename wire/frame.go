// Package wire carries the messages between the system's processes: CBOR
// frames over WebSocket. It decides nothing: it encodes, queues, and hands over
// what came in.
package wire

import (
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Version is the version of the protocol. Both ends must speak the same one.
const Version = 2

// Path is where control hosts serve the protocol.
const Path = "/v1/peer"

// Role says what kind of process opened a connection.
type Role uint8

// The roles.
const (
	RoleControl Role = iota + 1
	RoleProxy
)

// Hello is the first frame in each direction.
type Hello struct {
	Version uint32
	Host    types.HostID
	Role    Role
	Key     string // cluster key; a server does not send it back
}

// Frame is one message on a connection. Exactly one field is set.
type Frame struct {
	Hello        *Hello
	Message      *proto.Message
	LeaseRequest *proto.LeaseRequest
	LeaseGrant   *proto.LeaseGrant
	KeepAlive    *KeepAlive
}

// content names what a frame carries, for logs.
func (f *Frame) content() string {
	switch {
	case f.Message != nil && f.Message.Snapshot != nil:
		return "snapshot"
	case f.Message != nil:
		return "consensus"
	case f.LeaseGrant != nil && f.LeaseGrant.View != nil:
		return "view"
	case f.LeaseGrant != nil:
		return "grant"
	case f.LeaseRequest != nil:
		return "lease request"
	}
	return "other"
}

// KeepAlive shows that a connection without other frames still works.
type KeepAlive struct{}

// String returns the role as logs show it.
func (r Role) String() string {
	switch r {
	case RoleControl:
		return "control"
	case RoleProxy:
		return "proxy"
	}
	return "unknown"
}
