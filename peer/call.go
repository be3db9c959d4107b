package peer

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"bronzehook/fault"
)

// streamCanceled is the QUIC stream code of a call that was given up.
const streamCanceled quic.StreamErrorCode = 1

// stream is the part of a QUIC stream that calls use.
type stream interface {
	io.ReadWriteCloser
	StreamID() quic.StreamID
	CancelRead(quic.StreamErrorCode)
	CancelWrite(quic.StreamErrorCode)
}

// Call sends a request to the instance at addr and decodes its answer into response. A failure carries its outcome:
// not-run if the request provably reached no handler or the handler said so, otherwise unknown.
func Call[Request, Response any](ctx context.Context, t *Transport, addr string, kind Kind, request Request) (Response, error) {
	var response Response
	err := t.Call(ctx, addr, kind, request, &response)
	return response, err
}

// HandleTyped registers a handler that takes and returns decoded messages.
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

// Call sends a request and decodes the answer into response, which may be nil.
func (t *Transport) Call(ctx context.Context, addr string, kind Kind, request, response any) error {
	payload, err := Encode(request)
	if err != nil {
		return fault.NotRun(err)
	}
	answer, err := t.callRaw(ctx, addr, requestHead{Kind: kind, Payload: payload})
	if err != nil {
		return errors.Wrapf(err, "call %s", addr)
	}
	if response == nil {
		return nil
	}
	if err := Decode(answer, response); err != nil {
		return fault.Unknown(err)
	}
	return nil
}

func (t *Transport) callRaw(ctx context.Context, addr string, head requestHead) ([]byte, error) {
	s, err := t.open(ctx, addr, head)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, func() { cancelStream(s) })()
	reply, err := readReply(ctx, s)
	if err != nil {
		return nil, err
	}
	return reply.Payload, reply.failure()
}

// open opens a stream and writes the head. The receiver dispatches only a complete head, so a failure before the head's
// last frame was handed over is not-run.
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
	purpose := head.Kind.Purpose()
	conn, err := t.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	qs, err := conn.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, fault.NotRun(fault.New(fault.CodeUnreachable, "peer call", "open stream to %s: %v", addr, err))
	}
	s := &countedStream{stream: qs, transport: t, conn: conn, purpose: purpose}
	return s, t.writeHead(ctx, s, head.Stream, message)
}

func (t *Transport) writeHead(ctx context.Context, s *countedStream, keepOpen bool, message []byte) error {
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	defer stop()
	last := &lastFrame{w: s}
	err := writeMessage(last, message)
	if err == nil && !keepOpen {
		err = s.Close()
	}
	if err == nil {
		return nil
	}
	cancelStream(s)
	failure := transportFailure(ctx, "peer call", err)
	if last.reached {
		return s.lost(failure)
	}
	return fault.NotRun(failure)
}

// lastFrame notes when the final frame of a message is handed to QUIC.
type lastFrame struct {
	w       io.Writer
	reached bool
}

// Write passes a frame on; the final flag is the top bit of its first byte.
func (l *lastFrame) Write(frame []byte) (int, error) {
	l.reached = l.reached || frame[0]&0x80 != 0
	return l.w.Write(frame)
}

// lost returns the failure of a call whose request was handed over and whose answer is missing: not-run if the peer has told
// that it stopped without having served it.
func (s *countedStream) lost(err error) error {
	if s.conn.refused(s.StreamID()) {
		return fault.NotRun(fault.New(fault.CodeStopping, "peer call", "%s stopped: %v", s.conn.addr, err))
	}
	return fault.Unknown(err)
}

func readReply(ctx context.Context, s *countedStream) (replyHead, error) {
	var reply replyHead
	message, err := readMessage(s)
	if err != nil {
		return reply, s.lost(replyFailure(ctx, err))
	}
	if err := Decode(message, &reply); err != nil {
		return reply, fault.Unknown(err)
	}
	return reply, nil
}

// replyFailure prefers the caller's deadline and the loss of the connection over the truncation that they cause.
func replyFailure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fault.New(fault.CodeTimeout, "peer call", "no answer: %v", ctx.Err())
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
	s.CancelRead(streamCanceled)
	s.CancelWrite(streamCanceled)
}

// Send sends a one-way message of at most about 1 KB. It may be lost on the way; a nil error says only that it was
// handed to the connection.
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
	t.count(addr, kind.Purpose(), 0, len(data))
	return nil
}
