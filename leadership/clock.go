// Package duty decides which instance holds the scheduling duty. The holder is named in one row of the store; every
// transaction of the holder is conditional on that row and renews it, so that a holder that was replaced can change
// nothing. An instance that has lost the store stops giving orders before another can take over.
package leadership

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads a clock that never jumps and, unlike the runtime's monotonic clock, counts the time that the machine was
// suspended.
type Clock func() time.Duration

// BootTime reads CLOCK_BOOTTIME.
func BootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists on every kernel that Go supports.
		panic(err)
	}
	return time.Duration(now.Nano())
}

// Sleep waits for a time, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
