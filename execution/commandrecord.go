package execution

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/invalid"
	"bronzehook/jobs"
	"bronzehook/store"
)

// A maintenance command without a response may be carried out long after its leader is gone, and the fencing token of the
// next leader keeps it away only from machines for which that leader has sent a command itself. So the commands of a wave
// are recorded before they are sent. The next leader counts the machines with a recorded command as down, and commands
// these first.

// command is a maintenance command that is to be recorded and sent.
type command struct {
	machine string
	// wasUnconfirmed tells whether an earlier command for the machine is unconfirmed.
	wasUnconfirmed bool
}

// prepareCommand marks the command for a machine as pending. The machine counts as down from now on.
func (w *wave) prepareCommand(machine string) command {
	c := command{machine: machine, wasUnconfirmed: w.Unconfirmed[machine]}
	w.commandPending[machine], w.Unconfirmed[machine] = true, true
	return c
}

// cancelCommand undoes prepareCommand for a command that was not sent.
func (w *wave) cancelCommand(c command, retryAt time.Duration) {
	w.commandPending[c.machine], w.Unconfirmed[c.machine] = false, c.wasUnconfirmed
	w.retryAt[c.machine] = retryAt
}

// sendRecorded sends commands once they are recorded.
func (t *Term) sendRecorded(w *wave, commands []command, now time.Duration) {
	var unrecorded []command
	for _, c := range commands {
		switch {
		case w.recorded[c.machine]:
			t.sendMaintenance(w, c, now)
		case w.recording:
			w.cancelCommand(c, now)
		default:
			unrecorded = append(unrecorded, c)
		}
	}
	if len(unrecorded) > 0 {
		t.recordCommands(w, unrecorded)
	}
}

// recordCommands writes the record of a wave with further commands and then sends these.
func (t *Term) recordCommands(w *wave, commands []command) {
	w.recording = true
	sent := make(map[string]bool)
	for _, c := range commands {
		sent[c.machine] = true
	}
	for machine := range w.recorded {
		if !w.Begun[machine] {
			sent[machine] = true
		}
	}
	record := jobs.MaintenanceCommands{Sent: slices.Sorted(maps.Keys(sent)), Begun: slices.Sorted(maps.Keys(w.confirmed))}
	put := store.Put{Key: store.MaintenanceKey(w.Number), Value: jobs.Encode(&record)}
	txn := store.Txn{Conditions: []store.Condition{{Key: put.Key, Version: w.recordVersion}}, Puts: []store.Put{put}}
	t.spawn("maintenance record", func() {
		version, err := t.opts.Table.Commit(t.ctx, txn)
		t.post(func() { t.commandsRecorded(w, commands, sent, version, err) })
	})
}

// commandsRecorded handles the result of writing the record of a wave.
func (t *Term) commandsRecorded(w *wave, commands []command, sent map[string]bool, version uint64, err error) {
	now := t.opts.Clock()
	w.recording = false
	if err == nil {
		w.recorded, w.recordVersion = sent, version
		for _, c := range commands {
			t.sendMaintenance(w, c, now)
		}
		return
	}
	t.log.Warn().AnErr("error", err).Int("wave", w.Number).Int("commands", len(commands)).Msg("maintenance commands not recorded")
	for _, c := range commands {
		w.cancelCommand(c, now+maintenanceRetryDelay)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		t.applyCommandRecord(w, conflict.Find(store.MaintenanceKey(w.Number)))
	}
}

// applyCommandRecord applies the record of a wave that another leader has written, or this one without a response.
func (t *Term) applyCommandRecord(w *wave, row store.Row) {
	w.recordVersion = row.Version
	if row.Version == 0 {
		return
	}
	record, err := jobs.Decode[jobs.MaintenanceCommands]("maintenance commands", row.Value)
	if err != nil {
		t.opts.Invalid.Report(invalid.SourceWave, row.Name, row.Version, err)
		return
	}
	for _, machine := range record.Begun {
		w.Begun[machine], w.confirmed[machine] = true, true
	}
	for _, machine := range record.Sent {
		w.recorded[machine] = true
		if w.Begun[machine] || !slices.Contains(w.Machines, machine) {
			continue
		}
		w.Unconfirmed[machine] = true
		if _, draining := w.Draining[machine]; !draining {
			w.Draining[machine] = t.opts.Clock()
			t.cordoned[machine] = w.Number
		}
		t.log.Info().Int("wave", w.Number).Str("machine", machine).Msg("maintenance may have been ordered by an earlier leader")
	}
}

// deleteCommandRecord deletes the record of a wave that has succeeded. A record that is left behind is ignored: no late
// command for the wave has an effect any more.
func (t *Term) deleteCommandRecord(w *wave) {
	if w.recordVersion == 0 {
		return
	}
	t.spawn("maintenance record", func() {
		_, err := t.opts.Table.Commit(t.ctx, store.Txn{Deletes: []store.Key{store.MaintenanceKey(w.Number)}})
		if err != nil {
			t.log.Warn().AnErr("error", err).Int("wave", w.Number).Msg("maintenance commands not deleted")
		}
	})
}
