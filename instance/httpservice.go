package instance

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// httpService is an HTTP server with the life cycle of a service.
type httpService struct {
	name     string
	addr     string
	server   *http.Server
	requires []string
	listener net.Listener
	// open counts the connections of callers.
	open atomic.Int64
}

const (
	// connectionGrace bounds the wait for callers to give up their connections. While an instance stops, each connection
	// is closed after its next answer; closing an idle one may cut off a request that its caller is just sending.
	connectionGrace = 2 * time.Second
	// connectionPoll is the time between two looks at whether connections are left.
	connectionPoll = 10 * time.Millisecond
)

// Name implements kernel.Service.
func (s *httpService) Name() string { return s.name }

// Requires implements kernel.Service.
func (s *httpService) Requires() []string { return s.requires }

// Start listens and serves.
func (s *httpService) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", s.name)
	}
	s.listener = listener
	s.server.ConnState = s.count
	serving := listener
	if s.server.TLSConfig != nil {
		serving = tls.NewListener(listener, s.server.TLSConfig)
	}
	go func() { _ = s.server.Serve(serving) }()
	return nil
}

func (s *httpService) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// awaitClosed waits until callers have given up their connections, at most for connectionGrace.
func (s *httpService) awaitClosed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, connectionGrace)
	defer cancel()
	ticker := time.NewTicker(connectionPoll)
	defer ticker.Stop()
	for s.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Stop finishes requests in flight.
func (s *httpService) Stop(ctx context.Context) error {
	s.awaitClosed(ctx)
	return errors.Wrapf(s.server.Shutdown(ctx), "stop serving %s", s.name)
}
