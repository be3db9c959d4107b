package session

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/backend/standin"
	"bronzehook/fault"
)

// Guards against keys that run twice, or work that is not taken up again, when an owner dies while the table is down.
// Its units are claimed only once the table is back.
func TestKillWhileTheTableIsDown(t *testing.T) {
	t.Parallel()
	f := startWork(t, 3*time.Second)
	l := f.startLoad("shop")
	time.Sleep(steady)
	victim := f.owner(api.RackUnit("montego", "r0"))
	f.site.Platform.SetTableFaults(standin.StoreFaults{Down: true})
	f.kill(victim)
	time.Sleep(outage / 2)
	f.site.Platform.SetTableFaults(standin.StoreFaults{})
	t.Logf("answered again after %s", f.awaitAnswers("shop", answerAgain, f.others(victim)...))
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	l.end()
	f.checkAll(t, l)
}

// Guards against two owners when one instance is paused and another one of its region dies meanwhile.
func TestPauseWithKillOfAnother(t *testing.T) {
	t.Parallel()
	f := startWork(t, 3*time.Second)
	l := f.startLoad("shop")
	time.Sleep(steady)
	paused, killed := f.owner(api.RackUnit("montego", "r0")), f.owner(api.RackUnit("savanna", "r0"))
	if paused == killed {
		t.Fatalf("%s owns both racks", paused.id)
	}
	paused.signal(t, syscall.SIGSTOP)
	f.kill(killed)
	time.Sleep(outage / 2)
	paused.signal(t, syscall.SIGCONT)
	t.Logf("answered again after %s", f.awaitAnswers("shop", answerAgain, f.others(killed)...))
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	l.end()
	f.checkAll(t, l)
}

// Guards against an edit that is recorded twice, or told to both operators as refused, when replies are lost in a race.
func TestLostRepliesWithRacingOperators(t *testing.T) {
	t.Parallel()
	f := startWork(t, time.Second)
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	f.site.Platform.SetTableFaults(standin.StoreFaults{LoseReplies: lostReplies})
	f.race(t, f.instances[0], f.instances[1])
	later := map[string]string{"60-later.yaml": strings.ReplaceAll(jobFile(time.Second), "name: index", "name: later")}
	if code, _, errOut := operate(f.instances[2], "ann", "apply", f.folder(later)); code != fault.ExitOK {
		t.Errorf("a later change is refused: %s", errOut)
	}
	f.checkJobDone(t, "later", jobTasks, jobDeadline)
	f.checkAll(t, nil)
}
