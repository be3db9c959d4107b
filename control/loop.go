// Package control holds the goroutine that owns the control state of an instance. Services post functions to it;
// traffic goroutines read the immutable snapshots that it publishes and never wait for it.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"bronzehook/fault"
)

// Loop runs posted functions one after the other on one goroutine.
type Loop struct {
	clock clockwork.Clock

	mu     sync.Mutex
	queue  []func()
	wake   chan struct{}
	ended  chan struct{}
	cancel context.CancelFunc
}

// NewLoop returns a loop that does not run yet.
func NewLoop(clock clockwork.Clock) *Loop {
	return &Loop{clock: clock, wake: make(chan struct{}, 1), ended: make(chan struct{})}
}

// Name implements kernel.Service.
func (l *Loop) Name() string { return "control" }

// Requires implements kernel.Service.
func (l *Loop) Requires() []string { return nil }

// Start begins to run posted functions.
func (l *Loop) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go l.run(ctx)
	return nil
}

// Stop ends the loop after the function that runs now. Functions still queued do not run.
func (l *Loop) Stop(ctx context.Context) error {
	l.cancel()
	select {
	case <-l.ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "stop control loop")
	}
}

// Post queues f. It never blocks, so that the control goroutine itself may post.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Do posts f and waits until it has run. It must not be called from the control goroutine.
func (l *Loop) Do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	l.Post(func() {
		defer close(done)
		f()
	})
	select {
	case <-done:
		return nil
	case <-l.ended:
		return fault.New(fault.CodeStopping, "control", "the control loop has ended")
	case <-ctx.Done():
		return fault.New(fault.CodeTimeout, "control", "%v", ctx.Err())
	}
}

// Every posts f once per interval until the loop ends. A tick that falls due while the last one still waits is dropped.
func (l *Loop) Every(interval time.Duration, f func()) {
	ticker := l.clock.NewTicker(interval)
	go func() {
		defer ticker.Stop()
		ran := make(chan struct{}, 1)
		for {
			select {
			case <-l.ended:
				return
			case <-ticker.Chan():
			}
			l.Post(func() {
				f()
				ran <- struct{}{}
			})
			select {
			case <-l.ended:
				return
			case <-ran:
			}
		}
	}()
}

func (l *Loop) run(ctx context.Context) {
	defer close(l.ended)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for _, f := range l.take() {
			if ctx.Err() != nil {
				return
			}
			f()
		}
	}
}

func (l *Loop) take() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue
	l.queue = nil
	return queue
}
