package peer

import (
	"context"
	"io"

	"bronzehook/fault"
)

// StreamHandler handles a streaming call. The head is the caller's encoded head. A failure returned before WriteHead
// reaches the caller with its code and outcome; a later one ends the stream without its final frame, which the caller
// sees as CodeTruncated.
type StreamHandler func(ctx context.Context, from Sender, head []byte, s *ServerStream) error

// body reads and writes the frames of one message of any length up to MaxMessage.
type body struct {
	s         *countedStream
	remaining int
	final     bool
	read      int
	written   int
}

// Read returns io.EOF only after the final frame; a stream that ends without it is CodeTruncated.
func (b *body) Read(p []byte) (int, error) {
	for b.remaining == 0 {
		if b.final {
			return 0, io.EOF
		}
		length, final, err := readFrameHeader(b.s)
		if err != nil {
			return 0, err
		}
		b.remaining, b.final = length, final
		b.read += length
		if b.read > MaxMessage {
			return 0, fault.New(fault.CodeTooLarge, "peer stream", "message above %d bytes", MaxMessage)
		}
	}
	n, err := b.s.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	if n == 0 && err != nil {
		return 0, truncated(err)
	}
	return n, nil
}

// Write sends p in frames that are not final.
func (b *body) Write(p []byte) (int, error) {
	if b.written+len(p) > MaxMessage {
		return 0, fault.New(fault.CodeTooLarge, "peer stream", "message above %d bytes", MaxMessage)
	}
	sent := 0
	for sent < len(p) {
		chunk := p[sent:min(sent+MaxFrame, len(p))]
		if _, err := writeFrame(b.s, chunk, false); err != nil {
			return sent, fault.New(fault.CodeUnreachable, "peer stream", "%v", err)
		}
		sent += len(chunk)
		b.written += len(chunk)
	}
	return sent, nil
}

func (b *body) finish() error {
	if _, err := writeFrame(b.s, nil, true); err != nil {
		return fault.New(fault.CodeUnreachable, "peer stream", "%v", err)
	}
	// A failed close means that the stream was given up already; the final frame is out.
	_ = b.s.Close()
	return nil
}

// ClientStream is the caller's end of a streaming call. The handler may have run once it exists, so every failure of it
// is unknown unless the handler says otherwise. Write and CloseWrite may run beside Head and Read.
type ClientStream struct {
	ctx  context.Context
	stop func() bool
	body body
}

// OpenStream begins a streaming call with a head. The caller closes the stream.
func (t *Transport) OpenStream(ctx context.Context, addr string, kind Kind, head any) (*ClientStream, error) {
	payload, err := Encode(head)
	if err != nil {
		return nil, fault.NotRun(err)
	}
	s, err := t.open(ctx, addr, requestHead{Kind: kind, Stream: true, Payload: payload})
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	return &ClientStream{ctx: ctx, stop: stop, body: body{s: s}}, nil
}

// Write sends a part of the request.
func (c *ClientStream) Write(p []byte) (int, error) {
	n, err := c.body.Write(p)
	return n, c.unknown(err)
}

// CloseWrite ends the request with its final frame.
func (c *ClientStream) CloseWrite() error { return c.unknown(c.body.finish()) }

// Head waits for the head of the answer and decodes it. It is called once, before Read.
func (c *ClientStream) Head(head any) error {
	reply, err := readReply(c.ctx, c.body.s)
	if err != nil {
		return err
	}
	if err := reply.failure(); err != nil {
		return err
	}
	return c.unknown(Decode(reply.Payload, head))
}

// Read returns parts of the answer and io.EOF after its final frame.
func (c *ClientStream) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	return n, c.unknown(replyFailure(c.ctx, err))
}

// Close gives the call up if it is not complete.
func (c *ClientStream) Close() {
	c.stop()
	cancelStream(c.body.s)
}

func (c *ClientStream) unknown(err error) error {
	if err == nil {
		return nil
	}
	return c.body.s.lost(err)
}

// ServerStream is the handler's end of a streaming call.
type ServerStream struct {
	body body
	head bool
}

// Read returns parts of the request and io.EOF after its final frame.
func (s *ServerStream) Read(p []byte) (int, error) { return s.body.Read(p) }

// WriteHead sends the head of the answer. It is called once, before Write.
func (s *ServerStream) WriteHead(head any) error {
	payload, err := Encode(head)
	if err != nil {
		return err
	}
	return s.reply(replyHead{Payload: payload})
}

// Write sends a part of the answer.
func (s *ServerStream) Write(p []byte) (int, error) { return s.body.Write(p) }

func (s *ServerStream) reply(reply replyHead) error {
	data, err := Encode(reply)
	if err != nil {
		return err
	}
	s.head = true
	if err := writeMessage(s.body.s, data); err != nil {
		return fault.New(fault.CodeUnreachable, "peer stream", "%v", err)
	}
	return nil
}

func (t *Transport) dispatchStream(ctx context.Context, from Sender, head requestHead, cs *countedStream) {
	handler := t.streamHandlers[head.Kind]
	if handler == nil {
		t.answer(cs, replyOf(noHandler(head.Kind)))
		cs.CancelRead(streamCanceled)
		return
	}
	s := &ServerStream{body: body{s: cs}}
	err := handler(ctx, from, head.Payload, s)
	t.finishStream(s, cs, err)
}

func (t *Transport) finishStream(s *ServerStream, cs *countedStream, err error) {
	switch {
	case err == nil && s.head:
		err = s.body.finish()
	case err == nil:
		err = fault.New(fault.CodeInternal, "peer stream", "handler wrote no head")
		t.answer(cs, replyOf(err))
	case !s.head:
		t.answer(cs, replyOf(err))
	default:
		cs.CancelWrite(streamCanceled)
	}
	if err != nil || !s.body.final {
		cs.CancelRead(streamCanceled)
	}
}
