package standin

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// duplicateWait is how long a connection is kept open for the second copy of an answer.
const duplicateWait = 30 * time.Second

// bufferedAnswer holds an answer until it is delivered.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newBufferedAnswer() *bufferedAnswer {
	return &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
}

// Header implements http.ResponseWriter.
func (b *bufferedAnswer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedAnswer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedAnswer) Write(data []byte) (int, error) { return b.body.Write(data) }

// raw returns the answer as it is sent on an HTTP/1.1 connection.
func (b *bufferedAnswer) raw() []byte {
	var out bytes.Buffer
	out.WriteString("HTTP/1.1 " + strconv.Itoa(b.status) + " " + http.StatusText(b.status) + "\r\n")
	// Writing to a buffer does not fail.
	_ = b.header.Write(&out)
	out.WriteString("\r\n")
	out.Write(b.body.Bytes())
	return out.Bytes()
}

// awaitThaw waits while the worker is frozen. It cuts the connection if the worker goes away meanwhile.
func (w *Worker) awaitThaw() {
	select {
	case <-w.faults.thaw():
	case <-w.closed:
		panic(http.ErrAbortHandler)
	}
}

// pause waits for a delay of the answer.
func (w *Worker) pause(delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-w.clock.After(delay):
	case <-w.closed:
		panic(http.ErrAbortHandler)
	}
}

// deliver sends an answer with the faults of its listener. It calls release just before the first byte, so that what
// the request held is free again once its sender has the answer.
func (w *Worker) deliver(out http.ResponseWriter, b *bufferedAnswer, of listenerFaults, release func()) {
	w.awaitThaw()
	spoiled := w.faults.next(of)
	w.pause(spoiled.delay)
	release()
	if spoiled.duplicate {
		w.sendTwice(out, b)
		return
	}
	for name, values := range b.header {
		out.Header()[name] = values
	}
	out.WriteHeader(b.status)
	body := b.body.Bytes()
	if spoiled.truncate {
		_, _ = out.Write(body[:len(body)/2])
		_ = http.NewResponseController(out).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = out.Write(body)
}

// sendTwice sends an answer and sends it again when the next request arrives on the connection, which that request then
// takes for its own answer unless its sender compares request ids.
func (w *Worker) sendTwice(out http.ResponseWriter, b *bufferedAnswer) {
	connection, buffered, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer connection.Close()
	if _, err := connection.Write(b.raw()); err != nil {
		return
	}
	if !w.awaitRequest(connection, buffered.Reader) {
		return
	}
	_, _ = connection.Write(b.raw())
}

func (w *Worker) awaitRequest(connection net.Conn, reader *bufio.Reader) bool {
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-w.closed:
			connection.Close()
		case <-stop:
		}
	}()
	if err := connection.SetReadDeadline(time.Now().Add(duplicateWait)); err != nil {
		return false
	}
	request, err := http.ReadRequest(reader)
	return err == nil && request != nil
}
