package execution

import (
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"

	"bronzehook/jobs"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

func touchesRecords(txn store.Txn) bool { return !touchesStates(txn) }

func doneTermination(number int64, job string, index int) workers.Termination {
	return workers.Termination{Number: number, Task: jobs.Task{Job: jobs.ID(job), Index: index}, Attempt: 1, Cause: workers.CauseDone}
}

// Guards against a worker whose terminations are not acknowledged for a long time, of which neither metrics nor log tell.
func TestLongWaitOfAnAcknowledgementIsReported(t *testing.T) {
	r := newRig(t, memory.New())
	registry := r.recordMetrics()
	var log strings.Builder
	r.Term.log = zerolog.New(&log)
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	r.table.SetReject(func(store.Txn) bool { return true })
	r.reportTerminations(w, doneTermination(1, "a", 0))
	r.advanceClock(ackWaitLogAfter)
	for range 2 {
		r.watchAcks(r.clock)
	}
	const want = `
# HELP bronzehook_oldest_pending_ack_seconds Age of the oldest termination that is not acknowledged because its effect is not stored yet.
# TYPE bronzehook_oldest_pending_ack_seconds gauge
bronzehook_oldest_pending_ack_seconds 3
`
	if err := testutil.GatherAndCompare(registry, strings.NewReader(want), "bronzehook_oldest_pending_ack_seconds"); err != nil {
		t.Error(err)
	}
	if n := strings.Count(log.String(), "acknowledgement waits for a commit"); n != 1 {
		t.Errorf("%d log lines in %q", n, log.String())
	}
	r.table.SetReject(nil)
	r.commitAll()
	r.advanceClock(time.Second)
	r.watchAcks(r.clock)
	if got := testutil.ToFloat64(r.opts.Metrics.ackWait); got != 0 {
		t.Errorf("%v s after the acknowledgement", got)
	}
}

// Guards against members of a gang whose terminations are never acknowledged, and whose job is never removed, because the first
// member that was done had ended the job and the others changed nothing. It held up all later terminations of their workers.
func TestLastMembersOfADoneGangAreAcknowledged(t *testing.T) {
	for name, reject := range map[string]func(store.Txn) bool{
		"record stored before the last end": nil,
		"state stored before the last end":  touchesRecords,
	} {
		r := newRig(t, memory.New())
		w := r.addWorker("w", 1000)
		r.submit("a", gangStep(2, 100))
		r.scheduleAndCommit()
		r.table.SetReject(reject)
		r.report(w, 1, 0, 1, workers.CauseDone)
		r.commitAll()
		r.report(w, 2, 1, 1, workers.CauseDone)
		r.table.SetReject(nil)
		r.commitAll()
		if w.storedUpTo != 2 || len(w.pendingAcks) != 0 {
			t.Errorf("%s: terminations acknowledged up to %d, %d wait", name, w.storedUpTo, len(w.pendingAcks))
		}
		if r.jobs["a"] != nil || r.table.Value(store.JobKey("a")) != nil {
			t.Errorf("%s: the job is still there", name)
		}
	}
}
