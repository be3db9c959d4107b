package dedup

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/fault"
)

// opDeduplicate is the operation that failures of this package name.
const opDeduplicate = "deduplicate"

// Call is one attempt of a caller at a request with an idempotency key.
type Call struct {
	Key string
	// Attempt numbers the caller's attempts from 1.
	Attempt int
}

// ExecuteFunc sends the request to an endpoint. An error without the outcome not-run counts as an unknown outcome.
type ExecuteFunc func(ctx context.Context) (Response, error)

// ShardOwnership is the ownership of a shard. The ownership epoch is raised with each change of the owner or the backup, so
// that a copy made for an earlier backup is never taken for a complete one.
type ShardOwnership struct {
	Owner api.InstanceID
	// Backup is the backup instance. It is empty while there is none; the owner then sends requests without a backup copy.
	Backup api.InstanceID
	Epoch  api.Epoch
}

// Authority tells which instance owns a shard.
type Authority interface {
	// Ownership returns the ownership of a shard as last known.
	Ownership(shard Shard) (ShardOwnership, bool)
	// Check is called immediately before a request is sent. It fails unless this instance owns the shard at that ownership
	// epoch and holds a valid instance lease.
	Check(shard Shard, epoch api.Epoch) error
}

// RecordMessage carries one record to the backup, or the terminal state of an execution to a later owner.
type RecordMessage struct {
	Shard    Shard     `cbor:"1,keyasint"`
	Epoch    api.Epoch `cbor:"2,keyasint"`
	Transfer uint64    `cbor:"3,keyasint"`
	Record   Record    `cbor:"4,keyasint"`
}

// TransferMessage carries one part of the whole table to a new backup.
type TransferMessage struct {
	Shard Shard     `cbor:"1,keyasint"`
	Epoch api.Epoch `cbor:"2,keyasint"`
	// Transfer numbers the transfers within an ownership epoch. Part numbers the messages of a transfer from 0.
	Transfer uint64   `cbor:"3,keyasint"`
	Part     int      `cbor:"4,keyasint"`
	Final    bool     `cbor:"5,keyasint"`
	Records  []Record `cbor:"6,keyasint"`
	// IncompleteFor is how long the table of the owner remains incomplete.
	IncompleteFor time.Duration `cbor:"7,keyasint"`
}

// Replicator sends messages to other instances, which pass them to Service.ApplyRecord and Service.ApplyTransfer. Its
// methods return nil only once the other instance has confirmed the message.
type Replicator interface {
	Replicate(ctx context.Context, to api.InstanceID, message RecordMessage) error
	Transfer(ctx context.Context, to api.InstanceID, message TransferMessage) error
}

// Config holds the settings of a Service.
type Config struct {
	Limits Limits
	// ReplicateTimeout bounds the wait for the backup.
	ReplicateTimeout time.Duration
	// MaxRecordsPerPart bounds the number of records in one part of a transfer.
	MaxRecordsPerPart int
	// OutcomeQueueSize bounds the number of terminal states queued for sending to the backup or a later owner.
	OutcomeQueueSize int
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{Limits: DefaultLimits(), ReplicateTimeout: time.Second, OutcomeQueueSize: 4096, MaxRecordsPerPart: 4096}
}

// Service has the deduplication tables of the shards of which this instance is the owner or the backup.
type Service struct {
	self       api.InstanceID
	config     Config
	clock      clockwork.Clock
	authority  Authority
	replicator Replicator

	mu        sync.RWMutex
	regions   []string
	shards    map[Shard]*shardState
	outcomes  chan outcomeMessage
	done      chan struct{}
	closeOnce sync.Once
}

type outcomeMessage struct {
	to      api.InstanceID
	message RecordMessage
}

// NewService returns a service without shards. Close stops its background goroutine.
func NewService(self api.InstanceID, config Config, clock clockwork.Clock, authority Authority, replicator Replicator) *Service {
	s := newService(self, config, clock, authority, replicator)
	go s.sendOutcomes()
	return s
}

func newService(self api.InstanceID, config Config, clock clockwork.Clock, authority Authority, replicator Replicator) *Service {
	return &Service{
		self: self, config: config, clock: clock, authority: authority, replicator: replicator,
		shards: map[Shard]*shardState{}, outcomes: make(chan outcomeMessage, config.OutcomeQueueSize), done: make(chan struct{}),
	}
}

// Close stops the background goroutine.
func (s *Service) Close() { s.closeOnce.Do(func() { close(s.done) }) }

// SetRegions sets the regions over whose shards the keys are partitioned. All instances must be given the same regions.
func (s *Service) SetRegions(regions []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions = regions
}

// ShardOf returns the shard of a key.
func (s *Service) ShardOf(key string) Shard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return ShardOf(key, s.regions)
}

// Owner returns the instance that owns the shard of a key. Errors have the outcome not-run.
func (s *Service) Owner(key string) (api.InstanceID, error) {
	shard := s.ShardOf(key)
	ownership, ok := s.authority.Ownership(shard)
	if !ok || ownership.Owner == "" {
		return "", notRunError(fault.CodeNotOwner, "find owner", "the key's shard has no owner")
	}
	return ownership.Owner, nil
}

// Do executes the request at most once for its key, or returns the result of an earlier attempt as far as it is known.
func (s *Service) Do(ctx context.Context, call Call, execute ExecuteFunc) (Response, error) {
	shard := s.ShardOf(call.Key)
	for {
		state := s.ownedShard(shard)
		if state == nil {
			return Response{}, undecidedError(call, notRunError(fault.CodeNotOwner, opDeduplicate, "this instance does not own the key's shard"))
		}
		d, err := state.begin(s.clock.Now(), call)
		if err != nil {
			return Response{}, undecidedError(call, fault.NotRun(err))
		}
		switch d.decision {
		case DecideExecute:
			return s.executeRecorded(ctx, state, d, execute)
		case DecideRespond:
			return *d.record.Response, nil
		case DecideUnknown:
			return Response{}, unknownOutcomeError(opDeduplicate, "an earlier attempt may have been executed and its response is not known")
		}
		select {
		case <-d.finished:
		case <-ctx.Done():
			return Response{}, unknownOutcomeError(opDeduplicate, "an earlier attempt is still being executed")
		}
	}
}

// undecidedError returns the error of an attempt for which the table made no decision. Only a caller's first attempt is
// certain not to have been executed; for a retry the outcome is unknown.
func undecidedError(call Call, err error) error {
	if call.Attempt == 1 {
		return err
	}
	return fault.Unknown(err)
}

// executeRecorded replicates a recorded execution, checks ownership and instance lease, and sends the request.
func (s *Service) executeRecorded(ctx context.Context, state *shardState, d attemptDecision, execute ExecuteFunc) (Response, error) {
	if err := s.prepareExecution(ctx, state, d); err != nil {
		s.finish(state, d, StateNotRun, nil)
		return Response{}, fault.NotRun(err)
	}
	response, err := execute(ctx)
	switch {
	case err == nil:
		s.finish(state, d, StateAnswered, &response)
	case fault.OutcomeOf(err) == api.NotRun:
		s.finish(state, d, StateNotRun, nil)
	default:
		s.finish(state, d, StateUnknown, nil)
	}
	return response, err
}

// prepareExecution makes sure that the backup, if there is one, has the key and that this instance may still send the
// request.
func (s *Service) prepareExecution(ctx context.Context, state *shardState, d attemptDecision) error {
	if err := s.replicate(ctx, state, d); err != nil {
		return err
	}
	if !state.advance(d, StateReplicated) {
		return ownershipLostError()
	}
	if err := s.authority.Check(state.shard, d.epoch); err != nil {
		return err
	}
	if !state.advance(d, StateSent) {
		return ownershipLostError()
	}
	return nil
}

// replicate synchronises the backup and sends it the record. After an error the request is not sent, whether or not the
// backup has stored the record.
func (s *Service) replicate(ctx context.Context, state *shardState, d attemptDecision) error {
	if d.backup == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.ReplicateTimeout)
	defer cancel()
	transfer, err := s.sync(ctx, state, d.epoch)
	if err != nil {
		return err
	}
	message := RecordMessage{Shard: state.shard, Epoch: d.epoch, Transfer: transfer, Record: d.record}
	err = s.replicator.Replicate(ctx, d.backup, message)
	if fault.Is(err, fault.CodeNotReady) {
		state.markUnsynced(d.epoch, transfer)
	}
	return err
}

// finish records the terminal state of an execution, wakes the attempts that wait for it and queues the state for the
// backup or, if the shard has a new owner, for that owner.
func (s *Service) finish(state *shardState, d attemptDecision, final State, response *Response) {
	message, to, ok := state.finish(s.clock.Now(), d, final, response)
	if !ok {
		return
	}
	ownership, known := s.authority.Ownership(state.shard)
	if known && ownership.Owner != s.self {
		to = ownership.Owner
	}
	if to == "" || to == s.self {
		return
	}
	// If the queue is full, a later owner misses the response but not the key: it reports an unknown outcome.
	select {
	case s.outcomes <- outcomeMessage{to: to, message: message}:
	default:
	}
}

func (s *Service) sendOutcomes() {
	for {
		select {
		case m := <-s.outcomes:
			s.deliverOutcome(m)
		case <-s.done:
			return
		}
	}
}

// deliverOutcome sends the terminal state of an execution to another instance. After an error that instance lacks only
// the response; it still has the key.
func (s *Service) deliverOutcome(m outcomeMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.ReplicateTimeout)
	defer cancel()
	_ = s.replicator.Replicate(ctx, m.to, m.message)
}

func (s *Service) ownedShard(shard Shard) *shardState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	state := s.shards[shard]
	if state == nil || !state.isOwner() {
		return nil
	}
	return state
}

func ownershipLostError() error {
	return &fault.Failure{FailureCode: fault.CodeNotOwner, Op: opDeduplicate, Detail: "the ownership of the shard has changed"}
}

// notRunError and unknownOutcomeError return errors without stack traces, which would dominate the cost of a refusal.
func notRunError(code fault.Code, op, detail string) error {
	return fault.NotRun(&fault.Failure{FailureCode: code, Op: op, Detail: detail})
}

func unknownOutcomeError(op, detail string) error {
	return fault.Unknown(&fault.Failure{FailureCode: fault.CodeOutcomeUnknown, Op: op, Detail: detail})
}
