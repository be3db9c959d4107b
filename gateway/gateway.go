// Package gateway serves callers over HTTP: it parses a request, admits it, deduplicates a non-idempotent one by its
// idempotency key, chooses an endpoint and sends the request to it. Every response states one of the three outcomes
// answered, not-run and unknown, and its reason.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/admission"
	"bronzehook/api"
	"bronzehook/bodylimit"
	"bronzehook/dedup"
	"bronzehook/dispatch"
	"bronzehook/routing"
)

// Config holds the limits of callers' requests.
type Config struct {
	// DefaultTimeout applies to requests without HeaderTimeout; MaxTimeout bounds that header.
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	// MaxBodyBytes bounds the size of one request body in bytes, MaxTotalBodyBytes that of all request bodies in memory.
	MaxBodyBytes      int64
	MaxTotalBodyBytes int64
	// MaxSendAttempts bounds the send attempts of one idempotent request.
	MaxSendAttempts int
	// DrainTimeout bounds the wait for requests in flight during a planned stop.
	DrainTimeout time.Duration
	// Seed is the seed of the random sampling of endpoints, which makes it reproducible.
	Seed uint64
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		DefaultTimeout:    10 * time.Second,
		MaxTimeout:        60 * time.Second,
		MaxBodyBytes:      4 << 20,
		MaxTotalBodyBytes: 256 << 20,
		MaxSendAttempts:   3,
		DrainTimeout:      30 * time.Second,
	}
}

// View is the immutable snapshot of the state that requests are served from.
type View struct {
	Snapshot *routing.Snapshot
	Specs    map[string]api.Spec
	Teams    map[string]api.Team
}

// Deduplicator executes requests with an idempotency key at most once.
type Deduplicator interface {
	// Owner returns the instance that owns the key's shard.
	Owner(key string) (api.InstanceID, error)
	// Do calls execute at most once per key, or returns the known result of an earlier attempt.
	Do(ctx context.Context, call dedup.Call, execute dedup.ExecuteFunc) (dedup.Response, error)
}

// Peers forwards requests with an idempotency key to the owners of their shards.
type Peers interface {
	// ForwardKeyed returns the owner's complete reply. A failure that does not prove that the owner received nothing is
	// treated as unknown.
	ForwardKeyed(ctx context.Context, owner api.InstanceID, request dispatch.KeyedRequest) (dispatch.Reply, error)
}

// Dependencies holds the components that a gateway uses.
type Dependencies struct {
	Self          api.Instance
	Clock         clockwork.Clock
	Log           zerolog.Logger
	Authenticator Authenticator
	Admission     *admission.Controller
	Quotas        *admission.Quotas
	Retries       *admission.RetryBudget
	Deduplicator  Deduplicator
	// Peers may be nil if there is only one instance.
	Peers      Peers
	Dispatcher *dispatch.Dispatcher
	Trackers   *routing.Trackers
	Metrics    *Metrics
	// Bodies bounds the request bodies in memory; nil means MaxTotalBodyBytes of the configuration, without metrics.
	Bodies *bodylimit.Budget
}

// Gateway serves the requests of callers.
type Gateway struct {
	Dependencies
	config        Config
	view          atomic.Pointer[View]
	drain         *drain
	ids           idSource
	randomSources sync.Pool
}

// New returns a gateway without services. SetView adds them.
func New(config Config, parts Dependencies) *Gateway {
	if parts.Bodies == nil {
		parts.Bodies = bodylimit.NewBudget("callers", bodylimit.StandaloneLimits(0, config.MaxTotalBodyBytes), nil, parts.Log)
	}
	g := &Gateway{Dependencies: parts, config: config, drain: newDrain(), ids: newIDSource(parts.Self.ID)}
	g.view.Store(&View{Snapshot: routing.NewSnapshot(routing.Input{Self: parts.Self}, parts.Trackers)})
	var created atomic.Uint64
	g.randomSources.New = func() any { return rand.New(rand.NewPCG(config.Seed, created.Add(1))) }
	return g
}

// SetView replaces the state that later requests are served from.
func (g *Gateway) SetView(view View) {
	g.view.Store(&view)
	g.Metrics.setTeams(view.Teams)
}

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler {
	router := chi.NewRouter()
	router.HandleFunc("/{service}", g.serve)
	router.HandleFunc("/{service}/*", g.serve)
	router.NotFound(g.serveNotFound)
	return router
}

// Limits of the HTTP server for callers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// writeTimeoutMargin is the time for writing a response that arrived at the caller's deadline.
	writeTimeoutMargin = 30 * time.Second
	maxHeaderBytes     = 32 << 10
)

// NewServer returns an HTTP server for the handler with limits on headers and times. ReadTimeout stays unset, because
// net/http cancels the context of a request that is still being handled when it expires. Bodies are read within the
// caller's deadline.
func (g *Gateway) NewServer() *http.Server {
	return &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      g.config.MaxTimeout + writeTimeoutMargin,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Stop refuses new requests of callers and waits until those in flight have finished, at most for the drain timeout or
// until ctx ends. Requests from other instances are still served, because those instances learn of the stop later.
func (g *Gateway) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, g.config.DrainTimeout)
	defer cancel()
	return g.drain.stop(ctx)
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return g.drain.inFlight() }
