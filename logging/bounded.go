package logging

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"
)

// Bounds of a Bounded writer.
const (
	// maxBuffered bounds the bytes that wait to be written.
	maxBuffered = 256 << 10
	// importantReserve of them is kept for warnings and errors.
	importantReserve = 64 << 10
	flushEvery       = 50 * time.Millisecond
)

// Bounded collects lines in memory and writes them from a goroutine of its own, so that a reader that stalls never
// stalls the process. Lines beyond the bound are dropped and counted; the count is written as a line of its own.
type Bounded struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// NewBounded returns a writer. Close writes what is left.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

var importantMarks = [][]byte{[]byte("level=warn"), []byte("level=error"), []byte("level=fatal")}

func important(line []byte) bool {
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
	limit := maxBuffered - importantReserve
	if len(b.buffer)+len(line) > limit && important(line) {
		limit = maxBuffered
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
	_, _ = b.out.Write(full)
	b.mu.Lock()
	b.spare = full[:0]
	b.mu.Unlock()
	return closed
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
