package peer

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"bronzehook/api"
	"bronzehook/fault"
)

const (
	// closeCodeStopping is the QUIC application error code of a planned stop. The reason phrase holds the lowest ID, in
	// decimal digits, from which on no stream was served; callers derive from it which of their open calls have not run.
	closeCodeStopping quic.ApplicationErrorCode = 1
	// simultaneousDialWindow is the longest time between two connections of the same instances for which they are
	// considered to have been dialled simultaneously from both ends.
	simultaneousDialWindow = 2 * time.Second
)

// connection is a QUIC connection with another instance. Either side may have dialled it.
type connection struct {
	quic *quic.Conn
	peer api.InstanceID
	addr string
	// dialled is set if this instance dialled the connection.
	dialled       bool
	establishedAt time.Time
	// firstUnserved is the lowest stream ID of the peer from which on no stream was served. Transport.mu guards it.
	firstUnserved quic.StreamID
	// closeError is the application error with which the connection was closed. Streams see it a little before the
	// context of the connection ends, so they store it here.
	closeError atomic.Pointer[quic.ApplicationError]
}

func (c *connection) alive() bool { return c.quic.Context().Err() == nil }

// close closes the connection and reports firstUnserved to the peer. No call is served on it afterwards. The caller
// holds Transport.mu.
func (c *connection) close() {
	// CloseWithError fails only if the connection is closed already.
	_ = c.quic.CloseWithError(closeCodeStopping, strconv.FormatInt(int64(c.firstUnserved), 10))
}

// neverServed reports whether the peer closed the connection for a planned stop without having served the stream.
func (c *connection) neverServed(id quic.StreamID) bool {
	c.recordClose(context.Cause(c.quic.Context()))
	closed := c.closeError.Load()
	if closed == nil || !closed.Remote || closed.ErrorCode != closeCodeStopping {
		return false
	}
	unserved, err := strconv.ParseInt(closed.ErrorMessage, 10, 64)
	return err == nil && int64(id) >= unserved
}

// recordClose stores err if it is the application error with which the connection was closed.
func (c *connection) recordClose(err error) {
	var closed *quic.ApplicationError
	if errors.As(err, &closed) {
		c.closeError.Store(closed)
	}
}

// pendingDial is a handshake in progress that several calls may wait for. conn and err are set before done is closed.
type pendingDial struct {
	done chan struct{}
	conn *connection
	err  error
}

// connect returns the cached connection to addr or dials a new one. Its errors are not-run, because no request was
// sent.
func (t *Transport) connect(ctx context.Context, addr string) (*connection, error) {
	t.mu.Lock()
	if t.stopping {
		t.mu.Unlock()
		return nil, fault.NotRun(fault.New(fault.CodeStopping, "peer dial", "transport is stopping"))
	}
	if c := t.conns[addr]; c != nil && c.alive() {
		t.mu.Unlock()
		return c, nil
	}
	pending := t.pendingDials[addr]
	if pending == nil {
		pending = &pendingDial{done: make(chan struct{})}
		t.pendingDials[addr] = pending
		t.goroutines.Go(func() { t.dial(addr, pending) })
	}
	t.mu.Unlock()
	select {
	case <-pending.done:
		return pending.conn, pending.err
	case <-ctx.Done():
		return nil, fault.NotRun(fault.New(fault.CodeTimeout, "peer dial", "no connection to %s: %v", addr, ctx.Err()))
	}
}

func (t *Transport) dial(addr string, pending *pendingDial) {
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	pending.conn, pending.err = t.handshake(ctx, addr)
	t.mu.Lock()
	delete(t.pendingDials, addr)
	t.mu.Unlock()
	close(pending.done)
}

func (t *Transport) handshake(ctx context.Context, addr string) (*connection, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fault.NotRun(fault.New(fault.CodeInvalid, "peer dial", "%s: %v", addr, err))
	}
	qc, err := t.quic.Dial(ctx, udp, t.tls, t.quicConf)
	if err != nil {
		return nil, fault.NotRun(fault.New(fault.CodeUnreachable, "peer dial", "%s: %v", addr, err))
	}
	c := &connection{quic: qc, peer: peerID(qc), addr: addr, dialled: true, establishedAt: time.Now()}
	if !t.addConnection(c) {
		return nil, fault.NotRun(fault.New(fault.CodeStopping, "peer dial", "transport is stopping"))
	}
	return c, nil
}

// addConnection serves c and caches it for calls, unless the cached connection to the same address is to be preferred.
// It reports false, and closes c, while the transport stops.
func (t *Transport) addConnection(c *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		c.close()
		return false
	}
	if old := t.conns[c.addr]; old == nil || !old.alive() || t.prefers(c, old) {
		t.conns[c.addr] = c
	}
	t.goroutines.Go(func() { t.serve(c) })
	return true
}

// prefers reports whether c replaces old in the cache. If both ends dialled simultaneously, both keep the connection
// dialled by the instance with the smaller ID, so that one connection carries both directions; the other one is closed
// by the idle timeout. Otherwise the newer connection is kept, because a restarted peer may not have closed the older one.
func (t *Transport) prefers(c, old *connection) bool {
	if c.dialled == old.dialled || c.establishedAt.Sub(old.establishedAt) > simultaneousDialWindow {
		return true
	}
	return c.dialled == (t.config.ID < c.peer)
}

// uncache removes c from the cached connections.
func (t *Transport) uncache(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[c.addr] == c {
		delete(t.conns, c.addr)
	}
}

func (t *Transport) acceptConnections() {
	for {
		qc, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		// Peers dial from the socket on which they listen, so calls to them can use the remote address.
		t.addConnection(&connection{quic: qc, peer: peerID(qc), addr: qc.RemoteAddr().String(), establishedAt: time.Now()})
	}
}
