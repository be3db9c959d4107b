package peer

import (
	"context"
	"io"

	"bronzehook/fault"
)

// StreamHandler handles a streaming call. The head is the caller's encoded head. An error returned before WriteHead
// reaches the caller with its code and outcome. A later error ends the stream without its final frame, which the caller
// sees as CodeTruncated.
type StreamHandler func(ctx context.Context, from Sender, head []byte, s *ServerStream) error

// body reads and writes messages of up to MaxMessage bytes as a sequence of frames.
type body struct {
	s *countedStream
	// remaining is the number of unread payload bytes of the current frame, final whether that frame is the last one.
	remaining    int
	final        bool
	bytesRead    int
	bytesWritten int
}

// Read returns io.EOF only after the final frame. It fails with CodeTruncated if the stream ends without one.
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
		b.bytesRead += length
		if b.bytesRead > MaxMessage {
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

// Write sends p in frames without the final flag.
func (b *body) Write(p []byte) (int, error) {
	if b.bytesWritten+len(p) > MaxMessage {
		return 0, fault.New(fault.CodeTooLarge, "peer stream", "message above %d bytes", MaxMessage)
	}
	sent := 0
	for sent < len(p) {
		chunk := p[sent:min(sent+MaxFrame, len(p))]
		if _, err := writeFrame(b.s, chunk, false); err != nil {
			return sent, fault.New(fault.CodeUnreachable, "peer stream", "%v", err)
		}
		sent += len(chunk)
		b.bytesWritten += len(chunk)
	}
	return sent, nil
}

// writeFinal sends an empty final frame and closes the sending side.
func (b *body) writeFinal() error {
	if _, err := writeFrame(b.s, nil, true); err != nil {
		return fault.New(fault.CodeUnreachable, "peer stream", "%v", err)
	}
	// Close fails only if the stream was cancelled already; the final frame has been written.
	_ = b.s.Close()
	return nil
}

// ClientStream is the caller's end of a streaming call. The handler may run as soon as the stream exists, so its errors
// have the outcome unknown unless the peer reports otherwise. Write and CloseWrite may run concurrently with Head and
// Read.
type ClientStream struct {
	ctx       context.Context
	stopWatch func() bool
	body      body
}

// OpenStream starts a streaming call with a head. The caller has to close the stream.
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
	return &ClientStream{ctx: ctx, stopWatch: stop, body: body{s: s}}, nil
}

// Write sends a part of the request body.
func (c *ClientStream) Write(p []byte) (int, error) {
	n, err := c.body.Write(p)
	return n, c.callFailure(err)
}

// CloseWrite completes the request with its final frame.
func (c *ClientStream) CloseWrite() error { return c.callFailure(c.body.writeFinal()) }

// Head waits for the head of the response and decodes it. It must be called once, before Read.
func (c *ClientStream) Head(head any) error {
	response, err := readResponse(c.ctx, c.body.s)
	if err != nil {
		return err
	}
	if err := response.failure(); err != nil {
		return err
	}
	return c.callFailure(Decode(response.Payload, head))
}

// Read reads the body of the response and returns io.EOF after its final frame.
func (c *ClientStream) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	return n, c.callFailure(responseFailure(c.ctx, err))
}

// Close cancels the call if it is not complete.
func (c *ClientStream) Close() {
	c.stopWatch()
	cancelStream(c.body.s)
}

// callFailure adds the outcome to an error of the stream.
func (c *ClientStream) callFailure(err error) error {
	if err == nil {
		return nil
	}
	return c.body.s.failureAfterSend(err)
}

// ServerStream is the handler's end of a streaming call.
type ServerStream struct {
	body        body
	headWritten bool
}

// Read reads the body of the request and returns io.EOF after its final frame.
func (s *ServerStream) Read(p []byte) (int, error) { return s.body.Read(p) }

// WriteHead sends the head of the response. It must be called once, before Write.
func (s *ServerStream) WriteHead(head any) error {
	payload, err := Encode(head)
	if err != nil {
		return err
	}
	return s.writeResponse(responseHead{Payload: payload})
}

// Write sends a part of the response body.
func (s *ServerStream) Write(p []byte) (int, error) { return s.body.Write(p) }

func (s *ServerStream) writeResponse(response responseHead) error {
	data, err := Encode(response)
	if err != nil {
		return err
	}
	s.headWritten = true
	if err := writeMessage(s.body.s, data); err != nil {
		return fault.New(fault.CodeUnreachable, "peer stream", "%v", err)
	}
	return nil
}

func (t *Transport) dispatchStream(ctx context.Context, from Sender, head requestHead, cs *countedStream) {
	handler := t.streamHandlers[head.Kind]
	if handler == nil {
		t.respond(cs, errorResponse(noHandler(head.Kind)))
		cs.CancelRead(streamCancelCode)
		return
	}
	s := &ServerStream{body: body{s: cs}}
	var err error
	if panicked := t.config.Guard.Do("peer stream handler", func() { err = handler(ctx, from, head.Payload, s) }); panicked != nil {
		err = fault.Unknown(panicked)
	}
	t.finishStream(s, cs, err)
}

// finishStream completes the response of a streaming call, or reports err if the handler wrote no head.
func (t *Transport) finishStream(s *ServerStream, cs *countedStream, err error) {
	switch {
	case err == nil && s.headWritten:
		err = s.body.writeFinal()
	case err == nil:
		err = fault.New(fault.CodeInternal, "peer stream", "handler wrote no response head")
		t.respond(cs, errorResponse(err))
	case !s.headWritten:
		t.respond(cs, errorResponse(err))
	default:
		cs.CancelWrite(streamCancelCode)
	}
	if err != nil || !s.body.final {
		cs.CancelRead(streamCancelCode)
	}
}
