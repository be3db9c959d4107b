package carrier

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/bodylimit"
	"bronzehook/fault"
	"bronzehook/jobs"
	"bronzehook/startgate"
	"bronzehook/workers"
)

// callKind is the kind of a call to a worker.
type callKind uint8

// The kinds of calls.
const (
	kindStart callKind = iota + 1
	kindStop
	kindPoll
	kindThrottle
)

// call is one call to a worker.
type call struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64
	Kind         callKind
	Worker       workers.ID
	Addr         string
	FencingToken uint64
	Task         task
	Attempt      int
	// Text is the text of the job of a start. It is sent with the first start of a job only: TextKnown is set if the
	// carrier has it already.
	Text       string
	TextKnown  bool
	Checkpoint string
	Ticket     string
	// LeaseExpiry and StartTime are those of a start or poll. AckUpTo is that of a poll.
	LeaseExpiry int64
	StartTime   int64
	AckUpTo     int64
	// Wait and TimeoutMargin are those of a poll, in ms.
	Wait          int64
	TimeoutMargin int64
	// Percent is that of a throttle.
	Percent int
	// DataCentre is that of the worker of a start. LeaveWithin is how long after callFrame.Echo the start may leave, in ms; 0 if
	// it is not bounded.
	DataCentre  string
	LeaveWithin int64

	// leaveBy is until when the start may leave, by the clock of this end. It is not part of the message.
	leaveBy time.Duration
}

// task is jobs.Task on the wire.
type task struct {
	_          struct{} `cbor:",toarray"`
	Job        jobs.ID
	Occurrence int
	Step       int
	Index      int
}

func wireTask(t jobs.Task) task {
	return task{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

func (t *task) task() jobs.Task {
	return jobs.Task{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

func (c *call) target() workers.Target {
	return workers.Target{ID: c.Worker, Addr: c.Addr, FencingToken: c.FencingToken}
}

// result is the result of one call. Failure is set if the worker did not answer, Refused if it refused the call, and NotSent, with
// Failure, if the call is a start that was not sent.
type result struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Refused workers.Reason
	Failure string
	NotSent bool
	// Withheld is set, with NotSent, if the last check before the write forbade the start.
	Withheld  startgate.Reason
	Clock     int64
	Inventory *inventory
}

// inventory is workers.Inventory on the wire.
type inventory struct {
	_            struct{} `cbor:",toarray"`
	StartTime    int64
	Running      []running
	Terminations []termination
	Unknown      int
	AckedUpTo    int64
}

type running struct {
	_          struct{} `cbor:",toarray"`
	Task       task
	Attempt    int
	Checkpoint string
	Percent    int
	Usage      int
}

type termination struct {
	_          struct{} `cbor:",toarray"`
	Number     int64
	Task       task
	Attempt    int
	Cause      workers.Cause
	Checkpoint string
}

func wireInventory(from *workers.Inventory) *inventory {
	to := &inventory{StartTime: from.StartTime, Unknown: from.Unknown, AckedUpTo: from.AckedUpTo}
	for i := range from.Running {
		r := &from.Running[i]
		to.Running = append(to.Running, running{
			Task: wireTask(r.Task), Attempt: r.Attempt, Checkpoint: r.Checkpoint, Percent: r.Percent, Usage: r.Usage,
		})
	}
	for i := range from.Terminations {
		e := &from.Terminations[i]
		to.Terminations = append(to.Terminations, termination{
			Number: e.Number, Task: wireTask(e.Task), Attempt: e.Attempt, Cause: e.Cause, Checkpoint: e.Checkpoint,
		})
	}
	return to
}

func (i *inventory) inventory(clock int64) workers.Inventory {
	to := workers.Inventory{Clock: clock, StartTime: i.StartTime, Unknown: i.Unknown, AckedUpTo: i.AckedUpTo}
	for k := range i.Running {
		r := &i.Running[k]
		to.Running = append(to.Running, workers.Running{
			Task: r.Task.task(), Attempt: r.Attempt, Checkpoint: r.Checkpoint, Percent: r.Percent, Usage: r.Usage,
		})
	}
	for k := range i.Terminations {
		e := &i.Terminations[k]
		to.Terminations = append(to.Terminations, workers.Termination{
			Number: e.Number, Task: e.Task.task(), Attempt: e.Attempt, Cause: e.Cause, Checkpoint: e.Checkpoint,
		})
	}
	return to
}

// callFrame is a batch of calls.
type callFrame struct {
	_ struct{} `cbor:",toarray"`
	// Sent is the leader's clock at the time of sending, in ms.
	Sent int64
	// Echo is the carrier's clock in the latest message that the leader has received, in ms. The frame was sent after that time,
	// so that a time span that starts with the sending and is counted from Echo ends too early rather than too late, whatever
	// the delays of the network and the drift of the clocks.
	Echo  int64
	Calls []call
}

// resultFrame is a batch of results. Without results it shows that the carrier is alive.
type resultFrame struct {
	_ struct{} `cbor:",toarray"`
	// Heard is the greatest Sent that the carrier has received, so that the leader sees how far the carrier lags.
	Heard   int64
	Results []result
	// Leaving is set once the carrier is shutting down. It still makes the calls that it has.
	Leaving bool
	// Clock is the carrier's clock at the time of sending, in ms.
	Clock int64
}

// MaxFrameBytes bounds a frame, which is read into memory.
const MaxFrameBytes = 8 << 20

// FrameError reports a frame that is too long.
type FrameError struct{ Bytes int }

// Error implements error.
func (e *FrameError) Error() string { return "frame is too long" }

// Code implements fault.Coded.
func (*FrameError) Code() fault.Code { return fault.CodeTooLarge }

const lengthBytes = 4

// encodeFrame returns a frame with its length in front.
func encodeFrame(frame any) ([]byte, error) {
	encoded, err := cbor.Marshal(frame)
	if err != nil {
		return nil, errors.NewAssertionErrorWithWrappedErrf(err, "encode a %T", frame)
	}
	if len(encoded) > MaxFrameBytes {
		return nil, errors.WithStack(&FrameError{Bytes: len(encoded)})
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(encoded)), uint32(len(encoded))), encoded...), nil
}

// readFrame reads a frame into frame. The buffer grows with what arrives.
func readFrame(r io.Reader, frame any) error {
	size, err := readLength(r)
	if err != nil {
		return err
	}
	return readContent(r, size, frame)
}

// smallFrameBytes is the size up to which frames are read without a claim. Most frames are smaller.
const smallFrameBytes = 16 << 10

// readFrameWithin reads a frame from a connection into frame, within the budget of frames.
func readFrameWithin(frames *bodylimit.Budget, conn net.Conn, r io.Reader, frame any) error {
	size, err := readLength(r)
	if err != nil {
		return err
	}
	if size <= smallFrameBytes {
		return readContent(r, size, frame)
	}
	return frames.ReadFrame(conn, r, size, func(encoded []byte) error {
		return errors.Wrap(cbor.Unmarshal(encoded, frame), "decode a frame")
	})
}

func readLength(r io.Reader) (int64, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return 0, errors.Wrap(err, "read the length of a frame")
	}
	size := int64(binary.BigEndian.Uint32(length[:]))
	if size > MaxFrameBytes {
		return 0, errors.WithStack(&FrameError{Bytes: int(size)})
	}
	return size, nil
}

func readContent(r io.Reader, size int64, frame any) error {
	var encoded bytes.Buffer
	encoded.Grow(int(min(size, smallFrameBytes)))
	if _, err := io.CopyN(&encoded, r, size); err != nil {
		return errors.Wrap(err, "read a frame")
	}
	return errors.Wrap(cbor.Unmarshal(encoded.Bytes(), frame), "decode a frame")
}

// textCacheSize is the number of jobs whose text a carrier keeps for a connection. Both ends drop the oldest text at the
// same call, so that the leader knows which ones the carrier has.
const textCacheSize = 1024

// textCache holds the texts of the jobs that were started last over a connection.
type textCache struct {
	texts map[jobs.ID]string
	order []jobs.ID
}

func newTextCache() *textCache { return &textCache{texts: make(map[jobs.ID]string)} }

func (c *textCache) get(id jobs.ID) (text string, ok bool) {
	text, ok = c.texts[id]
	return text, ok
}

func (c *textCache) put(id jobs.ID, text string) {
	if _, ok := c.texts[id]; ok {
		c.texts[id] = text
		return
	}
	if len(c.order) == textCacheSize {
		delete(c.texts, c.order[0])
		c.order = c.order[1:]
	}
	c.order = append(c.order, id)
	c.texts[id] = text
}
