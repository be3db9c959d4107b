package logging

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of a Bounded writer.
const (
	// maxBuffered bounds the bytes that wait to be written.
	maxBuffered = 256 << 10
	// importantReserve of them is kept for warnings, errors, and lines that concern more than one request or task.
	importantReserve = 64 << 10
	flushEvery       = 50 * time.Millisecond
	// blockedPause is the pause after a write that took only a part, as one to a full pipe does.
	blockedPause = 5 * time.Millisecond
	// maxPerSecond bounds the other lines of a second: what collects the output takes up no more.
	maxPerSecond = 700
)

// Bounded collects lines in memory and writes them from a goroutine of its own, so that a reader that stalls never
// stalls the process. Lines beyond the bound are dropped and counted; the count is written as a line of its own.
type Bounded struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	// second and inSecond count the lines of the present second that are not important.
	second   int64
	inSecond int
	wake     chan struct{}
	done     chan struct{}
	closed   bool
}

// NewBounded returns a writer. Close writes what is left.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

var importantMarks = [][]byte{[]byte("level=warn"), []byte("level=error"), []byte("level=fatal")}

// singleMarks begin the pairs that name one request or task.
var singleMarks = [][]byte{[]byte(" " + KeyTask + "="), []byte(" " + KeyRequest + "=")}

// important reports whether a line has to be kept before others: it warns, or tells of the process or the fleet as a whole.
func important(line []byte) bool {
	single := false
	for _, mark := range singleMarks {
		single = single || bytes.Contains(line, mark)
	}
	if !single {
		return true
	}
	for _, mark := range importantMarks {
		if bytes.Contains(line, mark) {
			return true
		}
	}
	return false
}

// Write takes a line. It never blocks and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := maxBuffered
	if !important(line) {
		limit -= importantReserve
		if !b.withinRate() {
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

// withinRate counts a line and reports whether its second has room for it.
func (b *Bounded) withinRate() bool {
	if now := time.Now().Unix(); now != b.second {
		b.second, b.inSecond = now, 0
	}
	b.inSecond++
	return b.inSecond <= maxPerSecond
}

func (b *Bounded) run() {
	defer close(b.done)
	for range b.wake {
		time.Sleep(flushEvery)
		if b.flush() {
			return
		}
	}
}

// flush writes what has been collected and reports whether the writer is closed.
func (b *Bounded) flush() bool {
	b.mu.Lock()
	full, dropped, closed := b.buffer, b.dropped, b.closed
	b.buffer, b.dropped = b.spare[:0], 0
	b.mu.Unlock()
	if dropped > 0 {
		full = append(full, "level=warn message=\"log lines dropped\" lines="+strconv.Itoa(dropped)+"\n"...)
	}
	b.writeAll(full)
	b.mu.Lock()
	b.spare = full[:0]
	b.mu.Unlock()
	return closed
}

// writeAll writes the lines to their end. What comes meanwhile is collected, up to the bound. An output that takes nothing any
// more is given up.
func (b *Bounded) writeAll(lines []byte) {
	for len(lines) > 0 {
		n, err := b.out.Write(lines)
		lines = lines[n:]
		if err == nil || errors.Is(err, io.ErrShortWrite) {
			continue
		}
		if !errors.Is(err, syscall.EAGAIN) {
			return
		}
		time.Sleep(blockedPause)
	}
}

// closeTimeout bounds the wait for a reader that stalls.
const closeTimeout = 300 * time.Millisecond

// Close writes what is left, unless the reader stalls.
func (b *Bounded) Close() {
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
