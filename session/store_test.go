package session

import (
	"strings"
	"sync"
	"testing"
	"time"

	"bronzehook/backend/fake"
	"bronzehook/fault"
)

const (
	// outageTime is the duration of a table outage.
	outageTime = 15 * time.Second
	// lostReplies is the number of writes whose replies are lost: several from each writer.
	lostReplies = 25
)

// Guards against a table outage that fails requests or ends leases or the ownership of units, and against configuration
// changes that are accepted meanwhile.
func TestTableDown(t *testing.T) {
	t.Parallel()
	f := startWorkloads(t, time.Second)
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	l := f.startLoad("shop")
	time.Sleep(steadyTime)
	watchers, services, configBefore := f.runningAttempts("feed"), f.runningAttempts("shop"), f.configRows()

	down := time.Now()
	f.cluster.Platform.SetTableFaults(fake.StoreFaults{Down: true})
	f.checkApplyRefused(t)
	time.Sleep(time.Until(down.Add(outageTime)))
	up := time.Now()
	f.cluster.Platform.SetTableFaults(fake.StoreFaults{})

	checkAllAnswered(t, l, down, up)
	f.checkSameAttempts(t, watchers, f.runningAttempts("feed"))
	f.checkSameAttempts(t, services, f.runningAttempts("shop"))
	if after := f.configRows(); after != configBefore {
		t.Errorf("the configuration changed while the table was down:\n%s\n%s", configBefore, after)
	}
	f.apply(f.instances[1], map[string]string{"60-later.yaml": strings.ReplaceAll(jobFile(time.Second), "name: index", "name: later")})
	f.checkJobDone(t, "later", jobTasks, jobDeadline)
	f.awaitAnswered("shop", recoveryLimit, f.instances...)
	l.finish()
	f.checkAll(t, l)
}

// checkApplyRefused applies a change through each instance at the same time and requires that each refuses it because the
// store is unavailable.
func (f *fleet) checkApplyRefused(t *testing.T) {
	t.Helper()
	var wait sync.WaitGroup
	for _, p := range f.instances {
		dir := f.writeFolder(map[string]string{"10-teams.yaml": "kind: team\nname: web\ncpu: 99\nmemory: 256GiB\n"})
		wait.Go(func() {
			code, out, errOut := runCtl(p, "ann", "--output=json", "apply", dir)
			if code != fault.ExitUnavailable || !strings.Contains(errOut, string(fault.CodeStoreUnavailable)) {
				t.Errorf("apply through %s ended with %d: %s%s", p.id, code, out, errOut)
			}
		})
	}
	wait.Wait()
}

// checkSameAttempts fails the test unless the attempts that run now are those that ran before.
func (f *fleet) checkSameAttempts(t *testing.T, before, after []fake.AttemptRecord) {
	t.Helper()
	if len(before) != len(after) {
		t.Errorf("%d attempts ran before and %d run now:\n%+v\n%+v", len(before), len(after), before, after)
		return
	}
	for n := range before {
		if before[n].Task != after[n].Task || before[n].Attempt != after[n].Attempt {
			t.Errorf("attempt %d of %s was replaced by attempt %d of %s", before[n].Attempt, before[n].Task, after[n].Attempt, after[n].Task)
		}
	}
}

// Guards against a change or a start of a task that takes effect twice because the reply to its first write was lost.
func TestLostTableReplies(t *testing.T) {
	t.Parallel()
	f := startWorkloads(t, time.Second)
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	l := f.startLoad("shop")
	revision := f.revision(f.instances[0])
	f.cluster.Platform.SetTableFaults(fake.StoreFaults{LoseReplies: lostReplies})
	f.apply(f.instances[2], map[string]string{"60-later.yaml": strings.ReplaceAll(jobFile(2*time.Second), "name: index", "name: later")})
	f.checkJobDone(t, "later", jobTasks, jobDeadline)
	for _, p := range f.instances {
		if got := f.revision(p); got != revision+1 {
			t.Errorf("%s is at revision %d after one change from %d", p.id, got, revision)
		}
	}
	later := f.attempts(func(r fake.AttemptRecord) bool { return r.Work == "later" })
	if len(later) != jobTasks {
		t.Errorf("%d attempts for %d tasks: %+v", len(later), jobTasks, later)
	}
	l.finish()
	f.checkAll(t, l)
}

// Guards against concurrent edits by operators that overwrite each other, or whose conflict message does not show both edits.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	f := startWorkloads(t, time.Second)
	f.raceEdits(t, f.instances[0], f.instances[2])
	f.checkAll(t, nil)
}

// raceEdits applies two edits of one file at the same time and requires that exactly one of them is recorded.
func (f *fleet) raceEdits(t *testing.T, first, second *process) {
	t.Helper()
	revision := f.revision(first)
	edits := map[string]string{"ann": "kind: team\nname: web\ncpu: 71\nmemory: 256GiB\n", "bob": "kind: team\nname: web\ncpu: 72\nmemory: 256GiB\n"}
	through := map[string]*process{"ann": first, "bob": second}
	codes, messages := map[string]int{}, map[string]string{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	folders := map[string]string{}
	for author, content := range edits {
		folders[author] = f.writeFolder(nil)
		if code, _, errOut := runCtl(through[author], author, "get", "--into", folders[author]); code != fault.ExitOK {
			t.Fatal(errOut)
		}
		f.writeFile(folders[author], "10-teams.yaml", content)
	}
	for author := range edits {
		wait.Go(func() {
			code, out, errOut := runCtl(through[author], author, "apply", "--wait", folders[author])
			mu.Lock()
			defer mu.Unlock()
			codes[author], messages[author] = code, out+errOut
		})
	}
	wait.Wait()
	winner, loser := "ann", "bob"
	if codes["bob"] == fault.ExitOK {
		winner, loser = loser, winner
	}
	if codes[winner] != fault.ExitOK || codes[loser] != fault.ExitConflict {
		t.Fatalf("exit codes %v:\n%v", codes, messages)
	}
	for _, edit := range edits {
		if !strings.Contains(messages[loser], edit) {
			t.Errorf("the conflict does not show both edits:\n%s", messages[loser])
		}
	}
	_, out, _ := runCtl(first, "ann", "get", "10-teams.yaml")
	if out != edits[winner] {
		t.Errorf("%s won, but the record holds:\n%s", winner, out)
	}
	for _, p := range f.instances {
		if p.hasExited() {
			continue
		}
		f.eventually(activeLimit, "one further revision on "+p.id, func() bool { return f.revision(p) >= revision+1 })
		if got := f.revision(p); got != revision+1 {
			t.Errorf("%s is at revision %d after one change from %d", p.id, got, revision)
		}
	}
}
