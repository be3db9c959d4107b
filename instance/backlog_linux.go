package instance

import (
	"net"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// closeListener closes a listener and returns the connections that were established but not accepted yet. A plain close
// resets them, and their callers cannot tell whether a request that they sent was executed.
func closeListener(listener net.Listener) ([]net.Conn, error) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, listener.Close()
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.CombineErrors(err, tcp.Close())
	}
	var sockets []int
	err = raw.Control(func(fd uintptr) {
		for {
			socket, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			sockets = append(sockets, socket)
		}
	})
	err = errors.CombineErrors(err, tcp.Close())
	var pending []net.Conn
	for _, socket := range sockets {
		file := os.NewFile(uintptr(socket), "caller")
		conn, fileErr := net.FileConn(file)
		err = errors.CombineErrors(err, errors.CombineErrors(fileErr, file.Close()))
		if fileErr == nil {
			pending = append(pending, conn)
		}
	}
	return pending, err
}
