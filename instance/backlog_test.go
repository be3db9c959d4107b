package instance

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a connection reset for a caller whose connection was established but not accepted yet when the
// instance stopped listening; and against a response of net/http itself, which states no outcome: a server that has served
// has a TLS configuration of its own, with which the connection was taken for HTTPS.
func TestPendingConnectionIsServedAtStop(t *testing.T) {
	for name, hasServed := range map[string]bool{"before the first connection": false, "after others": true} {
		t.Run(name, func(t *testing.T) {
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
			if hasServed {
				other := &closedListener{accepting: make(chan struct{}), closed: make(chan struct{})}
				go func() { _ = s.server.Serve(other) }()
				<-other.accepting
			}
			if err := s.Stop(t.Context()); err != nil {
				t.Fatal(err)
			}
			response, err := io.ReadAll(conn)
			if err != nil || !strings.HasPrefix(string(response), "HTTP/1.1 503 ") {
				t.Errorf("response %q, %v", response, err)
			}
		})
	}
}
