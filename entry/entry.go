package entry

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"bronzehook/execution"
	"bronzehook/intake"
	"bronzehook/kernel"
	"bronzehook/leadership"
	"bronzehook/maintenance"
	"bronzehook/manifest"
	"bronzehook/measure"
	"bronzehook/platform"
	"bronzehook/relay"
	"bronzehook/response"
	"bronzehook/store/hedge"
)

// Timing of a planned stop. The platform sends new connections for up to 2 s after the first miss.
const (
	// killMargin is kept back from the time until the platform kills the process.
	killMargin = 700 * time.Millisecond
	// closeTime is how long the last answers may take once no more requests are taken.
	closeTime = 500 * time.Millisecond
	// answerMargin is kept back from closeTime for the way of the last answers.
	answerMargin = 200 * time.Millisecond
	// readyOutage is how long the store may be silent before the instance asks for no more connections.
	readyOutage = 1500 * time.Millisecond
)

// gcPercent trades memory, of which entry instances have plenty, for processor time, of which they have little.
const gcPercent = 400

// memoryHeadroom is the share of the memory that the heap may use.
const memoryHeadroom = 0.6

// Run serves until a stop signal.
func Run(s *Settings, logger zerolog.Logger) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(s.MemoryLimit * memoryHeadroom * (1 << 20)))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	reloads := newReloader(s.LogLevel, logger)
	node := assemble(s, logger)
	if err := node.kernel.Start(context.Background()); err != nil {
		return err
	}
	logger.Info().Str("callers", s.CallerAddr).Str("data_centre", s.DataCentre).Str("store", s.StoreAddr).
		Dur("lease", s.AttemptLeaseDuration()).Msg("instance started")
	for got := range signals {
		if got == syscall.SIGHUP {
			reloads.reload()
			continue
		}
		break
	}
	logger.Info().Msg("instance stopping")
	node.drain(scaled(s.StopTimeout, time.Second) - killMargin)
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	err := node.kernel.Stop(ctx)
	logger.Info().Msg("instance stopped")
	return err
}

// node is the assembled process.
type node struct {
	kernel  *kernel.Kernel
	logger  zerolog.Logger
	callers *callerServer
	duty    *dutyService
	leaving atomic.Bool
	// lastAnswer is when requests that were taken while leaving have to be answered, in ns since 1970.
	lastAnswer atomic.Int64
}

func assemble(s *Settings, logger zerolog.Logger) *node {
	registry := prometheus.NewRegistry()
	platformStore := platform.NewStore(s.StoreAddr)
	health := platformStore.Health()
	table := hedge.New(measure.Table(platformStore, registry), registry)
	current := &manifest.Provider{}
	waves := &maintenance.Registry{}
	wall := &wallClock{path: s.TimeOffsetFile}
	n := &node{logger: logger}
	n.duty = &dutyService{
		table: table, roundTrip: health.RoundTrip, name: s.ID, cpuShare: s.CPUShare, speed: measure.NewSpeed().Share, logger: logger,
		askAfter: askAfter, askedEvery: askedEvery,
		options: execution.Options{
			Table: table, Workers: measure.Workers(platform.NewWorkers(), registry), Manifest: current, WorkersTable: platform.WorkersTable,
			ParseEntry: platform.ParseEntry, Clock: leadership.BootTime, Now: wall.now, Logger: logger,
			AttemptLeaseDuration: s.AttemptLeaseDuration(), FarFactor: s.FarFactor,
			Retention: scaled(s.Retention, time.Second), Metrics: execution.NewMetrics(registry),
			Waves: waves, WaveStatus: platform.WaveStatus, MachineTurn: scaled(s.MachineTurn, time.Millisecond),
		},
	}
	if s.MachinesAddr != "" {
		n.duty.options.Machines = measure.Machines(platform.NewMachines(s.MachinesAddr), registry)
	}
	if s.AdviceAddr != "" {
		n.duty.options.Advisor = platform.NewAdvisor(s.AdviceAddr)
	}
	callers := intake.New(table, health, current, intake.NewMetrics(registry), logger, wall.now)
	handler := platform.NewCallerHandler(callers)
	passing := relay.New(s.ID, platform.CallerDeadline{}, logger, registry)
	n.duty.peerAddr = s.PeerAddr
	n.duty.noteMembers = func(members []leadership.Member) { passing.SetPeers(peersOf(members)) }
	n.callers = &callerServer{name: "callers", addr: s.CallerAddr, handler: n.markLast(handler)}
	if s.PeerAddr != "" {
		n.callers.handler = n.markLast(passing.Handler(handler))
	}
	ready := func() bool {
		return !n.leaving.Load() && current.Current() != nil && !health.Down(readyOutage)
	}
	n.kernel = kernel.New(nil)
	n.kernel.Register(
		wall,
		&manifestService{table: table, holder: current, waves: waves, clock: leadership.BootTime, logger: logger},
		n.duty,
		n.callers,
		&plainServer{name: "ready", addr: s.ReadyAddr, handler: platform.NewReadyHandler(ready)},
	)
	if s.PeerAddr != "" {
		n.kernel.Register(&callerServer{name: "peers", addr: s.PeerAddr, handler: n.markLast(handler)})
	}
	if s.MetricsAddr != "" {
		metrics := http.NewServeMux()
		metrics.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
		n.kernel.Register(&plainServer{name: "metrics", addr: s.MetricsAddr, handler: metrics})
	}
	return n
}

func peersOf(members []leadership.Member) []relay.Peer {
	peers := make([]relay.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, relay.Peer{Name: m.Name, Addr: m.Addr})
	}
	return peers
}

// markLast closes each connection after its next answer once the instance is leaving. A request that is not answered before the
// instance has to end is told that its outcome is open, rather than being cut off.
func (n *node) markLast(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.leaving.Load() {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		answer := response.NewBuffer()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			next.ServeHTTP(answer, r)
		}()
		end := time.NewTimer(time.Until(time.Unix(0, n.lastAnswer.Load())))
		defer end.Stop()
		select {
		case <-answered:
			answer.WriteTo(w)
		case <-end.C:
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})
}

// drain hands the duty over at once and serves callers until the time is nearly up: the platform may still send
// connections, and requests on open ones have to be answered.
func (n *node) drain(available time.Duration) {
	deadline := time.Now().Add(available - closeTime)
	n.lastAnswer.Store(deadline.Add(closeTime - answerMargin).UnixNano())
	n.leaving.Store(true)
	if err := n.duty.Stop(context.Background()); err != nil {
		n.logger.Warn().AnErr("error", err).Msg("duty not handed over")
	}
	time.Sleep(time.Until(deadline))
}

// callerServer serves callers, or other instances on their behalf.
type callerServer struct {
	name    string
	addr    string
	handler http.Handler
	server  *http.Server
}

// Limits of callers' connections.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
)

// Name implements kernel.Service.
func (s *callerServer) Name() string { return s.name }

// Requires implements kernel.Service.
func (*callerServer) Requires() []string { return []string{"manifest"} }

// Start implements kernel.Service.
func (s *callerServer) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrapf(err, "listening for %s", s.name)
	}
	s.server = &http.Server{
		Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// Stop implements kernel.Service.
func (s *callerServer) Stop(ctx context.Context) error {
	return errors.Wrap(s.server.Shutdown(ctx), "stopping the server for "+s.name)
}

// plainServer serves a handler of the platform.
type plainServer struct {
	name    string
	addr    string
	handler http.Handler
	server  *http.Server
}

// Name implements kernel.Service.
func (s *plainServer) Name() string { return s.name }

// Requires implements kernel.Service.
func (*plainServer) Requires() []string { return nil }

// Start implements kernel.Service.
func (s *plainServer) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrapf(err, "listening for %s", s.name)
	}
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// Stop implements kernel.Service.
func (s *plainServer) Stop(context.Context) error {
	return errors.Wrapf(s.server.Close(), "stopping %s", s.name)
}
