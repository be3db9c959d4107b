package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// closedListener stands for a listener that is closed while the server has not seen it: closing it again fails.
type closedListener struct {
	accepting chan struct{}
	end       chan struct{}
	once      sync.Once
}

func (l *closedListener) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.end
	return nil, net.ErrClosed
}

func (l *closedListener) Close() error {
	l.once.Do(func() { close(l.end) })
	return net.ErrClosed
}

func (l *closedListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a planned stop that ends with a failure because the server closes a listener that is closed already.
func TestStopOfAServerWhoseListenerIsClosed(t *testing.T) {
	s := &httpService{name: "callers", addr: "127.0.0.1:0", server: &http.Server{ReadHeaderTimeout: time.Second}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	unseen := &closedListener{accepting: make(chan struct{}), end: make(chan struct{})}
	go func() { _ = s.server.Serve(unseen) }()
	<-unseen.accepting
	if err := s.Stop(ctx); err != nil {
		t.Errorf("the stop ended with %v", err)
	}
}
