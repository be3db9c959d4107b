package execution

import (
	"context"
	"sync"
	"testing"
	"time"

	"bronzehook/fault"
	"bronzehook/jobs"
	"bronzehook/maintenance"
	"bronzehook/store"
	"bronzehook/store/memory"
)

// Guards against a machine that stays cordoned because the leader that ended its wave left the command record behind.
func TestRecordOfFinishedWaveCordonsNothing(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorkerOn("w", "a", 1000)
	record := store.Put{Key: store.MaintenanceKey(testWave), Value: jobs.Encode(&jobs.MaintenanceCommands{Sent: []string{"a"}})}
	if _, err := r.table.Commit(r.ctx, store.Txn{Puts: []store.Put{waveStatus(testWave, true), record}}); err != nil {
		t.Fatal(err)
	}
	addMaintenance(r, 1, time.Minute, "a")
	r.maintainFor(2 * time.Second)
	if !w.node.Usable || r.isCordoned(w) {
		t.Errorf("usable %v, cordoned %v", w.node.Usable, r.isCordoned(w))
	}
}

// Guards against a machine that stays cordoned after another leader has ended its wave.
func TestWaveEndedElsewhereUncordonsItsMachines(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorkerOn("w", "a", 1000)
	r.submit("j", oneStep(1, 100))
	r.scheduleAndCommit()
	addMaintenance(r, 1, time.Minute, "a")
	r.maintainFor(time.Second)
	if !r.isCordoned(w) {
		t.Fatal("the worker is not cordoned")
	}
	row := waveStatus(testWave, true)
	r.applyWaveStatus(r.waves[testWave], store.Row{Key: row.Key, Value: row.Value, Version: 99})
	if r.isCordoned(w) {
		t.Error("cordoned")
	}
}

// Guards against more machines down than allowed after a change of leader: a command of the first leader had no response and
// is carried out while the next one has another machine down. The first had recorded it, so the next one commands that
// machine first, and counts it as down until then.
func TestNextLeaderCommandsUnconfirmedMachineFirst(t *testing.T) {
	table := memory.New()
	first := newRig(t, table)
	first.addWorkerOn("w", "a", 1000)
	first.submit("j", oneStep(1, 100))
	first.scheduleAndCommit()
	machines := addMaintenance(first, 1, time.Minute, "a", "b")
	machines.setErr(&maintenance.UnreachableError{Detail: "no answer"}, false)
	first.maintainFor(2 * time.Second)
	if got := machines.commandedMachines(); len(got) == 0 || got[0] != "b" {
		t.Fatalf("maintenance command sent for %v", got)
	}

	second := newRig(t, table)
	second.clock = first.clock
	laterMachines := addMaintenance(second, 1, time.Minute, "a", "b")
	second.maintainFor(2 * time.Second)
	if got := laterMachines.commandedMachines(); len(got) != 1 || got[0] != "b" {
		t.Fatalf("the next leader sent commands for %v while b may go down", got)
	}
	laterMachines.markUp("b")
	second.maintainFor(3 * time.Second)
	if got := laterMachines.commandedMachines(); len(got) != 2 || got[1] != "a" {
		t.Errorf("commands for %v", got)
	}
	if got := second.status(); got != "succeeded" {
		t.Errorf("the wave is %q", got)
	}
	if table.Value(store.MaintenanceKey(testWave)) != nil {
		t.Error("the record of the commands is left behind")
	}
}

// Guards against a command that is sent although it is not recorded, and against one that is never sent because its record
// was written without a response.
func TestMaintenanceCommandIsRecordedFirst(t *testing.T) {
	r := newRig(t, memory.New())
	machines := addMaintenance(r, 1, time.Minute, "a")
	failing := &failingTable{Table: r.table, fail: true}
	r.opts.Table = failing
	r.maintainFor(2 * time.Second)
	if got := machines.commandedMachines(); len(got) != 0 {
		t.Fatalf("commands for %v without a record", got)
	}
	failing.setFail(false)
	failing.loseResponse(store.MaintenanceKey(testWave))
	r.maintainFor(6 * time.Second)
	if got := machines.commandedMachines(); len(got) != 1 {
		t.Errorf("commands for %v", got)
	}
}

// failingTable is a table whose commits fail, or lose the response of the next commit that writes a row.
type failingTable struct {
	store.Table
	mu   sync.Mutex
	fail bool
	lost store.Key
}

func (f *failingTable) setFail(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = on
}

func (f *failingTable) loseResponse(key store.Key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = key
}

func (f *failingTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	f.mu.Lock()
	fail, lost := f.fail, f.lost
	f.mu.Unlock()
	noResponse := &store.CallError{Call: "commit", Kind: fault.CodeUnreachable, Detail: "no answer"}
	if fail {
		return 0, noResponse
	}
	version, err := f.Table.Commit(ctx, txn)
	if len(txn.Puts) > 0 && txn.Puts[0].Key == lost {
		f.loseResponse(store.Key{})
		return 0, noResponse
	}
	return version, err
}
