package execution

import (
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// pendingCount returns the number of pending jobs that the term would store now.
func (r *rig) pendingCount() int {
	r.t.Helper()
	var txn store.Txn
	r.countsDueAt = 0
	r.addCounts(&txn, r.clock)
	counts, err := jobs.Decode[jobs.Counts]("counts", txn.Puts[0].Value)
	if err != nil {
		r.t.Fatal(err)
	}
	return counts.Pending[testQueue]
}

// Guards against a job that callers find neither pending nor running after a change of leader: its attempt was recorded,
// but its start command had no effect.
func TestRecordedAttemptIsNotCountedAsStart(t *testing.T) {
	task := jobs.Task{Job: "a"}
	for name, c := range map[string]struct {
		// reported is what the worker reports to the second term.
		reported  workers.Inventory
		confirmed bool
		want      int
	}{
		"never begun":                     {want: 1},
		"reported as running":             {reported: workers.Inventory{Running: []workers.Running{{Task: task, Attempt: 1}}}},
		"reported as ended":               {reported: workers.Inventory{Terminations: []workers.Termination{{Number: 1, Task: task, Attempt: 1, Cause: workers.CauseStopped}}}},
		"begun in the first term, lost":   {confirmed: true},
		"begun in the first term, listed": {confirmed: true, reported: workers.Inventory{Running: []workers.Running{{Task: task, Attempt: 1}}}},
	} {
		t.Run(name, func(t *testing.T) {
			table := memory.New()
			first := newRig(t, table)
			first.addWorker("w", 1000)
			if !c.confirmed {
				first.client.err = &workers.UnreachableError{Worker: "w", Detail: "no answer"}
			}
			first.submit("a", oneStep(1, 100))
			first.scheduleAndCommit()
			if want := map[bool]int{true: 0, false: 1}[c.confirmed]; first.pendingCount() != want {
				t.Fatalf("%d pending in the first term", first.pendingCount())
			}

			second := newRig(t, table)
			if _, err := second.load(); err != nil {
				t.Fatal(err)
			}
			w := second.addWorker("w", 1000)
			second.advanceClock(time.Millisecond)
			c.reported.StartTime = testStartTime
			second.handlePoll(w, workers.PollRequest{Target: second.target(w)}, second.clock, c.reported, nil)
			second.commitAll()
			if got := second.pendingCount(); got != c.want {
				t.Errorf("%d pending in the second term, want %d", got, c.want)
			}
		})
	}
}
