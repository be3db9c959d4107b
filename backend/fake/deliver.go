package fake

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// duplicateTimeout bounds how long a connection stays open for the duplicate of a response.
const duplicateTimeout = 30 * time.Second

// bufferedResponse holds a response until it is delivered.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newBufferedResponse() *bufferedResponse {
	return &bufferedResponse{header: http.Header{}, status: http.StatusOK}
}

// Header implements http.ResponseWriter.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(data []byte) (int, error) { return b.body.Write(data) }

// raw returns the response as it is sent on an HTTP/1.1 connection.
func (b *bufferedResponse) raw() []byte {
	var out bytes.Buffer
	out.WriteString("HTTP/1.1 " + strconv.Itoa(b.status) + " " + http.StatusText(b.status) + "\r\n")
	// Writing to a buffer does not fail.
	_ = b.header.Write(&out)
	out.WriteString("\r\n")
	out.Write(b.body.Bytes())
	return out.Bytes()
}

// awaitUnfreeze waits while the worker is frozen. It aborts the connection if the worker crashes in the meantime.
func (w *Worker) awaitUnfreeze() {
	select {
	case <-w.faults.unfrozen():
	case <-w.closed:
		panic(http.ErrAbortHandler)
	}
}

// delayResponse waits for the injected delay of a response. It aborts the connection if the worker crashes in the
// meantime.
func (w *Worker) delayResponse(delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-w.clock.After(delay):
	case <-w.closed:
		panic(http.ErrAbortHandler)
	}
}

// deliver sends a response with the injected faults of its listener. It calls release just before the first byte, so
// that the resources of the request are free by the time the client receives the response.
func (w *Worker) deliver(out http.ResponseWriter, b *bufferedResponse, faultsOf listenerFaults, release func()) {
	w.awaitUnfreeze()
	injected := w.faults.nextResponse(faultsOf)
	w.delayResponse(injected.delay)
	release()
	if injected.duplicate {
		w.sendDuplicate(out, b)
		return
	}
	for name, values := range b.header {
		out.Header()[name] = values
	}
	out.WriteHeader(b.status)
	body := b.body.Bytes()
	if injected.truncate {
		_, _ = out.Write(body[:len(body)/2])
		_ = http.NewResponseController(out).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = out.Write(body)
}

// sendDuplicate sends a response and sends it again when the next request arrives on the connection. The client takes
// the duplicate for the response to that request unless it compares request ids.
func (w *Worker) sendDuplicate(out http.ResponseWriter, b *bufferedResponse) {
	connection, buffered, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer connection.Close()
	if _, err := connection.Write(b.raw()); err != nil {
		return
	}
	if !w.awaitNextRequest(connection, buffered.Reader) {
		return
	}
	_, _ = connection.Write(b.raw())
}

// awaitNextRequest reports whether a request arrived on the connection before the timeout.
func (w *Worker) awaitNextRequest(connection net.Conn, reader *bufio.Reader) bool {
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-w.closed:
			connection.Close()
		case <-stop:
		}
	}()
	if err := connection.SetReadDeadline(time.Now().Add(duplicateTimeout)); err != nil {
		return false
	}
	request, err := http.ReadRequest(reader)
	return err == nil && request != nil
}
