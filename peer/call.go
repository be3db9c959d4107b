package peer

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"bronzehook/fault"
)

// streamCancelCode is the QUIC stream error code of a cancelled call.
const streamCancelCode quic.StreamErrorCode = 1

// stream is the part of a QUIC stream that calls use.
type stream interface {
	io.ReadWriteCloser
	StreamID() quic.StreamID
	CancelRead(quic.StreamErrorCode)
	CancelWrite(quic.StreamErrorCode)
}

// Call sends a request to the instance at addr and returns the decoded response. An error carries the outcome of the
// request: not-run if it provably reached no handler or if the handler reported not-run, otherwise unknown.
func Call[Request, Response any](ctx context.Context, t *Transport, addr string, kind Kind, request Request) (Response, error) {
	var response Response
	err := t.Call(ctx, addr, kind, request, &response)
	return response, err
}

// HandleTyped registers a handler that takes a decoded request and returns a response to be encoded.
func HandleTyped[Request, Response any](t *Transport, kind Kind, handle func(context.Context, Sender, Request) (Response, error)) {
	t.Handle(kind, func(ctx context.Context, from Sender, payload []byte) ([]byte, error) {
		var request Request
		if err := Decode(payload, &request); err != nil {
			return nil, fault.NotRun(err)
		}
		response, err := handle(ctx, from, request)
		if err != nil {
			return nil, err
		}
		return Encode(response)
	})
}

// Call sends a request and decodes the response into response. A nil response discards it.
func (t *Transport) Call(ctx context.Context, addr string, kind Kind, request, response any) error {
	payload, err := Encode(request)
	if err != nil {
		return fault.NotRun(err)
	}
	encoded, err := t.callEncoded(ctx, addr, requestHead{Kind: kind, Payload: payload})
	if err != nil {
		return errors.Wrapf(err, "call %s", addr)
	}
	if response == nil {
		return nil
	}
	if err := Decode(encoded, response); err != nil {
		return fault.Unknown(err)
	}
	return nil
}

// callEncoded sends a request with an encoded payload and returns the encoded payload of the response.
func (t *Transport) callEncoded(ctx context.Context, addr string, head requestHead) ([]byte, error) {
	s, err := t.open(ctx, addr, head)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, func() { cancelStream(s) })()
	response, err := readResponse(ctx, s)
	if err != nil {
		return nil, err
	}
	return response.Payload, response.failure()
}

// open opens a stream and writes the request head. The receiver dispatches complete heads only, so a failure before the
// final frame of the head was passed to QUIC is not-run.
func (t *Transport) open(ctx context.Context, addr string, head requestHead) (*countedStream, error) {
	head.Session = t.config.Session
	if deadline, ok := ctx.Deadline(); ok {
		head.Timeout = max(time.Until(deadline), time.Millisecond)
	}
	message, err := Encode(head)
	if err != nil {
		return nil, fault.NotRun(err)
	}
	if len(message) > MaxMessage {
		return nil, fault.NotRun(fault.New(fault.CodeTooLarge, "peer call", "message of %d bytes", len(message)))
	}
	class := head.Kind.TrafficClass()
	conn, err := t.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	qs, err := conn.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, fault.NotRun(fault.New(fault.CodeUnreachable, "peer call", "open stream to %s: %v", addr, err))
	}
	s := &countedStream{stream: qs, transport: t, conn: conn, class: class}
	return s, t.writeHead(ctx, s, head.Stream, message)
}

// writeHead writes an encoded request head and closes the sending side unless keepOpen is set.
func (t *Transport) writeHead(ctx context.Context, s *countedStream, keepOpen bool, message []byte) error {
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	defer stop()
	last := &finalFrameWriter{w: s}
	err := writeMessage(last, message)
	if err == nil && !keepOpen {
		err = s.Close()
	}
	if err == nil {
		return nil
	}
	cancelStream(s)
	failure := transportFailure(ctx, "peer call", err)
	if last.finalWritten {
		return s.failureAfterSend(failure)
	}
	return fault.NotRun(failure)
}

// finalFrameWriter records whether the final frame of a message was passed to QUIC.
type finalFrameWriter struct {
	w            io.Writer
	finalWritten bool
}

// Write writes one frame. The final flag is the top bit of its first byte.
func (l *finalFrameWriter) Write(frame []byte) (int, error) {
	l.finalWritten = l.finalWritten || frame[0]&0x80 != 0
	return l.w.Write(frame)
}

// failureAfterSend returns the error of a call whose request was sent and whose response is missing or incomplete. Its
// outcome is not-run if the peer reported on closing the connection that it had not served the call, otherwise unknown.
func (s *countedStream) failureAfterSend(err error) error {
	if s.conn.neverServed(s.StreamID()) {
		return fault.NotRun(fault.New(fault.CodeStopping, "peer call", "%s stopped: %v", s.conn.addr, err))
	}
	return fault.Unknown(err)
}

// readResponse reads and decodes the response head.
func readResponse(ctx context.Context, s *countedStream) (responseHead, error) {
	var response responseHead
	message, err := readMessage(s)
	if err != nil {
		return response, s.failureAfterSend(responseFailure(ctx, err))
	}
	if err := Decode(message, &response); err != nil {
		return response, fault.Unknown(err)
	}
	return response, nil
}

// responseFailure returns a time-out if the caller's context has ended, because the truncated read is then only a
// consequence of it, and otherwise err itself.
func responseFailure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fault.New(fault.CodeTimeout, "peer call", "no response: %v", ctx.Err())
	}
	return err
}

func transportFailure(ctx context.Context, op string, err error) error {
	if ctx.Err() != nil {
		return fault.New(fault.CodeTimeout, op, "%v", ctx.Err())
	}
	return fault.New(fault.CodeUnreachable, op, "%v", err)
}

func cancelStream(s stream) {
	s.CancelRead(streamCancelCode)
	s.CancelWrite(streamCancelCode)
}

// Send sends a one-way message, which must fit into a datagram of maxDatagram bytes when encoded. Delivery is not
// guaranteed: a nil error only means that the message was passed to the connection.
func (t *Transport) Send(ctx context.Context, addr string, kind Kind, message any) error {
	payload, err := Encode(message)
	if err != nil {
		return fault.NotRun(err)
	}
	data, err := Encode(datagram{Kind: kind, Session: t.config.Session, Payload: payload})
	if err != nil {
		return fault.NotRun(err)
	}
	if len(data) > maxDatagram {
		return fault.NotRun(fault.New(fault.CodeTooLarge, "peer send", "message of %d bytes", len(data)))
	}
	conn, err := t.connect(ctx, addr)
	if err != nil {
		return err
	}
	if err := conn.quic.SendDatagram(data); err != nil {
		return fault.NotRun(fault.New(fault.CodeUnreachable, "peer send", "%s: %v", addr, err))
	}
	t.count(addr, kind.TrafficClass(), 0, len(data))
	return nil
}
