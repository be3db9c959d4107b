package dedup

import (
	"context"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

// maxPartBytes bounds the size of one part of a transfer, so that a part fits into a message between instances.
const maxPartBytes = 4 << 20

// Acquire makes this instance the owner of a shard. previous is the ownership that this one replaced, with epoch 0 if the
// shard never had an owner. If this instance was the owner or the synchronised backup until now, it keeps its table.
// Otherwise the table is lost, and the new one is incomplete for the retention period.
func (s *Service) Acquire(shard Shard, ownership, previous ShardOwnership) {
	state := s.stateFor(shard)
	state.mu.Lock()
	defer state.mu.Unlock()
	if ownership.Epoch <= state.epoch && state.table != nil {
		return
	}
	switch {
	case previous.Epoch == 0:
		state.table = NewTable(s.config.Limits)
	case state.role == roleOwner && previous.Owner == s.self && previous.Epoch == state.epoch:
		// Only the backup has changed.
	case state.role == roleBackup && previous.Backup == s.self && previous.Epoch == state.epoch && state.synced:
		state.table.Promote()
	default:
		state.table = NewIncompleteTable(s.config.Limits, s.clock.Now())
	}
	if state.role != roleOwner {
		state.executing = map[string]chan struct{}{}
	}
	state.role = roleOwner
	state.epoch = ownership.Epoch
	state.backup = ownership.Backup
	state.transfer = 0
	state.synced = false
}

// Release releases the ownership of a shard. Executions in flight finish normally. Once Release has returned, no new
// execution can begin, so the shard can be handed over.
func (s *Service) Release(shard Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.shards[shard]
	if state == nil || !state.isOwner() {
		return
	}
	state.mu.Lock()
	state.role = roleFormerOwner
	state.mu.Unlock()
	delete(s.shards, shard)
}

// Sync transfers the whole table of an owned shard to the backup, unless the backup already has it. A request that
// arrives before this call triggers the same transfer.
func (s *Service) Sync(ctx context.Context, shard Shard) error {
	state := s.ownedShard(shard)
	if state == nil {
		return ownershipLostError()
	}
	state.mu.Lock()
	epoch, backup := state.epoch, state.backup
	state.mu.Unlock()
	if backup == "" {
		return nil
	}
	_, err := s.sync(ctx, state, epoch)
	return err
}

// sync makes sure that the backup has the whole table and returns the number of the completed transfer.
func (s *Service) sync(ctx context.Context, state *shardState, epoch api.Epoch) (uint64, error) {
	if number, ok := state.syncedTransfer(epoch); ok {
		return number, nil
	}
	if !state.lockTransfer(ctx) {
		return 0, &fault.Failure{FailureCode: fault.CodeNotReady, Op: opDeduplicate, Detail: "a transfer to the backup is still in progress"}
	}
	defer func() { <-state.transferLock }()
	if number, ok := state.syncedTransfer(epoch); ok {
		return number, nil
	}
	parts, backup, err := state.startTransfer(s.clock.Now(), epoch, s.config.MaxRecordsPerPart)
	if err != nil {
		return 0, err
	}
	for _, part := range parts {
		if err := s.replicator.Transfer(ctx, backup, part); err != nil {
			return 0, err
		}
	}
	return parts[0].Transfer, state.endTransfer(epoch, parts[0].Transfer)
}

// lockTransfer waits until no other transfer is in progress, at most until ctx is done. A free lock is acquired even if
// ctx is already done.
func (s *shardState) lockTransfer(ctx context.Context) bool {
	select {
	case s.transferLock <- struct{}{}:
		return true
	default:
	}
	select {
	case s.transferLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *shardState) syncedTransfer(epoch api.Epoch) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transfer, s.synced && s.epoch == epoch && s.role == roleOwner
}

func (s *shardState) startTransfer(now time.Time, epoch api.Epoch, maxRecords int) ([]TransferMessage, api.InstanceID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleOwner || s.epoch != epoch {
		return nil, "", ownershipLostError()
	}
	s.transfer++
	records, incompleteFor := s.table.Export(now)
	var parts []TransferMessage
	for {
		size := partRecordCount(records, maxRecords)
		part := TransferMessage{
			Shard: s.shard, Epoch: s.epoch, Transfer: s.transfer, Part: len(parts),
			Records: records[:size], IncompleteFor: incompleteFor,
		}
		records = records[size:]
		part.Final = len(records) == 0
		parts = append(parts, part)
		if part.Final {
			return parts, s.backup, nil
		}
	}
}

// partRecordCount returns how many of the records fit into one part.
func partRecordCount(records []Record, maxRecords int) int {
	bytes := 0
	for i, record := range records {
		bytes += recordSize(record)
		if i > 0 && (i == maxRecords || bytes > maxPartBytes) {
			return i
		}
	}
	return len(records)
}

func (s *shardState) endTransfer(epoch api.Epoch, transfer uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleOwner || s.epoch != epoch || s.transfer != transfer {
		return ownershipLostError()
	}
	s.synced = true
	return nil
}

func (s *Service) stateFor(shard Shard) *shardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.shards[shard]
	if state == nil {
		state = &shardState{shard: shard, transferLock: make(chan struct{}, 1)}
		s.shards[shard] = state
	}
	return state
}

// ApplyRecord stores a record that another instance sent. An error tells the sender not to rely on this copy.
func (s *Service) ApplyRecord(message RecordMessage) error {
	s.mu.RLock()
	state := s.shards[message.Shard]
	s.mu.RUnlock()
	if state == nil || state.uninitialised() {
		return notReadyError()
	}
	return state.applyRecord(s.clock.Now(), message)
}

// ApplyTransfer stores one part of a table that its owner sent.
func (s *Service) ApplyTransfer(message TransferMessage) error {
	if message.Part == 0 || s.hasState(message.Shard) {
		return s.stateFor(message.Shard).applyTransfer(s.clock.Now(), message, s.config.Limits)
	}
	return notReadyError()
}

func (s *Service) hasState(shard Shard) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.shards[shard] != nil
}

func (s *shardState) uninitialised() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table == nil
}

// DropBackup drops the backup copy of a shard of which this instance is no longer the backup.
func (s *Service) DropBackup(shard Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.shards[shard]; state != nil && !state.isOwner() {
		delete(s.shards, shard)
	}
}

// IsOwner reports whether this instance owns the shard.
func (s *Service) IsOwner(shard Shard) bool { return s.ownedShard(shard) != nil }

// KeyCount returns the number of keys in the table of a shard, for metrics and tests.
func (s *Service) KeyCount(shard Shard) int {
	s.mu.RLock()
	state := s.shards[shard]
	s.mu.RUnlock()
	if state == nil || state.uninitialised() {
		return 0
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.table.Len()
}
