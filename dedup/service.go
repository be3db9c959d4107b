package dedup

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/fault"
)

// Call is one attempt of a caller at a key.
type Call struct {
	Key string
	// Attempt numbers the caller's attempts from 1.
	Attempt int
}

// Run sends the request. An error that is not marked as not-run is taken as unknown.
type Run func(ctx context.Context) (Answer, error)

// Tenure says who holds a shard. The epoch changes with the owner and with the deputy, so that a copy made for an
// earlier deputy is never taken for a complete one.
type Tenure struct {
	Owner api.InstanceID
	// Deputy is empty while there is none; the owner then sends without a copy.
	Deputy api.InstanceID
	Epoch  api.Epoch
}

// Authority says who holds which shard.
type Authority interface {
	// Tenure returns the holder of a shard as last known.
	Tenure(shard Shard) (Tenure, bool)
	// Check is called at the last moment before a request goes out. It fails unless this instance holds the shard at
	// that epoch and has authority.
	Check(shard Shard, epoch api.Epoch) error
}

// RecordMessage carries one record to the deputy, or the end of a run to a later owner.
type RecordMessage struct {
	Shard    Shard     `cbor:"1,keyasint"`
	Epoch    api.Epoch `cbor:"2,keyasint"`
	Transfer uint64    `cbor:"3,keyasint"`
	Record   Record    `cbor:"4,keyasint"`
}

// TransferMessage carries a part of the whole ledger to a new deputy.
type TransferMessage struct {
	Shard Shard     `cbor:"1,keyasint"`
	Epoch api.Epoch `cbor:"2,keyasint"`
	// Transfer numbers the transfers of an epoch, Part the messages of a transfer from 0.
	Transfer uint64   `cbor:"3,keyasint"`
	Part     int      `cbor:"4,keyasint"`
	Final    bool     `cbor:"5,keyasint"`
	Records  []Record `cbor:"6,keyasint"`
	// IncompleteFor is the time for which the owner's ledger remains incomplete.
	IncompleteFor time.Duration `cbor:"7,keyasint"`
}

// Replicator carries messages to the ledgers of other instances, which hand them to Service.ApplyRecord and
// Service.ApplyTransfer. It returns nil only once the other side has confirmed.
type Replicator interface {
	Replicate(ctx context.Context, to api.InstanceID, message RecordMessage) error
	Transfer(ctx context.Context, to api.InstanceID, message TransferMessage) error
}

// Config holds the settings of a Service.
type Config struct {
	Limits Limits
	// ReplicateTimeout bounds the wait for the deputy.
	ReplicateTimeout time.Duration
	// TransferRecords bounds the records in one part of a transfer.
	TransferRecords int
	// LateQueue bounds the ends of runs that wait to be told to the deputy.
	LateQueue int
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{Limits: DefaultLimits(), ReplicateTimeout: time.Second, LateQueue: 4096, TransferRecords: 4096}
}

// Service holds the ledgers of the shards that this instance owns or is the deputy of.
type Service struct {
	self       api.InstanceID
	config     Config
	clock      clockwork.Clock
	authority  Authority
	replicator Replicator

	mu      sync.RWMutex
	regions []string
	shards  map[Shard]*shardState
	late    chan lateMessage
	done    chan struct{}
	closing sync.Once
}

type lateMessage struct {
	to      api.InstanceID
	message RecordMessage
}

// NewService returns a service without shards. Close ends its background work.
func NewService(self api.InstanceID, config Config, clock clockwork.Clock, authority Authority, replicator Replicator) *Service {
	s := newService(self, config, clock, authority, replicator)
	go s.sendLate()
	return s
}

func newService(self api.InstanceID, config Config, clock clockwork.Clock, authority Authority, replicator Replicator) *Service {
	return &Service{
		self: self, config: config, clock: clock, authority: authority, replicator: replicator,
		shards: map[Shard]*shardState{}, late: make(chan lateMessage, config.LateQueue), done: make(chan struct{}),
	}
}

// Close ends the background work.
func (s *Service) Close() { s.closing.Do(func() { close(s.done) }) }

// SetRegions names the regions whose shards hold the keys. All instances must be given the same regions.
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

// Owner returns the instance that owns the key's shard. The failure is not-run.
func (s *Service) Owner(key string) (api.InstanceID, error) {
	shard := s.ShardOf(key)
	tenure, ok := s.authority.Tenure(shard)
	if !ok || tenure.Owner == "" {
		return "", notRun(fault.CodeNotOwner, "find owner", "the key's shard has no owner")
	}
	return tenure.Owner, nil
}

// Do runs the call at most once for its key, or returns what is known of an earlier attempt.
func (s *Service) Do(ctx context.Context, call Call, run Run) (Answer, error) {
	shard := s.ShardOf(call.Key)
	for {
		state := s.owned(shard)
		if state == nil {
			return Answer{}, undecided(call, notRun(fault.CodeNotOwner, "ledger", "this instance does not own the key's shard"))
		}
		begun, err := state.begin(s.clock.Now(), call)
		if err != nil {
			return Answer{}, undecided(call, fault.NotRun(err))
		}
		switch begun.decision {
		case DecideRun:
			return s.runRecorded(ctx, state, begun, run)
		case DecideAnswer:
			return *begun.record.Answer, nil
		case DecideUnknown:
			return Answer{}, unknown("ledger", "an earlier attempt may have run and its answer is not known")
		}
		select {
		case <-begun.ended:
		case <-ctx.Done():
			return Answer{}, unknown("ledger", "an earlier attempt is still running")
		}
	}
}

// undecided is the failure of an attempt that the ledger did not decide on. Only a first attempt provably did not run.
func undecided(call Call, err error) error {
	if call.Attempt == 1 {
		return err
	}
	return fault.Unknown(err)
}

// runRecorded takes a recorded run through replication, the check of authority and the sending.
func (s *Service) runRecorded(ctx context.Context, state *shardState, b begun, run Run) (Answer, error) {
	if err := s.prepare(ctx, state, b); err != nil {
		s.finish(state, b, StateNotRun, nil)
		return Answer{}, fault.NotRun(err)
	}
	answer, err := run(ctx)
	switch {
	case err == nil:
		s.finish(state, b, StateAnswered, &answer)
	case fault.OutcomeOf(err) == api.NotRun:
		s.finish(state, b, StateNotRun, nil)
	default:
		s.finish(state, b, StateUnknown, nil)
	}
	return answer, err
}

// prepare makes sure that the deputy has the key and that this instance may still send it.
func (s *Service) prepare(ctx context.Context, state *shardState, b begun) error {
	if err := s.replicate(ctx, state, b); err != nil {
		return err
	}
	if !state.advance(b, StateReplicated) {
		return lostShard()
	}
	if err := s.authority.Check(state.shard, b.epoch); err != nil {
		return err
	}
	if !state.advance(b, StateSent) {
		return lostShard()
	}
	return nil
}

// replicate brings the deputy up to date and sends it the record. A failure means that the run is not sent, whether or
// not the deputy has the record.
func (s *Service) replicate(ctx context.Context, state *shardState, b begun) error {
	if b.deputy == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.ReplicateTimeout)
	defer cancel()
	transfer, err := s.sync(ctx, state, b.epoch)
	if err != nil {
		return err
	}
	message := RecordMessage{Shard: state.shard, Epoch: b.epoch, Transfer: transfer, Record: b.record}
	err = s.replicator.Replicate(ctx, b.deputy, message)
	if fault.Is(err, fault.CodeNotReady) {
		state.forgetSync(b.epoch, transfer)
	}
	return err
}

// finish records the end of a run, wakes the attempts that wait for it and tells the deputy or a later owner.
func (s *Service) finish(state *shardState, b begun, end State, answer *Answer) {
	message, to, ok := state.finish(s.clock.Now(), b, end, answer)
	if !ok {
		return
	}
	tenure, known := s.authority.Tenure(state.shard)
	if known && tenure.Owner != s.self {
		to = tenure.Owner
	}
	if to == "" || to == s.self {
		return
	}
	// A full queue costs a later owner the stored answer, never the key itself: it then says unknown.
	select {
	case s.late <- lateMessage{to: to, message: message}:
	default:
	}
}

func (s *Service) sendLate() {
	for {
		select {
		case m := <-s.late:
			s.deliverLate(m)
		case <-s.done:
			return
		}
	}
}

// deliverLate tells another instance the end of a run. A failure costs it the stored answer only.
func (s *Service) deliverLate(m lateMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.ReplicateTimeout)
	defer cancel()
	_ = s.replicator.Replicate(ctx, m.to, m.message)
}

func (s *Service) owned(shard Shard) *shardState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	state := s.shards[shard]
	if state == nil || !state.isOwner() {
		return nil
	}
	return state
}

func lostShard() error {
	return &fault.Failure{FailureCode: fault.CodeNotOwner, Op: "ledger", Detail: "the shard changed hands"}
}

// notRun and unknown make failures without stack traces, which would dominate the cost of a refusal.
func notRun(code fault.Code, op, detail string) error {
	return fault.NotRun(&fault.Failure{FailureCode: code, Op: op, Detail: detail})
}

func unknown(op, detail string) error {
	return fault.Unknown(&fault.Failure{FailureCode: fault.CodeOutcomeUnknown, Op: op, Detail: detail})
}
