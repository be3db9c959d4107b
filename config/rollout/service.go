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

// ServiceName is the name of the service in the service manager (package kernel).
const ServiceName = "rollout"

// Defaults of the durations in Options.
const (
	// DefaultPollInterval is the time between two reads of config/head.
	DefaultPollInterval = 2 * time.Second
	// DefaultTableTimeout is the timeout of one call to the table.
	DefaultTableTimeout = time.Second
	// DefaultRecordTimeout is the timeout of one Record call, including its retries.
	DefaultRecordTimeout = 5 * time.Second
	// DefaultPeerTimeout is the timeout for fetching a bundle from a peer.
	DefaultPeerTimeout = 3 * time.Second
)

// TopicActivation carries an Activation event for each revision that this instance activates.
const TopicActivation kernel.Topic = "config.in-force"

// Source says where an instance got a revision from.
type Source string

// Values of Source.
const (
	FromTable Source = "table"
	FromPeer  Source = "peer"
	// FromRecord means that this instance recorded the change.
	FromRecord Source = "record"
)

// Activation is the event that a revision became the active one on this instance. From is the previous active revision.
type Activation struct {
	Instance api.InstanceID
	From     uint64
	Revision uint64
	Author   string
	Digest   string
	Source   Source
}

// InstanceStatus is the last known state of the configuration of an instance.
type InstanceStatus struct {
	ID       api.InstanceID `json:"id"`
	Region   string         `json:"region,omitempty"`
	Revision uint64         `json:"revision"`
	// Expired is set if the instance lease has expired. Such an instance takes no new work, so acceptance does not wait
	// for it.
	Expired bool `json:"lapsed,omitempty"`
}

// Instances returns the active revision of each instance as reported by heartbeats and session rows.
type Instances interface {
	Instances() []InstanceStatus
}

// Options are the dependencies and settings of a Service. Peers, Instances, Regions and Clock are optional; a zero
// duration selects the default.
type Options struct {
	Self      api.InstanceID
	Table     backend.Table
	Peers     PeerSource
	Instances Instances
	Bus       *kernel.Bus
	Clock     clockwork.Clock
	Logger    zerolog.Logger
	// Regions returns the known regions. Changes with workloads in other regions are not recorded.
	Regions func() []string
	// Served returns the revision by which this instance serves requests, which may be older than the active one for a moment;
	// nil means the active one.
	Served func() uint64
	// Requires names the services that have to be started before this one.
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

// Service records changes and keeps the latest revision active on this instance. It implements kernel.Service.
type Service struct {
	options Options
	table   timeoutTable
	current atomic.Pointer[Snapshot]
	loaded  atomic.Bool
	// highestReported is the highest revision that a peer has reported.
	highestReported atomic.Uint64
	// confirmed is the time, by Options.Clock, at which the active revision was last known to be the latest.
	confirmed atomic.Pointer[time.Time]
	wake      chan struct{}
	// activationMu serialises the changes of current and the publication of their events.
	activationMu sync.Mutex
	// loadSemaphore serialises loads from the table. recordSemaphore serialises Record calls, so that changes from one
	// instance do not compete for the head row.
	loadSemaphore   chan struct{}
	recordSemaphore chan struct{}
	cancel          context.CancelFunc
	stopped         chan struct{}
	tableDown       bool
}

// New returns a service that is not started. It has an empty configuration and is not ready.
func New(options Options) *Service {
	options.applyDefaults()
	s := &Service{
		options:         options,
		table:           timeoutTable{table: options.Table, clock: options.Clock, timeout: options.TableTimeout},
		wake:            make(chan struct{}, 1),
		loadSemaphore:   make(chan struct{}, 1),
		recordSemaphore: make(chan struct{}, 1),
		stopped:         make(chan struct{}),
	}
	s.current.Store(emptySnapshot())
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return s.options.Requires }

// Start loads the configuration from the table or, if that fails, from a peer. It also succeeds if neither is reachable;
// in that case Ready fails until a later poll succeeds.
func (s *Service) Start(ctx context.Context) error {
	s.refresh(ctx)
	pollCtx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.pollLoop(pollCtx)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	select {
	case <-s.stopped:
		return nil
	case <-ctx.Done():
		return fault.New(fault.CodeTimeout, "stop rollout", "%s", ctx.Err())
	}
}

func (s *Service) pollLoop(ctx context.Context) {
	defer close(s.stopped)
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

// Notify reports the active revision of a peer whose instance lease is valid. It never blocks.
func (s *Service) Notify(revision uint64) {
	active := s.Snapshot().Revision
	if s.loaded.Load() && revision <= active {
		if revision == active {
			s.markConfirmed()
		}
		return
	}
	s.raiseHighestReported(revision)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) raiseHighestReported(revision uint64) {
	for {
		reported := s.highestReported.Load()
		if revision <= reported || s.highestReported.CompareAndSwap(reported, revision) {
			return
		}
	}
}

// Snapshot returns the active configuration. Its revision never decreases.
func (s *Service) Snapshot() *Snapshot { return s.current.Load() }

// Latest reads config/head, activates its revision and returns the active configuration. The result includes every
// change whose Record call returned before Latest was called, on any instance.
func (s *Service) Latest(ctx context.Context) (*Snapshot, error) {
	if err := s.loadFromTable(ctx); err != nil {
		return nil, err
	}
	return s.Snapshot(), nil
}

// Ready returns an error until a configuration has been loaded from the table or a peer.
func (s *Service) Ready() error {
	if s.loaded.Load() {
		return nil
	}
	return fault.New(fault.CodeNotReady, "read configuration", "neither the table nor a peer has answered yet")
}

// LastConfirmed returns when the active revision was last known to be the latest: it was read from the table, or a peer had
// the same one. It returns the zero time before the first confirmation.
func (s *Service) LastConfirmed() time.Time {
	if at := s.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (s *Service) markConfirmed() {
	now := s.options.Clock.Now()
	s.confirmed.Store(&now)
}

// Bundle returns the active configuration for a peer. It fails while this instance is not ready.
func (s *Service) Bundle() (Bundle, error) {
	if err := s.Ready(); err != nil {
		return Bundle{}, err
	}
	current := s.Snapshot()
	known := max(current.Revision, s.highestReported.Load())
	return Bundle{Revision: current.Revision, Digest: current.Digest, Author: current.Author, Files: current.Files(), HighestKnown: known}, nil
}

// Statuses returns the revision by which each instance serves requests, including this one, sorted by instance ID.
func (s *Service) Statuses() []InstanceStatus {
	own := InstanceStatus{ID: s.options.Self, Revision: s.served()}
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

func (s *Service) served() uint64 {
	if s.options.Served == nil {
		return s.Snapshot().Revision
	}
	return s.options.Served()
}

// Accepted reports whether every instance with a valid instance lease serves requests by the revision or a later one. It
// also returns the instances that do not.
func (s *Service) Accepted(revision uint64) (bool, []InstanceStatus) {
	var waiting []InstanceStatus
	for _, instance := range s.Statuses() {
		if instance.Revision < revision && !instance.Expired {
			waiting = append(waiting, instance)
		}
	}
	return len(waiting) == 0, waiting
}

// activate makes next the active configuration, unless its revision or a later one is active already.
func (s *Service) activate(next *Snapshot, source Source) {
	s.activationMu.Lock()
	defer s.activationMu.Unlock()
	previous := s.Snapshot()
	if next.Revision <= previous.Revision {
		s.loaded.Store(true)
		return
	}
	s.current.Store(next)
	s.loaded.Store(true)
	s.options.Logger.Info().Uint64(logging.KeyRevision, next.Revision).Str("source", string(source)).Msg("configuration in force")
	event := Activation{Instance: s.options.Self, From: previous.Revision, Revision: next.Revision, Author: next.Author,
		Digest: next.Digest, Source: source}
	if err := kernel.Publish(s.options.Bus, TopicActivation, event); err != nil {
		s.options.Logger.Error().Err(err).Uint64(logging.KeyRevision, next.Revision).Msg("failed to publish the activation event")
	}
}

// NewOpID returns a unique operation id.
func NewOpID() string { return rand.Text() }
