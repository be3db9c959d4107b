package peer

import (
	"context"

	"github.com/quic-go/quic-go"

	"bronzehook/fault"
)

// serve handles the streams and datagrams of a connection until it is closed.
func (t *Transport) serve(c *connection) {
	t.goroutines.Go(func() { t.serveDatagrams(c) })
	for {
		qs, err := c.quic.AcceptStream(t.ctx)
		if err != nil {
			t.uncache(c)
			return
		}
		t.goroutines.Go(func() { t.serveStream(c, qs) })
	}
}

func (t *Transport) serveDatagrams(c *connection) {
	for {
		data, err := c.quic.ReceiveDatagram(t.ctx)
		if err != nil {
			return
		}
		var message datagram
		if Decode(data, &message) != nil {
			t.config.Log.Warn().Str("peer", string(c.peer)).Int("bytes", len(data)).Msg("datagram could not be decoded")
			continue
		}
		t.count(c.addr, message.Kind.TrafficClass(), len(data), 0)
		handler := t.handlers[message.Kind]
		if handler == nil {
			continue
		}
		from := Sender{ID: c.peer, Addr: c.addr, Session: message.Session}
		if _, err := t.handle(t.ctx, handler, from, message.Payload); err != nil {
			t.config.Log.Debug().Err(err).Str("peer", string(c.peer)).Msg("handler of a one-way message failed")
		}
	}
}

// serveStream reads the request head of a stream and dispatches the call.
func (t *Transport) serveStream(c *connection, qs *quic.Stream) {
	s := &countedStream{stream: qs, transport: t, conn: c, class: TrafficControl}
	var head requestHead
	message, err := readMessage(s)
	if err == nil {
		err = Decode(message, &head)
	}
	if err != nil {
		t.respond(s, errorResponse(fault.NotRun(err)))
		s.CancelRead(streamCancelCode)
		return
	}
	t.reclassifyHead(s, head.Kind.TrafficClass(), len(message)+frameHeaderBytes)
	if !t.beginCall(c, qs.StreamID()) {
		t.respond(s, errorResponse(fault.NotRun(fault.New(fault.CodeStopping, "peer serve", "transport is stopping"))))
		s.CancelRead(streamCancelCode)
		return
	}
	defer t.activeCalls.Done()
	ctx, cancel := t.handlerContext(qs, head)
	defer cancel()
	from := Sender{ID: c.peer, Addr: c.addr, Session: head.Session}
	if head.Stream {
		t.dispatchStream(ctx, from, head, s)
		return
	}
	t.respond(s, t.dispatch(ctx, from, head))
}

// reclassifyHead moves the bytes of a request head to the traffic class of the call, which is known only once the head
// has been read.
func (t *Transport) reclassifyHead(s *countedStream, class TrafficClass, bytes int) {
	t.count(s.conn.addr, s.class, -bytes, 0)
	t.count(s.conn.addr, class, bytes, 0)
	s.class = class
}

// handlerContext returns a context that ends when the transport stops, the caller's deadline passes or the caller
// cancels the call.
func (t *Transport) handlerContext(qs *quic.Stream, head requestHead) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(t.ctx)
	stopWatch := context.AfterFunc(qs.Context(), cancel)
	stopTimer := func() {}
	if head.Timeout > 0 {
		ctx, stopTimer = context.WithTimeout(ctx, head.Timeout)
	}
	return ctx, func() {
		stopWatch()
		stopTimer()
		cancel()
	}
}

func (t *Transport) dispatch(ctx context.Context, from Sender, head requestHead) responseHead {
	handler := t.handlers[head.Kind]
	if handler == nil {
		return errorResponse(noHandler(head.Kind))
	}
	payload, err := t.handle(ctx, handler, from, head.Payload)
	if err != nil {
		return errorResponse(err)
	}
	return responseHead{Payload: payload}
}

// handle calls a handler. After a panic the outcome of the message is unknown.
func (t *Transport) handle(ctx context.Context, handler Handler, from Sender, payload []byte) (response []byte, err error) {
	panicked := t.config.Guard.Do("peer handler", func() { response, err = handler(ctx, from, payload) })
	if panicked != nil {
		return nil, fault.Unknown(panicked)
	}
	return response, err
}

func noHandler(kind Kind) error {
	return fault.NotRun(fault.New(fault.CodeNotReady, "peer dispatch", "no handler for message kind %d", kind))
}

// respond writes the response head and closes the sending side.
func (t *Transport) respond(s *countedStream, response responseHead) {
	data, err := Encode(response)
	if err == nil && len(data) > MaxMessage {
		data, err = Encode(errorResponse(fault.New(fault.CodeTooLarge, "peer response", "response of %d bytes", len(data))))
	}
	if err != nil {
		cancelStream(s)
		return
	}
	if err := writeMessage(s, data); err != nil {
		cancelStream(s)
		return
	}
	// If the close fails, the caller sees a response without its final frame.
	_ = s.Close()
}
