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
	served := s.secured(listener)
	go func() { _ = s.server.Serve(served) }()
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

// Stop finishes requests in flight. Shutdown comes last, because once it has begun net/http drops requests that it reads
// and closes their connections without an answer.
func (s *httpService) Stop(ctx context.Context) error {
	waiting, err := closeListener(s.listener)
	if len(waiting) > 0 {
		last := newConnListener(waiting, s.listener.Addr())
		go func() { _ = s.server.Serve(s.secured(last)) }()
		last.awaitTaken(ctx)
	}
	s.awaitClosed(ctx)
	// The server closes the listener once more if its goroutine has not seen yet that it is closed.
	if ended := s.server.Shutdown(ctx); !errors.Is(ended, net.ErrClosed) {
		err = errors.CombineErrors(err, ended)
	}
	return errors.Wrapf(err, "stop serving %s", s.name)
}

// secured adds TLS where it is configured.
func (s *httpService) secured(listener net.Listener) net.Listener {
	if s.server.TLSConfig == nil {
		return listener
	}
	return tls.NewListener(listener, s.server.TLSConfig)
}

// connListener hands out connections that were accepted before, and then waits until it is closed.
type connListener struct {
	conns  chan net.Conn
	addr   net.Addr
	taken  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newConnListener(conns []net.Conn, addr net.Addr) *connListener {
	l := &connListener{
		conns: make(chan net.Conn, len(conns)), addr: addr, taken: make(chan struct{}), closed: make(chan struct{}),
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
	// The server asks again only after it has begun to serve the last connection.
	close(l.taken)
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

// awaitTaken waits until the server has taken all connections.
func (l *connListener) awaitTaken(ctx context.Context) {
	select {
	case <-l.taken:
	case <-ctx.Done():
	}
}
