package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"bronzehook/fault"
	"bronzehook/logging"
	"bronzehook/manifest"
	"bronzehook/platform"
	"bronzehook/store"
)

// Timing of the reading of the manifest.
const (
	manifestWait  = time.Second
	manifestRetry = 200 * time.Millisecond
)

// manifestService keeps the manifest in force up to date.
type manifestService struct {
	table  store.Table
	holder *manifest.Holder
	logger zerolog.Logger
	loop   background
}

// Name implements kernel.Service.
func (*manifestService) Name() string { return "manifest" }

// Requires implements kernel.Service.
func (*manifestService) Requires() []string { return nil }

// Start implements kernel.Service.
func (s *manifestService) Start(context.Context) error {
	s.loop.start(s.run)
	return nil
}

// Stop implements kernel.Service.
func (s *manifestService) Stop(context.Context) error {
	s.loop.stop()
	return nil
}

// run reads the row whole, then follows its table. After each failure the row is read whole again, since a watch may
// miss changes that were made while it was cut.
func (s *manifestService) run(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		after, err := s.readWhole(ctx)
		for err == nil && ctx.Err() == nil {
			var changes store.Changes
			changes, err = s.table.Watch(ctx, platform.ManifestKey.Table, after, manifestWait)
			if err == nil {
				reachable = s.noteReachable(reachable, true, nil)
				s.take(changes.Rows)
				after = max(after, changes.Version)
			}
		}
		if fault.CodeOf(err) != fault.CodeExpired && ctx.Err() == nil {
			reachable = s.noteReachable(reachable, false, err)
			sleep(ctx, manifestRetry)
		}
	}
}

func (s *manifestService) noteReachable(before, now bool, err error) bool {
	switch {
	case before && !now:
		s.logger.Warn().AnErr("error", err).Msg("store lost")
	case !before && now:
		s.logger.Info().Msg("store regained")
	}
	return now
}

func (s *manifestService) readWhole(ctx context.Context) (uint64, error) {
	rows, err := store.ReadRow(ctx, s.table, platform.ManifestKey)
	if err != nil {
		return 0, err
	}
	s.take(rows.Rows)
	return rows.Version, nil
}

func (s *manifestService) take(rows []store.Row) {
	for _, row := range rows {
		if row.Key != platform.ManifestKey || row.Deleted {
			continue
		}
		m, err := platform.ParseManifest(row.Value)
		if err != nil {
			s.logger.Error().AnErr("error", err).Uint64("row_version", row.Version).Msg("manifest unreadable")
			continue
		}
		if s.holder.Offer(m) {
			s.logger.Info().Uint64(logging.KeyRevision, m.Version).Int("queues", len(m.Queues)).Msg("manifest in force")
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
