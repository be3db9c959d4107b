package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/bodylimit"
)

// callerServer serves requests of callers, sent by the callers themselves or relayed by other instances.
type callerServer struct {
	name    string
	addr    string
	handler http.Handler
	bounds  *bounds
	// listener is that of the running server.
	listener *bodylimit.Listener
}

// Limits of callers' connections.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
)

// Limits of the connections for readiness probes and metrics.
const (
	opsIdleTimeout  = time.Minute
	opsWriteTimeout = 30 * time.Second
)

// Name implements kernel.Service.
func (s *callerServer) Name() string { return s.name }

// Requires implements kernel.Service.
func (*callerServer) Requires() []string { return []string{"manifest"} }

// Start implements kernel.Service.
func (s *callerServer) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrapf(err, "listening for %s", s.name)
	}
	server := &http.Server{
		Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	s.listener = s.bounds.listener(listener, server, s.name)
	go func() { _ = server.Serve(s.listener) }()
	return nil
}

// Stop implements kernel.Service.
func (s *callerServer) Stop(ctx context.Context) error {
	return errors.Wrap(s.listener.Shutdown(ctx), "stopping the server for "+s.name)
}

// opsServer serves readiness probes or metrics. Its stop does not wait for requests in flight.
type opsServer struct {
	name    string
	addr    string
	handler http.Handler
	bounds  *bounds
	server  *http.Server
}

// Name implements kernel.Service.
func (s *opsServer) Name() string { return s.name }

// Requires implements kernel.Service.
func (*opsServer) Requires() []string { return nil }

// Start implements kernel.Service.
func (s *opsServer) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrapf(err, "listening for %s", s.name)
	}
	s.server = &http.Server{
		Handler: bodylimit.WithoutBodies(s.handler), ReadHeaderTimeout: headerTimeout, WriteTimeout: opsWriteTimeout,
		IdleTimeout: opsIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	limited := s.bounds.listener(listener, s.server, s.name)
	go func() { _ = s.server.Serve(limited) }()
	return nil
}

// Stop implements kernel.Service.
func (s *opsServer) Stop(context.Context) error {
	return errors.Wrapf(s.server.Close(), "stopping %s", s.name)
}
