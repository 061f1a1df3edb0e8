package admission

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// levelWindow is the shortest time between two changes of a level, and levelSamples
	// the fewest answers that count as a measurement.
	levelWindow  = 100 * time.Millisecond
	levelSamples = 2
	// maxWindows is the number of windows that a change after a pause may make up for.
	maxWindows = 5
	// levelRise is how much a level rises in a window, in classes. levelGain is the part by
	// which it falls for a delay of twice the tolerated one, and maxLevelFall the largest
	// part by which it falls at once.
	levelRise    = 0.1
	levelGain    = 0.4
	maxLevelFall = 0.25
	// futileAfter is how long the lower priorities may be refused without an effect on the
	// delay. Then the target itself is slow, and refusing them helps no one.
	futileAfter = 3 * time.Second
)

// Level is how many classes a proxy admits to one target, from the highest priority down. It
// is learnt from how long the proxy's own requests were queued at the target: each proxy
// adapts its level by itself, and together they keep the queue at the target short enough
// for the highest priority. The highest priority is always admitted.
type Level struct {
	refused    float64 // classes that are not admitted, from the lowest priority up
	measuredAt types.Instant
	delay      time.Duration // lowest since measuredAt: long statements delay no others
	samples    int

	lowestSince types.Instant // since when only the highest priority is admitted, or zero
	inherent    time.Duration // delay that does not depend on the lower priorities
}

// Observe records how long a request was queued at the target. tolerated is the delay that
// the level aims at, and classes the number of priorities that share the target.
func (l *Level) Observe(now types.Instant, delay, tolerated time.Duration, classes int) {
	if l.samples == 0 || delay < l.delay {
		l.delay = delay
	}
	l.samples++
	if l.samples < levelSamples || now.Sub(l.measuredAt) < levelWindow || tolerated <= 0 {
		return
	}
	l.inherent = max(0, min(l.inherent, l.delay))
	excess := float64(l.delay-l.inherent)/float64(tolerated) - 1
	windows := min(float64(now.Sub(l.measuredAt))/float64(levelWindow), maxWindows)
	l.adapt(excess, windows, classes)
	l.checkFutile(now, excess, classes)
	l.measuredAt, l.samples = now, 0
}

// adapt changes the level by the excess of the delay over the tolerated one, relative to it.
// It always rises by a constant and falls by a part, so that the levels of all proxies
// become equal.
func (l *Level) adapt(excess, windows float64, classes int) {
	admitted := float64(classes) - l.refused
	fall := min(windows*levelGain*max(0, excess), maxLevelFall)
	admitted += windows*levelRise - fall*admitted
	l.refused = max(0, float64(classes)-max(1, admitted))
}

// checkFutile admits all classes again once refusing the lower ones has had no effect.
func (l *Level) checkFutile(now types.Instant, excess float64, classes int) {
	switch {
	case excess <= 0 || l.refused < float64(classes-1):
		l.lowestSince = 0
	case l.lowestSince == 0:
		l.lowestSince = now
	case now.Sub(l.lowestSince) >= futileAfter:
		l.inherent, l.refused, l.lowestSince = l.delay, 0, 0
	}
}

// Probability returns the part of the requests of a class that is admitted. rank is the place
// of its priority among classes, 0 for the highest.
func (l *Level) Probability(rank, classes int) float64 {
	return min(max(float64(classes-rank)-l.refused, guaranteedPart), 1)
}
