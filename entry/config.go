package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"bronzehook/fault"
	"bronzehook/invalid"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/maintenance"
	"bronzehook/manifest"
	"bronzehook/platform"
	"bronzehook/recovery"
	"bronzehook/store"
	"bronzehook/tablefeed"
)

// Timing of calls to the store for the manifest.
const (
	manifestWatchWait  = time.Second
	manifestRetryDelay = 200 * time.Millisecond
	// relistAfter is the time without an answer after which the table is read in full. After a shorter one the watch goes on
	// from the last version: a full read would send the manifest again although it has not changed.
	relistAfter = 10 * time.Second
	// peersFirst is how long, and up to twice as long, an instance that gets the table from peers asks them for a newer manifest
	// that another instance has named, before it reads the store. Otherwise all instances of a region would read a large manifest
	// over one link at once.
	peersFirst = time.Second
)

// manifestService keeps the current manifest and the operator's maintenance waves and evacuations up to date.
type manifestService struct {
	table    store.Table
	source   *configSource
	provider *manifest.Provider
	waves    *maintenance.Registry
	// evacuations applies the rows that request evacuations.
	evacuations *evacuationRows
	clock       leadership.Clock
	logger      zerolog.Logger
	invalid     *invalid.Reporter
	guard       *recovery.Guard
	watch       backgroundLoop
	catchUp     backgroundLoop
}

// Name implements kernel.Service.
func (*manifestService) Name() string { return "manifest" }

// Requires implements kernel.Service.
func (*manifestService) Requires() []string { return nil }

// Start implements kernel.Service.
func (s *manifestService) Start(context.Context) error {
	s.watch.start(s.guard, "manifest", s.watchTable)
	s.catchUp.start(s.guard, "newer manifest", s.readNewerManifests)
	return nil
}

// Stop implements kernel.Service.
func (s *manifestService) Stop(context.Context) error {
	s.watch.stop()
	s.catchUp.stop()
	return nil
}

// watchTable lists the operator's table, then watches it. It relists if the store has dropped the changes since the last version.
func (s *manifestService) watchTable(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		after, err := s.relist(ctx)
		for answeredAt := s.clock(); err == nil && ctx.Err() == nil; {
			var delta tablefeed.Delta
			delta, err = s.source.watch(ctx, after)
			if err == nil {
				answeredAt = s.clock()
				reachable = s.logReachability(reachable, true, nil)
				s.applyDelta(&delta)
				after = max(after, delta.Version)
				continue
			}
			if fault.CodeOf(err) != fault.CodeExpired && s.clock()-answeredAt < relistAfter && ctx.Err() == nil {
				reachable = s.logReachability(reachable, false, err)
				leadership.Sleep(ctx, manifestRetryDelay)
				err = nil
			}
		}
		if fault.CodeOf(err) != fault.CodeExpired && ctx.Err() == nil {
			reachable = s.logReachability(reachable, false, err)
			leadership.Sleep(ctx, manifestRetryDelay)
		}
	}
}

// readNewerManifests reads the manifest whenever another instance names a newer version than the current one. The watch may
// have been interrupted, and finds that out only by a time-out.
func (s *manifestService) readNewerManifests(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.provider.Behind():
		}
		storeFrom := s.clock() + peersFirst + rand.N(peersFirst)
		for s.provider.IsBehind() && ctx.Err() == nil {
			if s.readManifestFromPeers(ctx) {
				break
			}
			if s.source.fromStore() || s.clock() >= storeFrom {
				if s.readManifest(ctx) == nil {
					continue
				}
			}
			leadership.Sleep(ctx, manifestRetryDelay)
		}
	}
}

// readManifestFromPeers reads the manifest from peers and reports whether it is the newest known one.
func (s *manifestService) readManifestFromPeers(ctx context.Context) bool {
	for _, row := range s.source.rowsOfPeers(ctx) {
		if row.Key == platform.ManifestKey && !row.Deleted {
			s.applyManifest(row)
		}
	}
	return !s.provider.IsBehind()
}

// readManifest reads and applies the stored manifest.
func (s *manifestService) readManifest(ctx context.Context) error {
	newest := s.provider.Newest()
	rows, err := store.ReadRow(ctx, s.table, platform.ManifestKey)
	if err != nil {
		return err
	}
	s.apply(rows.Rows)
	s.provider.ConfirmCurrent(newest)
	s.logger.Info().Uint64(logging.KeyRevision, s.provider.Version()).Uint64("named", newest).
		Msg("manifest read, another instance named a newer one")
	return nil
}

// logReachability logs the loss and the return of the store, and returns the new state.
func (s *manifestService) logReachability(wasReachable, reachable bool, err error) bool {
	switch {
	case wasReachable && !reachable:
		s.logger.Warn().AnErr("error", err).Msg("store lost")
	case !wasReachable && reachable:
		s.logger.Info().Msg("store regained")
	}
	return reachable
}

// relist applies a full read of the operator's table and returns its version.
func (s *manifestService) relist(ctx context.Context) (uint64, error) {
	delta, err := s.source.list(ctx)
	if err != nil {
		return 0, err
	}
	s.applyDelta(&delta)
	return delta.Version, nil
}

// applyDelta applies changes of the operator's table, or a full read of it.
func (s *manifestService) applyDelta(delta *tablefeed.Delta) {
	confirmedAt := s.source.copy.ConfirmedAt()
	s.apply(delta.Rows)
	if delta.Full {
		s.removeMissingWaves(delta.Rows)
		s.evacuations.applyAll(store.Changes{Rows: delta.Rows, Version: delta.Version}, confirmedAt)
		return
	}
	s.evacuations.applyChanges(delta.Rows)
	s.evacuations.registry.Confirm(confirmedAt)
}

func (s *manifestService) apply(rows []store.Row) {
	for _, row := range rows {
		if number, ok := platform.ParseWaveNumber(row.Key); ok {
			s.applyWave(number, row)
		}
		if row.Key == platform.ManifestKey && !row.Deleted {
			s.applyManifest(row)
		}
	}
}

func (s *manifestService) applyManifest(row store.Row) {
	m, err := platform.ParseManifest(row.Value)
	if err != nil {
		s.invalid.Report(invalid.SourceManifest, row.Name, row.Version, err)
		return
	}
	if s.provider.Update(m) {
		s.logger.Info().Uint64(logging.KeyRevision, m.Version).Int("queues", len(m.Queues)).Msg("manifest in force")
	}
}

func (s *manifestService) applyWave(number int, row store.Row) {
	if row.Deleted {
		s.waves.Remove(number)
		return
	}
	wave, err := platform.ParseWave(row)
	if err != nil {
		s.invalid.Report(invalid.SourceWave, row.Name, row.Version, err)
		return
	}
	s.waves.Put(wave, s.clock())
}

// removeMissingWaves removes waves from the registry that are missing from a full read of the table. The number in the value of a
// row may differ from that in its name.
func (s *manifestService) removeMissingWaves(rows []store.Row) {
	present := make(map[int]bool)
	for _, row := range rows {
		number, ok := platform.ParseWaveNumber(row.Key)
		if !ok {
			continue
		}
		present[number] = true
		if wave, err := platform.ParseWave(row); err == nil {
			present[wave.Number] = true
		}
	}
	for _, wave := range s.waves.Waves() {
		if !present[wave.Number] {
			s.waves.Remove(wave.Number)
		}
	}
}
