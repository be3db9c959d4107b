// Package control provides the event loop whose goroutine owns the control state of an instance. Services post
// functions to it; request goroutines read the immutable snapshots that it publishes and never wait for it.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"bronzehook/fault"
	"bronzehook/recovery"
)

// Loop runs posted functions one at a time on a single goroutine, the control loop goroutine.
type Loop struct {
	clock clockwork.Clock
	guard *recovery.Guard

	mu      sync.Mutex
	queue   []func()
	wake    chan struct{}
	stopped chan struct{}
	cancel  context.CancelFunc
}

// NewLoop returns a loop that is not started yet. If a function panics, the guard reports it and the loop goes on with the
// next one.
func NewLoop(clock clockwork.Clock, guard *recovery.Guard) *Loop {
	return &Loop{clock: clock, guard: guard, wake: make(chan struct{}, 1), stopped: make(chan struct{})}
}

// Name implements kernel.Service.
func (l *Loop) Name() string { return "control" }

// Requires implements kernel.Service.
func (l *Loop) Requires() []string { return nil }

// Start starts running posted functions.
func (l *Loop) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go l.run(ctx)
	return nil
}

// Stop stops the loop after the function that is running. Functions still queued are not run.
func (l *Loop) Stop(ctx context.Context) error {
	l.cancel()
	select {
	case <-l.stopped:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "stop control loop")
	}
}

// Post queues f. It never blocks, so that it may be called on the control loop goroutine itself.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Do posts f and waits until it has run. It must not be called on the control loop goroutine, which it would block.
func (l *Loop) Do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	l.Post(func() {
		defer close(done)
		f()
	})
	select {
	case <-done:
		return nil
	case <-l.stopped:
		return fault.New(fault.CodeStopping, "control", "the control loop has stopped")
	case <-ctx.Done():
		return fault.New(fault.CodeTimeout, "control", "%v", ctx.Err())
	}
}

// Every posts f once per interval until the loop stops. A tick that falls due before the previous call of f has
// finished is dropped.
func (l *Loop) Every(interval time.Duration, f func()) {
	ticker := l.clock.NewTicker(interval)
	go func() {
		defer ticker.Stop()
		done := make(chan struct{}, 1)
		for {
			select {
			case <-l.stopped:
				return
			case <-ticker.Chan():
			}
			l.Post(func() {
				defer func() { done <- struct{}{} }()
				f()
			})
			select {
			case <-l.stopped:
				return
			case <-done:
			}
		}
	}()
}

func (l *Loop) run(ctx context.Context) {
	defer close(l.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for _, f := range l.takeQueue() {
			if ctx.Err() != nil {
				return
			}
			_ = l.guard.Do("control loop", f)
		}
	}
}

func (l *Loop) takeQueue() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue
	l.queue = nil
	return queue
}
