package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// closedListener is a listener that was closed without the server noticing: closing it again fails.
type closedListener struct {
	accepting chan struct{}
	closed    chan struct{}
	once      sync.Once
}

func (l *closedListener) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.closed
	return nil, net.ErrClosed
}

func (l *closedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return net.ErrClosed
}

func (l *closedListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a planned stop that fails because the server closes a listener that is already closed.
func TestStopWithClosedListener(t *testing.T) {
	s := &httpService{name: "callers", addr: "127.0.0.1:0", server: &http.Server{ReadHeaderTimeout: time.Second}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	listener := &closedListener{accepting: make(chan struct{}), closed: make(chan struct{})}
	go func() { _ = s.server.Serve(listener) }()
	<-listener.accepting
	if err := s.Stop(ctx); err != nil {
		t.Errorf("the stop failed: %v", err)
	}
}
