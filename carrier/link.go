package carrier

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/leadership"
	"bronzehook/recovery"
	"bronzehook/workers"
)

const (
	dialTimeout = time.Second
	// silenceLimit is the time without a frame after which a carrier counts as lost. It is above the pauses of a small
	// instance that waits for its share of a processor.
	silenceLimit = 600 * time.Millisecond
	// maxLag is how far a carrier may lag behind the frames sent to it, beyond which it counts as lost.
	maxLag = 700 * time.Millisecond
)

// link is the leader's end of a connection to a carrier.
type link struct {
	conn  net.Conn
	clock leadership.Clock
	// texts mirrors which texts the carrier has.
	texts   *textCache
	session Session

	mu sync.Mutex
	// queue holds the calls that are not sent yet, pending the handlers of all calls without a result.
	queue   []call
	pending map[uint64]doneFunc
	lastID  uint64
	// failed is why the link has ended; closed is closed then.
	failed error
	closed chan struct{}
	// wake is signalled when calls are queued.
	wake chan struct{}
	// lastSent is Sent of the last frame, echo the latest clock of the carrier.
	lastSent, echo atomic.Int64
	// onLeaving is called once when the carrier starts to shut down.
	onLeaving func()
	leaving   bool
}

// doneFunc handles the result of a call. It is called once, by Session.Post.
type doneFunc func(result, error)

// dialLink connects to the carrier at addr.
func dialLink(
	ctx context.Context, addr string, session Session, clock leadership.Clock, guard *recovery.Guard, onLeaving func(), onLost func(error),
) (*link, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial a carrier")
	}
	reader := bufio.NewReader(&silenceReader{conn})
	carrierClock, err := upgrade(conn, reader, addr)
	if err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	l := &link{
		conn: conn, clock: clock, texts: newTextCache(), session: session, pending: make(map[uint64]doneFunc), wake: make(chan struct{}, 1),
		closed: make(chan struct{}), onLeaving: onLeaving,
	}
	l.echo.Store(carrierClock)
	go func() {
		if err := guard.Do("carrier calls", l.writeCalls); err != nil {
			l.fail(err)
		}
	}()
	go func() {
		if err := guard.Do("carrier results", func() { l.fail(l.readResults(reader)) }); err != nil {
			l.fail(err)
		}
		onLost(l.failed)
	}()
	return l, nil
}

// upgrade asks the server at addr to take over the connection as a carrier, and returns the carrier's clock.
func upgrade(conn net.Conn, reader *bufio.Reader, addr string) (int64, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+addr+Path, nil)
	if err != nil {
		return 0, errors.Wrap(err, "create the request to a carrier")
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", upgradeProtocol)
	if err := conn.SetWriteDeadline(time.Now().Add(dialTimeout)); err != nil {
		return 0, errors.Wrap(err, "set a deadline")
	}
	if err := request.Write(conn); err != nil {
		return 0, errors.Wrap(err, "send the request to a carrier")
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return 0, errors.Wrap(err, "read the response of a carrier")
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		_ = response.Body.Close()
		return 0, errors.WithStack(&RefusedError{Status: response.StatusCode})
	}
	clock, err := strconv.ParseInt(response.Header.Get(headerClock), 10, 64)
	return clock, errors.Wrap(err, "parse the clock of a carrier")
}

// silenceReader reads from a connection until it is silent for silenceLimit.
type silenceReader struct{ net.Conn }

// Read implements io.Reader. After a time-out it tries once more for a moment: if this process itself was paused, the
// deadline has passed although data has arrived.
func (r *silenceReader) Read(buffer []byte) (int, error) {
	n, err := r.readWithin(buffer, silenceLimit)
	var failure net.Error
	if n == 0 && errors.As(err, &failure) && failure.Timeout() {
		return r.readWithin(buffer, silenceLimit/4)
	}
	return n, err
}

func (r *silenceReader) readWithin(buffer []byte, limit time.Duration) (int, error) {
	if err := r.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, errors.Wrap(err, "set a read deadline")
	}
	return r.Conn.Read(buffer)
}

// do makes a call through the carrier and does not wait for it. After an error the call may have been made, unless do
// returns it.
func (l *link) do(request call, done doneFunc) error {
	l.mu.Lock()
	if l.failed != nil {
		defer l.mu.Unlock()
		return l.failed
	}
	l.lastID++
	request.ID = l.lastID
	l.pending[request.ID] = done
	l.queue = append(l.queue, request)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// fail ends the link and all its calls.
func (l *link) fail(err error) {
	l.mu.Lock()
	if l.failed != nil {
		l.mu.Unlock()
		return
	}
	failed := errors.WithStack(&LostError{Cause: err})
	l.failed = failed
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	close(l.closed)
	_ = l.conn.Close()
	l.session.Post(func() {
		for _, done := range pending {
			done(result{}, failed)
		}
	})
}

// reject ends calls that were not sent.
func (l *link) reject(calls []call, err error) {
	results := make([]result, len(calls))
	for i := range calls {
		results[i].ID = calls[i].ID
	}
	l.deliver(results, err)
}

// ended reports whether the link has failed.
func (l *link) ended() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// writeCalls sends calls in batches, and an empty frame when there are none for aliveInterval.
func (l *link) writeCalls() {
	alive := time.NewTicker(aliveInterval)
	defer alive.Stop()
	for {
		select {
		case <-l.closed:
			return
		case <-alive.C:
		case <-l.wake:
			time.Sleep(batchDelay)
		}
		l.mu.Lock()
		calls := l.queue
		l.queue = nil
		l.mu.Unlock()
		if !l.session.Valid() {
			// The lease may be renewed again, so that the link stays.
			l.reject(calls, errors.WithStack(&ExpiredError{}))
			calls = nil
		}
		for i := range calls {
			l.omitKnownText(&calls[i])
		}
		// The echo is read before the clock: it is older than the frame.
		echo := l.echo.Load()
		now := l.clock()
		sent := now.Milliseconds()
		l.lastSent.Store(sent)
		limitLeaving(calls, now)
		if err := writeFrame(l.conn, &callFrame{Sent: sent, Echo: echo, Calls: calls}); err != nil {
			l.fail(err)
			return
		}
	}
}

// limitLeaving sets how long after the sending at now each start may leave, rounded down; 0 would mean that it is not bounded.
func limitLeaving(calls []call, now time.Duration) {
	for i := range calls {
		if by := calls[i].leaveBy; by > 0 {
			calls[i].LeaveWithin = (by - now).Milliseconds() - 1
			if calls[i].LeaveWithin == 0 {
				calls[i].LeaveWithin = -1
			}
		}
	}
}

// omitKnownText leaves out the text of a start if the carrier has it.
func (l *link) omitKnownText(request *call) {
	if request.Kind != kindStart {
		return
	}
	if _, request.TextKnown = l.texts.get(request.Task.Job); request.TextKnown {
		request.Text = ""
		return
	}
	l.texts.put(request.Task.Job, "")
}

// readResults reads results until the connection ends or the carrier is silent or lags for too long.
func (l *link) readResults(reader *bufio.Reader) error {
	for {
		var frame resultFrame
		if err := readFrame(reader, &frame); err != nil {
			return err
		}
		l.echo.Store(frame.Clock)
		l.deliver(frame.Results, nil)
		if frame.Leaving && !l.leaving {
			l.leaving = true
			l.onLeaving()
		}
		// The lag is that behind the last frame sent, so that a pause of this process does not count.
		if lag := l.lastSent.Load() - frame.Heard; frame.Heard > 0 && lag > maxLag.Milliseconds() {
			return errors.WithStack(&LagError{Lag: time.Duration(lag) * time.Millisecond})
		}
	}
}

// deliver hands results over with the error that they share, all at once.
func (l *link) deliver(results []result, err error) {
	if len(results) == 0 {
		return
	}
	handlers := make([]doneFunc, len(results))
	l.mu.Lock()
	for i := range results {
		handlers[i] = l.pending[results[i].ID]
		delete(l.pending, results[i].ID)
	}
	l.mu.Unlock()
	l.session.Post(func() {
		for i, done := range handlers {
			if done != nil {
				done(results[i], err)
			}
		}
	})
}

// errorOf returns the error that the same call would have had without a carrier.
func (r *result) errorOf(id workers.ID) error {
	switch {
	case r.Refused != "":
		return errors.WithStack(&workers.RefusedError{Worker: id, Reason: r.Refused})
	case r.NotSent:
		return errors.WithStack(&workers.NotSentError{Worker: id, Detail: r.Failure, Withheld: r.Withheld})
	case r.Failure != "":
		return errors.WithStack(&workers.UnreachableError{Worker: id, Detail: r.Failure})
	}
	return nil
}
