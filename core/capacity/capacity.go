// Package capacity computes what each proxy may use of a target: its part of the slots
// and, for targets of managed services, of the connections. Proxies and the control
// leader compute the same from the number of proxies, so that shares need no messages
// while a target has free connections.
package capacity

import "github.com/camphorpaddle/camphorpaddle/core/types"

// Connections to each target that are reserved rather than divided.
const (
	// ControlConnections is the number of connections that the control hosts use.
	ControlConnections = 1
	// JoinConnections is reserved for the probes of a proxy that joins.
	JoinConnections = 1
)

// maxProxiesPerSlot bounds the proxies for each slot of a target up to which every
// proxy gets at least one slot. From this ratio on one exchange of each of half of
// the proxies is enough to fill the slots.
const maxProxiesPerSlot = 2

// Parts of a managed target's connections that the proxies together keep open while idle,
// in even parts. The rest is left for bursts.
const (
	keptFraction          = 2.0 / 3
	contendedKeptFraction = 1.0 / 2 // while nearly all are in use
)

// EvenPart returns part number at when total is split into n parts that differ by at
// most one.
func EvenPart(total, n, at int) int {
	part := total / n
	if at < total%n {
		part++
	}
	return part
}

// Crowded reports whether n proxies are so many for the slots of a target that each sends it
// only a small part of its work, and so learns late what its load is.
func Crowded(slots, n int) bool { return slots > 0 && n >= maxProxiesPerSlot*slots }

// Slots returns the part number at of a target's slots among n proxies. Below
// maxProxiesPerSlot each proxy gets at least one slot, even if the sum exceeds the
// slots, because callers do not spread evenly over proxies.
func Slots(slots, n, at int) int {
	part := EvenPart(slots, n, at)
	if part == 0 && n < maxProxiesPerSlot*slots {
		return 1
	}
	return part
}

// SlotsOf returns the slots of a target: those that it announced, or those of its
// service's configuration.
func SlotsOf(svc types.Service, t types.Target) int {
	if t.Slots > 0 {
		return t.Slots
	}
	return svc.Slots
}

// Managed returns how many connections of a target of a managed service all proxies
// together may use. Their probes have none of their own: a target that rejects a probe
// because of its limit works.
func Managed(svc types.Service) int {
	return max(0, svc.Connections-ControlConnections-JoinConnections)
}

// Kept returns how many idle connections to a managed target a proxy keeps open. It closes
// the others after a while. Where there are not enough for every proxy, none keeps any.
func Kept(svc types.Service, fleet types.Fleet) int {
	total := keptByAll(svc)
	if fleet.Proxies <= 0 || total < fleet.Proxies {
		return 0
	}
	return EvenPart(total, fleet.Proxies, fleet.Index)
}

// KeptByOthers returns the most that some of the n proxies keep together.
func KeptByOthers(svc types.Service, n, others int) int {
	total := keptByAll(svc)
	if n <= 0 || total < n {
		return 0
	}
	return others*(total/n) + min(others, total%n)
}

func keptByAll(svc types.Service) int { return int(keptFraction * float64(Managed(svc))) }

// KeptWhileContended returns how many idle connections each of n proxies keeps open at a
// contended target.
func KeptWhileContended(svc types.Service, n int) int {
	if n <= 0 {
		return 0
	}
	return int(contendedKeptFraction*float64(Managed(svc))) / n
}

// provisionalDivisor divides a managed target's connections for a proxy that does not
// know the number of proxies. It has just started, perhaps with all others, while the
// target still counts the connections of their earlier processes.
const provisionalDivisor = 8

// ManagedShare returns the share that each proxy has of a managed target with free
// connections: all of them, most of them shared with the other proxies. fleet is zero if
// the number of proxies is not known.
func ManagedShare(svc types.Service, t types.Target, fleet types.Fleet) types.Share {
	if fleet.Proxies == 0 {
		return types.Share{Connections: max(1, Managed(svc)/provisionalDivisor), Slots: 1}
	}
	connections := max(1, Managed(svc))
	return types.Share{
		Connections: connections, Shared: connections - Kept(svc, fleet),
		Slots: Slots(SlotsOf(svc, t), fleet.Proxies, fleet.Index),
	}
}
