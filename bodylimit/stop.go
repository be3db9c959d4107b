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

// requestPollInterval is the time between two checks for requests in progress while a server stops.
const requestPollInterval = 10 * time.Millisecond

// UnfinishedError reports requests that were still in progress when their server had to stop.
type UnfinishedError struct{ Requests int }

// Error implements error.
func (e *UnfinishedError) Error() string {
	return fmt.Sprintf("%d requests in progress were cut off", e.Requests)
}

// Code implements fault.Coded.
func (*UnfinishedError) Code() fault.Code { return fault.CodeTimeout }

// Shutdown stops the server of the listener: it accepts no more requests and waits for those in progress, until ctx ends. Unlike
// http.Server.Shutdown, it does not wait for connections without a request, and it checks at a constant interval: that of net/http
// grows to 500 ms, which is longer than a stop may take.
func (l *Listener) Shutdown(ctx context.Context, server *http.Server) error {
	ended, cancel := context.WithCancel(ctx)
	cancel()
	// With a context that has ended, this only closes listeners and idle connections.
	_ = server.Shutdown(ended)
	ticker := time.NewTicker(requestPollInterval)
	defer ticker.Stop()
	var err error
	for requests := l.requests(); requests > 0 && err == nil; requests = l.requests() {
		select {
		case <-ctx.Done():
			err = errors.WithStack(&UnfinishedError{Requests: requests})
		case <-ticker.C:
		}
	}
	if closeErr := server.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.CombineErrors(err, closeErr)
	}
	return err
}

// requests returns the number of connections on which a request is in progress.
func (l *Listener) requests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c := range l.conns {
		if c.is(http.StateActive) {
			count++
		}
	}
	return count
}
