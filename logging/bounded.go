package logging

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Limits and intervals of a Bounded writer.
const (
	// maxBufferedBytes bounds the lines that wait to be written.
	maxBufferedBytes = 256 << 10
	// importantReserveBytes is the part of the buffer that only important lines may use: warnings, errors, and lines
	// that concern more than one request or task.
	importantReserveBytes = 64 << 10
	flushInterval         = 50 * time.Millisecond
	// blockedRetryDelay is the time until the next write after a partial one, such as a write to a full pipe.
	blockedRetryDelay = 5 * time.Millisecond
	// maxDetailLinesPerSecond bounds the lines that are not important: the log collector accepts no more per second.
	maxDetailLinesPerSecond = 700
)

// BoundedWriter buffers lines in memory and writes them from its own goroutine, so that a stalled reader never blocks the
// process. Lines beyond the limits are dropped; a line with their number is written instead.
type BoundedWriter struct {
	out    io.Writer
	mu     sync.Mutex
	buffer []byte
	// spare is the buffer of the previous write, kept for reuse.
	spare   []byte
	dropped int
	// currentSecond is the Unix time for which detailLines counts the lines that are not important.
	currentSecond int64
	detailLines   int
	wake          chan struct{}
	done          chan struct{}
	closed        bool
}

// NewBoundedWriter returns a writer to out. Close writes the lines that are still buffered.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.flushLoop()
	return b
}

// severityMarks are the levels that make a line important.
var severityMarks = [][]byte{[]byte("level=warn"), []byte("level=error"), []byte("level=fatal")}

// detailMarks begin the pairs that name a single request or task.
var detailMarks = [][]byte{[]byte(" " + KeyTask + "="), []byte(" " + KeyRequest + "=")}

// isImportant reports whether a line takes precedence over others: it is a warning or an error, or it concerns the
// process or the fleet as a whole.
func isImportant(line []byte) bool {
	detail := false
	for _, mark := range detailMarks {
		detail = detail || bytes.Contains(line, mark)
	}
	if !detail {
		return true
	}
	for _, mark := range severityMarks {
		if bytes.Contains(line, mark) {
			return true
		}
	}
	return false
}

// Write buffers a line or drops it. It never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := maxBufferedBytes
	if !isImportant(line) {
		limit -= importantReserveBytes
		if !b.allowDetail() {
			limit = 0
		}
	}
	if len(b.buffer)+len(line) > limit {
		b.dropped++
		return len(line), nil
	}
	if len(b.buffer) == 0 {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	b.buffer = append(b.buffer, line...)
	return len(line), nil
}

// Sample implements zerolog.Sampler for loggers of lines that are not important: it reports whether such a line would be
// written now. A logger that goes by it does not spend time on lines that would be dropped.
func (b *BoundedWriter) Sample(zerolog.Level) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Unix() != b.currentSecond || b.detailLines < maxDetailLinesPerSecond {
		return true
	}
	b.dropped++
	return false
}

// allowDetail counts a line that is not important and reports whether it is within the limit of the current second.
func (b *BoundedWriter) allowDetail() bool {
	if now := time.Now().Unix(); now != b.currentSecond {
		b.currentSecond, b.detailLines = now, 0
	}
	b.detailLines++
	return b.detailLines <= maxDetailLinesPerSecond
}

func (b *BoundedWriter) flushLoop() {
	defer close(b.done)
	for range b.wake {
		time.Sleep(flushInterval)
		if b.flush() {
			return
		}
	}
}

// flush writes the buffered lines and reports whether the writer is closed.
func (b *BoundedWriter) flush() bool {
	b.mu.Lock()
	lines, dropped, closed := b.buffer, b.dropped, b.closed
	b.buffer, b.dropped = b.spare[:0], 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, "level=warn message=\"log lines dropped\" lines="+strconv.Itoa(dropped)+"\n"...)
	}
	b.writeAll(lines)
	b.mu.Lock()
	b.spare = lines[:0]
	b.mu.Unlock()
	return closed
}

// writeAll writes all lines and retries partial writes. Lines that arrive meanwhile are buffered up to the limit. If
// the output fails, the remaining lines are discarded.
func (b *BoundedWriter) writeAll(lines []byte) {
	for len(lines) > 0 {
		written, err := b.out.Write(lines)
		lines = lines[written:]
		if err == nil || errors.Is(err, io.ErrShortWrite) {
			continue
		}
		if !errors.Is(err, syscall.EAGAIN) {
			return
		}
		time.Sleep(blockedRetryDelay)
	}
}

// closeTimeout bounds the time for which Close waits for a stalled reader.
const closeTimeout = 300 * time.Millisecond

// Close writes the buffered lines, unless the reader is stalled.
func (b *BoundedWriter) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}
