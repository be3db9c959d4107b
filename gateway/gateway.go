// Package gateway serves callers over HTTP: it parses a request, admits it, passes a non-idempotent one through the
// ledger, chooses an endpoint and sends it. Every response names one of the three outcomes and its reason.
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
	"bronzehook/dedup"
	"bronzehook/dispatch"
	"bronzehook/routing"
)

// Config holds the limits towards callers.
type Config struct {
	// DefaultTimeout applies to requests without HeaderTimeout; MaxTimeout bounds that header.
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	// MaxBody bounds one request body in bytes, MaxBodies all bodies held at one time.
	MaxBody   int64
	MaxBodies int64
	// MaxSends bounds the sendings of one idempotent request.
	MaxSends int
	// DrainTimeout bounds the wait for requests in flight at a planned stop.
	DrainTimeout time.Duration
	// Seed makes the sampling of endpoints reproducible.
	Seed uint64
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		DefaultTimeout: 10 * time.Second,
		MaxTimeout:     60 * time.Second,
		MaxBody:        4 << 20,
		MaxBodies:      256 << 20,
		MaxSends:       3,
		DrainTimeout:   30 * time.Second,
	}
}

// View is the immutable state that requests are decided on.
type View struct {
	Snapshot *routing.Snapshot
	Specs    map[string]api.Spec
	Teams    map[string]api.Team
}

// Ledger is the ledger of non-idempotent requests.
type Ledger interface {
	// Owner returns the instance that owns the key's shard.
	Owner(key string) (api.InstanceID, error)
	// Do runs the call at most once for its key, or returns what is known of an earlier attempt.
	Do(ctx context.Context, call dedup.Call, run dedup.Run) (dedup.Answer, error)
}

// Peers hands non-idempotent requests to the owners of their shards.
type Peers interface {
	// ForwardKeyed returns the owner's whole reply. A failure that does not prove that the owner got nothing is treated
	// as unknown.
	ForwardKeyed(ctx context.Context, owner api.InstanceID, request dispatch.KeyedRequest) (dispatch.Reply, error)
}

// Parts are what a gateway is built from.
type Parts struct {
	Self          api.Instance
	Clock         clockwork.Clock
	Log           zerolog.Logger
	Authenticator Authenticator
	Admission     *admission.Controller
	Quotas        *admission.Quotas
	Retries       *admission.RetryBudget
	Ledger        Ledger
	// Peers may be nil where there is one instance only.
	Peers      Peers
	Dispatcher *dispatch.Dispatcher
	Trackers   *routing.Trackers
	Metrics    *Metrics
}

// Gateway serves callers.
type Gateway struct {
	Parts
	config  Config
	view    atomic.Pointer[View]
	drain   *drain
	bodies  atomic.Int64
	ids     idSource
	randoms sync.Pool
}

// New returns a gateway without services; SetView supplies them.
func New(config Config, parts Parts) *Gateway {
	g := &Gateway{Parts: parts, config: config, drain: newDrain(), ids: newIDSource(parts.Self.ID)}
	g.view.Store(&View{Snapshot: routing.NewSnapshot(routing.Input{Self: parts.Self}, parts.Trackers)})
	var made atomic.Uint64
	g.randoms.New = func() any { return rand.New(rand.NewPCG(config.Seed, made.Add(1))) }
	return g
}

// SetView replaces the state that further requests are decided on.
func (g *Gateway) SetView(view View) {
	g.view.Store(&view)
	g.Metrics.setTeams(view.Teams)
}

// Handler returns the handler towards callers.
func (g *Gateway) Handler() http.Handler {
	router := chi.NewRouter()
	router.HandleFunc("/{service}", g.serve)
	router.HandleFunc("/{service}/*", g.serve)
	router.NotFound(g.serveNotFound)
	return router
}

// Limits of the server towards callers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// writeSlack is the time for writing an answer that came at the caller's deadline.
	writeSlack     = 30 * time.Second
	maxHeaderBytes = 32 << 10
)

// NewServer returns an HTTP server for the handler with limits on headers and times. ReadTimeout stays unset: net/http
// cancels the context of a request that is still handled when it ends. Bodies are read within the caller's deadline.
func (g *Gateway) NewServer() *http.Server {
	return &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      g.config.MaxTimeout + writeSlack,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Stop refuses new requests of callers and waits until those in flight have ended, at most for the drain timeout or
// until ctx ends. Requests that other instances forward are still served, because they know of the stop later.
func (g *Gateway) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, g.config.DrainTimeout)
	defer cancel()
	return g.drain.stop(ctx)
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return g.drain.inFlight() }
