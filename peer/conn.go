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
	// closeStopping is the QUIC application code of a planned stop. Its text is the lowest stream that was not served, in
	// decimal digits, so that callers know which of their open calls have not run.
	closeStopping quic.ApplicationErrorCode = 1
	// crossedDials is the time within which two connections between the same instances count as dialled at once.
	crossedDials = 2 * time.Second
)

// connection is one QUIC connection with a peer; either side may have dialled it.
type connection struct {
	quic    *quic.Conn
	peer    api.InstanceID
	addr    string
	dialled bool
	since   time.Time
	// unserved is the lowest stream of the peer from which on none was served; Transport.mu guards it.
	unserved quic.StreamID
	// ended is how the peer closed the connection, as a stream has told. The connection's own context ends a little later.
	ended atomic.Pointer[quic.ApplicationError]
}

func (c *connection) alive() bool { return c.quic.Context().Err() == nil }

// close ends the connection; Transport.mu is held. No call is served on it any more.
func (c *connection) close() {
	// The error reports only that the connection had ended already.
	_ = c.quic.CloseWithError(closeStopping, strconv.FormatInt(int64(c.unserved), 10))
}

// refused reports whether the peer closed the connection without having served a stream of this instance.
func (c *connection) refused(id quic.StreamID) bool {
	c.noteEnd(context.Cause(c.quic.Context()))
	closed := c.ended.Load()
	if closed == nil || !closed.Remote || closed.ErrorCode != closeStopping {
		return false
	}
	unserved, err := strconv.ParseInt(closed.ErrorMessage, 10, 64)
	return err == nil && int64(id) >= unserved
}

// noteEnd takes up a failure of a stream or of the connection if it tells how the connection was closed.
func (c *connection) noteEnd(err error) {
	var closed *quic.ApplicationError
	if errors.As(err, &closed) {
		c.ended.Store(closed)
	}
}

// pendingDial lets several callers wait for one handshake.
type pendingDial struct {
	done chan struct{}
	conn *connection
	err  error
}

// connect returns the cached connection to addr or dials a new one. A failure proves that nothing was sent.
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
	pending := t.dials[addr]
	if pending == nil {
		pending = &pendingDial{done: make(chan struct{})}
		t.dials[addr] = pending
		t.tasks.Go(func() { t.dial(addr, pending) })
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
	delete(t.dials, addr)
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
	c := &connection{quic: qc, peer: peerID(qc), addr: addr, dialled: true, since: time.Now()}
	if !t.adopt(c) {
		return nil, fault.NotRun(fault.New(fault.CodeStopping, "peer dial", "transport is stopping"))
	}
	return c, nil
}

// adopt serves c and caches it unless a better connection to the same address exists.
func (t *Transport) adopt(c *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		c.close()
		return false
	}
	if old := t.conns[c.addr]; old == nil || !old.alive() || t.prefers(c, old) {
		t.conns[c.addr] = c
	}
	t.tasks.Go(func() { t.serve(c) })
	return true
}

// prefers reports whether c replaces old. Of two connections that were dialled at once from both ends, both ends keep
// the one dialled by the smaller ID, so that one connection carries both directions; the other one idles out.
// Otherwise the newer one wins, because a restarted peer may not have closed the older one.
func (t *Transport) prefers(c, old *connection) bool {
	if c.dialled == old.dialled || c.since.Sub(old.since) > crossedDials {
		return true
	}
	return c.dialled == (t.config.ID < c.peer)
}

func (t *Transport) forget(c *connection) {
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
		// Peers dial from the socket that they listen on, so the remote address is the one to call them at.
		t.adopt(&connection{quic: qc, peer: peerID(qc), addr: qc.RemoteAddr().String(), since: time.Now()})
	}
}
