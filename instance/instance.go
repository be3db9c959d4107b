// Package instance assembles the services of one instance and adapts their interfaces to each other. The decisions are
// left to the services.
package instance

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"bronzehook/admission"
	"bronzehook/api"
	"bronzehook/audit"
	"bronzehook/authority"
	"bronzehook/backend"
	"bronzehook/config/rollout"
	"bronzehook/control"
	"bronzehook/coordinator"
	"bronzehook/dedup"
	"bronzehook/dispatch"
	"bronzehook/drain"
	"bronzehook/gateway"
	"bronzehook/kernel"
	"bronzehook/membership"
	"bronzehook/operator"
	"bronzehook/ownership"
	"bronzehook/peer"
	"bronzehook/recovery"
	"bronzehook/routing"
	"bronzehook/routing/outlier"
	"bronzehook/runner"
	"bronzehook/scheduler"
)

// Options holds the settings and dependencies of an instance.
type Options struct {
	Self api.Instance
	// Regions names all regions of the fleet; it is the same on all instances.
	Regions []string

	CallerAddr   string
	OperatorAddr string
	// CallerTLS is the TLS configuration of the servers for callers and operators; nil means plain HTTP.
	CallerTLS     *tls.Config
	PeerTLS       *tls.Config
	OperatorToken string
	// CallerTokens maps bearer tokens to callers; nil means that the team header of callers is trusted.
	CallerTokens map[string]gateway.Caller

	Table     backend.Table
	Objects   backend.Objects
	Directory backend.Directory
	Workers   backend.Workers

	Clock  clockwork.Clock
	Logger zerolog.Logger
	// Registry takes the metrics of the instance; nil creates one.
	Registry *prometheus.Registry

	// InstanceLeaseDuration must be the same on all instances. AttemptLeaseDuration is the lease of an attempt on a worker.
	InstanceLeaseDuration time.Duration
	AttemptLeaseDuration  time.Duration
	StopTimeout           time.Duration

	// Bounds bounds request bodies and connections; nil means the documented limits on bodies only.
	Bounds *Bounds

	// ListenPeer opens the socket for traffic with other instances; nil means a UDP socket.
	ListenPeer func(addr string) (net.PacketConn, error)
}

// loadBalancerDelay is how long a stopping instance still accepts requests after it reports that it is not ready, so
// that the load balancer can notice.
const loadBalancerDelay = time.Second

// handoverReserve is the part of the stop timeout that is reserved for the handover of units. Without it, a request
// that outlasts the timeout would prevent the handover, and the units would stay with this instance until its lease
// expires.
const handoverReserve = 5 * time.Second

// Instance is one process of the fleet.
type Instance struct {
	options  Options
	log      zerolog.Logger
	session  uint64
	registry *prometheus.Registry
	guard    *recovery.Guard

	kernel         *kernel.Kernel
	loop           *control.Loop
	transport      *peer.Transport
	members        *membership.Service
	owners         *ownership.Service
	rollout        *rollout.Service
	drains         *drain.Service
	trail          *audit.Trail
	events         *eventPublisher
	runner         *runner.Runner
	coordinator    *coordinator.Coordinator
	deduplicator   *dedup.Service
	admission      *admission.Controller
	quotas         *admission.Quotas
	trackers       *routing.Trackers
	gateway        *gateway.Gateway
	endpoints      *endpointRegistry
	leavingWorkers *leavingNotices
	store          *tableMonitor
	gate           *readinessGate
	callers        *httpService
	operators      *operator.Server

	// stopFollowingRevisions cancels the subscription of serveNewRevisions.
	stopFollowingRevisions context.CancelFunc
	view                   *viewService

	// viewStale is set when the routing view has to be rebuilt.
	viewStale atomic.Bool
	// servedRevision is the revision of the routing view, by which requests are served. It follows the active revision of
	// rollout within viewCheckInterval. Other instances and operators are told this one.
	servedRevision atomic.Uint64
	stopping       atomic.Bool
}

// New assembles an instance without starting it.
func New(options Options) *Instance {
	i := &Instance{
		options: options, session: newSession(), registry: options.Registry,
		log: options.Logger.With().Str("dataCentre", options.Self.Location.DataCentre).Logger(),
	}
	if i.registry == nil {
		i.registry = prometheus.NewRegistry()
	}
	i.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	i.kernel = kernel.New(kernel.NewBus())
	i.store = newTableMonitor(options.Table, options.Clock, i.registry)
	i.guard = recovery.NewGuard(i.registry, i.log)
	i.loop = control.NewLoop(options.Clock, i.guard)
	i.buildCluster()
	i.buildConfiguration()
	i.buildTaskAndRequestServices()
	i.view = &viewService{Instance: i}
	i.buildCallerServer()
	i.buildOperatorServer()
	i.registerMessages()
	i.registerMetrics()
	i.kernel.Register(i.loop, i.transport, i.members, i.owners, i.rollout, i.drains, i.trail, i.events, i.runner, i.coordinator,
		i.callers, i.operators, i.view)
	return i
}

func (i *Instance) buildCluster() {
	o := i.options
	i.transport = peer.New(peer.Config{
		ID: o.Self.ID, Addr: o.Self.Addr, Session: i.session, TLS: o.PeerTLS, Listen: o.ListenPeer, Log: i.log, Guard: i.guard,
		RegionOf: func(addr string) string { return i.members.View().RegionOfAddr(addr) },
	})
	i.endpoints = newEndpointRegistry(o.Self.ID, i.fetchEndpoints, func() { i.viewStale.Store(true) })
	i.leavingWorkers = newLeavingNotices(o.Clock, func() { i.viewStale.Store(true) })
	i.members = membership.New(membership.Config{
		Self: o.Self, Rule: authority.Rule{LeaseDuration: o.InstanceLeaseDuration}, Clock: o.Clock, Table: i.store, Directory: o.Directory,
		Messenger: i.transport, Log: i.log,
		Revision:        i.servedRevision.Load,
		EndpointVersion: func() uint64 { return i.endpoints.localSet().Version },
		OnRevision: func(from api.Instance, revision uint64) {
			if !i.members.Expired(from.ID) {
				i.rollout.Notify(revision)
			}
		},
		OnEndpointsChanged: func(from api.Instance, version uint64) { i.endpoints.handleVersion(from.ID, version) },
	})
	i.owners = ownership.New(ownership.Config{
		Self: o.Self, Clock: o.Clock, Table: i.store, Members: i.members, Messenger: i.transport, Log: i.log,
		Acquired: i.unitAcquired, Lost: i.unitLost, Changed: i.unitsChanged, Releasing: i.unitReleasing,
	})
}

func (i *Instance) buildConfiguration() {
	o := i.options
	i.rollout = rollout.New(rollout.Options{
		Self: o.Self.ID, Table: i.store, Peers: bundleSource{i}, Instances: instanceStatuses{i}, Bus: i.kernel.Bus(),
		Clock: o.Clock, Logger: i.log, Regions: func() []string { return o.Regions },
		Served: i.servedRevision.Load, Requires: []string{membership.ServiceName},
	})
	i.drains = drain.New(drain.Options{Table: i.store, Clock: o.Clock, Logger: i.log, NewOpID: rollout.NewOpID})
	i.trail = audit.New(audit.Options{
		Self: o.Self.ID, Table: i.store, Bus: i.kernel.Bus(), Clock: o.Clock, Logger: i.log,
	})
	i.events = newEventPublisher(i.kernel.Bus(), i.trail)
}

func (i *Instance) buildTaskAndRequestServices() {
	o := i.options
	slots := dispatch.NewSlotTable()
	i.runner = runner.New(runner.Options{
		Self: o.Self.ID, Clock: o.Clock, Loop: i.loop, Workers: o.Workers, Ownership: i.owners, Reporter: i, Slots: slots,
		Logger: i.log, AttemptLease: o.AttemptLeaseDuration, InstanceLease: o.InstanceLeaseDuration, EndpointsChanged: i.endpoints.setLocal,
	})
	i.coordinator = coordinator.New(coordinator.Options{
		Self: o.Self.ID, Clock: o.Clock, Loop: i.loop, Table: i.store, Objects: o.Objects, Cluster: i, Sender: i, Logger: i.log,
		AttemptLease: o.AttemptLeaseDuration, NewOpID: rollout.NewOpID, Audit: i.auditTask,
		Decider: coordinator.NewEngineDecider(scheduler.DefaultOptions(), i.session),
	})
	i.deduplicator = dedup.NewService(o.Self.ID, dedup.DefaultConfig(), o.Clock, shardAuthority{i}, replicator{i})
	i.deduplicator.SetRegions(o.Regions)
	i.trackers = routing.NewTrackers(outlier.DefaultConfig())
	client := dispatch.NewClient(dispatch.DefaultClientConfig())
	dispatcher := dispatch.New(o.Self.ID, slots, i.runner.Permits(), client, i)
	i.admission = admission.NewController(o.Clock, admission.DefaultConfig(), 1, api.Floors{})
	i.quotas = admission.NewQuotas()
	config := gateway.DefaultConfig()
	config.DrainTimeout = o.StopTimeout - min(handoverReserve, o.StopTimeout/2)
	config.Seed = i.session
	i.gateway = gateway.New(config, gateway.Dependencies{
		Self: o.Self, Clock: o.Clock, Log: i.log, Authenticator: authenticatorOf(o),
		Admission: i.admission, Quotas: i.quotas, Deduplicator: i.deduplicator, Peers: i, Dispatcher: dispatcher, Trackers: i.trackers,
		Retries: admission.NewRetryBudget(admission.DefaultRetryConfig(), o.Clock.Now()),
		Metrics: gateway.NewMetrics(i.registry, i.admission), Bodies: o.Bounds.bodies(),
	})
}

// defaultTeam is the team of callers that do not name one.
const defaultTeam = "default"

func authenticatorOf(o Options) gateway.Authenticator {
	if o.CallerTokens == nil {
		return gateway.HeaderAuthenticator{DefaultTeam: defaultTeam}
	}
	return gateway.NewBearerAuthenticator(o.CallerTokens)
}

func (i *Instance) buildCallerServer() {
	i.gate = newReadinessGate(i)
	server := i.gateway.NewServer()
	server.Handler = i.guard.Handler("callers", i.gate.wrap(server.Handler))
	server.TLSConfig = i.options.CallerTLS
	i.callers = &httpService{
		name: "callers", addr: i.options.CallerAddr, server: server, tlsConfig: i.options.CallerTLS, requires: []string{"view"},
		limit: i.options.Bounds.listener("callers", callerShare),
	}
}

func (i *Instance) buildOperatorServer() {
	o := i.options
	i.operators = operator.New(operator.Options{
		Addr: o.OperatorAddr, Token: o.OperatorToken, TLS: o.CallerTLS, Rollout: i.rollout, Status: i, Explain: i,
		Drains: operatorDrains{i}, Trail: i.trail, Clock: o.Clock, Logger: i.log, Ready: i.gate.ready,
		Metrics: promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}), Emit: i.emit, Requires: []string{"callers"},
		Bodies: o.Bounds.operatorBodies(), Listen: o.Bounds.listener("operators", operatorShare),
	})
}

// Start starts all services. It does not wait for the platform, which may be unavailable.
func (i *Instance) Start(ctx context.Context) error {
	if err := i.serveNewRevisions(); err != nil {
		return err
	}
	return i.kernel.Start(ctx)
}

// serveNewRevisions makes the routing view follow each revision as soon as it is active here. The view service announces it
// to the other instances then. Otherwise only this instance would know a recorded revision until the next heartbeat, and
// the fleet would lose the revision if the instance crashed before that while the table is unavailable.
func (i *Instance) serveNewRevisions() error {
	ctx, cancel := context.WithCancel(context.Background())
	i.stopFollowingRevisions = cancel
	follow := func(rollout.Activation) {
		i.viewStale.Store(true)
		i.loop.Post(i.view.refresh)
	}
	return kernel.Subscribe(ctx, i.kernel.Bus(), rollout.TopicActivation, follow)
}

// CallerAddr returns the address of the server for callers.
func (i *Instance) CallerAddr() string { return i.callers.listener.Addr().String() }

// OperatorAddr returns the address of the server for operators.
func (i *Instance) OperatorAddr() string { return i.operators.Addr().String() }

// Ready returns why the instance must not receive requests, or nil.
func (i *Instance) Ready() error { return i.gate.ready() }

// Stop shuts the instance down gracefully: it reports that it is not ready, finishes requests in flight, hands its
// units over and stops the services. The context bounds all of it. Requests finish before the handover, because one
// that waits for a slot would otherwise be refused when its worker's rack gets another owner.
func (i *Instance) Stop(ctx context.Context) error {
	i.stopping.Store(true)
	i.members.SetLeaving()
	i.log.Info().Msg("stop begun")
	select {
	case <-ctx.Done():
	case <-i.options.Clock.After(loadBalancerDelay):
	}
	err := i.gateway.Stop(ctx)
	err = errors.CombineErrors(err, i.owners.HandOver(ctx))
	err = errors.CombineErrors(err, i.kernel.Stop(ctx))
	i.stopFollowingRevisions()
	i.deduplicator.Close()
	i.log.Info().Msg("stop done")
	return err
}
