package entry

import (
	"context"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bronzehook/leadership"
)

// wallClock reads the time of day, shifted by what a file says. Tests use the file to let the clock of one instance jump.
type wallClock struct {
	path   string
	offset atomic.Int64
	loop   background
}

// offsetReadEvery is the time between two readings of the file.
const offsetReadEvery = 100 * time.Millisecond

// Name implements kernel.Service.
func (*wallClock) Name() string { return "wall-clock" }

// Requires implements kernel.Service.
func (*wallClock) Requires() []string { return nil }

// Start implements kernel.Service.
func (c *wallClock) Start(context.Context) error {
	c.read()
	c.loop.start(func(ctx context.Context) {
		for c.path != "" && ctx.Err() == nil {
			leadership.Sleep(ctx, offsetReadEvery)
			c.read()
		}
	})
	return nil
}

// Stop implements kernel.Service.
func (c *wallClock) Stop(context.Context) error {
	c.loop.stop()
	return nil
}

// read takes up the file, which holds milliseconds. A file that can't be read changes nothing.
func (c *wallClock) read() {
	content, err := os.ReadFile(c.path)
	if err != nil {
		return
	}
	if ms, err := strconv.ParseInt(strings.TrimSpace(string(content)), 10, 64); err == nil {
		c.offset.Store(ms)
	}
}

func (c *wallClock) now() time.Time {
	return time.Now().Add(time.Duration(c.offset.Load()) * time.Millisecond)
}
