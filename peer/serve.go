package peer

import (
	"context"

	"github.com/quic-go/quic-go"

	"bronzehook/fault"
)

// serve takes streams and datagrams of a connection until it ends.
func (t *Transport) serve(c *connection) {
	t.tasks.Go(func() { t.serveDatagrams(c) })
	for {
		qs, err := c.quic.AcceptStream(t.ctx)
		if err != nil {
			t.forget(c)
			return
		}
		t.tasks.Go(func() { t.serveStream(c, qs) })
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
			t.config.Log.Warn().Str("peer", string(c.peer)).Int("bytes", len(data)).Msg("datagram not understood")
			continue
		}
		t.count(c.addr, message.Kind.Purpose(), len(data), 0)
		handler := t.handlers[message.Kind]
		if handler == nil {
			continue
		}
		from := Sender{ID: c.peer, Addr: c.addr, Session: message.Session}
		if _, err := handler(t.ctx, from, message.Payload); err != nil {
			t.config.Log.Debug().Err(err).Str("peer", string(c.peer)).Msg("one-way message refused")
		}
	}
}

func (t *Transport) serveStream(c *connection, qs *quic.Stream) {
	s := &countedStream{stream: qs, transport: t, conn: c, purpose: PurposeControl}
	var head requestHead
	message, err := readMessage(s)
	if err == nil {
		err = Decode(message, &head)
	}
	if err != nil {
		t.answer(s, replyOf(fault.NotRun(err)))
		s.CancelRead(streamCanceled)
		return
	}
	t.moveCount(s, head.Kind.Purpose(), len(message)+frameHeaderBytes)
	if !t.beginCall(c, qs.StreamID()) {
		t.answer(s, replyOf(fault.NotRun(fault.New(fault.CodeStopping, "peer serve", "transport is stopping"))))
		s.CancelRead(streamCanceled)
		return
	}
	defer t.calls.Done()
	ctx, cancel := t.handlerContext(qs, head)
	defer cancel()
	from := Sender{ID: c.peer, Addr: c.addr, Session: head.Session}
	if head.Stream {
		t.dispatchStream(ctx, from, head, s)
		return
	}
	t.answer(s, t.dispatch(ctx, from, head))
}

// moveCount counts the head under its purpose, which is known only after it was read.
func (t *Transport) moveCount(s *countedStream, purpose Purpose, bytes int) {
	t.count(s.conn.addr, s.purpose, -bytes, 0)
	t.count(s.conn.addr, purpose, bytes, 0)
	s.purpose = purpose
}

// handlerContext ends with the transport, with the caller's deadline or when the caller gives up.
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

func (t *Transport) dispatch(ctx context.Context, from Sender, head requestHead) replyHead {
	handler := t.handlers[head.Kind]
	if handler == nil {
		return replyOf(noHandler(head.Kind))
	}
	payload, err := handler(ctx, from, head.Payload)
	if err != nil {
		return replyOf(err)
	}
	return replyHead{Payload: payload}
}

func noHandler(kind Kind) error {
	return fault.NotRun(fault.New(fault.CodeNotReady, "peer dispatch", "no handler for message kind %d", kind))
}

func (t *Transport) answer(s *countedStream, reply replyHead) {
	data, err := Encode(reply)
	if err == nil && len(data) > MaxMessage {
		data, err = Encode(replyOf(fault.New(fault.CodeTooLarge, "peer answer", "answer of %d bytes", len(data))))
	}
	if err != nil {
		cancelStream(s)
		return
	}
	if err := writeMessage(s, data); err != nil {
		cancelStream(s)
		return
	}
	// A failed close shows at the caller as an answer without its final frame.
	_ = s.Close()
}
