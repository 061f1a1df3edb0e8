// Package types holds the values that every part of the reducer shares. It
// knows nothing of any protocol or encoding.
package types

import "time"

// HostID is the identity of one process of the system on one host. A process
// whose data folder was lost comes back under a new identity.
type HostID string

// AvailabilityZone names a failure domain within a region.
type AvailabilityZone string

// ServiceName names a database group and the service that uses it.
type ServiceName string

// TargetName names one member of a database group. It is unique in its service.
type TargetName string

// ProfileName names a profile in the configuration.
type ProfileName string

// SessionID identifies a caller's session within one shard.
type SessionID uint64

// ConnID identifies a connection to a target within one shard.
type ConnID uint64

// RequestSeq numbers the requests of one session.
type RequestSeq uint64

// RequestID is the identity that a caller gives to a request that must run at
// most once.
type RequestID string

// ChangeID is the identity that an operator gives to a configuration change.
type ChangeID string

// Term numbers the reigns of primaries in one group. It only grows.
type Term uint64

// Instant is a reading of the monotonic clock of one process, in nanoseconds.
// Instants of different processes can't be compared.
type Instant int64

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Address is a host and port by IP number.
type Address string

// TargetRef names a target across services.
type TargetRef struct {
	Service ServiceName
	Name    TargetName
}

// String returns service/name.
func (r TargetRef) String() string { return string(r.Service) + "/" + string(r.Name) }
