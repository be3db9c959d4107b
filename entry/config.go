package entry

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"bronzehook/fault"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/maintenance"
	"bronzehook/manifest"
	"bronzehook/platform"
	"bronzehook/store"
)

// Timing of the reading of the manifest.
const (
	manifestWait  = time.Second
	manifestRetry = 200 * time.Millisecond
)

// manifestService keeps the manifest in force and the operator's waves of maintenance up to date.
type manifestService struct {
	table  store.Table
	holder *manifest.Provider
	waves  *maintenance.Registry
	clock  leadership.Clock
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

// run reads the operator's table whole, then follows it. After each failure the table is read whole again, since a watch may
// miss changes that were made while it was cut.
func (s *manifestService) run(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		after, err := s.readWhole(ctx)
		for err == nil && ctx.Err() == nil {
			var changes store.Changes
			changes, err = s.table.Watch(ctx, platform.OperatorTable, after, manifestWait)
			if err == nil {
				reachable = s.noteReachable(reachable, true, nil)
				s.take(changes.Rows)
				after = max(after, changes.Version)
			}
		}
		if fault.CodeOf(err) != fault.CodeExpired && ctx.Err() == nil {
			reachable = s.noteReachable(reachable, false, err)
			leadership.Sleep(ctx, manifestRetry)
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
	rows, err := store.List(ctx, s.table, platform.OperatorTable, "", "")
	if err != nil {
		return 0, err
	}
	s.withdrawMissing(rows.Rows)
	s.take(rows.Rows)
	return rows.Version, nil
}

func (s *manifestService) take(rows []store.Row) {
	for _, row := range rows {
		if number, ok := platform.ParseWaveNumber(row.Key); ok {
			s.takeWave(number, row)
		}
		if row.Key == platform.ManifestKey && !row.Deleted {
			s.takeManifest(row)
		}
	}
}

func (s *manifestService) takeManifest(row store.Row) {
	m, err := platform.ParseManifest(row.Value)
	if err != nil {
		s.logger.Error().AnErr("error", err).Uint64("row_version", row.Version).Msg("manifest unreadable")
		return
	}
	if s.holder.Offer(m) {
		s.logger.Info().Uint64(logging.KeyRevision, m.Version).Int("queues", len(m.Queues)).Msg("manifest in force")
	}
}

func (s *manifestService) takeWave(number int, row store.Row) {
	if row.Deleted {
		s.waves.Withdraw(number)
		return
	}
	wave, err := platform.ParseWave(row)
	if err != nil {
		s.logger.Error().AnErr("error", err).Uint64("row_version", row.Version).Msg("wave of maintenance unreadable")
		return
	}
	s.waves.Offer(wave, s.clock())
}

// withdrawMissing takes waves off the board that a whole reading of the table does not have.
func (s *manifestService) withdrawMissing(rows []store.Row) {
	for _, due := range s.waves.Waves() {
		if !slices.ContainsFunc(rows, func(row store.Row) bool {
			number, ok := platform.ParseWaveNumber(row.Key)
			return ok && number == due.Number
		}) {
			s.waves.Withdraw(due.Number)
		}
	}
}
