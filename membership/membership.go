// Package membership tracks the other instances of the fleet. It exchanges heartbeats with them, combines these with the
// platform's directory and the session rows of the table, and decides on instance leases by the rule of package
// authority. Readers get immutable snapshots and never wait.
package membership

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/authority"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/peer"
)

// ServiceName is the name of the service in the service manager.
const ServiceName = "membership"

const (
	heartbeatInterval     = time.Second
	renewInterval         = 2 * time.Second
	directoryPollInterval = 2 * time.Second
	// sessionPollInterval is the interval between reads of the session rows. It delays every takeover by up to its length,
	// since the expiry delay of a crashed instance counts from the read that showed its last renewal.
	sessionPollInterval = time.Second
	// suspectPollInterval is the interval between reads of the session rows while an instance is suspect and its lease has
	// not expired. If the interval divides the expiry delay evenly, the read that is due then comes too early by the
	// duration of one read, which delays the expiry decision by one more interval.
	suspectPollInterval = 500 * time.Millisecond
	// sendTimeout bounds a heartbeat that waits for a connection. The next one is due by then.
	sendTimeout = time.Second
	// platformTimeout bounds one call to the table or the directory. A slower response is of no use to the instance lease.
	platformTimeout = 3 * time.Second
)

// Messenger is the part of peer.Transport that membership uses.
type Messenger interface {
	Handle(kind peer.Kind, handler peer.Handler)
	Send(ctx context.Context, addr string, kind peer.Kind, message any) error
	Session() uint64
}

// Config holds the settings and dependencies of a Service.
type Config struct {
	Self      api.Instance
	Rule      authority.Rule
	Clock     clockwork.Clock
	Table     backend.Table
	Directory backend.Directory
	Messenger Messenger
	// Revision returns the configuration revision that is active on this instance. It may be nil.
	Revision func() uint64
	// EndpointVersion returns the version of the endpoints that this instance publishes. It may be nil.
	EndpointVersion func() uint64
	// OnRevision is called for every heartbeat that reports Revision or a higher revision; an equal one confirms that
	// Revision is active on the sender. It may be nil and must not block.
	OnRevision func(from api.Instance, revision uint64)
	// OnEndpointsChanged is called when a peer reports a changed endpoint version. It may be nil and must not block.
	OnEndpointsChanged func(from api.Instance, version uint64)
	Log                zerolog.Logger
}

// Authority is the state of this instance's own lease at one time.
type Authority struct {
	Valid bool
	// Until is the monotonic time (Service.Now) at which the instance lease expires unless it is confirmed again.
	Until time.Duration
	// Period is the number of the lease period. It grows whenever the lease becomes valid again after it had expired; state
	// read from the table in an earlier period must be read again.
	Period uint64
	// RenewedInPeriod is set once the session row was renewed in this lease period. Only reads of the table that begin afterwards
	// are certain to show which units others have acquired.
	RenewedInPeriod bool
}

// Service implements kernel.Service.
type Service struct {
	config         Config
	session        uint64
	started        time.Time
	view           atomic.Pointer[View]
	authorityState atomic.Pointer[Authority]
	leaving        atomic.Bool

	mu              sync.Mutex
	lease           *authority.Lease
	observer        *authority.Observer
	tracker         *authority.HeartbeatTracker
	peers           map[api.InstanceID]*peerState
	listed          map[api.InstanceID]api.Instance
	workers         []api.Worker
	inFlight        map[api.InstanceID]bool
	tick            uint64
	storeReachable  bool
	superseded      bool
	expiryCallbacks []func(api.InstanceID)

	// renewalMu is held during a renewal of the session row, so that Stop does not race with one.
	renewalMu sync.Mutex
	row       sessionState
	// sessionPollTicks is used only by the goroutine that reads the session rows.
	sessionPollTicks int

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a service that is not started. It registers the handler for heartbeats.
func New(config Config) *Service {
	s := &Service{
		config:   config,
		session:  config.Messenger.Session(),
		started:  config.Clock.Now(),
		lease:    authority.NewLease(config.Rule, config.Self.ID),
		observer: authority.NewObserver(config.Rule),
		tracker:  authority.NewHeartbeatTracker(0),
		peers:    map[api.InstanceID]*peerState{},
		listed:   map[api.InstanceID]api.Instance{},
		inFlight: map[api.InstanceID]bool{},
	}
	s.authorityState.Store(&Authority{})
	s.view.Store(&View{Members: map[api.InstanceID]Member{}})
	config.Messenger.Handle(peer.KindHeartbeat, s.handleHeartbeat)
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{peer.ServiceName} }

// Now returns the monotonic time since New was called. All times of this package refer to this clock.
func (s *Service) Now() time.Duration { return s.config.Clock.Since(s.started) }

// Session returns the number of this incarnation of the process.
func (s *Service) Session() uint64 { return s.session }

// View returns the latest snapshot of the fleet.
func (s *Service) View() *View { return s.view.Load() }

// Authority returns the current state of this instance's own lease.
func (s *Service) Authority() Authority {
	state := *s.authorityState.Load()
	state.Valid = s.Now() < state.Until
	state.RenewedInPeriod = state.RenewedInPeriod && state.Valid
	return state
}

// Valid reports whether this instance's own lease is valid now.
func (s *Service) Valid() bool { return s.Now() < s.authorityState.Load().Until }

// Expired reports whether an instance's lease may be treated as expired.
func (s *Service) Expired(id api.InstanceID) bool { return s.View().Members[id].Expired }

// Track adds an instance that neither heartbeats nor the directory name, so that its session row is watched: for example
// the owner in a unit row, if it crashed before this instance was started. The region is used until a better source
// names one.
func (s *Service) Track(id api.InstanceID, region string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == s.config.Self.ID {
		return
	}
	p := s.ensurePeer(id)
	if !p.hasDescription {
		p.instance.Location.Region = region
	}
}

// OnExpiry registers a function that is called when an instance's lease expires or the coordinator unit may be acquired
// from it. The function must not block or call back into the service.
func (s *Service) OnExpiry(call func(id api.InstanceID)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiryCallbacks = append(s.expiryCallbacks, call)
}

// SetLeaving announces a planned shutdown to all peers at once.
func (s *Service) SetLeaving() {
	s.leaving.Store(true)
	s.sendHeartbeats(context.Background(), math.MaxInt)
}

// Announce sends a heartbeat to all peers at once, after a change of what heartbeats report. It does nothing if the
// instance is leaving.
func (s *Service) Announce() {
	if !s.leaving.Load() {
		s.sendHeartbeats(context.Background(), math.MaxInt)
	}
}

// Start starts the heartbeats and the polls of the platform. It does not wait for the platform, which may be down.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.runEvery(ctx, directoryPollInterval, s.pollDirectory)
	s.runEvery(ctx, renewInterval, s.renew)
	s.runEvery(ctx, suspectPollInterval, s.pollSessionsIfDue)
	s.runEvery(ctx, heartbeatInterval, func(ctx context.Context) { s.sendHeartbeats(ctx, maxPeersPerTick) })
	return nil
}

// runEvery calls run at once and then once per interval until ctx is done.
func (s *Service) runEvery(ctx context.Context, interval time.Duration, run func(context.Context)) {
	ticker := s.config.Clock.NewTicker(interval)
	s.goroutines.Go(func() {
		defer ticker.Stop()
		for ctx.Err() == nil {
			run(ctx)
			select {
			case <-ticker.Chan():
			case <-ctx.Done():
			}
		}
	})
}

// Stop ends the heartbeats and deletes the session row. The units of the instance must have been handed over before.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	done := make(chan struct{})
	go func() {
		s.goroutines.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return fault.New(fault.CodeTimeout, "membership stop", "heartbeats or table calls are still in progress")
	}
	return s.deleteSession(ctx)
}

// publish stores a new snapshot of the fleet and of the own lease, and calls the expiry callbacks. s.mu must be held.
func (s *Service) publish() {
	now := s.Now()
	state := &Authority{Period: s.lease.Period(now), RenewedInPeriod: s.lease.RenewedInPeriod(now), Until: s.lease.Expiry(now)}
	if s.superseded {
		state.Until = 0
	}
	s.authorityState.Store(state)
	before := s.view.Load()
	s.view.Store(s.makeView(now))
	s.notifyExpiries(before, s.view.Load())
}

func (s *Service) notifyExpiries(before, after *View) {
	for id, m := range after.Members {
		if anyUnitAcquirable(m) && !anyUnitAcquirable(before.Members[id]) || m.Expired && !before.Members[id].Expired {
			for _, call := range s.expiryCallbacks {
				call(id)
			}
		}
	}
}

// anyUnitAcquirable reports whether at least the coordinator unit may be acquired from an instance.
func anyUnitAcquirable(m Member) bool { return m.Expired || m.CoordinatorReplaceable() }
