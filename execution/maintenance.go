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
	// maintenanceRetryDelay is the delay before a maintenance command is repeated that had no response or was
	// temporarily refused.
	maintenanceRetryDelay = time.Second
	// handoverMargin is added to Options.MachineHandoverDelay, the minimum time between commands of two leaders for one
	// machine.
	handoverMargin = 500 * time.Millisecond
)

// wave is this term's local view of a maintenance wave.
type wave struct {
	*maintenance.Progress
	// reading and writing are set while the stored status of the wave is read or written.
	reading, writing bool
	// read is set once the stored status is known, statusStored if there is one; version is that of its row.
	read, statusStored bool
	version            uint64
	// done is set once the stored status says that the wave has succeeded.
	done bool
	// listing is set while a listing of the machines is in flight; nextListAt is when the next one is due.
	listing    bool
	nextListAt time.Duration
	// commandPending holds the machines with a maintenance command that is in flight or waits for its record, retryAt when a
	// command may be repeated.
	commandPending map[string]bool
	retryAt        map[string]time.Duration
	// recorded holds the machines that the stored record names as sent, recordVersion is that of the record. recording is set
	// while it is written.
	recorded      map[string]bool
	recordVersion uint64
	recording     bool
	// confirmed holds the machines of which the service has said that their maintenance has begun.
	confirmed map[string]bool
}

// advanceWaves advances the waves that the operator has requested.
func (t *Term) advanceWaves(now time.Duration) {
	if t.opts.Machines == nil {
		return
	}
	requested := t.opts.Waves.Waves()
	t.dropWithdrawnWaves(requested)
	for _, seen := range requested {
		w := t.waves[seen.Number]
		if w == nil {
			w = &wave{
				Progress: maintenance.NewProgress(seen), commandPending: make(map[string]bool), retryAt: make(map[string]time.Duration),
				recorded: make(map[string]bool), confirmed: make(map[string]bool),
			}
			t.waves[seen.Number] = w
			t.log.Info().Int("wave", seen.Number).Int("machines", len(seen.Machines)).Int("cap", seen.MaxDown).
				Dur("duration", seen.Duration).Msg("wave of maintenance seen")
		}
		w.Wave = seen.Wave
		t.advanceWave(w, now)
	}
}

// dropWithdrawnWaves drops waves that the operator has withdrawn and uncordons their workers.
func (t *Term) dropWithdrawnWaves(requested []maintenance.SeenWave) {
	for number := range t.waves {
		if slices.ContainsFunc(requested, func(seen maintenance.SeenWave) bool { return seen.Number == number }) {
			continue
		}
		t.log.Info().Int("wave", number).Msg("wave of maintenance withdrawn")
		delete(t.waves, number)
		for machine, cordonedFor := range t.cordoned {
			if cordonedFor == number {
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

// advanceWave advances one wave: it reads or stores its status, lists the machines, and drains the machines whose turn
// it is and starts their maintenance.
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
	var ready []command
	for machine, since := range w.Draining {
		if !w.Reachable(machine) {
			t.uncordon(w, machine)
			continue
		}
		t.drainMachine(byMachine[machine], now-since >= w.GracePeriod(now))
		if t.mayCommand(w, machine, byMachine[machine], now) {
			ready = append(ready, w.prepareCommand(machine))
		}
	}
	t.sendRecorded(w, ready, now)
}

// uncordon ends the draining of a machine whose maintenance has begun, is not needed any more, or cannot begin now. Its
// workers may get new work again.
func (t *Term) uncordon(w *wave, machine string) {
	delete(w.Draining, machine)
	if t.cordoned[machine] == w.Number {
		delete(t.cordoned, machine)
	}
	t.scheduleDue = true
}

// workersByMachine returns the workers by their machine, inactive ones included.
func (t *Term) workersByMachine() map[string][]*worker {
	found := make(map[string][]*worker)
	for _, w := range t.workers {
		if machine := w.node.Registration.Machine; machine != "" {
			found[machine] = append(found[machine], w)
		}
	}
	return found
}

// attemptCount counts the attempts that may be running on a group of workers, orphans included.
func attemptCount(group []*worker) int {
	count := 0
	for _, w := range group {
		count += len(w.attempts) + len(w.orphans)
	}
	return count
}

// drainMachine moves work off a machine: long-running tasks at once, others when the grace period is over.
func (t *Term) drainMachine(onMachine []*worker, graceOver bool) {
	for _, from := range onMachine {
		for _, a := range from.attempts {
			if !a.stopping && (a.task.step.LongRunning || graceOver) && t.allowsDisruption(a) {
				t.stop(a, "its machine needs maintenance")
			}
		}
	}
}

// mayCommand reports whether the maintenance command for a machine may be sent: no attempt can be running there, and the
// wave's bound allows it.
func (t *Term) mayCommand(w *wave, machine string, onMachine []*worker, now time.Duration) bool {
	ready := attemptCount(onMachine) == 0 && !w.commandPending[machine] && now >= w.retryAt[machine]
	return ready && now >= t.startedAt+t.opts.MachineHandoverDelay+handoverMargin && w.MayBegin(machine)
}

// allowsDisruption reports whether an attempt may be stopped for maintenance: fewer other tasks of its step are
// unavailable than the step allows.
func (t *Term) allowsDisruption(a *taskAttempt) bool {
	step := a.task.step
	if step.MaxUnavailable <= 0 {
		return true
	}
	unavailable := 0
	for _, other := range a.task.job.occurrences[a.task.id.Occurrence].steps[a.task.id.Step] {
		if other != a.task && !other.available() {
			unavailable++
		}
	}
	return unavailable < step.MaxUnavailable
}

// available reports whether a long-running task is running and fully started.
func (t *task) available() bool {
	return t.current != nil && t.current.phase == phaseRunning && !t.current.stopping && t.current.progress >= fullProgress
}

// sendMaintenance sends a maintenance command that is recorded.
func (t *Term) sendMaintenance(w *wave, c command, now time.Duration) {
	w.SentAt[c.machine] = now
	order := maintenance.Order{Machine: c.machine, Wave: w.Number, Leader: t.leader.Name(), Epoch: t.leader.Epoch()}
	t.spawn("maintenance command", func() {
		err := errors.WithStack(error(&maintenance.RefusedError{Machine: c.machine, Reason: maintenance.ReasonBusy}))
		if t.leader.Valid() {
			err = t.opts.Machines.Begin(t.ctx, order)
		}
		t.post(func() { t.handleMaintenance(w, c.machine, c.wasUnconfirmed, err) })
	})
}

// handleMaintenance handles the response to a maintenance command. wasUnconfirmed tells whether an earlier command for
// the machine had no response and may still be carried out.
func (t *Term) handleMaintenance(w *wave, machine string, wasUnconfirmed bool, err error) {
	now := t.opts.Clock()
	w.commandPending[machine] = false
	event := t.log.Info()
	if err != nil {
		event = t.log.Warn().AnErr("error", err)
	}
	event.Int("wave", w.Number).Str("machine", machine).Int("down", w.Down()).Msg("maintenance ordered")
	var refused *maintenance.RefusedError
	switch {
	case err == nil:
		w.SentAt[machine], w.confirmed[machine] = now, true
		t.finishMachine(w, machine)
	case !errors.As(err, &refused):
		w.retryAt[machine] = now + maintenanceRetryDelay
	case refused.Reason == maintenance.ReasonStaleEpoch:
		t.fail(errors.WithStack(&leadership.LostError{Leader: "an instance known to machine " + machine}))
	case refused.Reason == maintenance.ReasonUnknown || refused.Reason == maintenance.ReasonNotInWave:
		delete(w.SentAt, machine)
		t.finishMachine(w, machine)
	default:
		w.Unconfirmed[machine] = wasUnconfirmed
		w.retryAt[machine] = now + maintenanceRetryDelay
	}
}

// finishMachine records that a machine needs no further command in a wave. Its worker may have been shut down, or the
// next incarnation may be registered already, or the maintenance was over before this command. In each case a worker
// there has to answer a poll that is sent from now on before it gets work.
func (t *Term) finishMachine(w *wave, machine string) {
	w.Begun[machine] = true
	delete(w.Unconfirmed, machine)
	t.uncordon(w, machine)
	for _, onMachine := range t.workersByMachine()[machine] {
		onMachine.fenced = false
		t.pollAgain(onMachine)
	}
}

// listMachines requests the states of the machines if that is due.
func (t *Term) listMachines(w *wave, now time.Duration) {
	if w.listing || now < w.nextListAt {
		return
	}
	w.listing = true
	t.spawn("machine listing", func() {
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
	})
}

// readWave reads the stored status of a wave, and which commands earlier leaders have sent for it.
func (t *Term) readWave(w *wave) {
	if w.reading {
		return
	}
	w.reading = true
	finished := t.opts.WaveStatus(w.Number, true)
	t.spawn("wave read", func() {
		status, err := store.ReadRow(t.ctx, t.opts.Table, finished.Key)
		var commands store.Changes
		if err == nil {
			commands, err = store.ReadRow(t.ctx, t.opts.Table, store.MaintenanceKey(w.Number))
		}
		t.post(func() {
			w.reading = false
			if err != nil {
				return
			}
			w.read = true
			for _, row := range status.Rows {
				t.applyWaveStatus(w, row)
			}
			for _, row := range commands.Rows {
				// The leader that ended the wave may have left the record behind.
				if !w.done {
					t.applyCommandRecord(w, row)
				}
			}
		})
	})
}

// applyWaveStatus applies the row with the stored status of a wave.
func (t *Term) applyWaveStatus(w *wave, row store.Row) {
	w.version = row.Version
	w.statusStored = w.statusStored || row.Version != 0
	w.done = row.Version != 0 && string(row.Value) == string(t.opts.WaveStatus(w.Number, true).Value)
	if w.done {
		for machine := range w.Draining {
			t.uncordon(w, machine)
		}
	}
}

// storeWaveStatus stores the status of a wave. It is not conditional on leadership: maintenance that has begun cannot be
// undone by another leader.
func (t *Term) storeWaveStatus(w *wave, finished bool) {
	if w.writing {
		return
	}
	w.writing = true
	status := t.opts.WaveStatus(w.Number, finished)
	txn := store.Txn{Conditions: []store.Condition{{Key: status.Key, Version: w.version}}, Puts: []store.Put{status}}
	t.spawn("wave commit", func() {
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
				if finished {
					t.deleteCommandRecord(w)
				}
				t.log.Info().Int("wave", w.Number).Bool("finished", finished).Uint64(logging.KeyRevision, t.revision()).
					Msg("state of the wave stored")
			}
		})
	})
}
