package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/audit"
	"bronzehook/bodylimit"
	"bronzehook/fault"
	"bronzehook/logging"
)

// ServiceName is the name of this service in the service manager (package kernel).
const ServiceName = "operator"

// Limits of the operator API.
const (
	// MaxBodyBytes is the maximum size of a request body; a complete folder of 8 MiB fits as JSON text.
	MaxBodyBytes = 16 << 20
	// MaxDrain is the maximum duration of a drain.
	MaxDrain = 7 * 24 * time.Hour

	maxHeaderBytes     = 16 << 10
	headerTimeout      = 5 * time.Second
	readTimeout        = 30 * time.Second
	requestTimeout     = 15 * time.Second
	writeTimeout       = requestTimeout + readTimeout
	idleTimeout        = 2 * time.Minute
	latestFilesTimeout = 2 * time.Second
)

// Options are the dependencies and settings of a Server. Metrics and TLS are optional.
type Options struct {
	Addr string
	// Token is the bearer token that operators have to send; if it is empty, all requests are accepted.
	Token    string
	TLS      *tls.Config
	Rollout  Rollout
	Status   StatusSource
	Explain  Explainer
	Drains   Drains
	Trail    Trail
	Metrics  http.Handler
	Clock    clockwork.Clock
	Logger   zerolog.Logger
	Requires []string
	// Ready returns nil if the instance may receive requests, or the reason why it must not.
	Ready func() error
	// Emit records an event in the audit log.
	Emit func(audit.Event)
	// Bodies bounds the request bodies in memory, and Listen the connections of a listener; nil leaves them unbounded.
	Bodies *bodylimit.Budget
	Listen func(inner net.Listener, server *http.Server) net.Listener
}

// Server is the HTTP server for operators. It implements kernel.Service.
type Server struct {
	options     Options
	tokenDigest [sha256.Size]byte
	handler     http.Handler
	server      *http.Server
	listener    net.Listener
}

// New returns a server that has not been started.
func New(options Options) *Server {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	s := &Server{options: options, tokenDigest: sha256.Sum256([]byte(options.Token))}
	s.handler = s.routes()
	return s
}

// Handler returns the HTTP handler for all routes.
func (s *Server) Handler() http.Handler { return s.handler }

func (s *Server) routes() http.Handler {
	router := chi.NewRouter()
	router.NotFound(s.notFound)
	router.MethodNotAllowed(s.notFound)
	router.Get("/livez", s.live)
	router.Get("/readyz", s.ready)
	router.Group(func(r chi.Router) {
		r.Use(s.authenticate, s.limitBody, limitDuration)
		if s.options.Metrics != nil {
			r.Method(http.MethodGet, "/metrics", s.options.Metrics)
		}
		r.Post("/v1/validate", s.handle(s.validate))
		r.Post("/v1/diff", s.handle(s.diff))
		r.Post("/v1/apply", s.handle(s.apply))
		r.Get("/v1/files", s.handle(s.files))
		r.Get("/v1/files/{name}", s.handle(s.file))
		r.Get("/v1/revision/{n}", s.handle(s.revision))
		r.Get("/v1/status", s.handle(s.status))
		r.Get("/v1/explain/{work}", s.handle(s.explain))
		r.Post("/v1/drain", s.handle(s.drain))
		r.Post("/v1/undrain", s.handle(s.undrain))
		r.Get("/v1/audit", s.handle(s.audit))
	})
	return router
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.options.Token != "" && !s.authorized(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			bodylimit.Leave(w, r)
			s.writeError(w, r, fault.New(fault.CodeUnauthenticated, "authenticate", "the bearer token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// authorized compares digests in constant time, so that the response time reveals neither the token nor its length.
func (s *Server) authorized(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(token))
	return found && subtle.ConstantTimeCompare(digest[:], s.tokenDigest[:]) == 1
}

func (s *Server) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.options.Bodies == nil {
			r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
			next.ServeHTTP(w, r)
			return
		}
		deadline := time.Now().Add(readTimeout)
		options := bodylimit.Options{Limit: MaxBodyBytes, Deadline: func() time.Time { return deadline }}
		body, err := s.options.Bodies.Read(w, r, options)
		if err != nil {
			bodylimit.CloseAfterResponse(w)
			s.writeError(w, r, err)
			return
		}
		defer body.Release()
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

func limitDuration(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Name implements kernel.Service.
func (s *Server) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Server) Requires() []string { return s.options.Requires }

// Addr returns the address that the server listens on, or nil before Start.
func (s *Server) Addr() net.Addr {
	if s.listener == nil {
		return nil
	}
	return s.listener.Addr()
}

// Start listens on the configured address and serves requests in the background.
func (s *Server) Start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.options.Addr)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	s.listener = listener
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	if s.options.Listen != nil {
		listener = s.options.Listen(listener, s.server)
	}
	if s.options.TLS != nil {
		listener = tls.NewListener(listener, s.options.TLS)
	}
	go s.serve(listener)
	return nil
}

func (s *Server) serve(listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.options.Logger.Error().Err(err).Str(logging.KeyReason, string(fault.CodeOf(err))).Msg("operator server ended unexpectedly")
	}
}

// Stop stops accepting requests and waits until those in flight are finished.
func (s *Server) Stop(ctx context.Context) error {
	if s.server == nil {
		return nil
	}
	return errors.Wrap(s.server.Shutdown(ctx), "stop operator server")
}
