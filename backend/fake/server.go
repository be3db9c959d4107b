package fake

import (
	"net"
	"net/http"
	"time"

	"bronzehook/fault"
)

const (
	// readHeaderTimeout bounds how long a client may take to send the headers of a request.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// server is an HTTP server on a loopback port.
type server struct {
	addr string
	http *http.Server
}

func startServer(handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.New(fault.CodeUnreachable, "listen", "cannot listen on a loopback port: %v", err)
	}
	s := &server{addr: listener.Addr().String()}
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	// Serve returns when close is called.
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func (s *server) close() {
	// Nothing can be done about an error of closing the listener.
	_ = s.http.Close()
}
