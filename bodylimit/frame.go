package bodylimit

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// ReadFrame reads a message of a known size from a connection and passes it to use, which must not keep it. The memory is
// claimed as the message arrives.
func (b *Budget) ReadFrame(conn net.Conn, reader io.Reader, size int64, use func([]byte) error) error {
	in := &incoming{budget: b, limit: size, announced: size, startedAt: b.now(), setReadDeadline: conn.SetReadDeadline}
	reason := b.receive(in, io.LimitReader(reader, size))
	defer func() { b.release(in.held) }()
	if reason == "" && int64(len(in.content)) < size {
		reason = ReasonIncomplete
	}
	if reason != "" {
		return b.refuse(reason, len(in.content))
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "reset the deadline of a connection")
	}
	return use(in.content)
}
