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
	// maxRecordRounds bounds how often a record starts again because another change was first.
	maxRecordRounds = 50
	// retryWait is the mean wait before a record starts again; it is spread from half to one and a half times.
	retryWait = 20 * time.Millisecond
)

// recorded is the state of the table that a record starts from.
type recorded struct {
	headRow backend.Row
	head    Head
	recent  []recentChange
	// rows holds the rows of the edited files by file name.
	rows map[string]backend.Row
}

// Record writes a change to the table and returns its revision. The change is recorded completely or not at all. An
// UnavailableError tells whether that is certain. Edits that change nothing are left out; if no edit remains, the
// present revision is returned.
func (s *Service) Record(ctx context.Context, change Change) (uint64, error) {
	if err := change.check(); err != nil {
		return 0, err
	}
	if change.OpID == "" {
		change.OpID = NewOpID()
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.RecordTimeout)
	defer cancel()
	if err := acquire(ctx, s.recording); err != nil {
		return 0, &UnavailableError{OpID: change.OpID, Cause: err}
	}
	defer release(s.recording)
	return s.recordRounds(ctx, change)
}

func (s *Service) recordRounds(ctx context.Context, change Change) (uint64, error) {
	failure := &UnavailableError{OpID: change.OpID}
	for range maxRecordRounds {
		revision, err := s.recordOnce(ctx, change, failure)
		if err == nil || !retryable(err) {
			return revision, err
		}
		failure.Cause = err
		if !s.waitForRetry(ctx) {
			break
		}
	}
	return 0, errors.WithStack(failure)
}

// raceError means that another change was recorded first and this one has to be checked against it again.
type raceError struct{ cause error }

func (e *raceError) Error() string    { return "another change was recorded first: " + e.cause.Error() }
func (e *raceError) Unwrap() error    { return e.cause }
func (e *raceError) Code() fault.Code { return fault.CodeConflict }

func retryable(err error) bool {
	var race *raceError
	return errors.As(err, &race) || unavailable(err)
}

// unavailable reports whether a call to the table failed without an answer.
func unavailable(err error) bool {
	switch fault.CodeOf(err) {
	case fault.CodeStoreUnavailable, fault.CodeTimeout, fault.CodeUnreachable:
		return true
	}
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

func (s *Service) waitForRetry(ctx context.Context) bool {
	spread := 0.5 + rand.Float64()
	select {
	case <-s.options.Clock.After(time.Duration(spread * float64(retryWait))):
		return true
	case <-ctx.Done():
		return false
	}
}

// recordOnce tries once. It notes in failure that a write was sent whose result is not known.
func (s *Service) recordOnce(ctx context.Context, change Change, failure *UnavailableError) (uint64, error) {
	state, err := s.readRecorded(ctx, change)
	if err != nil {
		return 0, err
	}
	if earlier, err := findOperation(state, change); earlier > 0 || err != nil {
		return earlier, err
	}
	base := s.Snapshot()
	if base.Revision != state.head.Revision {
		return 0, &raceError{cause: fault.New(fault.CodeConflict, opRecord, "revision %d is in force, %d recorded", base.Revision, state.head.Revision)}
	}
	if err := findConflicts(change, state.rows); err != nil {
		return 0, err
	}
	edits := effectiveEdits(change.Edits, base)
	if len(edits) == 0 {
		return base.Revision, nil
	}
	set, err := base.Preview(edits, s.checks()...)
	if err != nil {
		return 0, err
	}
	next := plan{change: change, edits: edits, state: state, base: base, set: set}
	return s.commit(ctx, next, failure)
}

func (s *Service) checks() []config.Option {
	if s.options.Regions == nil {
		return nil
	}
	return []config.Option{config.WithRegions(s.options.Regions()...)}
}

// Preview merges edits into the files in force and validates the result as Record does.
func (s *Service) Preview(edits []Edit) (*config.Set, error) {
	return s.Snapshot().Preview(edits, s.checks()...)
}

// readRecorded brings this instance up to date and reads the rows of the edited files.
func (s *Service) readRecorded(ctx context.Context, change Change) (*recorded, error) {
	headRow, err := s.table.get(ctx, KeyHead)
	if err != nil {
		return nil, err
	}
	if headRow, err = s.loadHead(ctx, headRow); err != nil {
		return nil, asRace(err)
	}
	state := &recorded{headRow: headRow, rows: map[string]backend.Row{}}
	if err := decode(headRow, &state.head); err != nil {
		return nil, err
	}
	if _, state.recent, err = s.readRecent(ctx); err != nil {
		return nil, err
	}
	return state, s.readEdited(ctx, change, state)
}

// asRace marks a conflict as a reason to start again.
func asRace(err error) error {
	if fault.Is(err, fault.CodeConflict) {
		return &raceError{cause: err}
	}
	return err
}

func (s *Service) readEdited(ctx context.Context, change Change, state *recorded) error {
	names := change.names()
	read := func() ([]backend.Row, error) { return s.readRows(ctx, names) }
	if len(names) > maxSingleReads {
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

// findOperation returns the revision that the change got when its first reply was lost, or 0. The rows of the files
// still tell after the entry has left config/recent.
func findOperation(state *recorded, change Change) (uint64, error) {
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

// effectiveEdits leaves out edits that change nothing.
func effectiveEdits(edits []Edit, base *Snapshot) []Edit {
	var kept []Edit
	for _, e := range edits {
		now, exists := base.files[e.File]
		same := exists && !e.Delete && bytes.Equal(now.Content, e.Content)
		if !same && (exists || !e.Delete) {
			kept = append(kept, e)
		}
	}
	return kept
}

// plan is a validated change that is ready to be written.
type plan struct {
	change Change
	edits  []Edit
	state  *recorded
	base   *Snapshot
	set    *config.Set
}

func (s *Service) commit(ctx context.Context, p plan, failure *UnavailableError) (uint64, error) {
	head := Head{Revision: p.state.head.Revision + 1, Author: p.change.Author}
	files := editFiles(p.base.files, p.edits, head)
	head.Digest = digestFiles(slices.Collect(maps.Values(files)))
	txn, err := transaction(p, head)
	if err != nil {
		return 0, err
	}
	if err := s.table.commit(ctx, txn); err != nil {
		failure.Uncertain = failure.Uncertain || unavailable(err)
		return 0, asRace(err)
	}
	s.put(snapshotOf(head, files, p.set), FromRecord)
	return head.Revision, nil
}

func editFiles(files map[string]File, edits []Edit, head Head) map[string]File {
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

// transaction builds the one write of a change. The condition on the head row makes changes strictly sequential; the
// conditions on the files state the compare-and-set of each file.
func transaction(p plan, head Head) (backend.Txn, error) {
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
	return addHead(txn, head, addRecent(p.state.recent, entry))
}

func addHead(txn backend.Txn, head Head, recent []recentChange) (backend.Txn, error) {
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

// addRecent appends an entry and drops the oldest ones beyond the bounds.
func addRecent(recent []recentChange, entry recentChange) []recentChange {
	if len(entry.Files) > maxSingleReads {
		entry.Files, entry.All = nil, true
	}
	all := append(slices.Clone(recent), entry)
	files := 0
	for i, c := range slices.Backward(all) {
		files += len(c.Files)
		if len(all)-i > maxRecentRevisions || files > maxRecentFiles {
			return all[i+1:]
		}
	}
	return all
}
