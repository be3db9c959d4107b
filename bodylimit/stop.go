package bodylimit

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
)

const (
	// stopPollInterval is the time between two checks whether a server has come to rest.
	stopPollInterval = 10 * time.Millisecond
	// arrivalTime is how long the first request on a new connection may take to arrive while a server stops.
	arrivalTime = 100 * time.Millisecond
)

// UnfinishedError reports requests that were still in progress when their server had to stop.
type UnfinishedError struct{ Requests int }

// Error implements error.
func (e *UnfinishedError) Error() string {
	return fmt.Sprintf("%d requests in progress were cut off", e.Requests)
}

// Code implements fault.Coded.
func (*UnfinishedError) Code() fault.Code { return fault.CodeTimeout }

// Shutdown stops the server of the listener: it accepts no more connections and waits for requests that are in progress or may be
// arriving on a new connection, until ctx ends. Unlike http.Server.Shutdown, it does not wait for 5 s on connections without a
// request.
func (l *Listener) Shutdown(ctx context.Context) error {
	err := l.Close()
	// Closes idle connections as well. http.Server.Shutdown would drop requests that arrive from here on.
	l.server.SetKeepAlivesEnabled(false)
	AwaitNone(ctx, l.pending)
	if requests := l.pending(); requests > 0 {
		err = errors.CombineErrors(err, errors.WithStack(&UnfinishedError{Requests: requests}))
	}
	if closeErr := l.server.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.CombineErrors(err, closeErr)
	}
	return err
}

// AwaitNone waits until count returns 0 or ctx ends. It checks at a constant interval: that of http.Server.Shutdown grows to
// 500 ms, which is longer than a stop may take.
func AwaitNone(ctx context.Context, count func() int) {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pending returns the number of connections on which a request is in progress, or which are so new that their first request may
// be arriving.
func (l *Listener) pending() int {
	now := l.now().UnixNano()
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c := range l.conns {
		switch c.lastState() {
		case http.StateActive:
			count++
		case http.StateNew:
			if now-c.progress.Load() < arrivalTime.Nanoseconds() {
				count++
			}
		}
	}
	return count
}
