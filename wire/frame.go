// Package wire carries the messages between the system's processes as CBOR frames
// over WebSocket. It makes no decisions: it encodes and queues outgoing frames and
// passes incoming ones to handlers.
package wire

import (
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Version is the version of the protocol. Both ends must use the same one.
const Version = 4

// Path is the URL path at which control hosts serve the protocol.
const Path = "/v1/peer"

// Role is the kind of a process at one end of a connection.
type Role uint8

// The roles of processes.
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

// content returns the kind of message in a frame, for logs.
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

// KeepAlive is sent on a connection without other frames, so that the other side
// does not close it.
type KeepAlive struct{}

// String returns the name of the role in logs.
func (r Role) String() string {
	switch r {
	case RoleControl:
		return "control"
	case RoleProxy:
		return "proxy"
	}
	return "unknown"
}
