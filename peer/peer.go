// Package peer carries messages between instances over QUIC with mutual TLS. Messages are CBOR with integer keys. One
// connection serves both directions between two instances. Errors of remote handlers arrive with their code and
// outcome. Errors of the transport distinguish requests that provably reached no handler (not-run) from those that may
// have been handled (unknown).
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/fault"
	"bronzehook/recovery"
)

// ServiceName is the name of the transport in the service manager (package kernel).
const ServiceName = "peer"

const (
	// idleTimeout is the time after which a connection without traffic is closed, such as one to a crashed instance.
	// Heartbeats are sent every second, so no keep-alive packets are needed.
	idleTimeout = 10 * time.Second
	// dialTimeout bounds a handshake, which takes two round trips of at most 24 ms.
	dialTimeout = 3 * time.Second
	// maxIncomingStreams bounds the concurrent calls of one peer.
	maxIncomingStreams = 4096
	protocolName       = "bronzehook/1"
)

// Config configures a Transport.
type Config struct {
	ID   api.InstanceID
	Addr string
	// Session is the number of this incarnation of the process. It is never 0.
	Session uint64
	// TLS holds the certificate of this instance and, as RootCAs, the certificate authorities of the other instances.
	TLS *tls.Config
	// RegionOf returns the region of the instance at an address, or "" if it is unknown. It may be nil.
	RegionOf func(addr string) string
	// Listen opens the socket; nil means a plain UDP socket. Tests use it to return a FilterConn.
	Listen func(addr string) (net.PacketConn, error)
	Log    zerolog.Logger
	// Guard recovers from panics of handlers; nil lets them end the process.
	Guard *recovery.Guard
}

// Sender identifies the instance that sent a message. ID is the common name of its verified certificate.
type Sender struct {
	ID      api.InstanceID
	Addr    string
	Session uint64
}

// Handler handles a message and returns the encoded response. The response to a one-way message is ignored.
type Handler func(ctx context.Context, from Sender, payload []byte) ([]byte, error)

// responseFlushTime is the delay between the last response and the close of the connections, because a close discards
// data that QUIC has not sent yet or would have to retransmit. It covers several round trips of 24 ms between regions.
const responseFlushTime = 200 * time.Millisecond

// Transport sends and receives messages. It is a kernel.Service. Handlers must be registered before Start.
type Transport struct {
	config   Config
	counters counters

	handlers       map[Kind]Handler
	streamHandlers map[Kind]StreamHandler

	quic     *quic.Transport
	listener *quic.Listener
	tls      *tls.Config
	quicConf *quic.Config

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// activeCalls counts the calls of other instances that are being served.
	activeCalls sync.WaitGroup

	mu sync.Mutex
	// draining rejects new calls of other instances; stopping rejects new connections, too. hasServed is set by the
	// first call of another instance.
	draining     bool
	hasServed    bool
	stopping     bool
	conns        map[string]*connection
	pendingDials map[string]*pendingDial
}

// New returns a transport that has not been started.
func New(config Config) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		config:         config,
		handlers:       map[Kind]Handler{},
		streamHandlers: map[Kind]StreamHandler{},
		ctx:            ctx,
		cancel:         cancel,
		conns:          map[string]*connection{},
		pendingDials:   map[string]*pendingDial{},
	}
}

// Name implements kernel.Service.
func (t *Transport) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (t *Transport) Requires() []string { return nil }

// Handle registers the handler for a message kind.
func (t *Transport) Handle(kind Kind, handler Handler) { t.handlers[kind] = handler }

// HandleStream registers the handler for a kind of streaming call.
func (t *Transport) HandleStream(kind Kind, handler StreamHandler) { t.streamHandlers[kind] = handler }

// Session returns the number of this incarnation of the process.
func (t *Transport) Session() uint64 { return t.config.Session }

// Addr returns the address on which the transport listens.
func (t *Transport) Addr() string { return t.quic.Conn.LocalAddr().String() }

// Start opens the socket and starts to accept connections.
func (t *Transport) Start(context.Context) error {
	resetKey, err := statelessResetKey(t.config.TLS)
	if err != nil {
		return err
	}
	socket, err := t.listen()
	if err != nil {
		return err
	}
	t.tls = peerTLS(t.config.TLS)
	t.quicConf = &quic.Config{
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    maxIncomingStreams,
		MaxIncomingUniStreams: -1,
		EnableDatagrams:       true,
		// MTU discovery sends full-size packets: with 8 peers they would exceed the control traffic budget at every
		// reconnect.
		DisablePathMTUDiscovery: true,
	}
	t.quic = &quic.Transport{Conn: socket, StatelessResetKey: resetKey}
	t.listener, err = t.quic.Listen(t.tls, t.quicConf)
	if err != nil {
		return errors.CombineErrors(fault.New(fault.CodeInternal, "peer listen", "%v", err), socket.Close())
	}
	t.goroutines.Go(t.acceptConnections)
	return nil
}

func (t *Transport) listen() (net.PacketConn, error) {
	if t.config.Listen != nil {
		return t.config.Listen(t.config.Addr)
	}
	socket, err := net.ListenPacket("udp", t.config.Addr)
	if err != nil {
		return nil, fault.New(fault.CodeInvalid, "peer listen", "%v", err)
	}
	return socket, nil
}

// Stop rejects new calls, waits for the calls being served until the context ends, and closes all connections.
func (t *Transport) Stop(ctx context.Context) error {
	unfinished := t.drainCalls(ctx)
	return errors.CombineErrors(unfinished, t.closeConnections(ctx))
}

// drainCalls rejects new calls of other instances and waits until the active ones have been answered and their
// responses had time to be sent.
func (t *Transport) drainCalls(ctx context.Context) error {
	t.mu.Lock()
	t.draining = true
	served := t.hasServed
	t.mu.Unlock()
	if err := waitUntilDone(ctx, &t.activeCalls); err != nil || !served {
		return err
	}
	select {
	case <-time.After(responseFlushTime):
	case <-ctx.Done():
	}
	return nil
}

// beginCall registers a call that is about to be served. It reports false if the transport is draining.
func (t *Transport) beginCall(c *connection, id quic.StreamID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.hasServed = true
	c.firstUnserved = max(c.firstUnserved, id+1)
	t.activeCalls.Add(1)
	return true
}

// closeConnections closes all connections and the socket, and waits until all goroutines of the transport have returned
// or the context ends.
func (t *Transport) closeConnections(ctx context.Context) error {
	t.mu.Lock()
	t.stopping = true
	for _, c := range t.conns {
		c.close()
	}
	t.mu.Unlock()
	t.cancel()
	err := t.listener.Close()
	err = errors.CombineErrors(err, t.quic.Close())
	err = errors.CombineErrors(err, t.quic.Conn.Close())
	return errors.CombineErrors(errors.Wrap(err, "stop peer transport"), waitUntilDone(ctx, &t.goroutines))
}

// waitUntilDone waits for the group until the context ends.
func waitUntilDone(ctx context.Context, group *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.New(fault.CodeTimeout, "peer stop", "handlers are still running")
	}
}
