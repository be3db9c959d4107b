package gateway

import (
	"context"
	"fmt"
	"sync"

	"bronzehook/fault"
)

// DrainError reports requests that were still in flight when the drain timed out.
type DrainError struct{ InFlight int }

// Error returns a description with the number of requests.
func (e *DrainError) Error() string { return fmt.Sprintf("%d requests still in flight", e.InFlight) }

// Code implements fault.Coded.
func (e *DrainError) Code() fault.Code { return fault.CodeTimeout }

// drain counts requests in flight and waits until they have finished.
type drain struct {
	mu       sync.Mutex
	active   int
	stopping bool
	idle     chan struct{}
}

func newDrain() *drain { return &drain{idle: make(chan struct{})} }

// begin counts a request of a caller. It reports false after stop was called.
func (d *drain) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return false
	}
	d.active++
	return true
}

// beginForwarded counts a request that another instance forwarded, also after stop was called.
func (d *drain) beginForwarded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active++
}

func (d *drain) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	d.signalIfIdle()
}

// signalIfIdle closes idle if stop was called and no request is in flight. The caller holds the lock.
func (d *drain) signalIfIdle() {
	if !d.stopping || d.active > 0 {
		return
	}
	select {
	case <-d.idle:
	default:
		close(d.idle)
	}
}

// stop refuses further requests of callers and waits until none is in flight or ctx ends.
func (d *drain) stop(ctx context.Context) error {
	d.mu.Lock()
	d.stopping = true
	d.signalIfIdle()
	d.mu.Unlock()
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return &DrainError{InFlight: d.inFlight()}
	}
}

func (d *drain) inFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active
}
