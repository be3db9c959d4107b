//go:build !linux

package instance

import "net"

// closeListener closes a listener. Connections that were established but not accepted yet are reset.
func closeListener(listener net.Listener) ([]net.Conn, error) { return nil, listener.Close() }
