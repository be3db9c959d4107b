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
	"github.com/rs/zerolog"

	"bronzehook/bodylimit"
	"bronzehook/evacuation"
	"bronzehook/leadership"
	"bronzehook/recovery"
	"bronzehook/startgate"
	"bronzehook/workers"
)

// Path is the path at which a carrier accepts connections, by an upgrade of HTTP/1.1.
const Path = "/-/carrier"

// upgradeProtocol names the protocol and its version. During a rolling update, a leader makes the calls itself instead of
// using instances with another version.
const upgradeProtocol = "bronzehook-carrier/4"

// Timing of a connection.
const (
	// batchDelay is how long an end collects calls or results before it sends them.
	batchDelay = 5 * time.Millisecond
	// aliveInterval is the longest time between two frames of one end.
	aliveInterval = 100 * time.Millisecond
	// maxCallAge bounds the age of a call when the carrier makes it. Older ones were delayed by the network or by a pause
	// of the carrier, and the leader may have given them up.
	maxCallAge   = 500 * time.Millisecond
	writeTimeout = time.Second
	// maxConcurrentCalls bounds the calls that a carrier makes at a time for one leader.
	maxConcurrentCalls = 8192
	// maxEvacuationsAge is the age from which on the carrier's knowledge of evacuations withholds no start that the leader has
	// bounded in time. It exceeds the bound of evacuations (5 s), so that the leader's knowledge is newer: the evacuation has been
	// withdrawn, and a carrier that is cut off would withhold starts for as long as it is.
	maxEvacuationsAge = 10 * time.Second
)

// headerClock is the header of the response to an upgrade that holds the carrier's clock, in ms.
const headerClock = "Bronzehook-Clock"

// Server makes calls to workers for leaders on other instances.
type Server struct {
	client workers.Client
	// evacuations holds the evacuations that this instance knows of; the leader may not know them yet.
	evacuations *evacuation.Registry
	clock       leadership.Clock
	guard       *recovery.Guard
	logger      zerolog.Logger
	leaving     atomic.Bool
	// frames holds the large frames that arrive.
	frames *bodylimit.Budget
}

// NewServer returns a server that makes calls with a client, but no starts in data centres that are being evacuated. Large
// frames of leaders are read within the budget.
func NewServer(
	client workers.Client, evacuations *evacuation.Registry, clock leadership.Clock, guard *recovery.Guard, logger zerolog.Logger,
	frames *bodylimit.Budget,
) *Server {
	return &Server{client: client, evacuations: evacuations, clock: clock, guard: guard, logger: logger, frames: frames}
}

// Leave tells the leaders that this instance is shutting down. Calls that it has are still made.
func (s *Server) Leave() { s.leaving.Store(true) }

// ServeHTTP implements http.Handler. It takes over the connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != upgradeProtocol || s.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer conn.Close()
	accepted := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + upgradeProtocol + "\r\n" +
		headerClock + ": " + strconv.FormatInt(s.clock().Milliseconds(), 10) + "\r\n\r\n"
	if conn.SetDeadline(time.Time{}) != nil {
		return
	}
	if _, err := conn.Write([]byte(accepted)); err != nil {
		return
	}
	s.logger.Info().Str("peer", conn.RemoteAddr().String()).Msg("calls to workers are made for a leader")
	err = newServerConn(s, conn).run(buffered.Reader)
	s.logger.Info().Str("peer", conn.RemoteAddr().String()).AnErr("error", err).Msg("calls to workers end")
}

// serverConn is the connection of one leader.
type serverConn struct {
	*Server
	conn  net.Conn
	ctx   context.Context
	stop  context.CancelFunc
	texts *textCache
	slots chan struct{}
	heard atomic.Int64

	mu      sync.Mutex
	results []result
	wake    chan struct{}
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	c := &serverConn{Server: s, conn: conn, texts: newTextCache(), slots: make(chan struct{}, maxConcurrentCalls), wake: make(chan struct{}, 1)}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

// run reads calls until the connection ends.
func (c *serverConn) run(reader *bufio.Reader) error {
	defer c.stop()
	go c.guard.Do("carrier results", c.writeResults)
	var age callAge
	for {
		var frame callFrame
		if err := readFrameWithin(c.frames, c.conn, reader, &frame); err != nil {
			return err
		}
		c.heard.Store(frame.Sent)
		tooOld := age.of(frame.Sent, c.clock().Milliseconds()) > maxCallAge
		for i := range frame.Calls {
			if within := frame.Calls[i].LeaveWithin; within != 0 {
				frame.Calls[i].leaveBy = max(1, time.Duration(frame.Echo+within)*time.Millisecond)
			}
			c.handle(&frame.Calls[i], tooOld)
		}
	}
}

// handle completes the text of a call and makes it, unless it is too old.
func (c *serverConn) handle(request *call, tooOld bool) {
	if request.Kind == kindStart && !request.TextKnown {
		c.texts.put(request.Task.Job, request.Text)
	}
	if request.Kind == kindStart && request.TextKnown {
		text, ok := c.texts.get(request.Task.Job)
		if !ok {
			c.finish(notMade(request, "the carrier does not have the text of the job"))
			return
		}
		request.Text = text
	}
	if tooOld {
		c.finish(notMade(request, "the call reached the carrier too late"))
		return
	}
	select {
	case c.slots <- struct{}{}:
	default:
		c.finish(notMade(request, "the carrier has too many calls"))
		return
	}
	go func() {
		defer func() { <-c.slots }()
		answer := result{ID: request.ID, Failure: "the carrier failed"}
		_ = c.guard.Do("carrier call", func() { answer = c.make(request) })
		c.finish(answer)
	}()
}

// notMade returns the result of a call that the carrier does not make.
func notMade(request *call, detail string) result {
	return result{ID: request.ID, Failure: detail, NotSent: request.Kind == kindStart}
}

// make makes a call.
func (c *serverConn) make(request *call) result {
	answer := result{ID: request.ID}
	var err error
	switch request.Kind {
	case kindStart:
		answer.Clock, err = c.client.Start(c.ctx, workers.Start{
			Target: request.target(), Task: request.Task.task(), Attempt: request.Attempt, Text: request.Text,
			Checkpoint: request.Checkpoint, StartTime: request.StartTime, LeaseExpiry: request.LeaseExpiry, Ticket: request.Ticket,
			DataCentre: request.DataCentre, LeaveBy: request.leaveBy, MayLeave: func() error { return c.mayLeave(request) },
		})
	case kindStop:
		err = c.client.Stop(c.ctx, request.target(), request.Task.task(), request.Attempt)
	case kindThrottle:
		err = c.client.Throttle(c.ctx, request.target(), request.Task.task(), request.Attempt, request.Percent)
	case kindPoll:
		var reported workers.Inventory
		reported, err = c.client.Poll(c.ctx, workers.PollRequest{
			Target: request.target(), StartTime: request.StartTime, LeaseExpiry: request.LeaseExpiry, AckUpTo: request.AckUpTo,
			Wait: time.Duration(request.Wait) * time.Millisecond, TimeoutMargin: time.Duration(request.TimeoutMargin) * time.Millisecond,
		})
		answer.Clock, answer.Inventory = reported.Clock, wireInventory(&reported)
	default:
		answer.Failure = "unknown kind of call"
	}
	var refused *workers.RefusedError
	var notSent *workers.NotSentError
	switch {
	case errors.As(err, &refused):
		answer.Refused = refused.Reason
	case errors.As(err, &notSent):
		answer.Failure, answer.NotSent, answer.Withheld = notSent.Detail, true, notSent.Withheld
	case err != nil:
		answer.Failure = err.Error()
	}
	return answer
}

// mayLeave checks a start immediately before it is written.
func (c *serverConn) mayLeave(request *call) error {
	now := c.clock()
	return startgate.Permit{LeaveBy: request.leaveBy}.Check(startgate.Latest{Now: now, Evacuated: c.isEvacuated(request, now)})
}

// isEvacuated reports whether the data centre of a start is being evacuated as far as this instance knows.
func (c *serverConn) isEvacuated(request *call, now time.Duration) bool {
	outdated := request.leaveBy > 0 && now-c.evacuations.ConfirmedAt() >= maxEvacuationsAge
	return !outdated && c.evacuations.Contains(request.DataCentre)
}

// finish queues a result.
func (c *serverConn) finish(answer result) {
	c.mu.Lock()
	c.results = append(c.results, answer)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// writeResults sends results in batches, and an empty frame when there are none for aliveInterval.
func (c *serverConn) writeResults() {
	defer c.conn.Close()
	alive := time.NewTicker(aliveInterval)
	defer alive.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-alive.C:
		case <-c.wake:
			leadership.Sleep(c.ctx, batchDelay)
		}
		c.mu.Lock()
		frame := resultFrame{Heard: c.heard.Load(), Results: c.results, Leaving: c.leaving.Load(), Clock: c.clock().Milliseconds()}
		c.results = nil
		c.mu.Unlock()
		if writeFrame(c.conn, &frame) != nil {
			return
		}
	}
}

func writeFrame(conn net.Conn, frame any) error {
	encoded, err := encodeFrame(frame)
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set a write deadline")
	}
	_, err = conn.Write(encoded)
	return errors.Wrap(err, "write a frame")
}

// callAge estimates the age of frames. The clocks of the two ends are not related: the smallest difference seen stands for a
// frame that was not delayed.
type callAge struct {
	smallest int64
	known    bool
}

func (a *callAge) of(sent, now int64) time.Duration {
	difference := now - sent
	if !a.known || difference < a.smallest {
		a.smallest, a.known = difference, true
	}
	return time.Duration(difference-a.smallest) * time.Millisecond
}
