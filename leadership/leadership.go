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

// Timing of the duty.
const (
	// MinLeaseDuration and MaxValidity bound how long a holder may act after it sent its last successful renewal. The row says how long
	// that is: a few times what renewals took of late, so that a holder is replaced soon while the store is quick, and not over a
	// late answer while it is slow.
	MinLeaseDuration = 800 * time.Millisecond
	MaxLeaseDuration = 1600 * time.Millisecond
	validityFactor   = 3
	validityMargin   = 600 * time.Millisecond
	// latencyDecay is what is left of the duration of a slow renewal with each one that is faster.
	latencyDecay = 0.7
	// TakeoverGrace is how much longer than its validity the row has to stay unchanged before another instance may take over: the time
	// that an order needs to leave the holder's machine. SlowPatience holds while the store is slow: then a change of the holder
	// takes longer, too.
	TakeoverGrace     = 400 * time.Millisecond
	SlowTakeoverGrace = 1500 * time.Millisecond
	// slowRead is the duration of a read from which the store counts as slow.
	slowRead = 120 * time.Millisecond
	// RenewEvery is the longest time between two renewals.
	RenewEvery = 250 * time.Millisecond
	// ObserveEvery is the time between two reads of the row by an instance that does not hold the duty.
	ObserveEvery = 300 * time.Millisecond
)

// key is the row of the duty.
var key = store.Key{Table: store.TableLeadership, Name: "scheduler"}

// Lease is the content of the duty's row. Later versions add fields at its end.
type Lease struct {
	_      struct{} `cbor:",toarray"`
	Holder string
	// Life distinguishes the processes that run under one instance name.
	Life  int64
	Epoch uint64
	// Released is set by a holder that stops in an orderly way and gives no more orders.
	Released bool
	// Renewals makes each renewal a change.
	Renewals uint64
	// Sent is when the renewal was sent, in ms of the store's steady clock and never earlier than that; 0 if it isn't known.
	Sent int64
	// Valid is how long the holder may act after that, in ms; 0 stands for MaxValidity.
	Valid int64
}

// leastFields is the number of fields of the row as the first version wrote it.
const leastFields = 5

// decode reads a row, also one of a version that had fewer fields or has more.
func (r *Lease) decode(encoded []byte) error {
	var fields []cbor.RawMessage
	if err := cbor.Unmarshal(encoded, &fields); err != nil {
		return errors.Wrap(err, "decoding the duty")
	}
	if len(fields) < leastFields {
		return errors.WithStack(&LostError{Holder: "unreadable row"})
	}
	*r = Lease{}
	for i, field := range []any{&r.Holder, &r.Life, &r.Epoch, &r.Released, &r.Renewals, &r.Sent, &r.Valid} {
		if i == len(fields) {
			break
		}
		if err := cbor.Unmarshal(fields[i], field); err != nil {
			return errors.Wrap(err, "decoding the duty")
		}
	}
	return nil
}

// validity is how long the holder may act after the renewal.
func (r *Lease) validity() time.Duration {
	if r.Valid <= 0 {
		return MaxLeaseDuration
	}
	return time.Duration(r.Valid) * time.Millisecond
}

// validityFor returns the validity to state while renewals take a time, in ms.
func validityFor(latency time.Duration) int64 {
	return max(MinLeaseDuration, min(MaxLeaseDuration, validityFactor*latency+validityMargin)).Milliseconds()
}

func (r *Lease) encode() []byte {
	encoded, err := cbor.Marshal(r)
	if err != nil {
		// The row holds only integers and texts.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding the duty"))
	}
	return encoded
}

// LostError reports that another instance holds the duty.
type LostError struct {
	Epoch  uint64
	Holder string
}

// Error names the other instance.
func (e *LostError) Error() string {
	return fmt.Sprintf("%s holds the duty with epoch %d", e.Holder, e.Epoch)
}

// Code implements fault.Coded.
func (*LostError) Code() fault.Code { return fault.CodeNotOwner }

// Candidate watches the row and takes the duty over once its holder has lapsed.
type Candidate struct {
	table store.Table
	clock Clock
	name  string
	life  int64

	observed   uint64
	observedAt time.Duration
	// claims counts the claims that were sent, so that the row tells which of them took effect.
	claims uint64
}

// NewCandidate returns a candidate. The life has to differ from that of earlier processes of the same name.
func NewCandidate(table store.Table, clock Clock, name string, life int64) *Candidate {
	return &Candidate{table: table, clock: clock, name: name, life: life}
}

// Observation is what a candidate read.
type Observation struct {
	Lease   Lease
	Version uint64
	// Unchanged is how long the row has been as it is, at the least.
	Unchanged time.Duration
	// reading ties the store's clock to the instance's.
	reading reading
	// took is the duration of the read, Slow says that it was long.
	took time.Duration
	Slow bool
}

// reading is the store's clock as it was told in answer to a call that was sent at a time.
type reading struct{ clock, asked time.Duration }

// latest returns the latest that the store's clock can have been at a time, in ms; 0 if it isn't known. The answer was made
// after its call was sent.
func (r reading) latest(now time.Duration) int64 {
	if r.clock <= 0 {
		return 0
	}
	return (r.clock + now - r.asked).Milliseconds() + 1
}

// Observe reads the row once.
func (c *Candidate) Observe(ctx context.Context) (Observation, error) {
	asked := c.clock()
	rows, err := store.ReadRow(ctx, c.table, key)
	if err != nil {
		return Observation{}, err
	}
	seen := Observation{reading: reading{clock: rows.Clock, asked: asked}}
	if len(rows.Rows) > 0 {
		seen.Version = rows.Rows[0].Version
		if err := seen.Lease.decode(rows.Rows[0].Value); err != nil {
			return Observation{}, errors.WithStack(&LostError{Holder: "unreadable row"})
		}
	}
	if c.observedAt == 0 || c.observed != seen.Version {
		c.observed, c.observedAt = seen.Version, c.clock()
	}
	seen.Unchanged = max(0, asked-c.observedAt)
	if seen.Lease.Sent > 0 && rows.Clock > 0 {
		// An instance that could not read the row for a while, or has just started, need not watch it first.
		seen.Unchanged = max(seen.Unchanged, rows.Clock-time.Duration(seen.Lease.Sent)*time.Millisecond)
	}
	seen.took = c.clock() - asked
	seen.Slow = seen.took > slowRead
	return seen, nil
}

// Claimable reports whether the duty may be taken. A row with the own name is left over from an earlier process on this
// machine, from a term that this process has given up, or from a claim without an answer; nobody acts on it any more.
func (c *Candidate) Claimable(seen Observation) bool {
	switch {
	case seen.Version == 0 || seen.Lease.Released:
		return true
	case seen.Lease.Holder == c.name:
		return true
	case seen.Slow:
		return seen.Unchanged >= seen.Lease.validity()+SlowTakeoverGrace
	}
	return seen.Unchanged >= seen.Lease.validity()+TakeoverGrace
}

// Acquire claims the duty as observed. A failure leaves the duty with whoever has it; a claim whose outcome is unknown is
// recognised by the next observation as held by this life.
func (c *Candidate) Acquire(ctx context.Context, seen Observation) (*Leader, error) {
	asked := c.clock()
	c.claims++
	row := Lease{Holder: c.name, Life: c.life, Epoch: seen.Lease.Epoch + 1, Renewals: c.claims}
	row.Sent, row.Valid = seen.reading.latest(asked), validityFor(seen.took)
	version, err := c.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Version: seen.Version}},
		Puts:       []store.Put{{Key: key, Value: row.encode()}},
	})
	if current, ok := row.tookEffect(err); ok {
		// The answer is that to a copy of the call.
		version, err = current, nil
	}
	if err != nil {
		return nil, err
	}
	return &Leader{
		table: c.table, clock: c.clock, epoch: row.Epoch, row: row, version: version, taken: version, renewed: asked, sent: row.Renewals,
		reading: seen.reading, valid: row.validity(), latency: seen.took,
	}, nil
}

// tookEffect reports whether a conflict shows the row as it was to be written, and its version then.
func (r *Lease) tookEffect(err error) (version uint64, ok bool) {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return 0, false
	}
	current := conflict.Find(key)
	var row Lease
	if current.Version == 0 || row.decode(current.Value) != nil {
		return 0, false
	}
	same := row.Holder == r.Holder && row.Life == r.Life && row.Epoch == r.Epoch && row.Renewals == r.Renewals
	return current.Version, same
}

// Leader commits on behalf of the duty. Commit is called from one goroutine at a time; the other methods from any.
type Leader struct {
	table store.Table
	clock Clock
	epoch uint64
	// taken is the version of the transaction that took the duty.
	taken   uint64
	reading reading

	mu      sync.Mutex
	row     Lease
	version uint64
	renewed time.Duration
	lost    bool
	// valid is how long orders may be given after renewed, latency what renewals took of late.
	valid, latency time.Duration
	// sent counts the transactions that were sent, so that the row tells which of them took effect.
	sent uint64
	// abandoned stops orders, though the row may still be released.
	abandoned bool
}

// Epoch is the fencing token of this term of office.
func (h *Leader) Epoch() uint64 { return h.epoch }

// Name is that of the instance that holds the duty.
func (h *Leader) Name() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row.Holder
}

// Taken is the version at which the duty was taken. What an earlier holder did has a lower one.
func (h *Leader) Taken() uint64 { return h.taken }

// Age is the time since the last successful renewal was sent.
func (h *Leader) Age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock() - h.renewed
}

// Valid reports whether orders may be given at this moment.
func (h *Leader) Valid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lost && !h.abandoned && h.clock()-h.renewed < h.valid
}

// Invalidate ends the term without a call to the store. Orders that check Valid are not given any more.
func (h *Leader) Invalidate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.abandoned = true
}

// Commit applies a transaction if the duty is still held, and renews it. After an unknown outcome the same rows may be
// sent again: the version of the duty's row lets only one of both take effect.
func (h *Leader) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	return h.commit(ctx, txn, false)
}

// Release gives the duty up, so that another instance need not wait for it to lapse.
func (h *Leader) Release(ctx context.Context) error {
	h.Invalidate()
	for {
		_, err := h.commit(ctx, store.Txn{}, true)
		if fault.CodeOf(err) != fault.CodeConflict {
			return err
		}
		// A commit of this term without an answer took effect; its version is known now.
	}
}

func (h *Leader) commit(ctx context.Context, txn store.Txn, release bool) (uint64, error) {
	h.mu.Lock()
	if h.lost {
		h.mu.Unlock()
		return 0, errors.WithStack(&LostError{})
	}
	h.sent++
	row := h.row
	row.Renewals = h.sent
	row.Released, row.Valid = release, validityFor(h.latency)
	if h.clock()-h.renewed >= h.valid {
		// Renewals take longer than what is known of them.
		row.Valid = MaxLeaseDuration.Milliseconds()
	}
	// A renewal that shortens the validity may take effect without an answer.
	h.valid = min(h.valid, row.validity())
	version := h.version
	h.mu.Unlock()
	asked := h.clock()
	row.Sent = h.reading.latest(asked)

	txn.Conditions = append(txn.Conditions[:len(txn.Conditions):len(txn.Conditions)], store.Condition{Key: key, Version: version})
	txn.Puts = append(txn.Puts[:len(txn.Puts):len(txn.Puts)], store.Put{Key: key, Value: row.encode()})
	newVersion, err := h.table.Commit(ctx, txn)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latency = max(h.clock()-asked, time.Duration(latencyDecay*float64(h.latency)))
	if current, ok := row.tookEffect(err); ok {
		// The answer is that to a copy of the call.
		newVersion, err = current, nil
	}
	if err != nil {
		return 0, h.resolve(err)
	}
	h.row, h.version, h.renewed, h.valid = row, newVersion, asked, row.validity()
	h.lost = h.lost || release
	return newVersion, nil
}

// resolve learns from a conflict whether the duty is lost or an earlier commit without an answer took effect.
func (h *Leader) resolve(err error) error {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	current := conflict.Find(key)
	var row Lease
	if current.Version != 0 {
		if decodeErr := row.decode(current.Value); decodeErr != nil {
			h.lost = true
			return errors.WithStack(&LostError{Holder: "unreadable row"})
		}
	}
	if row.Holder != h.row.Holder || row.Life != h.row.Life || row.Epoch != h.row.Epoch {
		h.lost = true
		return errors.WithStack(&LostError{Epoch: row.Epoch, Holder: row.Holder})
	}
	h.row.Renewals = row.Renewals
	h.version = current.Version
	return err
}
