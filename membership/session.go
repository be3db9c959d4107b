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

// SessionPrefix begins the keys of session rows.
const SessionPrefix = "session/"

// SessionKey returns the key of an instance's session row.
func SessionKey(id api.InstanceID) string { return SessionPrefix + string(id) }

// SessionRow is the value of a session row.
type SessionRow struct {
	Session uint64 `cbor:"1,keyasint"`
	// Revision is the configuration revision in force when the row was written.
	Revision uint64       `cbor:"2,keyasint,omitempty"`
	Instance api.Instance `cbor:"3,keyasint"`
}

// sessionState is what is known of the own row. It is guarded by Service.renewing, listed by Service.mu.
type sessionState struct {
	read    bool
	version uint64
	ops     uint64
	pending *pendingRenewal
	listed  bool
}

// pendingRenewal is a write without a definite answer. It is repeated with its operation ID, so that a write whose reply
// was lost is recognised.
type pendingRenewal struct {
	start time.Duration
	txn   backend.Txn
}

// renew writes the session row once, and once more if the answer was for a write that began too long ago.
func (s *Service) renew(ctx context.Context) {
	s.renewing.Lock()
	defer s.renewing.Unlock()
	late, err := s.renewOnce(ctx)
	if err == nil && late {
		_, err = s.renewOnce(ctx)
	}
	if err != nil {
		s.config.Log.Debug().Err(err).Msg("session not renewed")
	}
	s.mu.Lock()
	s.storeUp = err == nil || fault.Is(err, fault.CodeConflict)
	s.publish()
	s.mu.Unlock()
}

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
		s.row.pending, s.row.read = nil, false
		return false, err
	}
	if err != nil {
		return false, err
	}
	s.row.pending = nil
	s.row.version = result.Versions[SessionKey(s.config.Self.ID)]
	now := s.Now()
	s.mu.Lock()
	s.holder.RenewedAt(pending.start, now)
	s.mu.Unlock()
	return now-pending.start > renewPeriod, nil
}

// readOwnRow learns the version of the row before the first write and after a conflict. A row of another session found
// after this one was written means that another process runs under the same ID.
func (s *Service) readOwnRow(ctx context.Context) error {
	if s.row.read {
		return nil
	}
	row, err := s.config.Table.Get(ctx, SessionKey(s.config.Self.ID))
	if err != nil && !fault.Is(err, fault.CodeNotFound) {
		return err
	}
	if err != nil {
		row = backend.Row{}
	}
	if s.row.version > 0 && row.Version > 0 && s.supersedes(row) {
		return fault.New(fault.CodeConflict, "renew session", "another process uses the ID of this instance")
	}
	s.row.version = row.Version
	s.row.read = true
	return nil
}

func (s *Service) supersedes(row backend.Row) bool {
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
	s.row.ops++
	write.Key = SessionKey(s.config.Self.ID)
	return backend.Txn{
		OpID:       fmt.Sprintf("%s/%x/session/%d", s.config.Self.ID, s.session, s.row.ops),
		Conditions: []backend.Condition{{Key: write.Key, Version: s.row.version}},
		Writes:     []backend.Write{write},
	}
}

// deleteSession ends the session of a planned stop. If the table is down the row stays, and others treat this instance
// as one that died.
func (s *Service) deleteSession(ctx context.Context) error {
	s.renewing.Lock()
	defer s.renewing.Unlock()
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

// pollSessionsIfDue reads the session rows at every call while an instance is about to lapse, else once a sessionPollPeriod.
func (s *Service) pollSessionsIfDue(ctx context.Context) {
	due := s.sessionPolls%int(sessionPollPeriod/suspectPollPeriod) == 0
	s.sessionPolls++
	if due || s.View().lapsing() {
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
		s.config.Log.Debug().Err(err).Msg("sessions not read")
		return
	}
	end := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[api.InstanceID]bool{}
	for _, row := range rows {
		id := api.InstanceID(strings.TrimPrefix(row.Key, SessionPrefix))
		seen[id] = true
		s.sessionSeen(id, row, start, end)
	}
	for id, p := range s.peers {
		if !seen[id] {
			p.rowSession = 0
			s.observer.SessionSeen(id, 0, start, end)
		}
	}
	s.row.listed = true
	s.publish()
}

func (s *Service) sessionSeen(id api.InstanceID, row backend.Row, start, end time.Duration) {
	var value SessionRow
	if id == s.config.Self.ID || peer.Decode(row.Value, &value) != nil {
		return
	}
	p := s.peer(id)
	p.rowSession, p.rowRevision = value.Session, value.Revision
	if !p.described {
		p.instance, p.described = value.Instance, true
	}
	s.observer.SessionSeen(id, row.Version, start, end)
}

// pollDirectory reads the directory. A failed reading leaves the last list in use.
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
	s.takeDirectory(entries, s.Now())
	s.publish()
}

func (s *Service) takeDirectory(entries []backend.Entry, now time.Duration) {
	listed := map[api.InstanceID]api.Instance{}
	workers := []api.Worker{}
	// Regions of known instances stay in, so that a region that lost its last instance gets an empty list.
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
	s.holder.SetRegion(regions[s.config.Self.Location.Region], now)
	for region, members := range regions {
		s.observer.SetRegion(region, members, now)
	}
	for id := range listed {
		if id != s.config.Self.ID {
			s.peer(id)
		}
	}
}
