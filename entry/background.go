package entry

import (
	"context"
	"sync"
)

// background runs a loop for the life of a service.
type background struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// start runs the loop until stop. The loop returns soon after its context has ended.
func (b *background) start(loop func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.done.Add(1)
	go func() {
		defer b.done.Done()
		loop(ctx)
	}()
}

// stop ends the loop and waits for it.
func (b *background) stop() {
	b.cancel()
	b.done.Wait()
}
