package runtime

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"golang.org/x/sys/unix"
)

// Clock reads a clock of the process that never goes back.
type Clock func() types.Instant

// NewClock returns a clock that goes on while the host is suspended, unlike the
// monotonic clock of package time: a lease that ran out meanwhile must not look
// alive afterwards. It starts at one second, so that zero instants lie in its
// past.
func NewClock() Clock {
	start := sinceBoot()
	return func() types.Instant { return types.Instant(sinceBoot() - start + time.Second) }
}

// sinceBoot returns the time since the host started, suspensions included.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has the clock
	}
	return time.Duration(ts.Nano())
}
