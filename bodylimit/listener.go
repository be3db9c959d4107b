package bodylimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// connectionRetry is the time between two checks for a connection that may be closed, while none may.
const connectionRetry = 50 * time.Millisecond

// Listener bounds the open connections that it accepts. Beyond the bound, it closes the connection that has been idle for
// longest; if there is none, new ones wait in the queue of the operating system.
type Listener struct {
	net.Listener
	// server serves the connections.
	server *http.Server
	max    int
	now    func() time.Time
	open   prometheus.Gauge
	closed prometheus.Counter
	logger zerolog.Logger
	stop   chan struct{}
	once   sync.Once

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Limit returns a listener that accepts up to maxConns connections of inner at a time, and makes server report their state.
func Limit(inner net.Listener, server *http.Server, name string, maxConns int, m *Metrics, logger zerolog.Logger) *Listener {
	l := &Listener{
		Listener: inner, server: server, max: maxConns, now: time.Now, stop: make(chan struct{}), conns: make(map[*Conn]struct{}),
		open: m.connections.WithLabelValues(name), closed: m.closed.WithLabelValues(name),
		logger: logger.With().Str("listener", name).Logger().Sample(&zerolog.BurstSampler{Burst: 1, Period: time.Second}),
	}
	server.ConnContext = connContext
	before := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c := unwrap(conn); c != nil {
			if state == http.StateIdle {
				c.noteProgress()
			}
			c.state.Store(int32(state))
			c.receiving.Store(state == http.StateNew || state == http.StateHijacked)
		}
		if before != nil {
			before(conn, state)
		}
	}
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: inner, listener: l}
	c.noteProgress()
	for !l.add(c) {
		if l.closeIdle() {
			continue
		}
		select {
		case <-l.stop:
			_ = inner.Close()
			return nil, net.ErrClosed
		case <-time.After(connectionRetry):
		}
	}
	return c, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.stop) })
	return l.Listener.Close()
}

func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.max {
		return false
	}
	l.conns[c] = struct{}{}
	l.open.Inc()
	return true
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		l.open.Dec()
	}
}

// closeIdle closes the connection that has been idle for longest, and reports false if none may be closed.
func (l *Listener) closeIdle() bool {
	now := l.now()
	l.mu.Lock()
	var oldest *Conn
	for c := range l.conns {
		if c.mayClose(now) && (oldest == nil || c.progress.Load() < oldest.progress.Load()) {
			oldest = c
		}
	}
	l.mu.Unlock()
	if oldest == nil {
		return false
	}
	l.closed.Inc()
	l.logger.Info().Int("bound", l.max).Msg("idle connection closed to accept another")
	_ = oldest.Close()
	return true
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	// state is the http.ConnState that the server reported last.
	state atomic.Int32
	// receiving is set while the process waits for a request, a body or a frame to arrive.
	receiving atomic.Bool
	// progress is when the connection was accepted, last read from or last became idle, in ns since the Unix epoch.
	progress atomic.Int64
	once     sync.Once
}

func (c *Conn) noteProgress() { c.progress.Store(c.listener.now().UnixNano()) }

// lastState returns the state that the server reported last; a connection is new until then.
func (c *Conn) lastState() http.ConnState { return http.ConnState(c.state.Load()) }

// mayClose reports whether no request is being handled on the connection, and none is arriving at a proper pace.
func (c *Conn) mayClose(now time.Time) bool {
	stalled := now.UnixNano()-c.progress.Load() >= pressureStallTimeout.Nanoseconds()
	return c.lastState() == http.StateIdle || c.receiving.Load() && stalled
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.noteProgress()
	}
	return n, err
}

// CloseWrite shuts down the sending side. net/http uses it to send the rest of a response before it closes.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.listener.remove(c) })
	return err
}

// unwrap returns the connection of a Listener below TLS, or nil.
func unwrap(conn net.Conn) *Conn {
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

type connKey struct{}

func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(conn))
}

// receivingOn marks the connection of a request as receiving until the returned function is called.
func receivingOn(ctx context.Context) func() {
	c, _ := ctx.Value(connKey{}).(*Conn)
	if c == nil {
		return func() {}
	}
	c.receiving.Store(true)
	return func() { c.receiving.Store(false) }
}
