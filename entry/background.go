package entry

import (
	"context"
	"sync"
	"time"

	"bronzehook/leadership"
	"bronzehook/recovery"
)

// loopRestartDelay is the time after which a loop is started again that has panicked.
const loopRestartDelay = time.Second

// backgroundLoop runs a loop from the start of a service until its stop.
type backgroundLoop struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// start runs the loop in a goroutine, and starts it again if it panics. The loop must return soon after its context is
// cancelled.
func (b *backgroundLoop) start(guard *recovery.Guard, name string, loop func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		for guard.Do(name, func() { loop(ctx) }) != nil && ctx.Err() == nil {
			leadership.Sleep(ctx, loopRestartDelay)
		}
	}()
}

// stop cancels the loop's context and waits until the loop has returned.
func (b *backgroundLoop) stop() {
	b.cancel()
	b.running.Wait()
}
