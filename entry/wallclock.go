package entry

import (
	"context"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bronzehook/leadership"
	"bronzehook/recovery"
)

// wallClock reads the wall-clock time, shifted by an offset from a file. Tests use the file to make the clock of one instance jump.
type wallClock struct {
	path   string
	offset atomic.Int64
	guard  *recovery.Guard
	loop   backgroundLoop
}

// offsetReadInterval is the time between two reads of the file.
const offsetReadInterval = 100 * time.Millisecond

// Name implements kernel.Service.
func (*wallClock) Name() string { return "wall-clock" }

// Requires implements kernel.Service.
func (*wallClock) Requires() []string { return nil }

// Start implements kernel.Service.
func (c *wallClock) Start(context.Context) error {
	c.readOffset()
	c.loop.start(c.guard, "wall clock", func(ctx context.Context) {
		for c.path != "" && ctx.Err() == nil {
			leadership.Sleep(ctx, offsetReadInterval)
			c.readOffset()
		}
	})
	return nil
}

// Stop implements kernel.Service.
func (c *wallClock) Stop(context.Context) error {
	c.loop.stop()
	return nil
}

// readOffset applies the offset in the file, in ms. If the file can't be read or parsed, the last offset stays.
func (c *wallClock) readOffset() {
	content, err := os.ReadFile(c.path)
	if err != nil {
		return
	}
	if offsetMs, err := strconv.ParseInt(strings.TrimSpace(string(content)), 10, 64); err == nil {
		c.offset.Store(offsetMs)
	}
}

func (c *wallClock) now() time.Time {
	return time.Now().Add(time.Duration(c.offset.Load()) * time.Millisecond)
}
