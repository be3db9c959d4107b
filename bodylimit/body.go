package bodylimit

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstBufferBytes is the first size of a buffer, which doubles as the body arrives.
	firstBufferBytes = 4 << 10
	// claimRetry is the time between two tries to find room.
	claimRetry = 50 * time.Millisecond
)

// Options bounds the reading of one body.
type Options struct {
	// Limit is the greatest length of the body.
	Limit int64
	// Deadline returns when the body has to be complete; nil or a zero time leaves it to the minimum rate.
	Deadline func() time.Time
}

// Body is a complete request body in memory. It implements io.ReadCloser, so that it can replace that of the request.
type Body struct {
	*bytes.Reader
	content []byte
	budget  *Budget
	held    int64
}

// Bytes returns the content, which must not be changed.
func (b *Body) Bytes() []byte { return b.content }

// Close implements io.Closer.
func (*Body) Close() error { return nil }

// Release gives the memory back to the budget. The content must not be used afterwards.
func (b *Body) Release() {
	if b.budget != nil {
		b.budget.release(b.held)
		b.held, b.budget = 0, nil
	}
}

// Content returns the content of a request body: of a *Body without a copy, otherwise what it reads within the limit.
func Content(body io.Reader, limit int64) ([]byte, error) {
	if complete, ok := body.(*Body); ok {
		if int64(len(complete.content)) > limit {
			return nil, errors.WithStack(&RefusedError{Reason: ReasonTooLarge})
		}
		return complete.content, nil
	}
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.WithStack(&RefusedError{Reason: ReasonIncomplete})
	}
	if int64(len(content)) > limit {
		return nil, errors.WithStack(&RefusedError{Reason: ReasonTooLarge})
	}
	return content, nil
}

// HasBody reports whether a request announces a body.
func HasBody(r *http.Request) bool {
	return r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
}

// Read reads the body of a request into memory. If it returns a *RefusedError, the connection must be closed without reading
// on; CloseAfterResponse prepares that.
func (b *Budget) Read(w http.ResponseWriter, r *http.Request, options Options) (*Body, error) {
	if !HasBody(r) {
		return &Body{Reader: bytes.NewReader(nil)}, nil
	}
	if r.ContentLength > options.Limit {
		return nil, b.refuse(ReasonTooLarge, 0)
	}
	controller := http.NewResponseController(w)
	in := &incoming{
		budget: b, limit: options.Limit, announced: r.ContentLength, deadline: options.Deadline, startedAt: b.now(),
		setReadDeadline: controller.SetReadDeadline,
	}
	defer receivingOn(r.Context())()
	if reason := b.receive(in, r.Body); reason != "" {
		b.release(in.held)
		return nil, b.refuse(reason, len(in.content))
	}
	_ = controller.SetReadDeadline(time.Time{})
	return &Body{Reader: bytes.NewReader(in.content), content: in.content, budget: b, held: in.held}, nil
}

// receive reads a body, which may be evicted meanwhile, but not after the return: the caller resets the read deadline then.
func (b *Budget) receive(in *incoming, body io.Reader) Reason {
	in.noteProgress(in.startedAt)
	b.addReceiving(in)
	defer b.removeReceiving(in)
	return in.readFrom(body)
}

func (b *Budget) refuse(reason Reason, arrived int) error {
	b.stats.countRefused(reason)
	b.logger.Info().Str("reason", string(reason)).Int("arrived", arrived).Msg("request body refused")
	return errors.WithStack(&RefusedError{Reason: reason})
}

// CloseAfterResponse makes the server close the connection after the response, without reading the rest of the body.
func CloseAfterResponse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// net/http reads on to discard the rest of a body, which a stalled client would prolong without end.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

// incoming is a body that is being read.
type incoming struct {
	budget    *Budget
	limit     int64
	announced int64
	deadline  func() time.Time
	startedAt time.Time
	content   []byte
	held      int64
	progress  atomic.Int64

	mu              sync.Mutex
	evicted         bool
	setReadDeadline func(time.Time) error
}

func (in *incoming) noteProgress(at time.Time) { in.progress.Store(at.UnixNano()) }

func (in *incoming) progressAt() time.Time { return time.Unix(0, in.progress.Load()) }

// readFrom reads the body to its end, and returns why it can't.
func (in *incoming) readFrom(body io.Reader) Reason {
	for {
		if len(in.content) == cap(in.content) && !in.grow() {
			return ReasonNoMemory
		}
		if !in.armDeadline() {
			return ReasonNoMemory
		}
		n, err := body.Read(in.content[len(in.content):cap(in.content)])
		in.content = in.content[:len(in.content)+n]
		if n > 0 {
			in.noteProgress(in.budget.now())
		}
		switch {
		case int64(len(in.content)) > in.limit:
			return ReasonTooLarge
		case errors.Is(err, io.EOF):
			return in.finish()
		case err != nil:
			return in.reasonOf(err)
		}
	}
}

// maxCapacity is one byte more than the body may have, so that the end, or an excess, is found without another buffer.
func (in *incoming) maxCapacity() int64 {
	if in.announced > 0 {
		return in.announced + 1
	}
	return in.limit + 1
}

// grow moves the content to a larger buffer, within the budget.
func (in *incoming) grow() bool {
	old := int64(cap(in.content))
	next := max(2*old, firstBufferBytes)
	if next+1 >= in.maxCapacity() {
		// A buffer that lacks only the extra byte would have to be copied once more, with twice the memory.
		next = in.maxCapacity()
	}
	if !in.claim(next) {
		return false
	}
	larger := make([]byte, len(in.content), next)
	copy(larger, in.content)
	in.content = larger
	in.budget.release(old)
	in.held -= old
	return true
}

// finish counts the copies that the handling of the request makes.
func (in *incoming) finish() Reason {
	if !in.claim(in.budget.limits.WorkCopies * int64(len(in.content))) {
		return ReasonNoMemory
	}
	return ""
}

// claim claims memory, and waits a short time for it. A body that is read on other goroutines may end meanwhile.
func (in *incoming) claim(bytes int64) bool {
	for waitUntil := in.budget.now().Add(in.budget.limits.ClaimWait); ; time.Sleep(claimRetry) {
		if in.budget.claim(bytes, max(bytes, in.held), in.limit) {
			in.held += bytes
			return true
		}
		in.budget.relieve()
		// The wait is not the client's fault.
		in.noteProgress(in.budget.now())
		if in.isEvicted() || in.budget.now().After(waitUntil) {
			return false
		}
	}
}

func (in *incoming) reasonOf(err error) Reason {
	var timeout net.Error
	switch {
	case in.isEvicted():
		return ReasonNoMemory
	case errors.As(err, &timeout) && timeout.Timeout():
		return ReasonStalled
	}
	return ReasonIncomplete
}

// armDeadline sets the time until which the next bytes have to arrive, and reports false if the body was evicted.
func (in *incoming) armDeadline() bool {
	at := in.nextDeadline(in.budget.now())
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.evicted {
		return false
	}
	// Writers without deadlines, such as those of tests, are read without.
	_ = in.setReadDeadline(at)
	return true
}

// nextDeadline returns the earliest of the times from which on the body is too slow.
func (in *incoming) nextDeadline(now time.Time) time.Time {
	limits := in.budget.limits
	at := now.Add(limits.StallTimeout)
	if limits.MinRate > 0 {
		expected := time.Duration(len(in.content)) * time.Second / time.Duration(limits.MinRate)
		at = earlier(at, in.startedAt.Add(rateGrace+expected))
	}
	if in.deadline != nil {
		at = earlier(at, in.deadline())
	}
	return at
}

// earlier returns the earlier of two times, of which the second may be zero.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// evict ends the reading of the body from another goroutine.
func (in *incoming) evict() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.evicted = true
	_ = in.setReadDeadline(time.Unix(1, 0))
}

func (in *incoming) isEvicted() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.evicted
}
