package rollout

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/logging"
)

const (
	// maxSingleFileReads is the largest number of files that are read one by one. More are read with one List call.
	maxSingleFileReads = 32
	// maxLoadAttempts bounds the attempts of one load, which starts again if files change while they are read.
	maxLoadAttempts = 4
)

const opLoad = "load configuration"

// timeoutTable applies a timeout to each call to the table.
type timeoutTable struct {
	table   backend.Table
	clock   clockwork.Clock
	timeout time.Duration
}

func (t timeoutTable) get(ctx context.Context, key string) (backend.Row, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, t.clock, t.timeout)
	defer cancel()
	row, err := t.table.Get(ctx, key)
	if fault.Is(err, fault.CodeNotFound) {
		return backend.Row{Key: key}, nil
	}
	return row, err
}

func (t timeoutTable) list(ctx context.Context, prefix string) ([]backend.Row, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, t.clock, t.timeout)
	defer cancel()
	return t.table.List(ctx, prefix)
}

func (t timeoutTable) commit(ctx context.Context, txn backend.Txn) error {
	ctx, cancel := clockwork.WithTimeout(ctx, t.clock, t.timeout)
	defer cancel()
	_, err := t.table.Commit(ctx, txn)
	return err
}

// refresh activates the latest revision from the table. If the table fails, it fetches one from a peer, but only if a
// later revision is known to exist or none was loaded yet.
func (s *Service) refresh(ctx context.Context) {
	err := s.loadFromTable(ctx)
	s.logTableState(err)
	if err == nil {
		return
	}
	if s.loaded.Load() && s.highestReported.Load() <= s.Snapshot().Revision {
		return
	}
	if err := s.loadFromPeer(ctx); err != nil {
		s.options.Logger.Warn().Err(err).Msg("configuration was not fetched from a peer")
	}
}

// logTableState logs when the table becomes unavailable and when it responds again, but not every failed poll. It is
// called by Start and after that only by the polling goroutine.
func (s *Service) logTableState(err error) {
	if down := err != nil; down != s.tableDown {
		s.tableDown = down
		s.options.Logger.Warn().AnErr("cause", err).Bool("down", down).Msg("state of the table for configuration changed")
	}
}

func (s *Service) loadFromTable(ctx context.Context) error {
	row, err := s.table.get(ctx, KeyHead)
	if err != nil {
		return err
	}
	_, err = s.loadHead(ctx, row)
	return err
}

// loadHead activates the revision of a head row or a later one. It returns the head row that was loaded.
func (s *Service) loadHead(ctx context.Context, row backend.Row) (backend.Row, error) {
	if err := acquireSemaphore(ctx, s.loadSemaphore); err != nil {
		return row, err
	}
	defer releaseSemaphore(s.loadSemaphore)
	for attempt := range maxLoadAttempts {
		next, err := s.readSnapshot(ctx, row, attempt > 0)
		if err != nil {
			return row, err
		}
		if next != nil {
			s.activate(next, FromTable)
			s.markConfirmed()
			return row, nil
		}
		if row, err = s.table.get(ctx, KeyHead); err != nil {
			return row, err
		}
	}
	return row, fault.New(fault.CodeConflict, opLoad, "files changed during each of %d load attempts", maxLoadAttempts)
}

// readSnapshot returns the snapshot of the head in row, or nil if the files that it read do not match the head.
func (s *Service) readSnapshot(ctx context.Context, row backend.Row, readAll bool) (*Snapshot, error) {
	current := s.Snapshot()
	head := Head{Digest: emptyDigest}
	if err := decode(row, &head); err != nil {
		return nil, err
	}
	if head.Revision <= current.Revision {
		return current, nil
	}
	files, err := s.readFiles(ctx, current, head, readAll)
	if err != nil {
		return nil, err
	}
	if digestFiles(slices.Collect(maps.Values(files))) != head.Digest {
		return nil, nil
	}
	return newSnapshot(head, files)
}

var emptyDigest = digestFiles(nil)

// readFiles returns the files at the head. It reads only those that changed since the current snapshot, or all of them if
// readAll is set or the changed files are not known.
func (s *Service) readFiles(ctx context.Context, current *Snapshot, head Head, readAll bool) (map[string]File, error) {
	names, known, err := s.changedSince(ctx, current.Revision, head.Revision)
	if err != nil {
		return nil, err
	}
	if readAll || !known || len(names) > maxSingleFileReads {
		rows, err := s.table.list(ctx, FilePrefix)
		if err != nil {
			return nil, err
		}
		return applyRows(map[string]File{}, rows)
	}
	rows, err := s.readRows(ctx, names)
	if err != nil {
		return nil, err
	}
	return applyRows(maps.Clone(current.files), rows)
}

func (s *Service) changedSince(ctx context.Context, from, to uint64) (names []string, known bool, err error) {
	_, recent, err := s.readRecent(ctx)
	if err != nil {
		return nil, false, err
	}
	names, known = changedFiles(recent, from, to)
	return names, known, nil
}

// changedFiles returns the files that changed after revision from, up to revision to. known is false if the list of
// recent changes does not cover all of these revisions.
func changedFiles(recent []recentChange, from, to uint64) (names []string, known bool) {
	covered := uint64(0)
	for _, c := range recent {
		if c.Revision <= from || c.Revision > to {
			continue
		}
		if c.All {
			return nil, false
		}
		covered++
		names = append(names, c.Files...)
	}
	slices.Sort(names)
	return slices.Compact(names), covered == to-from
}

func (s *Service) readRecent(ctx context.Context) (backend.Row, []recentChange, error) {
	row, err := s.table.get(ctx, KeyRecent)
	if err != nil {
		return row, nil, err
	}
	var recent []recentChange
	return row, recent, decode(row, &recent)
}

// readRows reads the rows of the named files. The row of a file that does not exist has version 0.
func (s *Service) readRows(ctx context.Context, names []string) ([]backend.Row, error) {
	rows := make([]backend.Row, 0, len(names))
	for _, name := range names {
		row, err := s.table.get(ctx, FilePrefix+name)
		if err != nil {
			return nil, err
		}
		row.Key = FilePrefix + name
		rows = append(rows, row)
	}
	return rows, nil
}

// applyRows updates the map files from rows and returns it.
func applyRows(files map[string]File, rows []backend.Row) (map[string]File, error) {
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key, FilePrefix)
		if row.Version == 0 {
			delete(files, name)
			continue
		}
		var value fileRow
		if err := decode(row, &value); err != nil {
			return nil, err
		}
		files[name] = File{Name: name, Version: value.Revision, Author: value.Author, Content: value.Content}
	}
	return files, nil
}

// loadFromPeer activates a bundle from a peer. A bundle is refused if its sender or this instance knows of a later
// revision, because this instance may have had that revision active before it restarted.
func (s *Service) loadFromPeer(ctx context.Context) error {
	if s.options.Peers == nil {
		return fault.New(fault.CodeUnreachable, opLoad, "no peers are known")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.PeerTimeout)
	defer cancel()
	minimum := max(s.highestReported.Load(), s.Snapshot().Revision)
	bundle, err := s.options.Peers.Fetch(ctx, minimum)
	if err != nil {
		return err
	}
	if err := bundle.Verify(); err != nil {
		return err
	}
	if minimum = max(minimum, bundle.HighestKnown); bundle.Revision < minimum {
		return fault.New(fault.CodeNotReady, opLoad, "the peer has revision %d, but %d exists", bundle.Revision, minimum)
	}
	next, err := bundleSnapshot(bundle)
	if err != nil {
		return err
	}
	s.activate(next, FromPeer)
	s.markConfirmed()
	s.options.Logger.Info().Uint64(logging.KeyRevision, bundle.Revision).Msg("configuration was fetched from a peer")
	return nil
}

func bundleSnapshot(b Bundle) (*Snapshot, error) {
	files := make(map[string]File, len(b.Files))
	for _, f := range b.Files {
		files[f.Name] = f
	}
	return newSnapshot(Head{Revision: b.Revision, Digest: b.Digest, Author: b.Author}, files)
}

func acquireSemaphore(ctx context.Context, semaphore chan struct{}) error {
	select {
	case semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fault.New(fault.CodeTimeout, opLoad, "%s", ctx.Err())
	}
}

func releaseSemaphore(semaphore chan struct{}) { <-semaphore }
