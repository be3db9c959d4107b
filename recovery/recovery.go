// Package recovery keeps a panic in one request, event or goroutine from ending the process. A panic is logged with its
// stack and counted, and reaches the caller as an error.
package recovery

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/fault"
)

// PanicError reports a function that panicked.
type PanicError struct {
	// Place names the function for operators.
	Place string
	Value any
}

// Error names the place and the value of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.Place, e.Value) }

// Code implements fault.Coded.
func (*PanicError) Code() fault.Code { return fault.CodeInternal }

// Guard runs functions and recovers from their panics. A nil guard runs them without that, so that tests fail.
type Guard struct {
	total  *prometheus.CounterVec
	logger zerolog.Logger
}

// NewGuard returns a guard and registers its metric.
func NewGuard(registry prometheus.Registerer, logger zerolog.Logger) *Guard {
	g := &Guard{
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bronzehook", Name: "panics_total", Help: "Panics that were recovered, by place.",
		}, []string{"place"}),
		logger: logger,
	}
	registry.MustRegister(g.total)
	return g
}

// Do runs f. It returns a *PanicError if f panicked, which may have left its work half done.
func (g *Guard) Do(place string, f func()) (err error) {
	if g == nil {
		f()
		return nil
	}
	defer func() {
		if value := recover(); value != nil {
			err = g.recovered(place, value)
		}
	}()
	f()
	return nil
}

// recovered logs and counts a panic. It has to be called by the deferred function that recovered.
func (g *Guard) recovered(place string, value any) error {
	g.total.WithLabelValues(place).Inc()
	g.logger.Error().Str("place", place).Str("panic", fmt.Sprint(value)).Str("stack", string(debug.Stack())).Msg("panic recovered")
	return errors.WithStack(&PanicError{Place: place, Value: value})
}

// Handler returns a handler that serves requests with next. If next panics before it has written a header, the response
// is 504, because the request may have had an effect. After that the connection is closed.
func (g *Guard) Handler(place string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &headerTracker{ResponseWriter: w}
		err := g.Do(place, func() { next.ServeHTTP(tracked, r) })
		switch {
		case err == nil:
		case tracked.written:
			// The response is incomplete. net/http closes the connection on this value, without a log line.
			panic(http.ErrAbortHandler)
		default:
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})
}

// headerTracker notes whether a header was written.
type headerTracker struct {
	http.ResponseWriter
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (t *headerTracker) WriteHeader(status int) {
	t.written = true
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *headerTracker) Write(data []byte) (int, error) {
	t.written = true
	return t.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach the underlying writer.
func (t *headerTracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }
