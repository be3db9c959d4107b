// Package peer carries messages between instances over QUIC with mutual TLS. Messages are CBOR with integer keys. One
// connection serves both directions between two instances. Failures of the remote side arrive with their code and
// request outcome, and failures of the transport tell a request that provably reached no handler (not-run) from one
// that may have been handled (unknown).
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
)

// ServiceName is the name of the transport in the kernel.
const ServiceName = "peer"

const (
	// idleTimeout closes a connection that carries nothing. Heartbeats come every second, so no keep-alive packets are
	// needed; a connection to a dead instance is dropped after this time.
	idleTimeout = 10 * time.Second
	// dialTimeout bounds a handshake, which takes two round trips of at most 24 ms.
	dialTimeout = 3 * time.Second
	// maxIncomingStreams bounds the calls that one peer may have open at a time.
	maxIncomingStreams = 4096
	protocolName       = "bronzehook/1"
)

// Config holds what a Transport is made of.
type Config struct {
	ID   api.InstanceID
	Addr string
	// Session identifies this run of the process; it is never 0.
	Session uint64
	// TLS holds the certificate of this instance and the authorities of the others (RootCAs).
	TLS *tls.Config
	// RegionOf names the region of the instance at an address, or "" if it is unknown. It may be nil.
	RegionOf func(addr string) string
	// Listen opens the socket; nil means a UDP socket. Tests hand in a FilterConn.
	Listen func(addr string) (net.PacketConn, error)
	Log    zerolog.Logger
}

// Sender tells a handler where a message came from. ID is taken from the verified certificate.
type Sender struct {
	ID      api.InstanceID
	Addr    string
	Session uint64
}

// Handler handles one message and returns the encoded response, which is ignored for one-way messages.
type Handler func(ctx context.Context, from Sender, payload []byte) ([]byte, error)

// replyFlush is the wait between the last answer and the close of the connections, because a close drops what QUIC has
// not sent yet or would have to repeat. It covers several round trips of 24 ms between regions.
const replyFlush = 200 * time.Millisecond

// Transport sends and receives messages. It is a kernel.Service. Handlers are registered before Start.
type Transport struct {
	config   Config
	counters counters

	handlers       map[Kind]Handler
	streamHandlers map[Kind]StreamHandler

	quic     *quic.Transport
	listener *quic.Listener
	tls      *tls.Config
	quicConf *quic.Config

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// calls counts the calls of peers that are being served.
	calls sync.WaitGroup

	mu sync.Mutex
	// draining refuses new calls of peers, stopping also new connections. served is set by the first call of a peer.
	draining bool
	served   bool
	stopping bool
	conns    map[string]*connection
	dials    map[string]*pendingDial
}

// New returns a transport that is not started.
func New(config Config) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		config:         config,
		handlers:       map[Kind]Handler{},
		streamHandlers: map[Kind]StreamHandler{},
		ctx:            ctx,
		cancel:         cancel,
		conns:          map[string]*connection{},
		dials:          map[string]*pendingDial{},
	}
}

// Name implements kernel.Service.
func (t *Transport) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (t *Transport) Requires() []string { return nil }

// Handle registers the handler of a kind of message.
func (t *Transport) Handle(kind Kind, handler Handler) { t.handlers[kind] = handler }

// HandleStream registers the handler of a kind of streaming call.
func (t *Transport) HandleStream(kind Kind, handler StreamHandler) { t.streamHandlers[kind] = handler }

// Session returns the identifier of this run of the process.
func (t *Transport) Session() uint64 { return t.config.Session }

// Addr returns the address that the transport listens on.
func (t *Transport) Addr() string { return t.quic.Conn.LocalAddr().String() }

// Start opens the socket and begins to accept connections.
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
		// Discovery probes are full-size packets; at 8 peers they would exceed the control budget at every reconnect.
		DisablePathMTUDiscovery: true,
	}
	t.quic = &quic.Transport{Conn: socket, StatelessResetKey: resetKey}
	t.listener, err = t.quic.Listen(t.tls, t.quicConf)
	if err != nil {
		return errors.CombineErrors(fault.New(fault.CodeInternal, "peer listen", "%v", err), socket.Close())
	}
	t.tasks.Go(t.acceptConnections)
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

// Stop refuses new calls, lets the handlers of calls finish until the context ends, and closes all connections.
func (t *Transport) Stop(ctx context.Context) error {
	unfinished := t.drainCalls(ctx)
	return errors.CombineErrors(unfinished, t.shut(ctx))
}

// drainCalls refuses new calls of peers and waits until those that are being served are answered.
func (t *Transport) drainCalls(ctx context.Context) error {
	t.mu.Lock()
	t.draining = true
	served := t.served
	t.mu.Unlock()
	if err := waitTasks(ctx, &t.calls); err != nil || !served {
		return err
	}
	select {
	case <-time.After(replyFlush):
	case <-ctx.Done():
	}
	return nil
}

// beginCall counts a call that is about to be served. It reports false once the transport drains.
func (t *Transport) beginCall(c *connection, id quic.StreamID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.served = true
	c.unserved = max(c.unserved, id+1)
	t.calls.Add(1)
	return true
}

// shut closes all connections and waits until nothing of the transport runs or the context ends.
func (t *Transport) shut(ctx context.Context) error {
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
	return errors.CombineErrors(errors.Wrap(err, "stop peer transport"), waitTasks(ctx, &t.tasks))
}

func waitTasks(ctx context.Context, tasks *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.New(fault.CodeTimeout, "peer stop", "handlers still run")
	}
}
