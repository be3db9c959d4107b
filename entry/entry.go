package entry

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"bronzehook/bodylimit"
	"bronzehook/carrier"
	"bronzehook/evacuation"
	"bronzehook/execution"
	"bronzehook/intake"
	"bronzehook/invalid"
	"bronzehook/kernel"
	"bronzehook/leadership"
	"bronzehook/maintenance"
	"bronzehook/manifest"
	"bronzehook/measure"
	"bronzehook/mitigation"
	"bronzehook/platform"
	"bronzehook/recovery"
	"bronzehook/relay"
	"bronzehook/response"
	"bronzehook/store/hedge"
	"bronzehook/tablefeed"
)

// Timing of a planned stop. The platform sends new connections for up to 2 s after the first failed readiness probe.
const (
	// killMargin is the part of the time until the platform kills the process that is left unused.
	killMargin = 700 * time.Millisecond
	// shutdownTimeout bounds the last responses once no more requests are accepted.
	shutdownTimeout = 500 * time.Millisecond
	// responseMargin is the part of shutdownTimeout that is the network latency allowance of the last responses.
	responseMargin = 200 * time.Millisecond
	// notReadyOutage is how long the store may be down before the instance reports that it is not ready, which stops new
	// connections.
	notReadyOutage = 1500 * time.Millisecond
)

// gcPercent trades memory for processor time: scheduler instances have plenty of memory and little processor time.
const gcPercent = 400

// softMemoryShare is the share of the instance's memory that is set as the soft memory limit of the Go runtime.
const softMemoryShare = 0.6

// Run starts the process and serves until a stop signal. SIGHUP reloads the settings file. The sampler says whether the log
// has room for lines on single attempts.
func Run(s *Settings, logger zerolog.Logger, detailSampler zerolog.Sampler) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.memoryBytes()) * softMemoryShare))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	reloader := newReloader(s.LogLevel, logger)
	proc := assemble(s, logger, detailSampler)
	if err := proc.kernel.Start(context.Background()); err != nil {
		return err
	}
	logger.Info().Str("callers", s.CallerAddr).Str("data_centre", s.DataCentre).Str("store", s.StoreAddr).
		Dur("lease", s.AttemptLeaseDuration()).Msg("instance started")
	for received := range signals {
		if received == syscall.SIGHUP {
			reloader.reload()
			continue
		}
		break
	}
	logger.Info().Msg("instance stopping")
	proc.drain(toDuration(s.StopTimeout, time.Second) - killMargin)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := proc.kernel.Stop(ctx)
	logger.Info().Msg("instance stopped")
	return err
}

// process is a scheduler instance with all its services.
type process struct {
	kernel     *kernel.Kernel
	logger     zerolog.Logger
	guard      *recovery.Guard
	bounds     *bounds
	intake     platform.Intake
	callers    *callerServer
	leadership *leadershipService
	// carrier makes calls to workers for the leader; nil if there is no address for other instances.
	carrier *carrier.Server
	leaving atomic.Bool
	// responseDeadline is when requests that arrive during shutdown have to be answered, in ns since the Unix epoch.
	responseDeadline atomic.Int64
}

func assemble(s *Settings, logger zerolog.Logger, detailSampler zerolog.Sampler) *process {
	registry := prometheus.NewRegistry()
	platformStore := platform.NewStore(s.StoreAddr)
	health := platformStore.Health()
	provider := manifest.NewProvider()
	waves := &maintenance.Registry{}
	evacuations, board := &evacuation.Registry{}, &evacuation.Board{}
	interference := &mitigation.Board{}
	guard := recovery.NewGuard(registry, logger)
	table := hedge.New(measure.Table(platformStore, registry), registry, guard)
	reporter := invalid.NewReporter(registry, logger)
	workersClient := platform.NewWorkers()
	members := func(ctx context.Context) ([]leadership.Member, error) { return leadership.Members(ctx, table) }
	evacuationRows := newEvacuationRows(table, evacuations, leadership.BootTime, logger, reporter)
	registerEvacuationMetrics(registry, evacuations, leadership.BootTime)
	carriers := carrier.NewPool(s.ID, s.CPUShare, members, leadership.BootTime, guard, logger, registry)
	clock := &wallClock{path: s.TimeOffsetFile, guard: guard}
	p := &process{logger: logger, guard: guard, bounds: newBounds(s, registry, logger)}
	p.leadership = &leadershipService{
		table: table, roundTrip: health.RoundTrip, name: s.ID, cpuShare: s.CPUShare, speed: measure.NewSpeed().Relative, logger: logger,
		handoverRequestAfter: handoverRequestAfter, handoverCheckInterval: handoverCheckInterval,
		options: execution.Options{
			Table: table, Workers: measure.Workers(workersClient, registry), Carriers: carriers, Manifest: provider, WorkersTable: platform.WorkersTable,
			ParseRegistration: platform.ParseRegistration, Invalid: reporter, Guard: guard, Clock: leadership.BootTime, Now: clock.now, Logger: logger, DetailSampler: detailSampler,
			AttemptLeaseDuration: s.AttemptLeaseDuration(), WorkerLeaseLimit: s.WorkerLeaseLimit(), RemoteDataFactor: s.RemoteDataFactor, FenceOverdueStarts: s.FenceOverdueStarts,
			Retention: toDuration(s.Retention, time.Second), Metrics: execution.NewMetrics(registry),
			JobAdmission: s.AdmissionEnabled(),
			Evacuations:  evacuations, ReadEvacuations: evacuationRows.read, EvacuationBoard: board, StartBounds: s.startBounds(),
			RefreshEvacuations: func(ctx context.Context) error { return evacuationRows.read(ctx, 0) },
			InterferenceBoard:  interference,
			Waves:              waves, WaveStatus: platform.WaveStatus, MachineHandoverDelay: toDuration(s.MachineHandoverDelay, time.Millisecond),
		},
	}
	if s.MachinesAddr != "" {
		p.leadership.options.Machines = measure.Machines(platform.NewMachines(s.MachinesAddr, reporter), registry)
	}
	if s.AdviceAddr != "" {
		p.leadership.options.Advisor = platform.NewAdvisor(s.AdviceAddr)
	}
	intakeService := intake.New(table, health, provider, intake.NewMetrics(registry), logger, clock.now)
	if s.AdmissionEnabled() {
		intakeService.EnableAdmission()
	}
	p.intake = intakeService
	handler := platform.NewCallerHandler(p.intake)
	peerRelay := relay.New(s.ID, platform.CallerDeadline{}, provider, logger, registry)
	p.leadership.peerAddr = s.PeerAddr
	source := newConfigSource(table, s.ID, p.leadership.leading.Load, leadership.BootTime, logger, registry)
	p.leadership.region = s.Region
	p.leadership.onMembers = func(members []leadership.Member) {
		peerRelay.SetPeers(peersOf(members))
		source.setMembers(members)
	}
	p.callers = &callerServer{name: "callers", addr: s.CallerAddr, handler: p.serve("callers", handler), bounds: p.bounds}
	if s.PeerAddr != "" {
		p.callers.handler = p.serve("callers", peerRelay.Handler(handler))
	}
	ready := func() bool {
		return !p.leaving.Load() && provider.Current() != nil && !health.Down(notReadyOutage)
	}
	p.kernel = kernel.New(nil)
	p.kernel.Register(
		clock,
		&manifestService{table: table, source: source, provider: provider, waves: waves, evacuations: evacuationRows, clock: leadership.BootTime, logger: logger, invalid: reporter, guard: guard},
		p.leadership,
		p.callers,
		&opsServer{name: "ready", addr: s.ReadyAddr, handler: platform.NewReadyHandler(ready), bounds: p.bounds},
	)
	if s.PeerAddr != "" {
		p.carrier = carrier.NewServer(workersClient, evacuations, leadership.BootTime, guard, logger, p.bounds.frames)
		peers := chi.NewRouter()
		peers.Handle(carrier.Path, bodylimit.WithoutBodies(p.carrier))
		peers.Handle(tablefeed.Path, bodylimit.WithoutBodies(tablefeed.NewHandler(source.copy, leadership.BootTime)))
		peers.NotFound(p.serve("peers", peerRelay.PeerHandler(handler)).ServeHTTP)
		p.kernel.Register(&callerServer{name: "peers", addr: s.PeerAddr, handler: peers, bounds: p.bounds})
	}
	if s.MetricsAddr != "" {
		metrics := http.NewServeMux()
		metrics.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
		metrics.Handle(mitigation.ReportPath, interferenceReports(interference, leadership.BootTime))
		metrics.Handle(evacuation.ReportPath, evacuationReports(evacuations, board, leadership.BootTime))
		p.kernel.Register(&opsServer{name: "metrics", addr: s.MetricsAddr, handler: metrics, bounds: p.bounds})
	}
	return p
}

func peersOf(members []leadership.Member) []relay.Peer {
	peers := make([]relay.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, relay.Peer{Name: m.Name, Addr: m.Addr})
	}
	return peers
}

// serve returns the handler of a server for requests of callers.
func (p *process) serve(name string, next http.Handler) http.Handler {
	options := func(r *http.Request) bodylimit.Options {
		return bodylimit.Options{Limit: platform.MaxBodyBytes(p.intake, r), Deadline: p.bodyDeadline}
	}
	return p.guard.Handler(name, p.bounds.limitBodies(options, p.drainHandler(next)))
}

// bodyDeadline returns when request bodies have to be complete: zero, unless the instance is leaving.
func (p *process) bodyDeadline() time.Time {
	if !p.leaving.Load() {
		return time.Time{}
	}
	return time.Unix(0, p.responseDeadline.Load())
}

// drainHandler wraps a handler. Once the instance is leaving (shutting down), each connection is closed after its next response,
// and a request that is not answered by responseDeadline gets status 504 (outcome unknown) instead of a broken connection.
func (p *process) drainHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !p.leaving.Load() {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		buffer := response.NewBuffer()
		done := make(chan struct{})
		go func() {
			defer close(done)
			// net/http recovers from panics in its own goroutine only.
			if p.guard.Do("draining", func() { next.ServeHTTP(buffer, r) }) != nil {
				buffer.Status = http.StatusGatewayTimeout
				buffer.Body.Reset()
			}
		}()
		deadline := time.NewTimer(time.Until(time.Unix(0, p.responseDeadline.Load())))
		defer deadline.Stop()
		select {
		case <-done:
			buffer.WriteTo(w)
		case <-deadline.C:
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})
}

// drain releases leadership at once and serves callers until shutdownTimeout before the end of the available time: the platform
// may still send connections, and requests on open ones have to be answered.
func (p *process) drain(available time.Duration) {
	deadline := time.Now().Add(available - shutdownTimeout)
	p.responseDeadline.Store(deadline.Add(shutdownTimeout - responseMargin).UnixNano())
	p.leaving.Store(true)
	if p.carrier != nil {
		p.carrier.Leave()
	}
	if err := p.leadership.Stop(context.Background()); err != nil {
		p.logger.Warn().AnErr("error", err).Msg("leadership service not stopped")
	}
	time.Sleep(time.Until(deadline))
}
