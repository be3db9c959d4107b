package dedup

import (
	"context"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

// transferBytes bounds one part of a transfer, so that a part fits into a message between instances.
const transferBytes = 4 << 20

// Own makes this instance the owner of a shard. previous is the tenure that the claim replaced, with epoch 0 if the
// shard never had an owner. A ledger held as the named deputy, or as the owner itself, goes on; otherwise the ledger
// is lost and the new one is incomplete for the retention period.
func (s *Service) Own(shard Shard, tenure, previous Tenure) {
	state := s.stateOf(shard)
	state.mu.Lock()
	defer state.mu.Unlock()
	if tenure.Epoch <= state.epoch && state.ledger != nil {
		return
	}
	switch {
	case previous.Epoch == 0:
		state.ledger = NewLedger(s.config.Limits)
	case state.role == roleOwner && previous.Owner == s.self && previous.Epoch == state.epoch:
		// Only the deputy changed.
	case state.role == roleDeputy && previous.Deputy == s.self && previous.Epoch == state.epoch && state.synced:
		state.ledger.Promote()
	default:
		state.ledger = NewIncompleteLedger(s.config.Limits, s.clock.Now())
	}
	if state.role != roleOwner {
		state.ended = map[string]chan struct{}{}
	}
	state.role = roleOwner
	state.epoch = tenure.Epoch
	state.deputy = tenure.Deputy
	state.transfer = 0
	state.synced = false
}

// Disown ends this instance's ownership of a shard. Runs in flight end normally; nothing new begins. It returns once no
// further run can begin, before the shard is handed over.
func (s *Service) Disown(shard Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.shards[shard]
	if state == nil || !state.isOwner() {
		return
	}
	state.mu.Lock()
	state.role = roleFormer
	state.mu.Unlock()
	delete(s.shards, shard)
}

// Sync transfers the whole ledger of an owned shard to its deputy, unless the deputy has it. A request does the same
// when it comes first.
func (s *Service) Sync(ctx context.Context, shard Shard) error {
	state := s.owned(shard)
	if state == nil {
		return lostShard()
	}
	state.mu.Lock()
	epoch, deputy := state.epoch, state.deputy
	state.mu.Unlock()
	if deputy == "" {
		return nil
	}
	_, err := s.sync(ctx, state, epoch)
	return err
}

// sync returns the number of the transfer that the deputy has completed.
func (s *Service) sync(ctx context.Context, state *shardState, epoch api.Epoch) (uint64, error) {
	if number, ok := state.syncedAt(epoch); ok {
		return number, nil
	}
	if !state.lockSync(ctx) {
		return 0, &fault.Failure{FailureCode: fault.CodeNotReady, Op: "ledger", Detail: "the deputy is still receiving the ledger"}
	}
	defer func() { <-state.syncing }()
	if number, ok := state.syncedAt(epoch); ok {
		return number, nil
	}
	parts, deputy, err := state.startTransfer(s.clock.Now(), epoch, s.config.TransferRecords)
	if err != nil {
		return 0, err
	}
	for _, part := range parts {
		if err := s.replicator.Transfer(ctx, deputy, part); err != nil {
			return 0, err
		}
	}
	return parts[0].Transfer, state.endTransfer(epoch, parts[0].Transfer)
}

// lockSync waits until no other transfer is under way, at most until ctx ends. A free lock is taken whatever ctx says.
func (s *shardState) lockSync(ctx context.Context) bool {
	select {
	case s.syncing <- struct{}{}:
		return true
	default:
	}
	select {
	case s.syncing <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *shardState) syncedAt(epoch api.Epoch) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transfer, s.synced && s.epoch == epoch && s.role == roleOwner
}

func (s *shardState) startTransfer(now time.Time, epoch api.Epoch, most int) ([]TransferMessage, api.InstanceID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleOwner || s.epoch != epoch {
		return nil, "", lostShard()
	}
	s.transfer++
	records, incompleteFor := s.ledger.Export(now)
	var parts []TransferMessage
	for {
		size := partLength(records, most)
		part := TransferMessage{
			Shard: s.shard, Epoch: s.epoch, Transfer: s.transfer, Part: len(parts),
			Records: records[:size], IncompleteFor: incompleteFor,
		}
		records = records[size:]
		part.Final = len(records) == 0
		parts = append(parts, part)
		if part.Final {
			return parts, s.deputy, nil
		}
	}
}

// partLength returns how many of the records fit into one part.
func partLength(records []Record, most int) int {
	bytes := 0
	for i, record := range records {
		bytes += recordSize(record)
		if i > 0 && (i == most || bytes > transferBytes) {
			return i
		}
	}
	return len(records)
}

func (s *shardState) endTransfer(epoch api.Epoch, transfer uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleOwner || s.epoch != epoch || s.transfer != transfer {
		return lostShard()
	}
	s.synced = true
	return nil
}

func (s *Service) stateOf(shard Shard) *shardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.shards[shard]
	if state == nil {
		state = &shardState{shard: shard, syncing: make(chan struct{}, 1)}
		s.shards[shard] = state
	}
	return state
}

// ApplyRecord takes over a record that another instance sent. The failure tells the sender not to rely on this copy.
func (s *Service) ApplyRecord(message RecordMessage) error {
	s.mu.RLock()
	state := s.shards[message.Shard]
	s.mu.RUnlock()
	if state == nil || state.uninitialised() {
		return notReady()
	}
	return state.applyRecord(s.clock.Now(), message)
}

// ApplyTransfer takes over a part of a ledger that its owner sent.
func (s *Service) ApplyTransfer(message TransferMessage) error {
	if message.Part == 0 || s.knows(message.Shard) {
		return s.stateOf(message.Shard).applyTransfer(s.clock.Now(), message, s.config.Limits)
	}
	return notReady()
}

func (s *Service) knows(shard Shard) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.shards[shard] != nil
}

func (s *shardState) uninitialised() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger == nil
}

// Forget drops the copy of a shard of which this instance is no longer the deputy.
func (s *Service) Forget(shard Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.shards[shard]; state != nil && !state.isOwner() {
		delete(s.shards, shard)
	}
}

// IsOwner reports whether this instance owns the shard.
func (s *Service) IsOwner(shard Shard) bool { return s.owned(shard) != nil }

// Held returns the number of keys held for a shard, for metrics and tests.
func (s *Service) Held(shard Shard) int {
	s.mu.RLock()
	state := s.shards[shard]
	s.mu.RUnlock()
	if state == nil || state.uninitialised() {
		return 0
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.ledger.Len()
}
