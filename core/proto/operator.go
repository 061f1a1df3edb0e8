package proto

import "github.com/camphorpaddle/camphorpaddle/core/types"

// OperatorRequest is a call of an operator. Exactly one field is set.
type OperatorRequest struct {
	Change     *ChangeConfig
	Drain      *Drain
	Promote    *Promote
	RemoveHost *RemoveHost
	Status     *StatusRequest
	Announce   *Announcement
}

// Drain takes a target out of work, or back in.
type Drain struct {
	Ref types.TargetRef
	On  bool
}

// Promote asks for an ordered change of primary.
type Promote struct {
	Service types.ServiceName
	To      types.TargetName // empty lets control choose
}

// RemoveHost takes a control host out of the voters.
type RemoveHost struct {
	Host types.HostID
}

// StatusRequest asks for the state of the system.
type StatusRequest struct{}

// OperatorError is the kind of a refused operator call.
type OperatorError uint8

// The operator errors.
const (
	OpErrNone      OperatorError = iota
	OpErrNotLeader               // ask Leader instead
	OpErrConflict                // the change is based on another version
	OpErrNotFound                // no such service, target or host
	OpErrRefused                 // the call can't be done now
	OpErrUnknown                 // leadership was lost; the outcome is open
)

// OperatorReply answers an OperatorRequest.
type OperatorReply struct {
	Err    OperatorError
	Reason string
	Leader types.HostID
	// LeaderAddress is where the leader listens for other processes, if known.
	LeaderAddress types.Address
	Change        *ChangeResult
	Status        *Status
}

// Status is the state of the system as the answering control host sees it.
type Status struct {
	Host    types.HostID
	Leader  types.HostID
	Surely  bool // no other host can have been elected: what it shows is the latest
	Term    ControlTerm
	Commit  uint64
	Applied uint64
	// ConfigSince is the version of the view from which the configuration in
	// State is part of it.
	ConfigSince uint64
	Voters      []Voter
	State       ClusterState
	Proxies     []ProxyStatus
	Targets     []TargetReport
}

// ProxyStatus is what the leader knows of a proxy.
type ProxyStatus struct {
	Host             types.HostID
	AvailabilityZone types.AvailabilityZone
	LeaseLive        bool
	Have             uint64
	Seen             uint64
}
