package execution

import (
	"context"
	"time"

	"bronzehook/evacuation"
	"bronzehook/logging"
)

// evacuationReadRetry is the delay before a failed read of the evacuations is repeated at the start of a term.
const evacuationReadRetry = 200 * time.Millisecond

// confirmEvacuations reads the evacuations until they are known to be as new as the term. Waiting for the watch of the
// operator's table would delay the first placement by up to two of its waits.
func (t *Term) confirmEvacuations() {
	for t.ctx.Err() == nil && !t.evacuationsKnown() {
		if t.opts.ReadEvacuations == nil || t.opts.ReadEvacuations(t.ctx, t.leader.AcquiredVersion()) != nil {
			t.sleep(evacuationReadRetry)
		}
	}
	t.post(func() { t.scheduleDue = true })
}

// evacuationsKnown reports whether the registry holds every evacuation that was requested before the term began. Until then
// nothing is placed.
func (t *Term) evacuationsKnown() bool {
	return t.opts.Evacuations == nil || t.opts.Evacuations.ConfirmedAt() > t.startedAt
}

// refreshEvacuations updates the term's copy of the evacuations, which is read for each worker in each pass.
func (t *Term) refreshEvacuations(now time.Duration) {
	requested, added := t.opts.Evacuations.Evacuations(), false
	clear(t.fillShares)
	for _, reopened := range t.opts.Evacuations.Reopenings(now) {
		t.fillShares[reopened.DataCentre] = evacuation.FillShare(now - reopened.Since)
	}
	for _, e := range requested {
		if _, known := t.evacuated[e.DataCentre]; !known {
			t.evacuated[e.DataCentre] = &evacuationProgress{Evacuation: e}
			t.superviseAt, added = now, true
			t.log.Info().Str(logging.KeyDataCentre, e.DataCentre).Uint64("row_version", e.Version).Dur("seen", now-e.Since).
				Msg("data centre is being evacuated")
		}
		t.evacuated[e.DataCentre].Evacuation = e
	}
	if added {
		t.observeOpenWorkers()
	}
	if len(t.evacuated) == len(requested) {
		return
	}
	for dataCentre := range t.evacuated {
		if !t.opts.Evacuations.Contains(dataCentre) {
			delete(t.evacuated, dataCentre)
			t.scheduleDue = true
			t.opts.Metrics.evacuation.forget(dataCentre)
			t.log.Info().Str(logging.KeyDataCentre, dataCentre).Msg("evacuation ended, data centre is filled again")
		}
	}
}

// isEvacuated reports whether a worker gets no new work because its data centre is being evacuated.
func (t *Term) isEvacuated(w *worker) bool {
	return len(t.evacuated) > 0 && t.evacuated[w.node.Registration.Zone] != nil
}

// withheldCPU returns the CPU of a worker that is withheld while its data centre is filled gradually.
func (t *Term) withheldCPU(w *worker) int {
	if len(t.fillShares) == 0 {
		return 0
	}
	share, filling := t.fillShares[w.node.Registration.Zone]
	if !filling {
		return 0
	}
	return int((1 - share) * float64(w.node.Registration.Capacity.CPU))
}

// mayUseWithheld reports whether a task may use withheld capacity: a long-running task that has waited for maxHeadroomWait has
// to run wherever there is free capacity.
func (t *Term) mayUseWithheld(task *task) bool {
	return len(t.fillShares) > 0 && task.step.LongRunning && t.scheduledAt-task.readyAt > maxHeadroomWait
}

// evacuationProgress is this term's local view of an evacuation.
type evacuationProgress struct {
	evacuation.Evacuation
	// unplaceable holds the tasks that can run nowhere else, in the order in which that was found.
	unplaceable []*task
	// empty is set once nothing was left in the data centre; reportedAt is when the log last said what is left.
	empty      bool
	reportedAt time.Duration
}

// ReadEvacuations reads the evacuations from the operator's table into the registry of the options. It fails if the rows are
// older than a version of the store.
type ReadEvacuations func(ctx context.Context, atLeast uint64) error
