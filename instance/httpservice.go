package instance

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/bodylimit"
)

// httpService runs an HTTP server as a kernel.Service.
type httpService struct {
	name   string
	addr   string
	server *http.Server
	// tlsConfig is nil for plain HTTP. It is kept apart from the server's configuration, which net/http sets itself once
	// it serves.
	tlsConfig *tls.Config
	requires  []string
	listener  net.Listener
	// limit bounds the connections of the listener; nil leaves them unbounded.
	limit func(inner net.Listener, server *http.Server) net.Listener
	// openConnections counts the connections of callers.
	openConnections atomic.Int64
}

// connectionCloseTimeout bounds the wait for callers to close their connections. While an instance stops, each
// connection is closed after its next response; closing an idle one may cut off a request that its caller is
// sending.
const connectionCloseTimeout = 2 * time.Second

// Name implements kernel.Service.
func (s *httpService) Name() string { return s.name }

// Requires implements kernel.Service.
func (s *httpService) Requires() []string { return s.requires }

// Start opens the listener and serves in the background.
func (s *httpService) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", s.name)
	}
	s.listener = listener
	s.server.ConnState = s.trackConnection
	if s.limit != nil {
		listener = s.limit(listener, s.server)
	}
	secured := s.withTLS(listener)
	go func() { _ = s.server.Serve(secured) }()
	return nil
}

func (s *httpService) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConnections.Add(-1)
	}
}

// awaitConnectionsClosed waits until callers have closed their connections, at most for connectionCloseTimeout.
func (s *httpService) awaitConnectionsClosed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, connectionCloseTimeout)
	defer cancel()
	bodylimit.AwaitNone(ctx, func() int { return int(s.openConnections.Load()) })
}

// Stop finishes requests in flight. Shutdown comes last, because once it has begun, net/http drops requests that it
// reads and closes their connections without a response.
func (s *httpService) Stop(ctx context.Context) error {
	pending, err := closeListener(s.listener)
	if len(pending) > 0 {
		pendingListener := newConnListener(pending, s.listener.Addr())
		go func() { _ = s.server.Serve(s.withTLS(pendingListener)) }()
		pendingListener.awaitAccepted(ctx)
	}
	s.awaitConnectionsClosed(ctx)
	// Shutdown closes the listener a second time if the serving goroutine has not yet noticed that it is closed.
	if shutdownErr := s.server.Shutdown(ctx); !errors.Is(shutdownErr, net.ErrClosed) {
		err = errors.CombineErrors(err, shutdownErr)
	}
	return errors.Wrapf(err, "stop serving %s", s.name)
}

// withTLS wraps the listener in TLS if the service has a TLS configuration.
func (s *httpService) withTLS(listener net.Listener) net.Listener {
	if s.tlsConfig == nil {
		return listener
	}
	return tls.NewListener(listener, s.tlsConfig)
}

// connListener returns connections that were accepted earlier; after the last one, Accept blocks until Close.
type connListener struct {
	conns    chan net.Conn
	addr     net.Addr
	accepted chan struct{}
	closed   chan struct{}
	once     sync.Once
}

func newConnListener(conns []net.Conn, addr net.Addr) *connListener {
	l := &connListener{
		conns: make(chan net.Conn, len(conns)), addr: addr, accepted: make(chan struct{}), closed: make(chan struct{}),
	}
	for _, conn := range conns {
		l.conns <- conn
	}
	close(l.conns)
	return l
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	// The server calls Accept again only after it has begun to serve the last connection.
	close(l.accepted)
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.addr }

// awaitAccepted waits until the server has accepted all connections.
func (l *connListener) awaitAccepted(ctx context.Context) {
	select {
	case <-l.accepted:
	case <-ctx.Done():
	}
}
