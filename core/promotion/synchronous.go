package promotion

import (
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// successorTimeout is how long a successor of a member that was removed is awaited at its
// address. Until it has announced itself, nobody knows whether a log that it takes over
// holds commits that no other member has.
const successorTimeout = 10 * time.Second

// departure is a member that was removed.
type departure struct {
	address types.Address
	at      types.Instant
}

// recordDeparture records a member that was removed.
func (gr *group) recordDeparture(now types.Instant, g *types.Group, t types.Target) {
	gr.dropDepartures(now, g)
	gr.departures = append(gr.departures, departure{address: t.Address, at: now})
}

// dropDepartures forgets the members whose successors have joined or are not awaited any
// more.
func (gr *group) dropDepartures(now types.Instant, g *types.Group) {
	gr.departures = slices.DeleteFunc(gr.departures, func(d departure) bool {
		joined := slices.ContainsFunc(g.Members, func(t types.Target) bool { return t.Address == d.address })
		return joined || now.Sub(d.at) >= successorTimeout
	})
}

// holdsAcknowledged reports whether the positions that are known show that a member holds
// every commit that was acknowledged after Service.SyncReplicas replicas had received it.
// That has to be shown for each member that may have been the primary: any but the last
// one may have become it by a promotion request that was executed without an answer.
func (m *Manager) holdsAcknowledged(now types.Instant, g *types.Group, gr *group, t types.Target) bool {
	syncReplicas := m.state.Config().Services[g.Service].SyncReplicas
	if syncReplicas == 0 {
		return true
	}
	gr.dropDepartures(now, g)
	a, holders := gr.attempt, syncReplicas-len(gr.departures) // that are still members, at least
	if g.LastPrimary != "" && !a.coversReplicas(now, g, t, g.LastPrimary, holders) {
		return false
	}
	for _, primary := range g.Members {
		if !a.coversReplicas(now, g, t, primary.Name, holders) {
			return false
		}
	}
	return true
}

const (
	// returnFailures is after how many failed requests for its position a member that
	// answers may have started anew meanwhile.
	returnFailures = 2
	// returnNotice is how long such a member may take to announce that.
	returnNotice = 2 * time.Second
)

// recordAnswer records that a member has answered.
func (a *attempt) recordAnswer(now types.Instant, name types.TargetName) {
	if _, returned := a.returnedAt[name]; !returned && a.failedCalls[name] >= returnFailures {
		a.returnedAt[name] = now
	}
	delete(a.failures, name)
	delete(a.failedCalls, name)
}

// showsLog reports whether the position of a member shows all that it ever received: it has
// its log since then, and if it may have started anew, it would have said so by now. The
// last primary comes back with its log.
func (a *attempt) showsLog(now types.Instant, g *types.Group, t types.Target) bool {
	at, returned := a.returnedAt[t.Name]
	return !t.LogIncomplete && (!returned || now.Sub(at) >= returnNotice || t.Name == g.LastPrimary)
}

// coversReplicas reports whether a member holds what a primary acknowledged: it holds all
// that the primary itself holds, or all that each of the other members holds but for fewer
// than holders.
func (a *attempt) coversReplicas(now types.Instant, g *types.Group, t types.Target, primary types.TargetName, holders int) bool {
	replicas, covered := 0, 0
	for _, other := range g.Members {
		s, ok := a.statuses[other.Name]
		holds := ok && a.showsLog(now, g, other) && s.Pos.Compare(a.statuses[t.Name].Pos) <= 0
		if other.Name == primary {
			if holds {
				return true
			}
			continue
		}
		replicas++
		if holds {
			covered++
		}
	}
	return covered > replicas-holders
}
