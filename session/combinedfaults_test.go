package session

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/backend/fake"
	"bronzehook/fault"
)

// Guards against keys that are executed twice, or tasks that are not resumed, when an owner dies while the table is down.
// Other instances can acquire its units only once the table is available again.
func TestOwnerKilledWhileTableIsDown(t *testing.T) {
	t.Parallel()
	f := startWorkloads(t, 3*time.Second)
	l := f.startLoad("shop")
	time.Sleep(steadyTime)
	victim := f.owner(api.RackUnit("montego", "r0"))
	f.cluster.Platform.SetTableFaults(fake.StoreFaults{Down: true})
	f.killInstance(victim)
	time.Sleep(outageTime / 2)
	f.cluster.Platform.SetTableFaults(fake.StoreFaults{})
	t.Logf("answered again after %s", f.awaitAnswered("shop", recoveryLimit, f.others(victim)...))
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	l.finish()
	f.checkAll(t, l)
}

// Guards against two owners of a unit when one instance is paused and another one of its region dies meanwhile.
func TestOwnerPausedWhileAnotherIsKilled(t *testing.T) {
	t.Parallel()
	f := startWorkloads(t, 3*time.Second)
	l := f.startLoad("shop")
	time.Sleep(steadyTime)
	paused, killed := f.owner(api.RackUnit("montego", "r0")), f.owner(api.RackUnit("savanna", "r0"))
	if paused == killed {
		t.Fatalf("%s owns both racks", paused.id)
	}
	paused.signal(t, syscall.SIGSTOP)
	f.killInstance(killed)
	time.Sleep(outageTime / 2)
	paused.signal(t, syscall.SIGCONT)
	t.Logf("answered again after %s", f.awaitAnswered("shop", recoveryLimit, f.others(killed)...))
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	l.finish()
	f.checkAll(t, l)
}

// Guards against an edit that is recorded twice, or reported to both operators as refused, when they race while the table
// loses replies.
func TestLostRepliesWithRacingOperators(t *testing.T) {
	t.Parallel()
	f := startWorkloads(t, time.Second)
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	f.cluster.Platform.SetTableFaults(fake.StoreFaults{LoseReplies: lostReplies})
	f.raceEdits(t, f.instances[0], f.instances[1])
	later := map[string]string{"60-later.yaml": strings.ReplaceAll(jobFile(time.Second), "name: index", "name: later")}
	if code, _, errOut := runCtl(f.instances[2], "ann", "apply", f.writeFolder(later)); code != fault.ExitOK {
		t.Errorf("a later change is refused: %s", errOut)
	}
	f.checkJobDone(t, "later", jobTasks, jobDeadline)
	f.checkAll(t, nil)
}
