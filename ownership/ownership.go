// Package ownership acquires ownership units (racks, request shards and the coordinator role) in the platform's table
// and hands them over. It also checks, immediately before a message is sent, whether this instance may act as the owner
// of a unit.
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

// ServiceName is the name of the service in the service manager.
const ServiceName = "ownership"

const (
	pollInterval = 2 * time.Second
	// pollsPerFullRead is the number of polls after which all unit rows are read again, in case a change of the version
	// row was missed.
	pollsPerFullRead = 15
	// rebalanceDelay is how long the set of live instances must have been unchanged before units move to an instance that
	// has joined, so that a flapping instance does not move units.
	rebalanceDelay = 10 * time.Second
	tableTimeout   = 3 * time.Second
	// maxStartupWait bounds the wait after the start for a heartbeat from each listed instance. Without the wait, the
	// first of several instances that start together acquires all units, and the others get their share one unit at a
	// time.
	maxStartupWait = 5 * time.Second
)

// Members is the part of membership.Service that ownership uses.
type Members interface {
	View() *membership.View
	Authority() membership.Authority
	Session() uint64
	Track(id api.InstanceID, region string)
	OnExpiry(call func(id api.InstanceID))
}

// Messenger is the part of peer.Transport that ownership uses.
type Messenger interface {
	Handle(kind peer.Kind, handler peer.Handler)
	Send(ctx context.Context, addr string, kind peer.Kind, message any) error
}

// Config has the dependencies of a Service.
type Config struct {
	Self    api.Instance
	Clock   clockwork.Clock
	Table   backend.Table
	Members Members
	// Messenger notifies a successor of a handover at once. If it is nil, the successor finds out by polling.
	Messenger Messenger
	// Acquired is called after this instance became the owner of a unit, by its own acquisition or by a handover. It may be
	// nil. Acquired, Lost and Changed are called with the lock of the Service held: they must not block and must not call
	// HandOver, AddOwnerHints or Step.
	Acquired func(unit api.Unit, epoch api.Epoch, previous api.InstanceID)
	// Lost is called after this instance ceased to be the owner of a unit. It may be nil.
	Lost func(unit api.Unit)
	// Changed is called with the previous and the new view each time a view is published, even if both are equal. It may
	// be nil.
	Changed func(before, after *View)
	// Releasing is called before a handover is written to the table, while Check already refuses the unit. It transfers
	// the state that the successor needs. It may be nil.
	Releasing func(ctx context.Context, unit api.Unit, successor api.Instance)
	Log       zerolog.Logger
}

// Owner is the current owner of a unit.
type Owner struct {
	Instance api.InstanceID
	// Session is the incarnation of the owner.
	Session uint64
	Epoch   api.Epoch
	Backup  api.InstanceID
}

// View is a snapshot of the owners of all units, as last read. It is immutable once published.
type View struct {
	Units map[api.Unit]Owner
	// TableRead is set once the unit rows have been read from the table.
	TableRead bool
}

// ownedUnit is the ownership of a unit by this instance. It is valid during the given lease period only.
type ownedUnit struct {
	epoch       api.Epoch
	leasePeriod uint64
}

type versionedRow struct {
	Row
	version uint64
}

// Service implements kernel.Service.
type Service struct {
	config Config
	view   atomic.Pointer[View]
	owned  atomic.Pointer[map[api.Unit]ownedUnit]
	wake   chan struct{}

	// mu is held during a step or a handover. Readers use view and owned, which need no lock.
	mu       sync.Mutex
	rows     map[api.Unit]versionedRow
	rowsRead bool
	// stale is set when a conflict on commit has shown that rows are out of date.
	stale           bool
	rowsVersion     uint64
	pollCount       int
	leasePeriod     uint64
	txnCount        uint64
	pending         *pendingTxn
	releasing       map[api.Unit]bool
	leaving         bool
	createdAt       time.Time
	startupWaitDone bool
	liveIDs         string
	liveIDsSince    time.Time

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a service that is not started.
func New(config Config) *Service {
	s := &Service{
		config:    config,
		createdAt: config.Clock.Now(),
		wake:      make(chan struct{}, 1),
		rows:      map[api.Unit]versionedRow{},
		releasing: map[api.Unit]bool{},
	}
	s.view.Store(&View{Units: map[api.Unit]Owner{}})
	s.owned.Store(&map[api.Unit]ownedUnit{})
	config.Members.OnExpiry(func(api.InstanceID) { s.Refresh() })
	if config.Messenger != nil {
		config.Messenger.Handle(peer.KindHandover, s.handleHandover)
	}
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{membership.ServiceName} }

// View returns the latest snapshot of the owners.
func (s *Service) View() *View { return s.view.Load() }

// Check returns the ownership epoch of a unit if this instance owns the unit and its instance lease is valid. It is
// called immediately before a message is sent. The coordinator unit needs no instance lease, because each write of the
// coordinator is conditional on its unit row.
func (s *Service) Check(unit api.Unit) (api.Epoch, error) {
	u, ok := (*s.owned.Load())[unit]
	if !ok {
		return 0, fault.New(fault.CodeNotOwner, "check unit", "%s is not owned by this instance", unit.Key())
	}
	if unit == api.Coordinator {
		return u.epoch, nil
	}
	authority := s.config.Members.Authority()
	if !authority.Valid || authority.Period != u.leasePeriod {
		return 0, fault.New(fault.CodeNoAuthority, "check unit", "the instance lease for %s has expired", unit.Key())
	}
	return u.epoch, nil
}

// AddOwnerHints adds owners reported by a peer, as long as the table has not been read. They are unconfirmed and serve for
// routing only.
func (s *Service) AddOwnerHints(owners map[api.Unit]Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rowsRead {
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

// Start starts polling the table and acquiring units. It does not wait for the table, which may be unavailable.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	ticker := s.config.Clock.NewTicker(pollInterval)
	s.goroutines.Go(func() {
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

// Stop hands over all units that this instance still owns and stops polling.
func (s *Service) Stop(ctx context.Context) error {
	err := s.HandOver(ctx)
	s.cancel()
	s.goroutines.Wait()
	return err
}

// Refresh triggers a poll now instead of at the end of the poll interval.
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

// Step polls the table, then acquires, updates or hands over units where that is due. Start calls it once per poll
// interval and after each Refresh.
func (s *Service) Step(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.reconcile(ctx); err != nil {
		s.config.Log.Debug().Err(err).Str(logging.KeyReason, string(fault.CodeOf(err))).Msg("ownership units not updated")
	}
}

func (s *Service) reconcile(ctx context.Context) error {
	if err := s.commitPending(ctx); err != nil {
		return err
	}
	if err := s.refresh(ctx); err != nil {
		return err
	}
	if s.leaving {
		return nil
	}
	if err := s.acquireDue(ctx); err != nil {
		return err
	}
	return s.rebalance(ctx)
}

// refresh reads the unit rows if the version row has changed, if the rows are stale, if a new lease period has begun,
// or every pollsPerFullRead polls.
func (s *Service) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	version, err := s.config.Table.Get(ctx, versionRowKey)
	if err != nil && !fault.Is(err, fault.CodeNotFound) {
		return err
	}
	before := s.config.Members.Authority()
	s.pollCount++
	newLeasePeriod := before.RenewedInPeriod && before.Period != s.leasePeriod
	if s.rowsRead && !s.stale && !newLeasePeriod && version.Version == s.rowsVersion && s.pollCount%pollsPerFullRead != 0 {
		return nil
	}
	rows, err := s.config.Table.List(ctx, unitKeyPrefix)
	if err != nil {
		return err
	}
	// The rows are certain to show all acquisitions by other instances only if the whole read falls into one lease period
	// in which this instance has renewed its session row.
	if after := s.config.Members.Authority(); before.RenewedInPeriod && after.RenewedInPeriod && after.Period == before.Period {
		s.leasePeriod = before.Period
	}
	s.rowsVersion = version.Version
	s.applyRows(rows)
	return nil
}

func (s *Service) applyRows(rows []backend.Row) {
	s.rows = make(map[api.Unit]versionedRow, len(rows))
	for _, row := range rows {
		unit, ok := parseUnitKey(row.Key)
		value := versionedRow{version: row.Version}
		if !ok || peer.Decode(row.Value, &value.Row) != nil {
			s.config.Log.Warn().Str("key", row.Key).Msg("unit row cannot be decoded, ignored")
			continue
		}
		s.rows[unit] = value
		if value.Owner != "" {
			s.config.Members.Track(value.Owner, value.Region)
		}
	}
	s.rowsRead, s.stale = true, false
	s.publish()
}

// publish derives the view and the owned units from the rows and calls the callbacks for units gained and lost.
func (s *Service) publish() {
	units := make(map[api.Unit]Owner, len(s.rows))
	owned := map[api.Unit]ownedUnit{}
	old := *s.owned.Load()
	for unit, row := range s.rows {
		units[unit] = Owner{Instance: row.Owner, Session: row.Session, Epoch: row.Epoch, Backup: row.Backup}
		if s.ownedBySelf(row.Row) && !s.releasing[unit] {
			owned[unit] = ownedUnit{epoch: row.Epoch, leasePeriod: s.leasePeriod}
		}
	}
	before := s.view.Load()
	after := &View{Units: units, TableRead: s.rowsRead}
	s.view.Store(after)
	s.owned.Store(&owned)
	s.notifyChanges(old, owned)
	if s.config.Changed != nil {
		s.config.Changed(before, after)
	}
}

func (s *Service) ownedBySelf(row Row) bool {
	return row.Owner == s.config.Self.ID && row.Session == s.config.Members.Session()
}

func (s *Service) notifyChanges(old, owned map[api.Unit]ownedUnit) {
	for unit, u := range old {
		if owned[unit].epoch != u.epoch {
			s.config.Log.Info().Str(logging.KeyUnit, unit.Key()).Uint64(logging.KeyEpoch, uint64(u.epoch)).Msg("unit lost")
			if s.config.Lost != nil {
				s.config.Lost(unit)
			}
		}
	}
	for unit, u := range owned {
		if old[unit].epoch != u.epoch {
			s.config.Log.Info().Str(logging.KeyUnit, unit.Key()).Uint64(logging.KeyEpoch, uint64(u.epoch)).Msg("unit claimed")
			if s.config.Acquired != nil {
				s.config.Acquired(unit, u.epoch, s.rows[unit].Previous)
			}
		}
	}
}
