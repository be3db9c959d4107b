package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/evacuation"
	"bronzehook/fault"
	"bronzehook/invalid"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/platform"
	"bronzehook/store"
)

// evacuationRows applies the rows that request evacuations to the registry. The watch of the operator's table and a read at the
// start of a term may be answered out of order, so that a change is applied only if it is newer than what is known of its
// data centre.
type evacuationRows struct {
	table    store.Table
	registry *evacuation.Registry
	clock    leadership.Clock
	logger   zerolog.Logger
	invalid  *invalid.Reporter

	mu sync.Mutex
	// applied holds, for each data centre, the version of the newest change that was applied; readVersion is that of the
	// newest full read, which covers all of them. newestVersion is that of the newest full read or change.
	applied                    map[string]uint64
	readVersion, newestVersion uint64
}

func newEvacuationRows(
	table store.Table, registry *evacuation.Registry, clock leadership.Clock, logger zerolog.Logger, reporter *invalid.Reporter,
) *evacuationRows {
	return &evacuationRows{
		table: table, registry: registry, clock: clock, logger: logger, invalid: reporter, applied: make(map[string]uint64),
	}
}

// read reads and applies all rows that request evacuations. The rows have to be at least as new as a version of the store, and as
// what is known already. Otherwise the caller would repeat the read without a delay until they are.
func (e *evacuationRows) read(ctx context.Context, atLeast uint64) error {
	sentAt := e.clock()
	from, to := platform.EvacuationRows()
	rows, err := store.List(ctx, e.table, platform.OperatorTable, from, to)
	if err != nil {
		return err
	}
	if rows.Version < atLeast {
		return fault.New(fault.CodeStoreUnavailable, "read evacuations", "rows of version %d, needed %d", rows.Version, atLeast)
	}
	e.applyAll(rows, sentAt)
	if e.registry.ConfirmedAt() < sentAt {
		return fault.New(fault.CodeStoreUnavailable, "read evacuations", "rows of version %d are older than what is known", rows.Version)
	}
	return nil
}

// applyChanges applies the rows of a watch that a later full read did not cover.
func (e *evacuationRows) applyChanges(rows []store.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, row := range rows {
		e.newestVersion = max(e.newestVersion, row.Version)
		if row.Version > e.readVersion {
			e.apply(row)
		}
	}
}

// applyAll applies a full read that was sent at sentAt: an evacuation that is missing from it is withdrawn, unless a later
// change requested it. A read that is older than an earlier one, or than a change that is known, confirms nothing.
func (e *evacuationRows) applyAll(all store.Changes, sentAt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if all.Version < e.readVersion {
		return
	}
	e.readVersion = all.Version
	present := make(map[string]bool)
	for _, row := range all.Rows {
		if dataCentre, ok, err := platform.ParseEvacuation(row.Key); ok && err == nil {
			present[dataCentre] = true
		}
		e.apply(row)
	}
	for _, known := range e.registry.Evacuations() {
		if !present[known.DataCentre] && e.applied[known.DataCentre] <= all.Version {
			e.remove(known.DataCentre, all.Version)
		}
	}
	if all.Version < e.newestVersion {
		return
	}
	e.newestVersion = all.Version
	e.registry.Confirm(sentAt)
}

// apply applies one row, if it requests an evacuation and is newer than what was applied for its data centre.
func (e *evacuationRows) apply(row store.Row) {
	dataCentre, ok, err := platform.ParseEvacuation(row.Key)
	switch {
	case !ok:
		return
	case err != nil:
		if !row.Deleted {
			e.invalid.Report(invalid.SourceEvacuation, row.Name, row.Version, err)
		}
		return
	case row.Version < e.applied[dataCentre]:
		return
	case row.Deleted:
		e.remove(dataCentre, row.Version)
		return
	}
	if !e.registry.Contains(dataCentre) {
		e.logger.Info().Str(logging.KeyDataCentre, dataCentre).Uint64("row_version", row.Version).Msg("evacuation requested")
	}
	e.applied[dataCentre] = row.Version
	e.registry.Put(dataCentre, row.Version, e.clock())
}

// remove withdraws an evacuation by a change of a version.
func (e *evacuationRows) remove(dataCentre string, version uint64) {
	e.applied[dataCentre] = version
	if !e.registry.Contains(dataCentre) {
		return
	}
	e.registry.Remove(dataCentre, e.clock())
	e.logger.Info().Str(logging.KeyDataCentre, dataCentre).Uint64("row_version", version).Msg("evacuation withdrawn")
}

// evacuationReports serves the instance's report of the evacuations.
func evacuationReports(registry *evacuation.Registry, board *evacuation.Board, clock leadership.Clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write ends with the connection; the client sees that.
		_ = json.NewEncoder(w).Encode(board.Report(registry, clock()))
	})
}

// registerEvacuationMetrics registers the metrics of the registry, which each instance has.
func registerEvacuationMetrics(metrics prometheus.Registerer, registry *evacuation.Registry, clock leadership.Clock) {
	metrics.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "bronzehook", Name: "evacuations", Help: "Data centres that are being evacuated, as this instance knows.",
		}, func() float64 { return float64(len(registry.Evacuations())) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "bronzehook", Name: "evacuations_confirmed_age_seconds", Help: "Age of the knowledge of the operator's table.",
		}, func() float64 { return (clock() - registry.ConfirmedAt()).Seconds() }),
	)
}
