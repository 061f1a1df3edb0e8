package runtime

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"golang.org/x/sys/unix"
)

// Clock returns the time of a clock that never goes back. Its instants are
// comparable only within the process.
type Clock func() types.Instant

// NewClock returns a clock that advances while the host is suspended, unlike the
// monotonic clock of package time: a lease that expired during a suspension must
// not be valid after it. The clock starts at one second, so that the zero instant
// is in its past.
func NewClock() Clock {
	start := timeSinceBoot()
	return func() types.Instant { return types.Instant(timeSinceBoot() - start + time.Second) }
}

// timeSinceBoot returns the time since the host started, including suspensions.
func timeSinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // Linux has had the clock since 2.6.39
	}
	return time.Duration(ts.Nano())
}
