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
	// machineListInterval is the time between two listings of the machines while a wave is open.
	machineListInterval = time.Second
	// requestRetryDelay is the delay before a maintenance request is repeated that had no response or was refused for
	// the time being.
	requestRetryDelay = time.Second
	// handoverMargin is added to the time that has to pass between requests of two leaders for one machine.
	handoverMargin = 500 * time.Millisecond
)

// wave is the local view of a maintenance wave.
type wave struct {
	*maintenance.Progress
	// reading and writing are set while the stored state of the wave is read or written.
	reading, writing bool
	// read is set once the stored state is known; version is that of its row, statusStored whether a state is stored
	// at all.
	read, statusStored bool
	version            uint64
	// done is set once the stored state says that the wave has succeeded.
	done bool
	// listing is set while a listing of the machines is in flight; nextListAt is when the next one is due.
	listing    bool
	nextListAt time.Duration
	// requesting holds machines with a maintenance request in flight, retryAt when a request may be repeated.
	requesting map[string]bool
	retryAt    map[string]time.Duration
}

// maintain advances the waves that the operator has requested.
func (t *Term) maintain(now time.Duration) {
	if t.opts.Machines == nil {
		return
	}
	requested := t.opts.Waves.Waves()
	t.dropWithdrawnWaves(requested)
	for _, due := range requested {
		w := t.waves[due.Number]
		if w == nil {
			w = &wave{
				Progress: maintenance.NewProgress(due), requesting: make(map[string]bool), retryAt: make(map[string]time.Duration),
			}
			t.waves[due.Number] = w
			t.log.Info().Int("wave", due.Number).Int("machines", len(due.Machines)).Int("cap", due.MaxDown).
				Dur("duration", due.Duration).Msg("wave of maintenance seen")
		}
		w.Wave = due.Wave
		t.advanceWave(w, now)
	}
}

// dropWithdrawnWaves drops waves that the operator has withdrawn and uncordons their workers.
func (t *Term) dropWithdrawnWaves(requested []maintenance.SeenWave) {
	for number := range t.waves {
		if slices.ContainsFunc(requested, func(due maintenance.SeenWave) bool { return due.Number == number }) {
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

// isCordoned reports whether a worker gets no new work because its machine is to go down for maintenance.
func (t *Term) isCordoned(w *worker) bool {
	_, cordoned := t.cordoned[w.node.Registration.Machine]
	return cordoned
}

// advanceWave takes the next steps of one wave.
func (t *Term) advanceWave(w *wave, now time.Duration) {
	switch {
	case w.done:
		return
	case !w.read:
		t.readWave(w)
		return
	case !w.statusStored || len(w.Remaining()) == 0:
		t.storeWaveStatus(w, len(w.Remaining()) == 0)
	}
	if len(w.Remaining()) == 0 {
		return
	}
	t.listMachines(w, now)
	if !w.StatesKnown {
		return
	}
	byMachine := t.workersByMachine()
	for _, machine := range w.Next(now, func(name string) int { return attemptCount(byMachine[name]) }) {
		if _, taken := t.cordoned[machine]; taken {
			continue
		}
		w.Draining[machine] = now
		t.cordoned[machine] = w.Number
		t.log.Info().Int("wave", w.Number).Str("machine", machine).Int("attempts", attemptCount(byMachine[machine])).
			Dur("patience", w.GracePeriod(now)).Int("down", w.Down()).Msg("machine is being emptied")
	}
	for machine, since := range w.Draining {
		if !w.Reachable(machine) {
			t.uncordon(w, machine)
			continue
		}
		t.drainMachine(w, machine, byMachine[machine], now-since >= w.GracePeriod(now), now)
	}
}

// uncordon ends the draining of a machine that has been maintained or cannot go down for maintenance now. The machine
// gets new work again.
func (t *Term) uncordon(w *wave, machine string) {
	delete(w.Draining, machine)
	if t.cordoned[machine] == w.Number {
		delete(t.cordoned, machine)
	}
	t.scheduleDue = true
}

// workersByMachine returns the known workers by their machine. Any of them may run something, or come to.
func (t *Term) workersByMachine() map[string][]*worker {
	found := make(map[string][]*worker)
	for _, w := range t.workers {
		if machine := w.node.Registration.Machine; machine != "" {
			found[machine] = append(found[machine], w)
		}
	}
	return found
}

// attemptCount counts the attempts that may be running on some workers, orphans included.
func attemptCount(onMachines []*worker) int {
	count := 0
	for _, w := range onMachines {
		count += len(w.attempts) + len(w.orphans)
	}
	return count
}

// drainMachine moves work off a machine and requests its maintenance once nothing can be running there.
func (t *Term) drainMachine(w *wave, machine string, onMachine []*worker, graceOver bool, now time.Duration) {
	for _, from := range onMachine {
		for _, r := range from.attempts {
			if !r.stopping && (r.task.step.LongRunning || graceOver) && t.allowsDisruption(r) {
				t.stop(r, "its machine needs maintenance")
			}
		}
	}
	ready := attemptCount(onMachine) == 0 && !w.requesting[machine] && now >= w.retryAt[machine]
	if ready && now >= t.startedAt+t.opts.MachineHandoverDelay+handoverMargin && w.MayBegin(machine) {
		t.requestMaintenance(w, machine, now)
	}
}

// allowsDisruption reports whether the system may stop an attempt: fewer other tasks of its step are unavailable than
// its job allows.
func (t *Term) allowsDisruption(r *taskAttempt) bool {
	step := r.task.step
	if step.MaxUnavailable <= 0 {
		return true
	}
	unavailable := 0
	for _, other := range r.task.job.occurrences[r.task.id.Occurrence].steps[r.task.id.Step] {
		if other != r.task && !other.available() {
			unavailable++
		}
	}
	return unavailable < step.MaxUnavailable
}

// available reports whether a long-running task is in full operation.
func (t *task) available() bool {
	return t.current != nil && t.current.phase == phaseRunning && !t.current.stopping && t.current.progress >= wholePercent
}

// requestMaintenance requests the maintenance of a drained machine.
func (t *Term) requestMaintenance(w *wave, machine string, now time.Duration) {
	w.requesting[machine] = true
	open := w.Unconfirmed[machine]
	w.SentAt[machine], w.Unconfirmed[machine] = now, true
	request := maintenance.Order{Machine: machine, Wave: w.Number, Leader: t.leader.Name(), Epoch: t.leader.Epoch()}
	go func() {
		err := errors.WithStack(error(&maintenance.RefusedError{Machine: machine, Reason: maintenance.ReasonBusy}))
		if t.leader.Valid() {
			err = t.opts.Machines.Begin(t.ctx, request)
		}
		t.post(func() { t.handleMaintenance(w, machine, open, err) })
	}()
}

// handleMaintenance handles the response to a maintenance request. open tells whether an earlier request had no
// response.
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
		w.SentAt[machine] = now
		t.finishMachine(w, machine)
	case !errors.As(err, &refused):
		w.retryAt[machine] = now + requestRetryDelay
	case refused.Reason == maintenance.ReasonStaleEpoch:
		t.fail(errors.WithStack(&leadership.LostError{Leader: "seen for machine " + machine}))
	case refused.Reason == maintenance.ReasonUnknown || refused.Reason == maintenance.ReasonNotInWave:
		delete(w.SentAt, machine)
		t.finishMachine(w, machine)
	default:
		w.Unconfirmed[machine] = open
		w.retryAt[machine] = now + requestRetryDelay
	}
}

// finishMachine records that a machine needs nothing more in a wave. Its worker has ended, or the next incarnation is
// registered already, or the maintenance was over before this request. In any case a worker there has to answer a
// poll before it gets work.
func (t *Term) finishMachine(w *wave, machine string) {
	w.Begun[machine] = true
	delete(w.Unconfirmed, machine)
	t.uncordon(w, machine)
	for _, w := range t.workersByMachine()[machine] {
		w.fenced = false
		w.nextPoll = 0
	}
}

// listMachines requests the states of the machines.
func (t *Term) listMachines(w *wave, now time.Duration) {
	if w.listing || now < w.nextListAt {
		return
	}
	w.listing = true
	go func() {
		machines, err := t.opts.Machines.List(t.ctx)
		t.post(func() {
			w.listing = false
			w.nextListAt = now + machineListInterval
			if err != nil {
				t.log.Warn().AnErr("error", err).Int("wave", w.Number).Msg("machines not listed")
				return
			}
			w.States = make(map[string]maintenance.State, len(machines))
			for _, m := range machines {
				w.States[m.Name] = m.State
			}
			w.StatesKnown, w.StatesRequestedAt = true, now
		})
	}()
}

// readWave reads the stored state of a wave.
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

// applyWaveStatus applies the stored state of a wave.
func (t *Term) applyWaveStatus(w *wave, row store.Row) {
	w.version = row.Version
	w.statusStored = w.statusStored || row.Version != 0
	w.done = row.Version != 0 && string(row.Value) == string(t.opts.WaveStatus(w.Number, true).Value)
}

// storeWaveStatus stores the state of a wave. It is not conditional on leadership: maintenance that has begun on a
// machine stays so whoever leads.
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
