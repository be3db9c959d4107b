package duty

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
	// Validity is how long a holder may act after it sent its last successful renewal.
	Validity = 1600 * time.Millisecond
	// Patience is how long the row has to stay unchanged before another instance may take over. It exceeds Validity by
	// the time that an order needs to leave the holder's machine.
	Patience = 2100 * time.Millisecond
	// SlowPatience holds while the store is slow: then a renewal takes longer, and so does a change of the holder.
	SlowPatience = 3100 * time.Millisecond
	// slowRead is the duration of a read from which the store counts as slow.
	slowRead = 120 * time.Millisecond
	// RenewEvery is the longest time between two renewals.
	RenewEvery = 700 * time.Millisecond
	// PollEvery is the time between two reads of the row by an instance that does not hold the duty.
	PollEvery = 450 * time.Millisecond
)

// key is the row of the duty.
var key = store.Key{Table: store.TableDuty, Name: "scheduler"}

// Row is the content of the duty's row.
type Row struct {
	_      struct{} `cbor:",toarray"`
	Holder string
	// Life distinguishes the processes that run under one instance name.
	Life  int64
	Epoch uint64
	// Released is set by a holder that stops in an orderly way and gives no more orders.
	Released bool
	// Renewals makes each renewal a change.
	Renewals uint64
}

func (r *Row) encode() []byte {
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

// LapsedError reports that the holder could not renew in time, before it had read what it needs to go on later.
type LapsedError struct{ Age time.Duration }

// Error names the age of the last renewal.
func (e *LapsedError) Error() string { return "duty not renewed for " + e.Age.String() }

// Code implements fault.Coded.
func (*LapsedError) Code() fault.Code { return fault.CodeNoAuthority }

// Candidate watches the row and takes the duty over once its holder has lapsed.
type Candidate struct {
	table store.Table
	clock Clock
	name  string
	life  int64

	observed   uint64
	observedAt time.Duration
}

// NewCandidate returns a candidate. The life has to differ from that of earlier processes of the same name.
func NewCandidate(table store.Table, clock Clock, name string, life int64) *Candidate {
	return &Candidate{table: table, clock: clock, name: name, life: life}
}

// Observation is what a candidate read.
type Observation struct {
	Row     Row
	Version uint64
	// Unchanged is how long the row has been seen as it is.
	Unchanged time.Duration
	// Slow says that the read took long.
	Slow bool
}

// Observe reads the row once.
func (c *Candidate) Observe(ctx context.Context) (Observation, error) {
	asked := c.clock()
	rows, err := store.ReadRow(ctx, c.table, key)
	if err != nil {
		return Observation{}, err
	}
	var seen Observation
	if len(rows.Rows) > 0 {
		seen.Version = rows.Rows[0].Version
		if err := cbor.Unmarshal(rows.Rows[0].Value, &seen.Row); err != nil {
			return Observation{}, errors.WithStack(&LostError{Holder: "unreadable row"})
		}
	}
	if c.observedAt == 0 || c.observed != seen.Version {
		c.observed, c.observedAt = seen.Version, c.clock()
	}
	seen.Unchanged = max(0, asked-c.observedAt)
	seen.Slow = c.clock()-asked > slowRead
	return seen, nil
}

// Vacant reports whether the duty may be taken. A row with the own name is left over from an earlier process on this
// machine, from a term that this process has given up, or from a claim without an answer; nobody acts on it any more.
func (c *Candidate) Vacant(seen Observation) bool {
	switch {
	case seen.Version == 0 || seen.Row.Released:
		return true
	case seen.Row.Holder == c.name:
		return true
	case seen.Slow:
		return seen.Unchanged >= SlowPatience
	}
	return seen.Unchanged >= Patience
}

// Take claims the duty as observed. A failure leaves the duty with whoever has it; a claim whose outcome is unknown is
// recognised by the next observation as held by this life.
func (c *Candidate) Take(ctx context.Context, seen Observation) (*Holder, error) {
	row := Row{Holder: c.name, Life: c.life, Epoch: seen.Row.Epoch + 1}
	asked := c.clock()
	version, err := c.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Version: seen.Version}},
		Puts:       []store.Put{{Key: key, Value: row.encode()}},
	})
	if err != nil {
		return nil, err
	}
	return &Holder{table: c.table, clock: c.clock, row: row, version: version, taken: version, renewed: asked}, nil
}

// Holder commits on behalf of the duty. Commit is called from one goroutine at a time; the other methods from any.
type Holder struct {
	table store.Table
	clock Clock
	// taken is the version of the transaction that took the duty.
	taken uint64

	mu      sync.Mutex
	row     Row
	version uint64
	renewed time.Duration
	lost    bool
	// abandoned stops orders, though the row may still be released.
	abandoned bool
}

// Epoch is the fencing token of this term of office.
func (h *Holder) Epoch() uint64 { return h.row.Epoch }

// Taken is the version at which the duty was taken. What an earlier holder did has a lower one.
func (h *Holder) Taken() uint64 { return h.taken }

// Age is the time since the last successful renewal was sent.
func (h *Holder) Age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock() - h.renewed
}

// Valid reports whether orders may be given at this moment.
func (h *Holder) Valid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lost && !h.abandoned && h.clock()-h.renewed < Validity
}

// Abandon ends the term without a call to the store. Orders that check Valid are not given any more.
func (h *Holder) Abandon() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.abandoned = true
}

// Commit applies a transaction if the duty is still held, and renews it. After an unknown outcome the same rows may be
// sent again: the version of the duty's row lets only one of both take effect.
func (h *Holder) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	return h.commit(ctx, txn, false)
}

// Release gives the duty up, so that another instance need not wait for it to lapse.
func (h *Holder) Release(ctx context.Context) error {
	h.Abandon()
	for {
		_, err := h.commit(ctx, store.Txn{}, true)
		if fault.CodeOf(err) != fault.CodeConflict {
			return err
		}
		// A commit of this term without an answer took effect; its version is known now.
	}
}

func (h *Holder) commit(ctx context.Context, txn store.Txn, release bool) (uint64, error) {
	h.mu.Lock()
	if h.lost {
		h.mu.Unlock()
		return 0, errors.WithStack(&LostError{})
	}
	row := h.row
	row.Renewals++
	row.Released = release
	version := h.version
	h.mu.Unlock()

	txn.Conditions = append(txn.Conditions[:len(txn.Conditions):len(txn.Conditions)], store.Condition{Key: key, Version: version})
	txn.Puts = append(txn.Puts[:len(txn.Puts):len(txn.Puts)], store.Put{Key: key, Value: row.encode()})
	asked := h.clock()
	newVersion, err := h.table.Commit(ctx, txn)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.row, h.version, h.renewed = row, newVersion, asked
		h.lost = h.lost || release
		return newVersion, nil
	}
	return 0, h.resolve(err)
}

// resolve learns from a conflict whether the duty is lost or an earlier commit without an answer took effect.
func (h *Holder) resolve(err error) error {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	current := conflict.Find(key)
	var row Row
	if current.Version != 0 {
		if decodeErr := cbor.Unmarshal(current.Value, &row); decodeErr != nil {
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
