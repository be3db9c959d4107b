package execution

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/maintenance"
	"bronzehook/store"
)

// Timing of the maintenance of machines.
const (
	// listEvery is the time between two listings of the machines while a wave is open.
	listEvery = time.Second
	// orderRetry is the pause before an order for a machine is repeated that had no answer or came at a bad time.
	orderRetry = time.Second
	// handoverMargin is added to the time that has to pass between orders of two holders of the duty for one machine.
	handoverMargin = 500 * time.Millisecond
)

// wave is a wave of maintenance as this term knows it.
type wave struct {
	*maintenance.Progress
	// reading and writing are set while the stored state of the wave is read or written.
	reading, writing bool
	// read is set once the stored state is known; version is that of its row, statusStored whether it says that the wave is under way.
	read, statusStored bool
	version            uint64
	// done is set once the stored state says that the wave has succeeded.
	done bool
	// listing is set while the machines are listed; listAt is when that is due again.
	listing bool
	listAt  time.Duration
	// requesting holds machines with an order under way, orderAt when an order may be repeated.
	requesting map[string]bool
	orderAt    map[string]time.Duration
}

// maintain carries the waves on that the operator asks for.
func (t *Term) maintain(now time.Duration) {
	if t.opts.Machines == nil {
		return
	}
	asked := t.opts.Waves.Waves()
	t.dropWithdrawn(asked)
	for _, due := range asked {
		w := t.waves[due.Number]
		if w == nil {
			w = &wave{
				Progress: maintenance.NewProgress(due), requesting: make(map[string]bool), orderAt: make(map[string]time.Duration),
			}
			t.waves[due.Number] = w
			t.log.Info().Int("wave", due.Number).Int("machines", len(due.Machines)).Int("cap", due.Cap).
				Dur("duration", due.Duration).Msg("wave of maintenance seen")
		}
		w.Wave = due.Wave
		t.advanceWave(w, now)
	}
}

// dropWithdrawn forgets waves that the operator has withdrawn and lets their workers take work again.
func (t *Term) dropWithdrawn(asked []maintenance.Due) {
	for number := range t.waves {
		if slices.ContainsFunc(asked, func(due maintenance.Due) bool { return due.Number == number }) {
			continue
		}
		t.log.Info().Int("wave", number).Msg("wave of maintenance withdrawn")
		delete(t.waves, number)
		for machine, owner := range t.cordoned {
			if owner == number {
				delete(t.cordoned, machine)
			}
		}
	}
}

// isCordoned reports whether a worker gets no new work because its machine is to go down.
func (t *Term) isCordoned(w *worker) bool {
	_, closing := t.cordoned[w.node.Entry.Machine]
	return closing
}

// advanceWave takes the next steps of one wave.
func (t *Term) advanceWave(w *wave, now time.Duration) {
	switch {
	case w.done:
		return
	case !w.read:
		t.readWave(w)
		return
	case !w.statusStored || len(w.Left()) == 0:
		t.storeWaveStatus(w, len(w.Left()) == 0)
	}
	if len(w.Left()) == 0 {
		return
	}
	t.listMachines(w, now)
	if !w.Listed {
		return
	}
	byMachine := t.workersByMachine()
	for _, machine := range w.Next(now, func(name string) int { return attemptCount(byMachine[name]) }) {
		if _, taken := t.cordoned[machine]; taken {
			continue
		}
		w.Emptying[machine] = now
		t.cordoned[machine] = w.Number
		t.log.Info().Int("wave", w.Number).Str("machine", machine).Int("attempts", attemptCount(byMachine[machine])).
			Dur("patience", w.Patience(now)).Int("down", w.Down()).Msg("machine is being emptied")
	}
	for machine, since := range w.Emptying {
		if !w.Reachable(machine) {
			t.uncordon(w, machine)
			continue
		}
		t.drainMachine(w, machine, byMachine[machine], now-since >= w.Patience(now), now)
	}
}

// uncordon lets a machine take work again that cannot go down for maintenance now.
func (t *Term) uncordon(w *wave, machine string) {
	delete(w.Emptying, machine)
	if t.cordoned[machine] == w.Number {
		delete(t.cordoned, machine)
	}
	t.scheduleDue = true
}

// workersByMachine returns the workers that may run something, or could, by their machine.
func (t *Term) workersByMachine() map[string][]*worker {
	found := make(map[string][]*worker)
	for _, w := range t.workers {
		if machine := w.node.Entry.Machine; machine != "" {
			found[machine] = append(found[machine], w)
		}
	}
	return found
}

// attemptCount counts the attempts that may be running on some workers.
func attemptCount(some []*worker) int {
	count := 0
	for _, w := range some {
		count += len(w.attempts) + len(w.orphans)
	}
	return count
}

// drainMachine moves work off a machine and orders its maintenance once nothing may run there.
func (t *Term) drainMachine(w *wave, machine string, some []*worker, impatient bool, now time.Duration) {
	for _, on := range some {
		for _, r := range on.attempts {
			if !r.stopping && (r.task.step.LongRunning || impatient) && t.allowsDisruption(r) {
				t.stop(r, "its machine needs maintenance")
			}
		}
	}
	ready := attemptCount(some) == 0 && !w.requesting[machine] && now >= w.orderAt[machine]
	if ready && now >= t.startedAt+t.opts.MachineTurn+handoverMargin && w.MayOrder(machine) {
		t.requestMaintenance(w, machine, now)
	}
}

// allowsDisruption reports whether the system may end an attempt: as few others of its step are away as its job allows.
func (t *Term) allowsDisruption(r *taskAttempt) bool {
	step := r.task.step
	if step.MaxUnavailable <= 0 {
		return true
	}
	away := 0
	for _, other := range r.task.job.occurrences[r.task.id.Occurrence].steps[r.task.id.Step] {
		if other != r.task && !other.available() {
			away++
		}
	}
	return away < step.MaxUnavailable
}

// available reports whether a task that lasts does its work.
func (t *task) available() bool {
	return t.current != nil && t.current.phase == phaseRunning && !t.current.stopping && t.current.progress >= wholePercent
}

// requestMaintenance orders the maintenance of an empty machine.
func (t *Term) requestMaintenance(w *wave, machine string, now time.Duration) {
	w.requesting[machine] = true
	open := w.Open[machine]
	w.Ordered[machine], w.Open[machine] = now, true
	order := maintenance.Order{Machine: machine, Wave: w.Number, Leader: t.leader.Name(), Epoch: t.leader.Epoch()}
	go func() {
		err := errors.WithStack(error(&maintenance.RefusedError{Machine: machine, Reason: maintenance.ReasonBusy}))
		if t.leader.Valid() {
			err = t.opts.Machines.Begin(t.ctx, order)
		}
		t.post(func() { t.handleMaintenance(w, machine, open, err) })
	}()
}

// handleMaintenance takes up the answer to an order. Open says that an earlier one had none.
func (t *Term) handleMaintenance(w *wave, machine string, open bool, err error) {
	now := t.opts.Clock()
	w.requesting[machine] = false
	event := t.log.Info()
	if err != nil {
		event = t.log.Warn().AnErr("error", err)
	}
	event.Int("wave", w.Number).Str("machine", machine).Int("down", w.Down()).Msg("maintenance ordered")
	var refused *maintenance.RefusedError
	switch {
	case err == nil:
		w.Ordered[machine] = now
		t.finishMachine(w, machine)
	case !errors.As(err, &refused):
		w.orderAt[machine] = now + orderRetry
	case refused.Reason == maintenance.ReasonEpoch:
		t.fail(errors.WithStack(&leadership.LostError{Holder: "seen for machine " + machine}))
	case refused.Reason == maintenance.ReasonUnknown || refused.Reason == maintenance.ReasonNotAsked:
		delete(w.Ordered, machine)
		t.finishMachine(w, machine)
	default:
		w.Open[machine] = open
		w.orderAt[machine] = now + orderRetry
	}
}

// finishMachine notes that a machine needs nothing more in a wave. Its worker has ended, or its next life is listed already, or
// the maintenance was over before this order; in any case a worker has to answer there before it gets work.
func (t *Term) finishMachine(w *wave, machine string) {
	w.Begun[machine] = true
	delete(w.Open, machine)
	t.uncordon(w, machine)
	for _, w := range t.workersByMachine()[machine] {
		w.fenced = false
		w.nextPoll = 0
	}
}

// listMachines asks for the states of the machines.
func (t *Term) listMachines(w *wave, now time.Duration) {
	if w.listing || now < w.listAt {
		return
	}
	w.listing = true
	go func() {
		machines, err := t.opts.Machines.List(t.ctx)
		t.post(func() {
			w.listing = false
			w.listAt = now + listEvery
			if err != nil {
				t.log.Warn().AnErr("error", err).Int("wave", w.Number).Msg("machines not listed")
				return
			}
			w.States = make(map[string]maintenance.State, len(machines))
			for _, m := range machines {
				w.States[m.Name] = m.State
			}
			w.Listed, w.ListedAt = true, now
		})
	}()
}

// readWave reads what is stored of a wave.
func (t *Term) readWave(w *wave) {
	if w.reading {
		return
	}
	w.reading = true
	finished := t.opts.WaveStatus(w.Number, true)
	go func() {
		rows, err := store.ReadRow(t.ctx, t.opts.Table, finished.Key)
		t.post(func() {
			w.reading = false
			if err != nil {
				return
			}
			w.read = true
			for _, row := range rows.Rows {
				t.applyWaveStatus(w, row)
			}
		})
	}()
}

// applyWaveStatus takes up the stored state of a wave.
func (t *Term) applyWaveStatus(w *wave, row store.Row) {
	w.version = row.Version
	w.statusStored = w.statusStored || row.Version != 0
	w.done = row.Version != 0 && string(row.Value) == string(t.opts.WaveStatus(w.Number, true).Value)
}

// storeWaveStatus stores the state of a wave. It is not conditional on the duty: a machine whose maintenance has begun stays so.
func (t *Term) storeWaveStatus(w *wave, finished bool) {
	if w.writing {
		return
	}
	w.writing = true
	status := t.opts.WaveStatus(w.Number, finished)
	txn := store.Txn{Conditions: []store.Condition{{Key: status.Key, Version: w.version}}, Puts: []store.Put{status}}
	go func() {
		version, err := t.opts.Table.Commit(t.ctx, txn)
		t.post(func() {
			w.writing = false
			var conflict *store.ConflictError
			switch {
			case errors.As(err, &conflict):
				t.applyWaveStatus(w, conflict.Find(status.Key))
			case err != nil:
				t.log.Warn().AnErr("error", err).Int("wave", w.Number).Msg("state of the wave not stored")
			default:
				w.version, w.statusStored, w.done = version, true, finished
				t.log.Info().Int("wave", w.Number).Bool("finished", finished).Uint64(logging.KeyRevision, t.revision()).
					Msg("state of the wave stored")
			}
		})
	}()
}
