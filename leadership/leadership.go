package leadership

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/fault"
	"bronzehook/store"
)

// Timing of the leadership lease.
const (
	// MinLeaseDuration and MaxLeaseDuration bound how long a leader may act after it sent its last successful renewal. The
	// lease states that duration: leaseLatencyFactor times the recent latency of renewals, plus leaseMargin. A leader is
	// thus replaced soon while the store is fast, and not because of one late reply while it is slow.
	MinLeaseDuration   = 800 * time.Millisecond
	MaxLeaseDuration   = 1600 * time.Millisecond
	leaseLatencyFactor = 3
	leaseMargin        = 600 * time.Millisecond
	// latencyDecay is the factor by which the recorded renewal latency is multiplied after a faster renewal.
	latencyDecay = 0.7
	// TakeoverGrace is how long the lease has to stay unchanged beyond its duration before another instance may acquire
	// leadership: the time that a command needs to leave the leader's machine. SlowTakeoverGrace applies instead while the
	// store is slow, at the price of a slower takeover.
	TakeoverGrace     = 400 * time.Millisecond
	SlowTakeoverGrace = 1500 * time.Millisecond
	// slowReadThreshold is the duration of a read above which the store counts as slow.
	slowReadThreshold = 120 * time.Millisecond
	// RenewInterval is the maximum interval between two renewals.
	RenewInterval = 250 * time.Millisecond
	// ObserveInterval is the interval at which instances other than the leader read the lease.
	ObserveInterval = 300 * time.Millisecond
)

// leaseKey is the key of the leadership row.
var leaseKey = store.Key{Table: store.TableLeadership, Name: "scheduler"}

// Lease is the leadership lease, the content of the leadership row. Later versions add fields at the end.
type Lease struct {
	_ struct{} `cbor:",toarray"`
	// Holder names the leader.
	Holder string
	// Incarnation distinguishes the processes that run under one instance name.
	Incarnation int64
	Epoch       uint64
	// Released is set by a leader that has released leadership and sends no more commands.
	Released bool
	// Renewals counts the renewals, so that each one changes the row.
	Renewals uint64
	// Sent is an upper bound of the time at which the renewal was sent, on the store's monotonic clock in ms; 0 if unknown.
	Sent int64
	// Valid is the lease duration from then on, in ms; 0 stands for MaxLeaseDuration.
	Valid int64
}

// minLeaseFields is the number of fields that the first version of the row has.
const minLeaseFields = 5

// decode reads a row. Earlier versions of it have fewer fields, later ones more.
func (l *Lease) decode(encoded []byte) error {
	var fields []cbor.RawMessage
	if err := cbor.Unmarshal(encoded, &fields); err != nil {
		return errors.Wrap(err, "decoding the leadership lease")
	}
	if len(fields) < minLeaseFields {
		return errors.WithStack(&LostError{Leader: "unknown instance (unreadable lease)"})
	}
	*l = Lease{}
	for i, field := range []any{&l.Holder, &l.Incarnation, &l.Epoch, &l.Released, &l.Renewals, &l.Sent, &l.Valid} {
		if i == len(fields) {
			break
		}
		if err := cbor.Unmarshal(fields[i], field); err != nil {
			return errors.Wrap(err, "decoding the leadership lease")
		}
	}
	return nil
}

// duration returns how long the leader may act after the renewal.
func (l *Lease) duration() time.Duration {
	if l.Valid <= 0 {
		return MaxLeaseDuration
	}
	return time.Duration(l.Valid) * time.Millisecond
}

// leaseDurationMillis returns the lease duration in ms for a renewal latency.
func leaseDurationMillis(latency time.Duration) int64 {
	return max(MinLeaseDuration, min(MaxLeaseDuration, leaseLatencyFactor*latency+leaseMargin)).Milliseconds()
}

func (l *Lease) encode() []byte {
	encoded, err := cbor.Marshal(l)
	if err != nil {
		// The lease holds only integers, booleans and strings, which always encode.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding the leadership lease"))
	}
	return encoded
}

// LostError reports that leadership is lost: another instance has acquired it.
type LostError struct {
	Epoch  uint64
	Leader string
}

// Error names the other instance and the epoch of its term.
func (e *LostError) Error() string {
	return fmt.Sprintf("%s holds leadership with epoch %d", e.Leader, e.Epoch)
}

// Code implements fault.Coded.
func (*LostError) Code() fault.Code { return fault.CodeNotOwner }

// Candidate observes the leadership lease and acquires leadership once the lease has expired.
type Candidate struct {
	table       store.Table
	clock       Clock
	name        string
	incarnation int64

	observedVersion uint64
	observedAt      time.Duration
	// acquisitions counts the calls of Acquire. The row contains the number, so that it tells which call took effect.
	acquisitions uint64
}

// NewCandidate returns a candidate. Its incarnation has to differ from those of earlier processes of the same name.
func NewCandidate(table store.Table, clock Clock, name string, incarnation int64) *Candidate {
	return &Candidate{table: table, clock: clock, name: name, incarnation: incarnation}
}

// Observation is the result of one read of the leadership lease.
type Observation struct {
	Lease   Lease
	Version uint64
	// Unchanged is a lower bound of the time since the row last changed.
	Unchanged time.Duration
	// clockReading relates the store's clock to that of the instance.
	clockReading storeClockReading
	// readLatency is the duration of the read. Slow is set if it exceeded slowReadThreshold.
	readLatency time.Duration
	Slow        bool
}

// storeClockReading is the store's time in the response to a call, and the local time at which the call was sent.
type storeClockReading struct{ storeTime, sentAt time.Duration }

// latestMillis returns an upper bound of the store's time at a local time, in ms; 0 if unknown. It is an upper bound
// because the store read its clock after the call had been sent.
func (r storeClockReading) latestMillis(now time.Duration) int64 {
	if r.storeTime <= 0 {
		return 0
	}
	return (r.storeTime + now - r.sentAt).Milliseconds() + 1
}

// Observe reads the leadership lease once.
func (c *Candidate) Observe(ctx context.Context) (Observation, error) {
	sentAt := c.clock()
	rows, err := store.ReadRow(ctx, c.table, leaseKey)
	if err != nil {
		return Observation{}, err
	}
	observation := Observation{clockReading: storeClockReading{storeTime: rows.Clock, sentAt: sentAt}}
	if len(rows.Rows) > 0 {
		observation.Version = rows.Rows[0].Version
		if err := observation.Lease.decode(rows.Rows[0].Value); err != nil {
			return Observation{}, errors.WithStack(&LostError{Leader: "unknown instance (unreadable lease)"})
		}
	}
	if c.observedAt == 0 || c.observedVersion != observation.Version {
		c.observedVersion, c.observedAt = observation.Version, c.clock()
	}
	observation.Unchanged = max(0, sentAt-c.observedAt)
	if observation.Lease.Sent > 0 && rows.Clock > 0 {
		// The store's clock tells the age of the lease to an instance that has just started or could not read the row for a
		// while, so that it need not observe the row for the whole lease duration first.
		observation.Unchanged = max(observation.Unchanged, rows.Clock-time.Duration(observation.Lease.Sent)*time.Millisecond)
	}
	observation.readLatency = c.clock() - sentAt
	observation.Slow = observation.readLatency > slowReadThreshold
	return observation, nil
}

// Claimable reports whether leadership can be acquired. A row with this instance's name is left over from an earlier
// incarnation, from a term that this process has ended, or from an acquisition without a reply. No process acts as leader
// under such a row any more.
func (c *Candidate) Claimable(observation Observation) bool {
	switch {
	case observation.Version == 0 || observation.Lease.Released:
		return true
	case observation.Lease.Holder == c.name:
		return true
	case observation.Slow:
		return observation.Unchanged >= observation.Lease.duration()+SlowTakeoverGrace
	}
	return observation.Unchanged >= observation.Lease.duration()+TakeoverGrace
}

// Acquire acquires leadership if the row is still as observed. A failure changes nothing. If the outcome is unknown, the
// next observation shows whether the row names this incarnation.
func (c *Candidate) Acquire(ctx context.Context, observation Observation) (*Leader, error) {
	sentAt := c.clock()
	c.acquisitions++
	lease := Lease{Holder: c.name, Incarnation: c.incarnation, Epoch: observation.Lease.Epoch + 1, Renewals: c.acquisitions}
	lease.Sent, lease.Valid = observation.clockReading.latestMillis(sentAt), leaseDurationMillis(observation.readLatency)
	version, err := c.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: leaseKey, Version: observation.Version}},
		Puts:       []store.Put{{Key: leaseKey, Value: lease.encode()}},
	})
	if current, ok := lease.tookEffect(err); ok {
		// The store answered a duplicate of the call, which conflicts with the effect of the first one.
		version, err = current, nil
	}
	if err != nil {
		return nil, err
	}
	return &Leader{
		table: c.table, clock: c.clock, epoch: lease.Epoch, lease: lease, version: version, acquiredVersion: version,
		renewedAt: sentAt, sentCommits: lease.Renewals, clockReading: observation.clockReading, leaseDuration: lease.duration(), renewalLatency: observation.readLatency,
	}, nil
}

// tookEffect reports whether a conflict shows the row with exactly the lease that was to be written, and its version.
func (l *Lease) tookEffect(err error) (version uint64, ok bool) {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return 0, false
	}
	current := conflict.Find(leaseKey)
	var stored Lease
	if current.Version == 0 || stored.decode(current.Value) != nil {
		return 0, false
	}
	same := stored.Holder == l.Holder && stored.Incarnation == l.Incarnation && stored.Epoch == l.Epoch && stored.Renewals == l.Renewals
	return current.Version, same
}

// Leader commits transactions for one leadership term. Commit must be called from one goroutine at a time; the other
// methods are safe for concurrent use.
type Leader struct {
	table store.Table
	clock Clock
	epoch uint64
	// acquiredVersion is the version of the transaction that acquired leadership.
	acquiredVersion uint64
	clockReading    storeClockReading

	mu        sync.Mutex
	lease     Lease
	version   uint64
	renewedAt time.Duration
	lost      bool
	// leaseDuration is how long commands may be sent after renewedAt, renewalLatency the recent latency of renewals.
	leaseDuration, renewalLatency time.Duration
	// sentCommits counts the transactions that were sent. The row contains the number, so that it tells which of them took
	// effect.
	sentCommits uint64
	// invalidated stops commands; the lease may still be released.
	invalidated bool
}

// Epoch returns the epoch of this leadership term.
func (l *Leader) Epoch() uint64 { return l.epoch }

// Name returns the name of the leader.
func (l *Leader) Name() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Holder
}

// AcquiredVersion returns the version at which leadership was acquired. Transactions of earlier leaders have lower versions.
func (l *Leader) AcquiredVersion() uint64 { return l.acquiredVersion }

// Age returns the time since the last successful renewal was sent.
func (l *Leader) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock() - l.renewedAt
}

// Valid reports whether the leader may send commands at this moment.
func (l *Leader) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lost && !l.invalidated && l.clock()-l.renewedAt < l.leaseDuration
}

// Invalidate ends the term locally, without a call to the store: Valid returns false from then on.
func (l *Leader) Invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.invalidated = true
}

// Commit applies a transaction if this instance is still the leader, and renews the leadership lease. After an unknown
// outcome the same rows may be sent again: the condition on the leadership row's version lets only one of the two
// transactions take effect.
func (l *Leader) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	return l.commit(ctx, txn, false)
}

// Release ends the term and marks the lease as released, so that another instance need not wait for it to expire.
func (l *Leader) Release(ctx context.Context) error {
	l.Invalidate()
	for {
		_, err := l.commit(ctx, store.Txn{}, true)
		if fault.CodeOf(err) != fault.CodeConflict {
			return err
		}
		// An earlier commit of this term took effect without a reply. Its version is known now, so try again.
	}
}

func (l *Leader) commit(ctx context.Context, txn store.Txn, release bool) (uint64, error) {
	l.mu.Lock()
	if l.lost {
		l.mu.Unlock()
		return 0, errors.WithStack(&LostError{})
	}
	l.sentCommits++
	lease := l.lease
	lease.Renewals = l.sentCommits
	lease.Released, lease.Valid = release, leaseDurationMillis(l.renewalLatency)
	if l.clock()-l.renewedAt >= l.leaseDuration {
		// The lease expired before this renewal: renewals take longer than renewalLatency says.
		lease.Valid = MaxLeaseDuration.Milliseconds()
	}
	// A renewal that shortens the lease duration may take effect without a reply, so the shorter one counts at once.
	l.leaseDuration = min(l.leaseDuration, lease.duration())
	version := l.version
	l.mu.Unlock()
	sentAt := l.clock()
	lease.Sent = l.clockReading.latestMillis(sentAt)

	txn.Conditions = append(txn.Conditions[:len(txn.Conditions):len(txn.Conditions)], store.Condition{Key: leaseKey, Version: version})
	txn.Puts = append(txn.Puts[:len(txn.Puts):len(txn.Puts)], store.Put{Key: leaseKey, Value: lease.encode()})
	newVersion, err := l.table.Commit(ctx, txn)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewalLatency = max(l.clock()-sentAt, time.Duration(latencyDecay*float64(l.renewalLatency)))
	if current, ok := lease.tookEffect(err); ok {
		// The store answered a duplicate of the call, which conflicts with the effect of the first one.
		newVersion, err = current, nil
	}
	if err != nil {
		return 0, l.resolve(err)
	}
	l.lease, l.version, l.renewedAt, l.leaseDuration = lease, newVersion, sentAt, lease.duration()
	l.lost = l.lost || release
	return newVersion, nil
}

// resolve determines from a conflict whether leadership is lost or an earlier commit took effect without a reply.
func (l *Leader) resolve(err error) error {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	current := conflict.Find(leaseKey)
	var stored Lease
	if current.Version != 0 {
		if decodeErr := stored.decode(current.Value); decodeErr != nil {
			l.lost = true
			return errors.WithStack(&LostError{Leader: "unknown instance (unreadable lease)"})
		}
	}
	if stored.Holder != l.lease.Holder || stored.Incarnation != l.lease.Incarnation || stored.Epoch != l.lease.Epoch {
		l.lost = true
		return errors.WithStack(&LostError{Epoch: stored.Epoch, Leader: stored.Holder})
	}
	l.lease.Renewals = stored.Renewals
	l.version = current.Version
	return err
}
