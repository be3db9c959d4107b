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
	// maxSingleReads is the number of files above which one List replaces single reads.
	maxSingleReads = 32
	// maxLoadRounds bounds how often a load starts again because files changed while they were read.
	maxLoadRounds = 4
)

const opLoad = "load configuration"

// timedTable bounds the time of each call to the table.
type timedTable struct {
	table   backend.Table
	clock   clockwork.Clock
	timeout time.Duration
}

func (t timedTable) get(ctx context.Context, key string) (backend.Row, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, t.clock, t.timeout)
	defer cancel()
	row, err := t.table.Get(ctx, key)
	if fault.Is(err, fault.CodeNotFound) {
		return backend.Row{Key: key}, nil
	}
	return row, err
}

func (t timedTable) list(ctx context.Context, prefix string) ([]backend.Row, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, t.clock, t.timeout)
	defer cancel()
	return t.table.List(ctx, prefix)
}

func (t timedTable) commit(ctx context.Context, txn backend.Txn) error {
	ctx, cancel := clockwork.WithTimeout(ctx, t.clock, t.timeout)
	defer cancel()
	_, err := t.table.Commit(ctx, txn)
	return err
}

// refresh puts the latest revision in force: from the table, or from a peer if the table fails and a later revision is
// known to exist or none was loaded yet.
func (s *Service) refresh(ctx context.Context) {
	err := s.loadFromTable(ctx)
	s.logStoreState(err)
	if err == nil {
		return
	}
	if s.loaded.Load() && s.wanted.Load() <= s.Snapshot().Revision {
		return
	}
	if err := s.loadFromPeer(ctx); err != nil {
		s.options.Logger.Warn().Err(err).Msg("configuration was not fetched from a peer")
	}
}

// logStoreState logs when the table begins to fail and when it answers again, not every failed poll. It is called by
// Start and then by the polling goroutine only.
func (s *Service) logStoreState(err error) {
	if down := err != nil; down != s.storeDown {
		s.storeDown = down
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

// loadHead puts the revision of a head row, or a later one, in force. It returns the head that was loaded.
func (s *Service) loadHead(ctx context.Context, row backend.Row) (backend.Row, error) {
	if err := acquire(ctx, s.loading); err != nil {
		return row, err
	}
	defer release(s.loading)
	for round := range maxLoadRounds {
		next, err := s.readSnapshot(ctx, row, round > 0)
		if err != nil {
			return row, err
		}
		if next != nil {
			s.put(next, FromTable)
			s.confirm()
			return row, nil
		}
		if row, err = s.table.get(ctx, KeyHead); err != nil {
			return row, err
		}
	}
	return row, fault.New(fault.CodeConflict, opLoad, "files changed during each of %d reads", maxLoadRounds)
}

// readSnapshot returns nil if the files that it read do not belong to the head.
func (s *Service) readSnapshot(ctx context.Context, row backend.Row, complete bool) (*Snapshot, error) {
	now := s.Snapshot()
	head := Head{Digest: emptyDigest}
	if err := decode(row, &head); err != nil {
		return nil, err
	}
	if head.Revision <= now.Revision {
		return now, nil
	}
	files, err := s.readFiles(ctx, now, head, complete)
	if err != nil {
		return nil, err
	}
	if digestFiles(slices.Collect(maps.Values(files))) != head.Digest {
		return nil, nil
	}
	return newSnapshot(head, files)
}

var emptyDigest = digestFiles(nil)

// readFiles reads the files that changed since the snapshot; all of them if it is not known which, or complete is set.
func (s *Service) readFiles(ctx context.Context, now *Snapshot, head Head, complete bool) (map[string]File, error) {
	names, known, err := s.changedSince(ctx, now.Revision, head.Revision)
	if err != nil {
		return nil, err
	}
	if complete || !known || len(names) > maxSingleReads {
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
	return applyRows(maps.Clone(now.files), rows)
}

func (s *Service) changedSince(ctx context.Context, from, to uint64) (names []string, known bool, err error) {
	_, recent, err := s.readRecent(ctx)
	if err != nil {
		return nil, false, err
	}
	names, known = changedFiles(recent, from, to)
	return names, known, nil
}

// changedFiles returns the files changed after one revision up to another; known is false if the list does not tell.
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

// readRows reads the rows of the named files; an absent one has version 0.
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

// applyRows updates files, which it owns, from rows.
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

// loadFromPeer adopts the bundle of a peer. A bundle below what its sender or this instance has heard of is refused:
// before its restart this instance may have had the later revision in force.
func (s *Service) loadFromPeer(ctx context.Context) error {
	if s.options.Peers == nil {
		return fault.New(fault.CodeUnreachable, opLoad, "no peers are known")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.PeerTimeout)
	defer cancel()
	minimum := max(s.wanted.Load(), s.Snapshot().Revision)
	bundle, err := s.options.Peers.Fetch(ctx, minimum)
	if err != nil {
		return err
	}
	if err := bundle.Verify(); err != nil {
		return err
	}
	if minimum = max(minimum, bundle.Known); bundle.Revision < minimum {
		return fault.New(fault.CodeNotReady, opLoad, "the peer has revision %d, but %d exists", bundle.Revision, minimum)
	}
	next, err := bundleSnapshot(bundle)
	if err != nil {
		return err
	}
	s.put(next, FromPeer)
	s.confirm()
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

func acquire(ctx context.Context, semaphore chan struct{}) error {
	select {
	case semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fault.New(fault.CodeTimeout, opLoad, "%s", ctx.Err())
	}
}

func release(semaphore chan struct{}) { <-semaphore }
