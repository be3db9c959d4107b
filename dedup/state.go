package dedup

import (
	"sync"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

type role uint8

const (
	roleBackup role = iota
	roleOwner
	// roleFormerOwner means that this instance no longer owns the shard, but executions in flight still finish here.
	roleFormerOwner
)

// shardState is the deduplication table of one shard on this instance, which is its owner or its backup.
type shardState struct {
	shard Shard
	// transferLock is a semaphore of size 1 that is held during a transfer to the backup.
	transferLock chan struct{}

	mu     sync.Mutex
	role   role
	epoch  api.Epoch
	backup api.InstanceID
	table  *Table
	// executing has a channel for each execution in progress, which is closed when the execution finishes.
	executing map[string]chan struct{}

	// transfer is the number of the last transfer begun; synced is set once all its parts have arrived.
	transfer uint64
	synced   bool
	nextPart int
}

// attemptDecision is the decision on an attempt, with the ownership epoch and the backup at the time of the decision.
type attemptDecision struct {
	decision Decision
	record   Record
	epoch    api.Epoch
	backup   api.InstanceID
	finished chan struct{}
}

func (s *shardState) isOwner() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role == roleOwner
}

func (s *shardState) begin(now time.Time, call Call) (attemptDecision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleOwner {
		return attemptDecision{}, ownershipLostError()
	}
	decision, record, err := s.table.Begin(now, s.epoch, call)
	if err != nil {
		return attemptDecision{}, err
	}
	if decision == DecideExecute {
		s.executing[call.Key] = make(chan struct{})
	}
	return attemptDecision{decision: decision, record: record, epoch: s.epoch, backup: s.backup, finished: s.executing[call.Key]}, nil
}

// advance moves an execution to a later state if this instance still owns the shard at the same ownership epoch.
func (s *shardState) advance(d attemptDecision, state State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleOwner || s.epoch != d.epoch {
		return false
	}
	return s.table.Advance(d.record.Key, d.record.Execution, state)
}

// finish records the terminal state of an execution and returns the message about it and the backup to send it to.
func (s *shardState) finish(now time.Time, d attemptDecision, final State, response *Response) (RecordMessage, api.InstanceID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if finished := s.executing[d.record.Key]; finished == d.finished && finished != nil {
		delete(s.executing, d.record.Key)
		close(finished)
	}
	record, ok := s.table.Finish(now, d.record.Key, d.record.Execution, final, response)
	return RecordMessage{Shard: s.shard, Epoch: s.epoch, Transfer: s.transfer, Record: record}, s.backup, ok
}

func (s *shardState) markUnsynced(epoch api.Epoch, transfer uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == epoch && s.transfer == transfer {
		s.synced = false
	}
}

// applyRecord stores a record from the owner, or the terminal state of an execution from a former owner.
func (s *shardState) applyRecord(now time.Time, m RecordMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == roleOwner {
		if m.Epoch < s.epoch && m.Record.State.terminal() {
			s.table.ApplyOutcome(now, m.Record)
			return nil
		}
		return staleEpochError()
	}
	if s.role != roleBackup || m.Epoch < s.epoch {
		return staleEpochError()
	}
	if m.Epoch != s.epoch || m.Transfer != s.transfer || !s.synced {
		return notReadyError()
	}
	return s.table.Apply(now, m.Record)
}

// applyTransfer stores one part of the owner's table. Only a newer transfer starts a new copy, because a delayed
// repetition of an earlier transfer lacks the keys recorded since.
func (s *shardState) applyTransfer(now time.Time, m TransferMessage, limits Limits) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Epoch < s.epoch || s.role == roleOwner && m.Epoch <= s.epoch {
		return staleEpochError()
	}
	newer := m.Epoch > s.epoch || m.Transfer > s.transfer
	if newer && m.Part == 0 {
		s.startBackupCopy(m, limits)
	}
	if m.Epoch != s.epoch || m.Transfer != s.transfer || m.Part != s.nextPart || s.synced {
		return notReadyError()
	}
	for _, record := range m.Records {
		if err := s.table.Apply(now, record); err != nil {
			return err
		}
	}
	s.nextPart++
	s.synced = m.Final
	s.table.SetIncomplete(now.Add(m.IncompleteFor))
	return nil
}

func (s *shardState) startBackupCopy(m TransferMessage, limits Limits) {
	s.role = roleBackup
	s.epoch = m.Epoch
	s.transfer = m.Transfer
	s.nextPart = 0
	s.synced = false
	s.table = NewTable(limits)
}

func staleEpochError() error {
	return &fault.Failure{FailureCode: fault.CodeStaleEpoch, Op: "backup copy", Detail: "the sender's ownership epoch is stale"}
}

func notReadyError() error {
	return &fault.Failure{FailureCode: fault.CodeNotReady, Op: "backup copy", Detail: "the backup copy is not complete"}
}
