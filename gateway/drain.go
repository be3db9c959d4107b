package gateway

import (
	"context"
	"fmt"
	"sync"

	"bronzehook/fault"
)

// DrainError reports requests that were still in flight when the wait for them ended.
type DrainError struct{ InFlight int }

// Error names the number of requests.
func (e *DrainError) Error() string { return fmt.Sprintf("%d requests still in flight", e.InFlight) }

// Code implements fault.Coded.
func (e *DrainError) Code() fault.Code { return fault.CodeTimeout }

// drain counts requests in flight and waits for their end.
type drain struct {
	mu       sync.Mutex
	open     int
	stopping bool
	idle     chan struct{}
}

func newDrain() *drain { return &drain{idle: make(chan struct{})} }

// enter counts a request of a caller. It reports false once the stop has begun.
func (d *drain) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return false
	}
	d.open++
	return true
}

// enterForwarded counts a request that another instance forwarded.
func (d *drain) enterForwarded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open++
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
	d.signal()
}

// signal closes idle once nothing is open after the stop has begun. The caller holds the lock.
func (d *drain) signal() {
	if !d.stopping || d.open > 0 {
		return
	}
	select {
	case <-d.idle:
	default:
		close(d.idle)
	}
}

func (d *drain) stop(ctx context.Context) error {
	d.mu.Lock()
	d.stopping = true
	d.signal()
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
	return d.open
}
