// Package membership knows the other instances: it exchanges heartbeats with them, joins these with the platform's
// directory and the session rows of the table, and applies the rule of package authority. Readers get immutable views
// and never wait.
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

// ServiceName is the name of the service in the kernel.
const ServiceName = "membership"

const (
	heartbeatPeriod = time.Second
	renewPeriod     = 2 * time.Second
	pollPeriod      = 2 * time.Second
	// sessionPollPeriod is the period of reading the session rows. It delays every takeover by up to its length, since the
	// silence of a lost instance counts from the reading that showed its last renewal.
	sessionPollPeriod = time.Second
	// suspectPollPeriod is the period of reading the session rows while an instance is suspect and has not lapsed. A
	// period that divides Hold + margin evenly misses it by the duration of one reading and then costs a whole period.
	suspectPollPeriod = 500 * time.Millisecond
	// sendTimeout bounds a heartbeat that waits for a connection; the next one is due then.
	sendTimeout = time.Second
	// platformTimeout bounds one call to the table or the directory. A slower reply is of no use to authority.
	platformTimeout = 3 * time.Second
)

// Messenger is the part of peer.Transport that membership uses.
type Messenger interface {
	Handle(kind peer.Kind, handler peer.Handler)
	Send(ctx context.Context, addr string, kind peer.Kind, message any) error
	Session() uint64
}

// Config holds what a Service is made of.
type Config struct {
	Self      api.Instance
	Rule      authority.Rule
	Clock     clockwork.Clock
	Table     backend.Table
	Directory backend.Directory
	Messenger Messenger
	// Revision returns the configuration revision in force on this instance. It may be nil.
	Revision func() uint64
	// EndpointVersion returns the version of the endpoints that this instance publishes. It may be nil.
	EndpointVersion func() uint64
	// RevisionSeen is called at every heartbeat that reports no lower revision than Revision; an equal one confirms that
	// Revision is in force elsewhere. It may be nil and must not block.
	RevisionSeen func(from api.Instance, revision uint64)
	// EndpointsSeen is called when a peer reports another endpoint version than before. It may be nil and must not block.
	EndpointsSeen func(from api.Instance, version uint64)
	Log           zerolog.Logger
}

// Authority is the state of this instance's own authority at one time.
type Authority struct {
	Valid bool
	// Until is the monotonic reading (Service.Now) at which authority ends unless it is confirmed again.
	Until time.Duration
	// Term grows whenever authority was lost and held again. What was read from the table in an earlier term has to be
	// read again.
	Term uint64
	// Anchored is set once the session row was renewed in this term. Only readings of the table that begin afterwards are
	// certain to show what others claimed.
	Anchored bool
}

// Service is a kernel.Service.
type Service struct {
	config  Config
	session uint64
	started time.Time
	view    atomic.Pointer[View]
	own     atomic.Pointer[Authority]
	leaving atomic.Bool

	mu         sync.Mutex
	holder     *authority.Holder
	observer   *authority.Observer
	ledger     *authority.Ledger
	peers      map[api.InstanceID]*peerState
	listed     map[api.InstanceID]api.Instance
	workers    []api.Worker
	sending    map[api.InstanceID]bool
	tick       uint64
	storeUp    bool
	superseded bool
	onLapse    []func(api.InstanceID)

	// renewing is held during a renewal, so that the stop does not race with one.
	renewing sync.Mutex
	row      sessionState
	// sessionPolls belongs to the goroutine that reads the session rows.
	sessionPolls int

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a service that is not started. It registers the handler of heartbeats.
func New(config Config) *Service {
	s := &Service{
		config:   config,
		session:  config.Messenger.Session(),
		started:  config.Clock.Now(),
		holder:   authority.NewHolder(config.Rule, config.Self.ID),
		observer: authority.NewObserver(config.Rule),
		ledger:   authority.NewLedger(0),
		peers:    map[api.InstanceID]*peerState{},
		listed:   map[api.InstanceID]api.Instance{},
		sending:  map[api.InstanceID]bool{},
	}
	s.own.Store(&Authority{})
	s.view.Store(&View{Members: map[api.InstanceID]Member{}})
	config.Messenger.Handle(peer.KindHeartbeat, s.handleHeartbeat)
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{peer.ServiceName} }

// Now returns the monotonic reading that all times of this package refer to.
func (s *Service) Now() time.Duration { return s.config.Clock.Since(s.started) }

// Session returns the identifier of this run of the process.
func (s *Service) Session() uint64 { return s.session }

// View returns the latest view.
func (s *Service) View() *View { return s.view.Load() }

// Authority returns the state of this instance's authority now.
func (s *Service) Authority() Authority {
	own := *s.own.Load()
	own.Valid = s.Now() < own.Until
	own.Anchored = own.Anchored && own.Valid
	return own
}

// Valid reports whether this instance holds authority now.
func (s *Service) Valid() bool { return s.Now() < s.own.Load().Until }

// Lapsed reports whether an instance may be treated as lapsed.
func (s *Service) Lapsed(id api.InstanceID) bool { return s.View().Members[id].Lapsed }

// Track has the session row of an instance watched although neither heartbeats nor the directory name it, for example
// the owner in a unit row that died before this instance was started. The region is used until a better source names one.
func (s *Service) Track(id api.InstanceID, region string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == s.config.Self.ID {
		return
	}
	p := s.peer(id)
	if !p.described {
		p.instance.Location.Region = region
	}
}

// OnLapse registers a function that is called when an instance begins to count as lapsed. It must not block nor call
// back into the service.
func (s *Service) OnLapse(call func(id api.InstanceID)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onLapse = append(s.onLapse, call)
}

// SetLeaving announces a planned stop at once.
func (s *Service) SetLeaving() {
	s.leaving.Store(true)
	s.beat(context.Background(), math.MaxInt)
}

// Announce sends a heartbeat to all at once instead of at the next period, after something that it reports has changed.
func (s *Service) Announce() {
	if !s.leaving.Load() {
		s.beat(context.Background(), math.MaxInt)
	}
}

// Start begins to send heartbeats and to poll. It does not wait for the platform, which may be down.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.every(ctx, pollPeriod, s.pollDirectory)
	s.every(ctx, renewPeriod, s.renew)
	s.every(ctx, suspectPollPeriod, s.pollSessionsIfDue)
	s.every(ctx, heartbeatPeriod, func(ctx context.Context) { s.beat(ctx, maxPeersPerTick) })
	return nil
}

// every runs step now and then once a period until the context ends.
func (s *Service) every(ctx context.Context, period time.Duration, step func(context.Context)) {
	ticker := s.config.Clock.NewTicker(period)
	s.tasks.Go(func() {
		defer ticker.Stop()
		for ctx.Err() == nil {
			step(ctx)
			select {
			case <-ticker.Chan():
			case <-ctx.Done():
			}
		}
	})
}

// Stop ends the heartbeats and deletes the session row. Units have been handed over before.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	done := make(chan struct{})
	go func() {
		s.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return fault.New(fault.CodeTimeout, "membership stop", "heartbeats or table calls still run")
	}
	return s.deleteSession(ctx)
}

// publish makes a new view and authority state. The lock is held.
func (s *Service) publish() {
	now := s.Now()
	own := &Authority{Term: s.holder.Term(now), Anchored: s.holder.Anchored(now), Until: s.holder.Until(now)}
	if s.superseded {
		own.Until = 0
	}
	s.own.Store(own)
	before := s.view.Load()
	s.view.Store(s.makeView(now))
	s.notifyLapses(before, s.view.Load())
}

func (s *Service) notifyLapses(before, after *View) {
	for id, m := range after.Members {
		if lapsedAny(m) && !lapsedAny(before.Members[id]) || m.Lapsed && !before.Members[id].Lapsed {
			for _, call := range s.onLapse {
				call(id)
			}
		}
	}
}

func lapsedAny(m Member) bool { return m.Lapsed || m.CoordinatorGone() }
