package membership

import (
	"context"
	"fmt"
	"strings"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/logging"
	"bronzehook/peer"
)

// SessionPrefix is the prefix of the keys of session rows.
const SessionPrefix = "session/"

// SessionKey returns the key of an instance's session row.
func SessionKey(id api.InstanceID) string { return SessionPrefix + string(id) }

// SessionRow is the value of a session row.
type SessionRow struct {
	// Session is the incarnation of the instance.
	Session uint64 `cbor:"1,keyasint"`
	// Revision is the configuration revision that was active when the row was written.
	Revision uint64       `cbor:"2,keyasint,omitempty"`
	Instance api.Instance `cbor:"3,keyasint"`
}

// sessionState is the local state of the own session row. It is guarded by Service.renewalMu.
type sessionState struct {
	versionKnown bool
	version      uint64
	opCount      uint64
	pending      *pendingRenewal
	// sessionsRead is set once the session rows of all instances have been read. It is guarded by Service.mu.
	sessionsRead bool
}

// pendingRenewal is a write whose outcome is not known yet. It is retried with its operation ID, so that the table
// recognises a write whose response was lost.
type pendingRenewal struct {
	start time.Duration
	txn   backend.Txn
}

// renew renews the session row, and renews it once more if the confirmed write began too long ago.
func (s *Service) renew(ctx context.Context) {
	s.renewalMu.Lock()
	defer s.renewalMu.Unlock()
	late, err := s.renewOnce(ctx)
	if err == nil && late {
		_, err = s.renewOnce(ctx)
	}
	if err != nil {
		s.config.Log.Debug().Err(err).Msg("session row not renewed")
	}
	s.mu.Lock()
	s.storeReachable = err == nil || fault.Is(err, fault.CodeConflict)
	s.publish()
	s.mu.Unlock()
}

// renewOnce performs or retries one renewal. It reports whether the renewal began more than renewInterval ago.
func (s *Service) renewOnce(ctx context.Context) (late bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := s.readOwnRow(ctx); err != nil {
		return false, err
	}
	if s.row.pending == nil {
		if s.row.pending, err = s.newRenewal(); err != nil {
			return false, err
		}
	}
	pending := s.row.pending
	result, err := s.config.Table.Commit(ctx, pending.txn)
	if fault.Is(err, fault.CodeConflict) {
		s.row.pending, s.row.versionKnown = nil, false
		return false, err
	}
	if err != nil {
		return false, err
	}
	s.row.pending = nil
	s.row.version = result.Versions[SessionKey(s.config.Self.ID)]
	now := s.Now()
	s.mu.Lock()
	s.lease.RecordRenewal(pending.start, now)
	s.mu.Unlock()
	return now-pending.start > renewInterval, nil
}

// readOwnRow reads the version of the own session row before the first write and after a conflict. If the row was known
// before and now names another incarnation, another process uses the same instance ID.
func (s *Service) readOwnRow(ctx context.Context) error {
	if s.row.versionKnown {
		return nil
	}
	row, err := s.config.Table.Get(ctx, SessionKey(s.config.Self.ID))
	if err != nil && !fault.Is(err, fault.CodeNotFound) {
		return err
	}
	if err != nil {
		row = backend.Row{}
	}
	if s.row.version > 0 && row.Version > 0 && s.checkSuperseded(row) {
		return fault.New(fault.CodeConflict, "renew session", "another process uses the ID of this instance")
	}
	s.row.version = row.Version
	s.row.versionKnown = true
	return nil
}

// checkSuperseded reports whether a row names another incarnation. If so, this instance's lease is never valid again.
func (s *Service) checkSuperseded(row backend.Row) bool {
	var value SessionRow
	if peer.Decode(row.Value, &value) == nil && value.Session == s.session {
		return false
	}
	s.mu.Lock()
	s.superseded = true
	s.mu.Unlock()
	s.config.Log.Error().Str(logging.KeyReason, string(fault.CodeConflict)).Msg("another process uses the ID of this instance")
	return true
}

func (s *Service) newRenewal() (*pendingRenewal, error) {
	value := SessionRow{Session: s.session, Instance: s.config.Self}
	value.Instance.Leaving = s.leaving.Load()
	if s.config.Revision != nil {
		value.Revision = s.config.Revision()
	}
	data, err := peer.Encode(value)
	if err != nil {
		return nil, err
	}
	return &pendingRenewal{start: s.Now(), txn: s.sessionTxn(backend.Write{Value: data})}, nil
}

func (s *Service) sessionTxn(write backend.Write) backend.Txn {
	s.row.opCount++
	write.Key = SessionKey(s.config.Self.ID)
	return backend.Txn{
		OpID:       fmt.Sprintf("%s/%x/session/%d", s.config.Self.ID, s.session, s.row.opCount),
		Conditions: []backend.Condition{{Key: write.Key, Version: s.row.version}},
		Writes:     []backend.Write{write},
	}
}

// deleteSession deletes the session row at a planned shutdown. If the table is down the row stays, and other instances
// treat this one as crashed.
func (s *Service) deleteSession(ctx context.Context) error {
	s.renewalMu.Lock()
	defer s.renewalMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if s.row.pending != nil {
		result, err := s.config.Table.Commit(ctx, s.row.pending.txn)
		if err != nil {
			return err
		}
		s.row.version = result.Versions[SessionKey(s.config.Self.ID)]
		s.row.pending = nil
	}
	if s.row.version == 0 {
		return nil
	}
	_, err := s.config.Table.Commit(ctx, s.sessionTxn(backend.Write{Delete: true}))
	return err
}

// pollSessionsIfDue reads the session rows at every call while a suspect instance's lease has not expired, otherwise
// once per sessionPollInterval.
func (s *Service) pollSessionsIfDue(ctx context.Context) {
	due := s.sessionPollTicks%int(sessionPollInterval/suspectPollInterval) == 0
	s.sessionPollTicks++
	if due || s.View().hasUnexpiredSuspect() {
		s.pollSessions(ctx)
	}
}

// pollSessions reads all session rows with one call.
func (s *Service) pollSessions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	start := s.Now()
	rows, err := s.config.Table.List(ctx, SessionPrefix)
	if err != nil {
		s.config.Log.Debug().Err(err).Msg("session rows not read")
		return
	}
	end := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[api.InstanceID]bool{}
	for _, row := range rows {
		id := api.InstanceID(strings.TrimPrefix(row.Key, SessionPrefix))
		seen[id] = true
		s.applySessionRow(id, row, start, end)
	}
	for id, p := range s.peers {
		if !seen[id] {
			p.rowSession = 0
			s.observer.RecordSessionRow(id, 0, start, end)
		}
	}
	s.row.sessionsRead = true
	s.publish()
}

func (s *Service) applySessionRow(id api.InstanceID, row backend.Row, start, end time.Duration) {
	var value SessionRow
	if id == s.config.Self.ID || peer.Decode(row.Value, &value) != nil {
		return
	}
	p := s.ensurePeer(id)
	p.rowSession, p.rowRevision = value.Session, value.Revision
	if !p.hasDescription {
		p.instance, p.hasDescription = value.Instance, true
	}
	s.observer.RecordSessionRow(id, row.Version, start, end)
}

// pollDirectory reads the directory. After a failed read the last list stays in use.
func (s *Service) pollDirectory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	entries, err := s.config.Directory.List(ctx)
	if err != nil {
		s.config.Log.Debug().Err(err).Msg("directory not read")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDirectory(entries, s.Now())
	s.publish()
}

func (s *Service) applyDirectory(entries []backend.Entry, now time.Duration) {
	listed := map[api.InstanceID]api.Instance{}
	workers := []api.Worker{}
	// Regions of known instances are included, so that a region that lost its last instance gets an empty list.
	regions := map[string][]api.InstanceID{s.config.Self.Location.Region: nil}
	for id, p := range s.peers {
		regions[s.instanceOf(id, p).Location.Region] = nil
	}
	for _, entry := range entries {
		if entry.Worker != nil {
			workers = append(workers, *entry.Worker)
		}
		if entry.Instance != nil {
			instance := *entry.Instance
			listed[instance.ID] = instance
			regions[instance.Location.Region] = append(regions[instance.Location.Region], instance.ID)
		}
	}
	s.listed, s.workers = listed, workers
	s.lease.SetRegion(regions[s.config.Self.Location.Region], now)
	for region, members := range regions {
		s.observer.SetRegion(region, members, now)
	}
	for id := range listed {
		if id != s.config.Self.ID {
			s.ensurePeer(id)
		}
	}
}
