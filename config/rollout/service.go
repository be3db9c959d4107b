package rollout

import (
	"cmp"
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/kernel"
	"bronzehook/logging"
)

// ServiceName is the service's name in the kernel.
const ServiceName = "rollout"

// Defaults of Options.
const (
	// DefaultPollInterval is the time between two reads of config/head.
	DefaultPollInterval = 2 * time.Second
	// DefaultTableTimeout bounds one call to the table.
	DefaultTableTimeout = time.Second
	// DefaultRecordTimeout bounds the repetition of a record while the table fails.
	DefaultRecordTimeout = 5 * time.Second
	// DefaultPeerTimeout bounds the fetch of a bundle from a peer.
	DefaultPeerTimeout = 3 * time.Second
)

// TopicInForce carries an InForce event for each revision that this instance put in force.
const TopicInForce kernel.Topic = "config.in-force"

// Source says where a revision came from.
type Source string

// The sources.
const (
	FromTable Source = "table"
	FromPeer  Source = "peer"
	// FromRecord means that this instance recorded the change.
	FromRecord Source = "record"
)

// InForce is the event that a revision is in force on this instance.
type InForce struct {
	Instance api.InstanceID
	From     uint64
	Revision uint64
	Author   string
	Digest   string
	Source   Source
}

// InstanceStatus is what is known of an instance's configuration.
type InstanceStatus struct {
	ID       api.InstanceID `json:"id"`
	Region   string         `json:"region,omitempty"`
	Revision uint64         `json:"revision"`
	// Lapsed instances take no new work and do not hold up acceptance.
	Lapsed bool `json:"lapsed,omitempty"`
}

// Instances tells what each instance has in force, as heartbeats and session rows report it.
type Instances interface {
	Instances() []InstanceStatus
}

// Options are the parts that a Service is built from. Peers, Instances, Regions and zero durations may be left out.
type Options struct {
	Self      api.InstanceID
	Table     backend.Table
	Peers     PeerSource
	Instances Instances
	Bus       *kernel.Bus
	Clock     clockwork.Clock
	Logger    zerolog.Logger
	// Regions returns the known regions; work that names others is refused when it is recorded.
	Regions func() []string
	// Requires names the services that have to run before this one.
	Requires []string

	PollInterval  time.Duration
	TableTimeout  time.Duration
	RecordTimeout time.Duration
	PeerTimeout   time.Duration
}

func (o *Options) applyDefaults() {
	setDefault(&o.PollInterval, DefaultPollInterval)
	setDefault(&o.TableTimeout, DefaultTableTimeout)
	setDefault(&o.RecordTimeout, DefaultRecordTimeout)
	setDefault(&o.PeerTimeout, DefaultPeerTimeout)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Service records changes and keeps the latest revision in force. It implements kernel.Service.
type Service struct {
	options Options
	table   timedTable
	current atomic.Pointer[Snapshot]
	loaded  atomic.Bool
	// wanted is the highest revision that a peer reported.
	wanted atomic.Uint64
	// confirmed is when the revision in force was last known to be the latest, by the clock of Options.
	confirmed atomic.Pointer[time.Time]
	wake      chan struct{}
	// putting serialises changes of current and their events.
	putting sync.Mutex
	// loading serialises reads of the table; recording serialises Record, so that changes from one instance do not
	// race each other for the head.
	loading   chan struct{}
	recording chan struct{}
	cancel    context.CancelFunc
	done      chan struct{}
	storeDown bool
}

// New returns a service with an empty configuration that is not ready.
func New(options Options) *Service {
	options.applyDefaults()
	s := &Service{
		options:   options,
		table:     timedTable{table: options.Table, clock: options.Clock, timeout: options.TableTimeout},
		wake:      make(chan struct{}, 1),
		loading:   make(chan struct{}, 1),
		recording: make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
	s.current.Store(emptySnapshot())
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return s.options.Requires }

// Start reads the configuration from the table, or else from a peer. It succeeds also if neither is reachable; Ready
// fails until a later attempt succeeds.
func (s *Service) Start(ctx context.Context) error {
	s.refresh(ctx)
	running, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.run(running)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return fault.New(fault.CodeTimeout, "stop rollout", "%s", ctx.Err())
	}
}

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	ticker := s.options.Clock.NewTicker(s.options.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-s.wake:
		}
		s.refresh(ctx)
	}
}

// Notify tells that a peer whose authority has not lapsed has the revision in force. It never blocks.
func (s *Service) Notify(revision uint64) {
	inForce := s.Snapshot().Revision
	if s.loaded.Load() && revision <= inForce {
		if revision == inForce {
			s.confirm()
		}
		return
	}
	s.raiseWanted(revision)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) raiseWanted(revision uint64) {
	for {
		wanted := s.wanted.Load()
		if revision <= wanted || s.wanted.CompareAndSwap(wanted, revision) {
			return
		}
	}
}

// Snapshot returns the configuration in force. Its revision never goes down.
func (s *Service) Snapshot() *Snapshot { return s.current.Load() }

// Latest reads config/head, puts what it names in force and returns it. It returns a revision at or above every one
// whose Record ended before the call, whichever instance recorded it.
func (s *Service) Latest(ctx context.Context) (*Snapshot, error) {
	if err := s.loadFromTable(ctx); err != nil {
		return nil, err
	}
	return s.Snapshot(), nil
}

// Ready fails until a configuration was read from the table or a peer.
func (s *Service) Ready() error {
	if s.loaded.Load() {
		return nil
	}
	return fault.New(fault.CodeNotReady, "read configuration", "neither the table nor a peer has answered yet")
}

// Confirmed returns when the revision in force was last known to be the latest: read from the table, or equal to that
// of a peer. It is the zero time before the first one.
func (s *Service) Confirmed() time.Time {
	if at := s.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (s *Service) confirm() {
	now := s.options.Clock.Now()
	s.confirmed.Store(&now)
}

// Bundle returns the configuration in force for a peer; it fails while this instance is not ready.
func (s *Service) Bundle() (Bundle, error) {
	if err := s.Ready(); err != nil {
		return Bundle{}, err
	}
	now := s.Snapshot()
	known := max(now.Revision, s.wanted.Load())
	return Bundle{Revision: now.Revision, Digest: now.Digest, Author: now.Author, Files: now.Files(), Known: known}, nil
}

// Statuses returns what each instance has in force, this one included, in the order of their names.
func (s *Service) Statuses() []InstanceStatus {
	own := InstanceStatus{ID: s.options.Self, Revision: s.Snapshot().Revision}
	all := []InstanceStatus{}
	if s.options.Instances != nil {
		all = append(all, s.options.Instances.Instances()...)
	}
	i := slices.IndexFunc(all, func(other InstanceStatus) bool { return other.ID == own.ID })
	if i < 0 {
		all = append(all, own)
	} else {
		all[i].Revision = own.Revision
	}
	slices.SortFunc(all, func(a, b InstanceStatus) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Accepted reports whether every instance has the revision in force or has lapsed, and otherwise for whom it waits.
func (s *Service) Accepted(revision uint64) (bool, []InstanceStatus) {
	var waiting []InstanceStatus
	for _, i := range s.Statuses() {
		if i.Revision < revision && !i.Lapsed {
			waiting = append(waiting, i)
		}
	}
	return len(waiting) == 0, waiting
}

// put makes a snapshot the one in force unless a later one is.
func (s *Service) put(next *Snapshot, source Source) {
	s.putting.Lock()
	defer s.putting.Unlock()
	before := s.Snapshot()
	if next.Revision <= before.Revision {
		s.loaded.Store(true)
		return
	}
	s.current.Store(next)
	s.loaded.Store(true)
	s.options.Logger.Info().Uint64(logging.KeyRevision, next.Revision).Str("source", string(source)).Msg("configuration in force")
	event := InForce{Instance: s.options.Self, From: before.Revision, Revision: next.Revision, Author: next.Author,
		Digest: next.Digest, Source: source}
	if err := kernel.Publish(s.options.Bus, TopicInForce, event); err != nil {
		s.options.Logger.Error().Err(err).Uint64(logging.KeyRevision, next.Revision).Msg("event was not published")
	}
}

// NewOpID returns an operation id that no other operation has.
func NewOpID() string { return rand.Text() }
