// Package ownership claims units (racks, request shards and the coordinator duty) in the platform's table, hands them
// over, and answers at the last moment before a message goes out whether this instance may act as the owner of a unit.
package ownership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/logging"
	"bronzehook/membership"
	"bronzehook/peer"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "ownership"

const (
	pollPeriod = 2 * time.Second
	// listEvery is the number of polls between full readings of the unit rows, in case the version row was missed.
	listEvery = 15
	// rebalanceDelay is the time for which the set of live instances must not have changed before units move to a joined
	// instance, so that a flapping instance moves nothing.
	rebalanceDelay  = 10 * time.Second
	platformTimeout = 3 * time.Second
	// settleTime is the longest wait after the start for heartbeats of all listed instances. Without it the first of
	// several instances that start together claims everything, and the others get their share one unit at a time.
	settleTime = 5 * time.Second
)

// Members is the part of membership.Service that ownership uses.
type Members interface {
	View() *membership.View
	Authority() membership.Authority
	Session() uint64
	Track(id api.InstanceID, region string)
	OnLapse(call func(id api.InstanceID))
}

// Messenger is the part of peer.Transport that ownership uses.
type Messenger interface {
	Handle(kind peer.Kind, handler peer.Handler)
	Send(ctx context.Context, addr string, kind peer.Kind, message any) error
}

// Config holds what a Service is made of.
type Config struct {
	Self    api.Instance
	Clock   clockwork.Clock
	Table   backend.Table
	Members Members
	// Messenger tells a successor of a hand-over at once; without it (nil) the successor finds out by polling.
	Messenger Messenger
	// Claimed and Lost run within a step: they must not block nor call HandOver, Learn or Step. Claimed is called after this instance became the owner of a unit, by a claim or a hand-over. It may be nil.
	Claimed func(unit api.Unit, epoch api.Epoch, previous api.InstanceID)
	// Lost is called after this instance ceased to be the owner. It may be nil.
	Lost func(unit api.Unit)
	// Changed is called with the views before and after each change, under the same terms. It may be nil.
	Changed func(before, after *View)
	// Releasing is called before a hand-over is written, when Check already refuses the unit; state that the successor
	// needs is transferred here. It may be nil.
	Releasing func(ctx context.Context, unit api.Unit, successor api.Instance)
	Log       zerolog.Logger
}

// Owner is who owns a unit.
type Owner struct {
	Instance api.InstanceID
	Session  uint64
	Epoch    api.Epoch
	Deputy   api.InstanceID
}

// View is who owns what, as last read. It is not changed after it was published.
type View struct {
	Units map[api.Unit]Owner
	// Read is set once the table has been read.
	Read bool
}

// holding is a unit that this instance may use while its authority is in the given term.
type holding struct {
	epoch api.Epoch
	term  uint64
}

type versionedRow struct {
	Row
	version uint64
}

// Service is a kernel.Service.
type Service struct {
	config Config
	view   atomic.Pointer[View]
	held   atomic.Pointer[map[api.Unit]holding]
	wake   chan struct{}

	// mu is held during a step. Readers use view and held.
	mu   sync.Mutex
	rows map[api.Unit]versionedRow
	read bool
	// stale is set when a conflict has shown that rows are out of date.
	stale     bool
	version   uint64
	polls     int
	term      uint64
	ops       uint64
	pending   *batch
	releasing map[api.Unit]bool
	leaving   bool
	created   time.Time
	settled   bool
	live      string
	liveSince time.Time

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a service that is not started.
func New(config Config) *Service {
	s := &Service{
		config:    config,
		created:   config.Clock.Now(),
		wake:      make(chan struct{}, 1),
		rows:      map[api.Unit]versionedRow{},
		releasing: map[api.Unit]bool{},
	}
	s.view.Store(&View{Units: map[api.Unit]Owner{}})
	s.held.Store(&map[api.Unit]holding{})
	config.Members.OnLapse(func(api.InstanceID) { s.Refresh() })
	if config.Messenger != nil {
		config.Messenger.Handle(peer.KindHandover, s.handleHandover)
	}
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{membership.ServiceName} }

// View returns the latest view.
func (s *Service) View() *View { return s.view.Load() }

// Check returns the epoch of a unit if this instance owns it and holds authority at this moment. It is called last
// before a message goes out. The coordinator needs no authority, because each of its acts is conditional on its row.
func (s *Service) Check(unit api.Unit) (api.Epoch, error) {
	h, ok := (*s.held.Load())[unit]
	if !ok {
		return 0, fault.New(fault.CodeNotOwner, "check unit", "%s is not owned by this instance", unit.Key())
	}
	if unit == api.Coordinator {
		return h.epoch, nil
	}
	authority := s.config.Members.Authority()
	if !authority.Valid || authority.Term != h.term {
		return 0, fault.New(fault.CodeNoAuthority, "check unit", "authority over %s has lapsed", unit.Key())
	}
	return h.epoch, nil
}

// Learn takes owners that a peer knows while the table has not been read yet. They are of use for routing only.
func (s *Service) Learn(owners map[api.Unit]Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.read {
		return
	}
	units := map[api.Unit]Owner{}
	for unit, owner := range s.View().Units {
		units[unit] = owner
	}
	for unit, owner := range owners {
		if owner.Epoch > units[unit].Epoch {
			units[unit] = owner
		}
	}
	s.view.Store(&View{Units: units})
}

// Start begins to poll and claim. It does not wait for the table, which may be down.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	ticker := s.config.Clock.NewTicker(pollPeriod)
	s.tasks.Go(func() {
		defer ticker.Stop()
		for ctx.Err() == nil {
			s.Step(ctx)
			select {
			case <-ticker.Chan():
			case <-s.wake:
			case <-ctx.Done():
			}
		}
	})
	return nil
}

// Stop hands all units over unless that was done before, and ends the polling.
func (s *Service) Stop(ctx context.Context) error {
	err := s.HandOver(ctx)
	s.cancel()
	s.tasks.Wait()
	return err
}

// Refresh reads the table soon instead of at the next poll.
func (s *Service) Refresh() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) handleHandover(context.Context, peer.Sender, []byte) ([]byte, error) {
	s.Refresh()
	return nil, nil
}

// Step reads what changed and claims, hands over or updates what is due. Start calls it once a period.
func (s *Service) Step(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.advance(ctx); err != nil {
		s.config.Log.Debug().Err(err).Str(logging.KeyReason, string(fault.CodeOf(err))).Msg("units not updated")
	}
}

func (s *Service) advance(ctx context.Context) error {
	if err := s.settlePending(ctx); err != nil {
		return err
	}
	if err := s.refresh(ctx); err != nil {
		return err
	}
	if s.leaving {
		return nil
	}
	if err := s.claimDue(ctx); err != nil {
		return err
	}
	return s.rebalance(ctx)
}

// refresh reads the unit rows if they have changed or if the term of authority has.
func (s *Service) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	version, err := s.config.Table.Get(ctx, versionKey)
	if err != nil && !fault.Is(err, fault.CodeNotFound) {
		return err
	}
	before := s.config.Members.Authority()
	s.polls++
	newTerm := before.Anchored && before.Term != s.term
	if s.read && !s.stale && !newTerm && version.Version == s.version && s.polls%listEvery != 0 {
		return nil
	}
	rows, err := s.config.Table.List(ctx, unitPrefix)
	if err != nil {
		return err
	}
	// Rows show all claims by others only if the reading lies within one anchored term.
	if after := s.config.Members.Authority(); before.Anchored && after.Anchored && after.Term == before.Term {
		s.term = before.Term
	}
	s.version = version.Version
	s.takeRows(rows)
	return nil
}

func (s *Service) takeRows(rows []backend.Row) {
	s.rows = make(map[api.Unit]versionedRow, len(rows))
	for _, row := range rows {
		unit, ok := parseKey(row.Key)
		value := versionedRow{version: row.Version}
		if !ok || peer.Decode(row.Value, &value.Row) != nil {
			s.config.Log.Warn().Str("key", row.Key).Msg("unit row not understood")
			continue
		}
		s.rows[unit] = value
		if value.Owner != "" {
			s.config.Members.Track(value.Owner, value.Region)
		}
	}
	s.read, s.stale = true, false
	s.publish()
}

// publish makes the view and the held units from the rows, and reports what was gained and lost.
func (s *Service) publish() {
	units := make(map[api.Unit]Owner, len(s.rows))
	held := map[api.Unit]holding{}
	old := *s.held.Load()
	for unit, row := range s.rows {
		units[unit] = Owner{Instance: row.Owner, Session: row.Session, Epoch: row.Epoch, Deputy: row.Deputy}
		if s.mine(row.Row) && !s.releasing[unit] {
			held[unit] = holding{epoch: row.Epoch, term: s.term}
		}
	}
	before := s.view.Load()
	after := &View{Units: units, Read: s.read}
	s.view.Store(after)
	s.held.Store(&held)
	s.notify(old, held)
	if s.config.Changed != nil {
		s.config.Changed(before, after)
	}
}

func (s *Service) mine(row Row) bool {
	return row.Owner == s.config.Self.ID && row.Session == s.config.Members.Session()
}

func (s *Service) notify(old, held map[api.Unit]holding) {
	for unit, h := range old {
		if held[unit].epoch != h.epoch {
			s.config.Log.Info().Str(logging.KeyUnit, unit.Key()).Uint64(logging.KeyEpoch, uint64(h.epoch)).Msg("unit lost")
			if s.config.Lost != nil {
				s.config.Lost(unit)
			}
		}
	}
	for unit, h := range held {
		if old[unit].epoch != h.epoch {
			s.config.Log.Info().Str(logging.KeyUnit, unit.Key()).Uint64(logging.KeyEpoch, uint64(h.epoch)).Msg("unit claimed")
			if s.config.Claimed != nil {
				s.config.Claimed(unit, h.epoch, s.rows[unit].Previous)
			}
		}
	}
}
