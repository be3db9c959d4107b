// Package leadership elects the scheduler leader among the instances. The leader is named in one row of the store, the
// leadership lease. Every transaction of the leader is conditional on that row and renews it, so that a replaced leader
// can change nothing. A leader that has lost the store stops sending commands before another instance can take over.
package leadership

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads a clock that never jumps and, unlike the monotonic clock of the Go runtime, includes the time during which
// the machine was suspended.
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

// Sleep waits for a duration, or until the context is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
