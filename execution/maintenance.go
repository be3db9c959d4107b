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
	// turnMargin is added to the time that has to pass between orders of two holders of the duty for one machine.
	turnMargin = 500 * time.Millisecond
)

// wave is a wave of maintenance as this term knows it.
type wave struct {
	*maintenance.Progress
	// reading and writing are set while the stored state of the wave is read or written.
	reading, writing bool
	// read is set once the stored state is known; version is that of its row, told whether it says that the wave is under way.
	read, told bool
	version    uint64
	// done is set once the stored state says that the wave has succeeded.
	done bool
	// listing is set while the machines are listed; listAt is when that is due again.
	listing bool
	listAt  time.Duration
	// ordering holds machines with an order under way, orderAt when an order may be repeated.
	ordering map[string]bool
	orderAt  map[string]time.Duration
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
				Progress: maintenance.NewProgress(due), ordering: make(map[string]bool), orderAt: make(map[string]time.Duration),
			}
			t.waves[due.Number] = w
			t.log.Info().Int("wave", due.Number).Int("machines", len(due.Machines)).Int("cap", due.Cap).
				Dur("duration", due.Duration).Msg("wave of maintenance seen")
		}
		w.Wave = due.Wave
		t.carryOn(w, now)
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
		for machine, owner := range t.closing {
			if owner == number {
				delete(t.closing, machine)
			}
		}
	}
}

// closed reports whether a worker gets no new work because its machine is to go down.
func (t *Term) closed(w *worker) bool {
	_, closing := t.closing[w.node.Entry.Machine]
	return closing
}

// carryOn takes the next steps of one wave.
func (t *Term) carryOn(w *wave, now time.Duration) {
	switch {
	case w.done:
		return
	case !w.read:
		t.readWave(w)
		return
	case !w.told || len(w.Left()) == 0:
		t.tellWave(w, len(w.Left()) == 0)
	}
	if len(w.Left()) == 0 {
		return
	}
	t.listMachines(w, now)
	if !w.Listed {
		return
	}
	byMachine := t.workersByMachine()
	for _, machine := range w.Next(now, func(name string) int { return busy(byMachine[name]) }) {
		if _, taken := t.closing[machine]; taken {
			continue
		}
		w.Emptying[machine] = now
		t.closing[machine] = w.Number
		t.log.Info().Int("wave", w.Number).Str("machine", machine).Int("attempts", busy(byMachine[machine])).
			Dur("patience", w.Patience(now)).Int("down", w.Down()).Msg("machine is being emptied")
	}
	for machine, since := range w.Emptying {
		if !w.Reachable(machine) {
			t.giveBack(w, machine)
			continue
		}
		t.empty(w, machine, byMachine[machine], now-since >= w.Patience(now), now)
	}
}

// giveBack lets a machine take work again that cannot go down for maintenance now.
func (t *Term) giveBack(w *wave, machine string) {
	delete(w.Emptying, machine)
	if t.closing[machine] == w.Number {
		delete(t.closing, machine)
	}
	t.unplaced = true
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

// busy counts the attempts that may be running on some workers.
func busy(some []*worker) int {
	count := 0
	for _, w := range some {
		count += len(w.runs) + len(w.foreign)
	}
	return count
}

// empty moves work off a machine and orders its maintenance once nothing may run there.
func (t *Term) empty(w *wave, machine string, some []*worker, impatient bool, now time.Duration) {
	for _, on := range some {
		for _, r := range on.runs {
			if !r.stopping && (r.task.step.LongRunning || impatient) && t.mayInterrupt(r) {
				t.stop(r, "its machine needs maintenance")
			}
		}
	}
	ready := busy(some) == 0 && !w.ordering[machine] && now >= w.orderAt[machine]
	if ready && now >= t.began+t.opts.MachineTurn+turnMargin && w.MayOrder(machine) {
		t.orderMaintenance(w, machine, now)
	}
}

// mayInterrupt reports whether the system may end an attempt: as few others of its step are away as its job allows.
func (t *Term) mayInterrupt(r *run) bool {
	step := r.task.step
	if step.MaxUnavailable <= 0 {
		return true
	}
	away := 0
	for _, other := range r.task.job.occurrences[r.task.id.Occurrence].steps[r.task.id.Step] {
		if other != r.task && !other.atWork() {
			away++
		}
	}
	return away < step.MaxUnavailable
}

// atWork reports whether a task that lasts does its work.
func (t *task) atWork() bool {
	return t.run != nil && t.run.phase == phaseRunning && !t.run.stopping && t.run.percent >= wholePercent
}

// orderMaintenance orders the maintenance of an empty machine.
func (t *Term) orderMaintenance(w *wave, machine string, now time.Duration) {
	w.ordering[machine] = true
	open := w.Open[machine]
	w.Ordered[machine], w.Open[machine] = now, true
	order := maintenance.Order{Machine: machine, Wave: w.Number, Leader: t.holder.Name(), Epoch: t.holder.Epoch()}
	go func() {
		err := errors.WithStack(error(&maintenance.RefusedError{Machine: machine, Reason: maintenance.ReasonBusy}))
		if t.holder.Valid() {
			err = t.opts.Machines.Begin(t.ctx, order)
		}
		t.post(func() { t.maintenanceOrdered(w, machine, open, err) })
	}()
}

// maintenanceOrdered takes up the answer to an order. Open says that an earlier one had none.
func (t *Term) maintenanceOrdered(w *wave, machine string, open bool, err error) {
	now := t.opts.Clock()
	w.ordering[machine] = false
	event := t.log.Info()
	if err != nil {
		event = t.log.Warn().AnErr("error", err)
	}
	event.Int("wave", w.Number).Str("machine", machine).Int("down", w.Down()).Msg("maintenance ordered")
	var refused *maintenance.RefusedError
	switch {
	case err == nil:
		w.Ordered[machine] = now
		t.machineSettled(w, machine)
	case !errors.As(err, &refused):
		w.orderAt[machine] = now + orderRetry
	case refused.Reason == maintenance.ReasonEpoch:
		t.fail(errors.WithStack(&leadership.LostError{Holder: "seen for machine " + machine}))
	case refused.Reason == maintenance.ReasonUnknown || refused.Reason == maintenance.ReasonNotAsked:
		delete(w.Ordered, machine)
		t.machineSettled(w, machine)
	default:
		w.Open[machine] = open
		w.orderAt[machine] = now + orderRetry
	}
}

// machineSettled notes that a machine needs nothing more in a wave. Its worker has ended, or its next life is listed already, or
// the maintenance was over before this order; in any case a worker has to answer there before it gets work.
func (t *Term) machineSettled(w *wave, machine string) {
	w.Begun[machine] = true
	delete(w.Open, machine)
	t.giveBack(w, machine)
	for _, w := range t.workersByMachine()[machine] {
		w.fenced = false
		w.nextLook = 0
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
				t.takeWaveStatus(w, row)
			}
		})
	}()
}

// takeWaveStatus takes up the stored state of a wave.
func (t *Term) takeWaveStatus(w *wave, row store.Row) {
	w.version = row.Version
	w.told = w.told || row.Version != 0
	w.done = row.Version != 0 && string(row.Value) == string(t.opts.WaveStatus(w.Number, true).Value)
}

// tellWave stores the state of a wave. It is not conditional on the duty: a machine whose maintenance has begun stays so.
func (t *Term) tellWave(w *wave, finished bool) {
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
				t.takeWaveStatus(w, conflict.Find(status.Key))
			case err != nil:
				t.log.Warn().AnErr("error", err).Int("wave", w.Number).Msg("state of the wave not stored")
			default:
				w.version, w.told, w.done = version, true, finished
				t.log.Info().Int("wave", w.Number).Bool("finished", finished).Uint64(logging.KeyRevision, t.revision()).
					Msg("state of the wave stored")
			}
		})
	}()
}
