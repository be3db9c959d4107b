package rollout

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"bronzehook/backend"
	"bronzehook/config"
	"bronzehook/fault"
)

const (
	// maxRecordAttempts bounds the attempts of one Record call, which retries after conflicts and failures of the table.
	maxRecordAttempts = 50
	// meanRetryDelay is the mean delay between two attempts. The delay is random, from 0.5 to 1.5 times the mean.
	meanRetryDelay = 20 * time.Millisecond
)

// tableState is the state of the table on which an attempt to record a change is based.
type tableState struct {
	headRow backend.Row
	head    Head
	recent  []recentChange
	// rows holds the rows of the edited files, by file name.
	rows map[string]backend.Row
}

// Record writes a change to the table atomically and returns its revision. After an UnavailableError, the change may have
// been recorded if Uncertain is set; otherwise it was not. Edits without effect are left out; if no edit remains, Record
// returns the active revision.
func (s *Service) Record(ctx context.Context, change Change) (uint64, error) {
	if err := change.validate(); err != nil {
		return 0, err
	}
	if change.OpID == "" {
		change.OpID = NewOpID()
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.RecordTimeout)
	defer cancel()
	if err := acquireSemaphore(ctx, s.recordSemaphore); err != nil {
		return 0, &UnavailableError{OpID: change.OpID, Cause: err}
	}
	defer releaseSemaphore(s.recordSemaphore)
	return s.recordWithRetries(ctx, change)
}

func (s *Service) recordWithRetries(ctx context.Context, change Change) (uint64, error) {
	failure := &UnavailableError{OpID: change.OpID}
	for range maxRecordAttempts {
		revision, err := s.tryRecord(ctx, change, failure)
		if err == nil || !retryable(err) {
			return revision, err
		}
		failure.Cause = err
		if !s.waitRetryDelay(ctx) {
			break
		}
	}
	return 0, errors.WithStack(failure)
}

// raceError reports that another change was recorded first, so that this one has to be checked again.
type raceError struct{ cause error }

func (e *raceError) Error() string    { return "another change was recorded first: " + e.cause.Error() }
func (e *raceError) Unwrap() error    { return e.cause }
func (e *raceError) Code() fault.Code { return fault.CodeConflict }

func retryable(err error) bool {
	var race *raceError
	return errors.As(err, &race) || unavailable(err)
}

// unavailable reports whether a call to the table failed without a response.
func unavailable(err error) bool {
	switch fault.CodeOf(err) {
	case fault.CodeStoreUnavailable, fault.CodeTimeout, fault.CodeUnreachable:
		return true
	}
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

func (s *Service) waitRetryDelay(ctx context.Context) bool {
	factor := 0.5 + rand.Float64()
	select {
	case <-s.options.Clock.After(time.Duration(factor * float64(meanRetryDelay))):
		return true
	case <-ctx.Done():
		return false
	}
}

// tryRecord makes one attempt to record the change. It sets failure.Uncertain if a write was sent whose result is not
// known.
func (s *Service) tryRecord(ctx context.Context, change Change, failure *UnavailableError) (uint64, error) {
	state, err := s.readTableState(ctx, change)
	if err != nil {
		return 0, err
	}
	if earlier, err := findOperation(state, change); earlier > 0 || err != nil {
		return earlier, err
	}
	base := s.Snapshot()
	if base.Revision != state.head.Revision {
		return 0, &raceError{cause: fault.New(fault.CodeConflict, opRecord, "revision %d is active, but %d is recorded", base.Revision, state.head.Revision)}
	}
	if err := findConflicts(change, state.rows); err != nil {
		return 0, err
	}
	edits := effectiveEdits(change.Edits, base)
	if len(edits) == 0 {
		return base.Revision, nil
	}
	set, err := base.Preview(edits, s.validationOptions()...)
	if err != nil {
		return 0, err
	}
	next := validatedChange{change: change, edits: edits, state: state, base: base, set: set}
	return s.commit(ctx, next, failure)
}

func (s *Service) validationOptions() []config.Option {
	if s.options.Regions == nil {
		return nil
	}
	return []config.Option{config.WithRegions(s.options.Regions()...)}
}

// Preview merges edits into the active files and validates the result as Record does. Nothing is recorded.
func (s *Service) Preview(edits []Edit) (*config.Set, error) {
	return s.Snapshot().Preview(edits, s.validationOptions()...)
}

// readTableState activates the latest revision on this instance and reads the rows of the edited files.
func (s *Service) readTableState(ctx context.Context, change Change) (*tableState, error) {
	headRow, err := s.table.get(ctx, KeyHead)
	if err != nil {
		return nil, err
	}
	if headRow, err = s.loadHead(ctx, headRow); err != nil {
		return nil, asRaceError(err)
	}
	state := &tableState{headRow: headRow, rows: map[string]backend.Row{}}
	if err := decode(headRow, &state.head); err != nil {
		return nil, err
	}
	if _, state.recent, err = s.readRecent(ctx); err != nil {
		return nil, err
	}
	return state, s.readEditedRows(ctx, change, state)
}

// asRaceError wraps a conflict in a raceError, which makes it retryable.
func asRaceError(err error) error {
	if fault.Is(err, fault.CodeConflict) {
		return &raceError{cause: err}
	}
	return err
}

func (s *Service) readEditedRows(ctx context.Context, change Change, state *tableState) error {
	names := change.fileNames()
	read := func() ([]backend.Row, error) { return s.readRows(ctx, names) }
	if len(names) > maxSingleFileReads {
		read = func() ([]backend.Row, error) { return s.table.list(ctx, FilePrefix) }
	}
	rows, err := read()
	if err != nil {
		return err
	}
	for _, row := range rows {
		state.rows[row.Key[len(FilePrefix):]] = row
	}
	return nil
}

// findOperation returns the revision under which the change was already recorded, or 0 if it was not. A change
// is recorded already if the reply to an earlier attempt was lost. If config/recent no longer lists the change, it is
// recognised by the operation id in the rows of the edited files.
func findOperation(state *tableState, change Change) (uint64, error) {
	for _, c := range state.recent {
		if c.OpID != change.OpID {
			continue
		}
		if c.Edits != change.digest() {
			return 0, fault.New(fault.CodeInvalid, opRecord, "operation id %s was used for another change", change.OpID)
		}
		return c.Revision, nil
	}
	for _, row := range state.rows {
		if row.Version == 0 || row.OpID != change.OpID {
			continue
		}
		var value fileRow
		err := decode(row, &value)
		return value.Revision, err
	}
	return 0, nil
}

func findConflicts(change Change, rows map[string]backend.Row) error {
	var conflicts []FileConflict
	for _, e := range change.Edits {
		var theirs fileRow
		if err := decode(rows[e.File], &theirs); err != nil {
			return err
		}
		if theirs.Revision == e.BaseVersion {
			continue
		}
		conflicts = append(conflicts, FileConflict{File: e.File, BaseVersion: e.BaseVersion, Mine: string(e.Content),
			MineDeletes: e.Delete, Theirs: string(theirs.Content), TheirsVersion: theirs.Revision, TheirsAuthor: theirs.Author})
	}
	if len(conflicts) == 0 {
		return nil
	}
	return errors.WithStack(&ConflictError{Files: conflicts})
}

// effectiveEdits returns the edits that change the content or existence of a file.
func effectiveEdits(edits []Edit, base *Snapshot) []Edit {
	var effective []Edit
	for _, e := range edits {
		current, exists := base.files[e.File]
		unchanged := exists && !e.Delete && bytes.Equal(current.Content, e.Content)
		if !unchanged && (exists || !e.Delete) {
			effective = append(effective, e)
		}
	}
	return effective
}

// validatedChange is a change that passed all checks and is ready to be committed.
type validatedChange struct {
	change Change
	edits  []Edit
	state  *tableState
	base   *Snapshot
	set    *config.Set
}

func (s *Service) commit(ctx context.Context, p validatedChange, failure *UnavailableError) (uint64, error) {
	head := Head{Revision: p.state.head.Revision + 1, Author: p.change.Author}
	files := applyEdits(p.base.files, p.edits, head)
	head.Digest = digestFiles(slices.Collect(maps.Values(files)))
	txn, err := buildTransaction(p, head)
	if err != nil {
		return 0, err
	}
	if err := s.table.commit(ctx, txn); err != nil {
		failure.Uncertain = failure.Uncertain || unavailable(err)
		return 0, asRaceError(err)
	}
	s.activate(snapshotFromSet(head, files, p.set), FromRecord)
	return head.Revision, nil
}

func applyEdits(files map[string]File, edits []Edit, head Head) map[string]File {
	edited := maps.Clone(files)
	for _, e := range edits {
		if e.Delete {
			delete(edited, e.File)
			continue
		}
		edited[e.File] = File{Name: e.File, Version: head.Revision, Author: head.Author, Content: e.Content}
	}
	return edited
}

// buildTransaction builds the transaction that records a change. The condition on the head row serialises all changes;
// the conditions on the file rows make each edit a compare-and-set.
func buildTransaction(p validatedChange, head Head) (backend.Txn, error) {
	txn := backend.Txn{OpID: p.change.OpID, Conditions: []backend.Condition{{Key: KeyHead, Version: p.state.headRow.Version}}}
	entry := recentChange{Revision: head.Revision, OpID: p.change.OpID, Edits: p.change.digest()}
	for _, e := range p.edits {
		key := FilePrefix + e.File
		write := backend.Write{Key: key, Delete: e.Delete}
		if !e.Delete {
			var err error
			if write.Value, err = encode(key, fileRow{Revision: head.Revision, Author: head.Author, Content: e.Content}); err != nil {
				return txn, err
			}
		}
		txn.Conditions = append(txn.Conditions, backend.Condition{Key: key, Version: p.state.rows[e.File].Version})
		txn.Writes = append(txn.Writes, write)
		entry.Files = append(entry.Files, e.File)
	}
	return addHeadWrites(txn, head, appendRecent(p.state.recent, entry))
}

func addHeadWrites(txn backend.Txn, head Head, recent []recentChange) (backend.Txn, error) {
	headValue, err := encode(KeyHead, head)
	if err != nil {
		return txn, err
	}
	recentValue, err := encode(KeyRecent, recent)
	if err != nil {
		return txn, err
	}
	txn.Writes = append(txn.Writes, backend.Write{Key: KeyHead, Value: headValue}, backend.Write{Key: KeyRecent, Value: recentValue})
	return txn, nil
}

// appendRecent appends an entry and drops the oldest entries that exceed the limits of the row.
func appendRecent(recent []recentChange, entry recentChange) []recentChange {
	if len(entry.Files) > maxSingleFileReads {
		entry.Files, entry.All = nil, true
	}
	all := append(slices.Clone(recent), entry)
	fileCount := 0
	for i, c := range slices.Backward(all) {
		fileCount += len(c.Files)
		if len(all)-i > maxRecentRevisions || fileCount > maxRecentFiles {
			return all[i+1:]
		}
	}
	return all
}
