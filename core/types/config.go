package types

import "time"

// FreshnessMode is the rule by which a profile bounds the age of the data that
// its reads return.
type FreshnessMode uint8

// The freshness modes.
const (
	// FreshPrimary sends every read to the primary.
	FreshPrimary FreshnessMode = iota
	// FreshSession lets a replica serve once it holds everything that the
	// session may have read or written.
	FreshSession
	// FreshAge lets a replica serve data that is at most MaxAge old and includes
	// the session's own writes.
	FreshAge
)

// Durability is how many members must hold a write before it is acknowledged.
type Durability uint8

// The levels of durability.
const (
	// DurableMajority waits until a majority of the group's members hold the
	// write.
	DurableMajority Durability = iota
	// DurablePrimary waits for the primary only. A promotion may lose such a
	// write.
	DurablePrimary
)

// Idempotence says which requests of a profile may be sent to a target more
// than once.
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

// Profile is a named policy that a session selects.
type Profile struct {
	Name           ProfileName
	Freshness      FreshnessMode
	MaxAge         time.Duration // bound of FreshAge
	Durability     Durability
	Idempotent     Idempotence
	RequestTimeout time.Duration // limit from arrival to answer
	QueueTimeout   time.Duration // maximum wait for a connection
	Objective      time.Duration // latency objective of a request; zero means none
	DrainTimeout   time.Duration // how long a leaving target may finish requests in flight
	Weight         int           // weight of the profile's requests in the queue, relative to other profiles
	Priority       int           // 0 is the highest; used if Config.PriorityOrder is set
}

// Service is the configuration of a database group.
type Service struct {
	Name           ServiceName
	Members        int // number of targets in the group
	Slots          int // statements that one member runs at a time
	Connections    int // connections that one member accepts
	DefaultProfile ProfileName
	Profiles       []ProfileName // profiles that its sessions may select

	// Managed says that an external promotion service promotes the targets. They
	// refuse writes once they are replaced, unless Config.Unfenced is set, and check
	// themselves whether they hold the position that a read requires. Members, Slots and Profiles may be
	// omitted then.
	Managed bool

	// SyncReplicas is the number of replicas that have received a commit before a managed
	// target acknowledges it. A promotion keeps all commits acknowledged that way.
	SyncReplicas int
}

// DatabaseName is the database name that a caller connects to.
type DatabaseName string

// Route maps a database name to the service and profile that serve it.
type Route struct {
	Database DatabaseName
	Service  ServiceName
	Profile  ProfileName

	// Anonymous says that callers without a key may use the route although the
	// configuration has organisations.
	Anonymous bool
}

// Config is one accepted version of the operators' configuration. It is
// immutable.
type Config struct {
	Version  uint64
	Services map[ServiceName]Service
	Profiles map[ProfileName]Profile
	Routes   map[DatabaseName]Route

	// Organisations own the callers. Without any, callers need no key and targets are
	// not told whose requests a connection carries.
	Organisations map[OrganisationName]Organisation

	// QuotaWindow is the length of the sliding windows in which the rates and bursts of
	// organisations hold.
	QuotaWindow time.Duration

	// PriorityOrder says that requests which wait for the same targets are served in the
	// order of the priorities of their profiles.
	PriorityOrder bool

	// TransactionIdle is how long a transaction may be idle between statements of
	// its caller; zero means no limit.
	TransactionIdle time.Duration

	// Unfenced says that managed targets may go on as primaries after they were
	// replaced. Then only the lease rules out another primary, as for services
	// that are not managed.
	Unfenced bool
}

// Managed reports whether an external promotion service promotes the targets of
// a service.
func (c *Config) Managed(service ServiceName) bool { return c != nil && c.Services[service].Managed }

// SelfFenced reports whether the targets of a service refuse what only the primary may
// do once they are replaced.
func (c *Config) SelfFenced(service ServiceName) bool { return c.Managed(service) && !c.Unfenced }

// Synchronous reports whether the targets of a managed service acknowledge a commit only
// once replicas have received it.
func (c *Config) Synchronous(service ServiceName) bool {
	return c.Managed(service) && c.Services[service].SyncReplicas > 0
}

// AllManaged reports whether there are services and every one is managed.
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

// Profile returns the named profile of a service, or the service's default
// profile if name is empty. It reports false for a profile that the sessions of
// the service may not select.
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
