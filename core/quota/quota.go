// Package quota computes what the limit of an organisation allows, and admits the
// operations of organisations in a traffic shard. The limit is divided in rights: a
// right allows one operation to begin in any period.
package quota

import (
	"math"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// minRights is how many rights an organisation keeps when the window is split into
	// periods, so that chance does not bring its callers to the limit.
	minRights = 96
	// minPeriod is the shortest period.
	minPeriod = time.Second
	// minBurstDivisor is the part of the rights that may be used at once at least.
	minBurstDivisor = 3
	// maxRights bounds the rights of one organisation, so that sums of them fit an int.
	maxRights = 1 << 30
)

// Limit is the limit of an organisation as it is divided. Its window is a whole number of
// periods, so that no window holds more operations than rate × window + burst.
type Limit struct {
	Rights int           // operations that may begin in any period; zero without a limit
	Period time.Duration // shorter than the window if the organisation has many operations
	Rate   float64       // operations a second
	Burst  int           // operations that may begin at once after a calm
}

// LimitOf returns the limit of an organisation in windows of the given length, or false if
// it has none. Without windows there are no limits.
func LimitOf(o types.Organisation, window time.Duration) (Limit, bool) {
	if o.Rate <= 0 || window <= 0 {
		return Limit{}, false
	}
	total := min(math.Floor(o.Rate*window.Seconds()+float64(o.Burst)), maxRights)
	periods := min(math.Floor(total/minRights), math.Floor(window.Seconds()/minPeriod.Seconds()))
	if o.Burst > 0 {
		periods = min(periods, math.Floor(total/float64(o.Burst)))
	}
	periods = max(periods, 1)
	return Limit{
		Rights: int(total / periods), Period: time.Duration(float64(window) / periods), Rate: o.Rate,
		Burst: max(o.Burst, int(total/periods)/minBurstDivisor),
	}, true
}

// pacedRights is how many rights an organisation may have whose operations are not paced.
const pacedRights = 24

// regainedPart is the part of an organisation's rate at which rights come back.
const regainedPart = 0.75

// Paced reports whether rights are given out in step with the rate, so that an
// organisation that begins to ask for more does not use up its limit at once. The rights of
// small organisations are too few for that.
func (l Limit) Paced() bool { return l.Rights > pacedRights }

// Regained returns how many rights count as free again some time after their use by
// processes that have ended, of which only the period is known. They come back more slowly
// than they were paced, but fast enough that a fleet that restarts serves its callers.
func (l Limit) Regained(after time.Duration) int {
	return int(min(l.Rate*regainedPart*max(after, 0).Seconds(), maxRights))
}

// Occupied returns for how long an operation uses its right.
func (l Limit) Occupied() time.Duration { return occupied(l.Period) }

// occupied returns the time after which an operation is surely outside the period that
// others measure.
func occupied(period time.Duration) time.Duration {
	return period + period/driftDivisor + granularity
}

const (
	// outlivesLease is how long a proxy may use its parts after its lease has ended. With
	// a lease and a window it is shorter than the time after which a silent proxy is
	// removed, so that a new leader knows of each proxy that may still have used rights.
	outlivesLease = 6500 * time.Millisecond
	// clockMargin is the part of that time by which clocks of proxies and control hosts
	// may differ within it.
	clockMargin = 10
)

// PartsUntil returns when the parts of a proxy end that has a lease until then.
func PartsUntil(leaseUntil types.Instant) types.Instant { return leaseUntil.Add(outlivesLease) }

// HeldFor returns how long after its last request, for a lease of the given length, a
// proxy may still hold rights or have used some within the period.
func HeldFor(lease, window time.Duration) time.Duration {
	parts := lease + outlivesLease
	return parts + parts/clockMargin + occupied(window)
}

// aheadDivisor is the part of the rights in use of which a proxy may hold as many more,
// enough for the time between two requests.
const aheadDivisor = 4

// Ahead returns how many rights a proxy should hold beyond those that it needs.
func Ahead(needed int) int { return 1 + needed/aheadDivisor }
