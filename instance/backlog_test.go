package instance

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a connection reset for a caller whose connection was established but not accepted yet when the
// instance stopped listening.
func TestPendingConnectionIsServedAtStop(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	s := &httpService{name: "test", server: &http.Server{Handler: handler}, listener: listener}
	s.server.ConnState = s.trackConnection
	if err := s.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil || len(response) == 0 {
		t.Errorf("response %q, %v; want a non-empty one", response, err)
	}
}
