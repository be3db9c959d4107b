package dedup

import (
	"sync"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

type role uint8

const (
	roleDeputy role = iota
	roleOwner
	// roleFormer is a shard that this instance no longer owns; its runs in flight still end here.
	roleFormer
)

// shardState is the ledger of one shard on this instance, as owner or as deputy.
type shardState struct {
	shard Shard
	// syncing holds a value during a transfer to the deputy.
	syncing chan struct{}

	mu     sync.Mutex
	role   role
	epoch  api.Epoch
	deputy api.InstanceID
	ledger *Ledger
	// ended holds a channel for each run under way, closed at its end.
	ended map[string]chan struct{}

	// transfer is the number of the last transfer begun; synced is set once all of it has arrived.
	transfer uint64
	synced   bool
	nextPart int
}

// begun is a decision together with the tenure under which it was made.
type begun struct {
	decision Decision
	record   Record
	epoch    api.Epoch
	deputy   api.InstanceID
	ended    chan struct{}
}

func (s *shardState) isOwner() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role == roleOwner
}

func (s *shardState) begin(now time.Time, call Call) (begun, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleOwner {
		return begun{}, lostShard()
	}
	decision, record, err := s.ledger.Begin(now, s.epoch, call)
	if err != nil {
		return begun{}, err
	}
	if decision == DecideRun {
		s.ended[call.Key] = make(chan struct{})
	}
	return begun{decision: decision, record: record, epoch: s.epoch, deputy: s.deputy, ended: s.ended[call.Key]}, nil
}

// advance moves a run on if the tenure under which it began still holds.
func (s *shardState) advance(b begun, state State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleOwner || s.epoch != b.epoch {
		return false
	}
	return s.ledger.Advance(b.record.Key, b.record.Run, state)
}

// finish ends a run and returns the message about it and the deputy to tell.
func (s *shardState) finish(now time.Time, b begun, end State, answer *Answer) (RecordMessage, api.InstanceID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ended := s.ended[b.record.Key]; ended == b.ended && ended != nil {
		delete(s.ended, b.record.Key)
		close(ended)
	}
	record, ok := s.ledger.Finish(now, b.record.Key, b.record.Run, end, answer)
	return RecordMessage{Shard: s.shard, Epoch: s.epoch, Transfer: s.transfer, Record: record}, s.deputy, ok
}

func (s *shardState) forgetSync(epoch api.Epoch, transfer uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == epoch && s.transfer == transfer {
		s.synced = false
	}
}

// applyRecord takes over a record from the owner, or the end of a run from a former owner.
func (s *shardState) applyRecord(now time.Time, m RecordMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == roleOwner {
		if m.Epoch < s.epoch && m.Record.State.resolved() {
			s.ledger.ApplyLate(now, m.Record)
			return nil
		}
		return staleEpoch()
	}
	if s.role != roleDeputy || m.Epoch < s.epoch {
		return staleEpoch()
	}
	if m.Epoch != s.epoch || m.Transfer != s.transfer || !s.synced {
		return notReady()
	}
	return s.ledger.Apply(now, m.Record)
}

// applyTransfer takes over a part of the owner's ledger. Only a newer transfer starts anew, because a late repetition
// of an earlier one lacks the keys recorded since.
func (s *shardState) applyTransfer(now time.Time, m TransferMessage, limits Limits) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Epoch < s.epoch || s.role == roleOwner && m.Epoch <= s.epoch {
		return staleEpoch()
	}
	newer := m.Epoch > s.epoch || m.Transfer > s.transfer
	if newer && m.Part == 0 {
		s.startCopy(m, limits)
	}
	if m.Epoch != s.epoch || m.Transfer != s.transfer || m.Part != s.nextPart || s.synced {
		return notReady()
	}
	for _, record := range m.Records {
		if err := s.ledger.Apply(now, record); err != nil {
			return err
		}
	}
	s.nextPart++
	s.synced = m.Final
	s.ledger.SetIncomplete(now.Add(m.IncompleteFor))
	return nil
}

func (s *shardState) startCopy(m TransferMessage, limits Limits) {
	s.role = roleDeputy
	s.epoch = m.Epoch
	s.transfer = m.Transfer
	s.nextPart = 0
	s.synced = false
	s.ledger = NewLedger(limits)
}

func staleEpoch() error {
	return &fault.Failure{FailureCode: fault.CodeStaleEpoch, Op: "ledger copy", Detail: "the sender's epoch is over"}
}

func notReady() error {
	return &fault.Failure{FailureCode: fault.CodeNotReady, Op: "ledger copy", Detail: "the copy is not complete"}
}
