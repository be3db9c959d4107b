package audit

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"

	"bronzehook/backend"
	"bronzehook/fault"
)

const keyPrefix = "audit/"

// sequenceDigits is the width to which sequence numbers are padded, so that keys sort in the order of the numbers.
const sequenceDigits = 12

// batch is the value of one row.
type batch struct {
	Events []Event `cbor:"1,keyasint"`
	// Dropped is the number of events that were dropped since the previous batch was formed.
	Dropped uint64 `cbor:"2,keyasint,omitempty"`
}

// writer writes the batches of one instance to rows with increasing sequence numbers. Only one goroutine may use it.
type writer struct {
	options Options
	// incarnation identifies this run of the process and makes its operation IDs unique.
	incarnation string
	// rowsLoaded is set once sequences and nextSequence have been read from the table, and cleared after a conflict.
	rowsLoaded   bool
	nextSequence uint64
	sequences    []uint64
	// batchNumber counts the batches. batchUnconfirmed is set while the current batch is not confirmed to be written.
	batchNumber      uint64
	batchUnconfirmed bool
}

func newWriter(options Options, incarnation string) *writer {
	return &writer{options: options, incarnation: incarnation, nextSequence: 1}
}

// idle reports whether no batch is unconfirmed.
func (w *writer) idle() bool { return !w.batchUnconfirmed }

func (w *writer) prefix() string { return keyPrefix + string(w.options.Self) + "/" }

func (w *writer) key(sequence uint64) string {
	return w.prefix() + fmt.Sprintf("%0*d", sequenceDigits, sequence)
}

// write writes a batch, or detects that an earlier attempt has written it. After a failure the caller has to retry with
// the same batch, which keeps its operation ID.
func (w *writer) write(ctx context.Context, b batch) error {
	if !w.batchUnconfirmed {
		w.batchNumber++
		w.batchUnconfirmed = true
	}
	if err := w.loadRows(ctx); err != nil {
		return err
	}
	written, err := w.commit(ctx, b)
	if fault.Is(err, fault.CodeConflict) {
		written, err = w.resolveConflict(ctx, err)
	}
	if err != nil {
		return err
	}
	w.batchUnconfirmed = !written
	return nil
}

// loadRows lists the rows of this instance, which may have been written by earlier incarnations.
func (w *writer) loadRows(ctx context.Context) error {
	if w.rowsLoaded {
		return nil
	}
	ctx, cancel := clockwork.WithTimeout(ctx, w.options.Clock, w.options.TableTimeout)
	defer cancel()
	rows, err := w.options.Table.List(ctx, w.prefix())
	if err != nil {
		return err
	}
	w.sequences, w.nextSequence = nil, 1
	for _, row := range rows {
		sequence, err := strconv.ParseUint(strings.TrimPrefix(row.Key, w.prefix()), 10, 64)
		if err != nil {
			continue
		}
		w.sequences = append(w.sequences, sequence)
		w.nextSequence = max(w.nextSequence, sequence+1)
	}
	w.rowsLoaded = true
	return nil
}

func (w *writer) opID() string {
	return w.prefix() + w.incarnation + "/" + strconv.FormatUint(w.batchNumber, 10)
}

// commit writes the batch and deletes the oldest rows beyond KeepRows, in one transaction.
func (w *writer) commit(ctx context.Context, b batch) (bool, error) {
	value, err := cbor.Marshal(b)
	if err != nil {
		return false, errors.Wrap(err, "encode audit batch")
	}
	key := w.key(w.nextSequence)
	txn := backend.Txn{OpID: w.opID(), Conditions: []backend.Condition{{Key: key}}, Writes: []backend.Write{{Key: key, Value: value}}}
	surplus := max(0, len(w.sequences)+1-w.options.KeepRows)
	for _, sequence := range w.sequences[:surplus] {
		txn.Writes = append(txn.Writes, backend.Write{Key: w.key(sequence), Delete: true})
	}
	ctx, cancel := clockwork.WithTimeout(ctx, w.options.Clock, w.options.TableTimeout)
	defer cancel()
	if _, err := w.options.Table.Commit(ctx, txn); err != nil {
		return false, err
	}
	w.sequences = append(w.sequences[surplus:], w.nextSequence)
	w.nextSequence++
	return true, nil
}

// resolveConflict handles a row that exists already. It was written either by an earlier attempt whose reply was lost,
// or by another process with the same instance ID. In the second case the next attempt uses a number above all rows.
func (w *writer) resolveConflict(ctx context.Context, conflict error) (bool, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, w.options.Clock, w.options.TableTimeout)
	defer cancel()
	row, err := w.options.Table.Get(ctx, w.key(w.nextSequence))
	if err != nil {
		return false, err
	}
	w.rowsLoaded = false
	if row.OpID == w.opID() {
		return true, nil
	}
	return false, conflict
}
