package entry

import (
	"context"
	"sync"
)

// backgroundLoop runs a loop from the start of a service until its stop.
type backgroundLoop struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// start runs the loop in a goroutine. The loop must return soon after its context is cancelled.
func (b *backgroundLoop) start(loop func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		loop(ctx)
	}()
}

// stop cancels the loop's context and waits until the loop has returned.
func (b *backgroundLoop) stop() {
	b.cancel()
	b.running.Wait()
}
