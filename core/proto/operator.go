package proto

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// OperatorRequest is a call of an operator. Exactly one field is set.
type OperatorRequest struct {
	Change     *ChangeConfig
	Drain      *Drain
	Promote    *Promote
	RemoveHost *RemoveHost
	Status     *StatusRequest
	Announce   *Announcement
}

// Drain drains a target, or ends its drain.
type Drain struct {
	Ref types.TargetRef
	On  bool // true drains the target, false ends its drain
}

// Promote requests an ordered change of primary.
type Promote struct {
	Service types.ServiceName
	To      types.TargetName // empty lets the control leader choose
}

// RemoveHost removes a control host from the voters and learners.
type RemoveHost struct {
	Host types.HostID
}

// StatusRequest requests the state of the system.
type StatusRequest struct{}

// OperatorError is the reason why an operator call was refused.
type OperatorError uint8

// The operator errors.
const (
	OpErrNone      OperatorError = iota
	OpErrNotLeader               // ask Leader instead
	OpErrConflict                // the change was not accepted, mostly because its base isn't the current version
	OpErrNotFound                // no such service, target or host
	OpErrRefused                 // the call can't be executed now
	OpErrUnknown                 // leadership was lost; the outcome is unknown
)

// OperatorReply answers an OperatorRequest.
type OperatorReply struct {
	Err    OperatorError
	Reason string
	Leader types.HostID
	// LeaderAddress is the leader's address for other processes, if known.
	LeaderAddress types.Address
	Change        *ChangeResult
	Status        *Status
}

// Status is the state of the system as the answering control host sees it.
type Status struct {
	Host          types.HostID
	Leader        types.HostID
	Authoritative bool // no other host can have been elected, so the status is up to date
	Term          ControlTerm
	Commit        uint64 // the same as Applied
	Applied       uint64 // index of the last applied entry of the control log
	// ConfigSince is the first version of the view that includes the
	// configuration in State.
	ConfigSince   uint64
	Voters        []Voter
	State         ClusterState
	Proxies       []ProxyStatus
	Targets       []TargetReport
	Organisations []OrganisationUse // those with a limit; only of the leader
}

// OrganisationUse is how much of an organisation's limit the proxies hold and use.
type OrganisationUse struct {
	Organisation types.OrganisationName
	Limit        int // operations within Period
	Held         int // of Limit, those that proxies may begin
	Used         int // of Held, those that began within Period, as last reported
	Period       time.Duration
}

// ProxyStatus is the state of a proxy as the leader knows it.
type ProxyStatus struct {
	Host             types.HostID
	AvailabilityZone types.AvailabilityZone
	LeaseLive        bool
	ViewVersion      uint64 // version of the view that the proxy holds
	AppliedVersion   uint64 // version that all shards of the proxy have applied
}
