package types

import "time"

// FreshnessMode says how a profile bounds the age of what its reads return.
type FreshnessMode uint8

// The freshness modes.
const (
	// FreshPrimary sends every read to the primary.
	FreshPrimary FreshnessMode = iota
	// FreshSession lets a replica serve once it holds what the session may
	// have seen or written.
	FreshSession
	// FreshAge lets a replica serve data of at most MaxAge, and never older
	// than the session's own writes.
	FreshAge
)

// Durability says what a write must have reached before it is acknowledged.
type Durability uint8

// The durabilities.
const (
	// DurableMajority waits until a majority of the group's members hold the
	// write.
	DurableMajority Durability = iota
	// DurablePrimary waits for the primary alone. A promotion may lose such a
	// write.
	DurablePrimary
)

// Idempotence says which requests of a profile may be sent twice.
type Idempotence uint8

// The kinds of idempotence.
const (
	// IdempotentNone marks no request as repeatable.
	IdempotentNone Idempotence = iota
	// IdempotentReads marks declared reads as repeatable.
	IdempotentReads
	// IdempotentAll marks every request outside a transaction as repeatable.
	IdempotentAll
)

// Profile is a named policy that a session picks.
type Profile struct {
	Name           ProfileName
	Freshness      FreshnessMode
	MaxAge         time.Duration // bound of FreshAge
	Durability     Durability
	Idempotent     Idempotence
	RequestTimeout time.Duration // from arrival to answer
	QueueTimeout   time.Duration // longest wait for a connection
	Objective      time.Duration // within which callers want their answers; zero states none
	DrainTimeout   time.Duration // time a leaving target may work on
	Weight         int           // share of the queue against other profiles
}

// Service is a database group as the operators configure it.
type Service struct {
	Name           ServiceName
	Members        int // size of the group
	Slots          int // statements that one member runs at a time
	Connections    int // connections that one member accepts
	DefaultProfile ProfileName
	Profiles       []ProfileName // profiles that its sessions may pick

	// Managed marks targets that an outside service promotes. They refuse
	// writes once they are replaced, and check themselves whether they hold
	// the position that a read has to cover. Members, Slots and Profiles may be
	// left out then.
	Managed bool
}

// DatabaseName is the name that a caller connects to.
type DatabaseName string

// Route says which service and profile serve a database name.
type Route struct {
	Database DatabaseName
	Service  ServiceName
	Profile  ProfileName
}

// Config is one accepted version of the operators' configuration. It is never
// changed once built.
type Config struct {
	Version  uint64
	Services map[ServiceName]Service
	Profiles map[ProfileName]Profile
	Routes   map[DatabaseName]Route

	// TransactionIdle is how long a transaction may wait for its caller's next
	// statement; zero sets no limit.
	TransactionIdle time.Duration
}

// Managed reports whether an outside service promotes the targets of a service.
func (c *Config) Managed(service ServiceName) bool { return c != nil && c.Services[service].Managed }

// AllManaged reports whether every service is a managed one.
func (c *Config) AllManaged() bool {
	if c == nil || len(c.Services) == 0 {
		return false
	}
	for _, s := range c.Services {
		if !s.Managed {
			return false
		}
	}
	return true
}

// Profile returns the profile that a session of service picked, or the default
// one when name is empty.
func (c *Config) Profile(service ServiceName, name ProfileName) (Profile, bool) {
	svc, ok := c.Services[service]
	if !ok {
		return Profile{}, false
	}
	if name == "" {
		name = svc.DefaultProfile
	}
	for _, allowed := range svc.Profiles {
		if allowed == name {
			p, ok := c.Profiles[name]
			return p, ok
		}
	}
	return Profile{}, false
}
