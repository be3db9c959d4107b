package fake

import (
	"net"
	"net/http"
	"time"

	"bronzehook/backend/httpbackend"
	"bronzehook/bodylimit"
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

// Bounds bounds the request bodies and the connections of the listeners of a fake cluster. Nil bounds leave them as they are.
type Bounds struct {
	Bodies *bodylimit.Budget
	Listen func(inner net.Listener, server *http.Server) net.Listener
}

func startServer(handler http.Handler, bounds *Bounds) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.New(fault.CodeUnreachable, "listen", "cannot listen on a loopback port: %v", err)
	}
	s := &server{addr: listener.Addr().String()}
	if bounds != nil {
		handler = bounds.Bodies.Handler(bodyOptions, handler)
	}
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	if bounds != nil {
		listener = bounds.Listen(listener, s.http)
	}
	// Serve returns when close is called.
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// bodyOptions returns the bounds of a request body: those of the largest kind, an object.
func bodyOptions(*http.Request) bodylimit.Options {
	return bodylimit.Options{Limit: httpbackend.MaxObjectBytes}
}

func (s *server) close() {
	// Nothing can be done about an error of closing the listener.
	_ = s.http.Close()
}
