// Package types defines the values that all parts of the reducer share. It is
// independent of protocols and encodings.
package types

import (
	"cmp"
	"strings"
	"time"
)

// HostID identifies one process of the system on one host. A process whose data
// folder was lost restarts under a new identity.
type HostID string

// ProcessSeparator stands between the configured name of a host and what tells its
// processes apart.
const ProcessSeparator = "."

// Name returns the configured name, which all processes on the host have in common.
func (h HostID) Name() HostID {
	if at := strings.LastIndex(string(h), ProcessSeparator); at > 0 {
		return h[:at]
	}
	return h
}

// AvailabilityZone names a failure domain within a region.
type AvailabilityZone string

// ServiceName names a service and its database group.
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

// RequestID identifies a request that must run at most once. The caller chooses
// it.
type RequestID string

// ChangeID identifies a configuration change. The operator chooses it.
type ChangeID string

// Term numbers the periods in which one group has a given primary. It never
// decreases.
type Term uint64

// Instant is a reading of the monotonic clock of one process, in nanoseconds.
// Instants of different processes are not comparable.
type Instant int64

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Address is an IP address and port, as host:port.
type Address string

// TargetRef identifies a target among those of all services.
type TargetRef struct {
	Service ServiceName
	Name    TargetName
}

// String returns service/name.
func (r TargetRef) String() string { return string(r.Service) + "/" + string(r.Name) }

// Compare orders references by service, then by name.
func (r TargetRef) Compare(other TargetRef) int {
	return cmp.Or(strings.Compare(string(r.Service), string(other.Service)), strings.Compare(string(r.Name), string(other.Name)))
}
