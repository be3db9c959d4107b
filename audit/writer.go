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

// sequenceDigits pads sequence numbers, so that rows list in the order of their numbers.
const sequenceDigits = 12

// batch is the value of one row.
type batch struct {
	Events []Event `cbor:"1,keyasint"`
	// Dropped counts the events that were lost before this batch.
	Dropped uint64 `cbor:"2,keyasint,omitempty"`
}

// writer writes batches of one instance to rows with rising numbers. It is used by one goroutine.
type writer struct {
	options Options
	// session makes operation ids unique across starts of the instance.
	session string
	// known is set once the rows that the table holds from earlier starts are known.
	known bool
	next  uint64
	rows  []uint64
	// batches numbers the batches; unfinished is set while the present one is not known to be written.
	batches    uint64
	unfinished bool
}

func newWriter(options Options, session string) *writer {
	return &writer{options: options, session: session, next: 1}
}

// idle reports whether no batch is left unfinished.
func (w *writer) idle() bool { return !w.unfinished }

func (w *writer) prefix() string { return keyPrefix + string(w.options.Self) + "/" }

func (w *writer) key(sequence uint64) string {
	return w.prefix() + fmt.Sprintf("%0*d", sequenceDigits, sequence)
}

// write writes a batch, or finds that an earlier try has written it. After a failure the same batch has to be passed
// again; its operation id stays the same.
func (w *writer) write(ctx context.Context, b batch) error {
	if !w.unfinished {
		w.batches++
		w.unfinished = true
	}
	if err := w.learnRows(ctx); err != nil {
		return err
	}
	written, err := w.commit(ctx, b)
	if fault.Is(err, fault.CodeConflict) {
		written, err = w.resolve(ctx, err)
	}
	if err != nil {
		return err
	}
	w.unfinished = !written
	return nil
}

// learnRows reads which rows an earlier start of this instance left.
func (w *writer) learnRows(ctx context.Context) error {
	if w.known {
		return nil
	}
	ctx, cancel := clockwork.WithTimeout(ctx, w.options.Clock, w.options.TableTimeout)
	defer cancel()
	rows, err := w.options.Table.List(ctx, w.prefix())
	if err != nil {
		return err
	}
	w.rows, w.next = nil, 1
	for _, row := range rows {
		sequence, err := strconv.ParseUint(strings.TrimPrefix(row.Key, w.prefix()), 10, 64)
		if err != nil {
			continue
		}
		w.rows = append(w.rows, sequence)
		w.next = max(w.next, sequence+1)
	}
	w.known = true
	return nil
}

func (w *writer) opID() string {
	return w.prefix() + w.session + "/" + strconv.FormatUint(w.batches, 10)
}

// commit writes the batch and deletes the oldest rows beyond the count to keep, in one transaction.
func (w *writer) commit(ctx context.Context, b batch) (bool, error) {
	value, err := cbor.Marshal(b)
	if err != nil {
		return false, errors.Wrap(err, "encode audit batch")
	}
	key := w.key(w.next)
	txn := backend.Txn{OpID: w.opID(), Conditions: []backend.Condition{{Key: key}}, Writes: []backend.Write{{Key: key, Value: value}}}
	surplus := max(0, len(w.rows)+1-w.options.KeepRows)
	for _, sequence := range w.rows[:surplus] {
		txn.Writes = append(txn.Writes, backend.Write{Key: w.key(sequence), Delete: true})
	}
	ctx, cancel := clockwork.WithTimeout(ctx, w.options.Clock, w.options.TableTimeout)
	defer cancel()
	if _, err := w.options.Table.Commit(ctx, txn); err != nil {
		return false, err
	}
	w.rows = append(w.rows[surplus:], w.next)
	w.next++
	return true, nil
}

// resolve handles a row that exists already: written by an earlier try whose reply was lost, or by another process with
// the same name. In the second case the next try uses a number above all rows.
func (w *writer) resolve(ctx context.Context, conflict error) (bool, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, w.options.Clock, w.options.TableTimeout)
	defer cancel()
	row, err := w.options.Table.Get(ctx, w.key(w.next))
	if err != nil {
		return false, err
	}
	w.known = false
	if row.OpID == w.opID() {
		return true, nil
	}
	return false, conflict
}
