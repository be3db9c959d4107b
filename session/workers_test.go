package session

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/backend/standin"
	"bronzehook/fault"
)

const (
	// balancerNotice is the time after which a balancer leaves out an instance that is not ready.
	balancerNotice = 500 * time.Millisecond
	// leavingLimit is the bound of the design page for a leaving endpoint to get anything new.
	leavingLimit = 3 * time.Second
	// leavingWatch is the time that a leaving worker is watched after the bound.
	leavingWatch = 4 * time.Second
	// resumeLimit bounds the restart elsewhere: the lease, its observation and the start time of the design page.
	resumeLimit = 20 * time.Second
	// longJob is longer than a session, so that each of its tasks runs when the worker is lost.
	longJob = 12 * time.Second
)

// Guards against a planned stop that cuts off requests in flight or leaves work without an owner.
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	f := startWork(t, time.Second)
	l := f.startLoad("shop")
	time.Sleep(steady)
	victim := f.owner(api.RackUnit("montego", "r0"))
	stopped := time.Now()
	victim.signal(t, syscall.SIGTERM)
	time.Sleep(balancerNotice)
	l.avoided.Store(victim.id)
	if code := victim.waitStopped(t); code != fault.ExitOK {
		t.Errorf("the planned stop ended with exit code %d", code)
	}
	ended := time.Now()
	t.Logf("the stop took %s, answered again after %s", ended.Sub(stopped), f.awaitAnswers("shop", answerAgain, f.others(victim)...))
	time.Sleep(steady)
	l.end()
	executed := f.executions()
	for _, s := range l.all() {
		if wasCutOff(s, executed[s.key]) {
			t.Errorf("attempt %d of %s through %s, begun %s after SIGTERM, was cut off: %+v", s.attempt, s.key, s.through, s.begun.Sub(stopped), s.answer)
		}
	}
	f.checkAll(t, l)
}

// wasCutOff reports whether an attempt broke off or has an unknown outcome. A later attempt that a stopping instance
// refuses is unknown by rule, because that instance cannot tell what came of the earlier ones; it was cut off only if
// the key had begun to run by then.
func wasCutOff(s sent, executions []standin.Execution) bool {
	if s.broken || s.outcome != api.Unknown {
		return s.broken
	}
	if s.attempt == 1 || s.reason != string(fault.CodeStopping) {
		return true
	}
	return slices.ContainsFunc(executions, func(e standin.Execution) bool { return e.Start.Before(s.ended) })
}

// lossyWorker returns a worker on which a job's task and a watcher run.
func (f *fleet) lossyWorker() *standin.Worker {
	f.t.Helper()
	for _, w := range f.site.Workers() {
		kinds := map[api.Kind]bool{}
		for _, r := range w.Journal().Runs() {
			if r.End.IsZero() {
				kinds[r.Kind] = true
			}
		}
		if kinds[api.KindJob] && kinds[api.KindWatcher] {
			return w
		}
	}
	f.t.Fatalf("no worker runs both a job and a watcher: %+v", f.runs(func(r standin.Run) bool { return r.End.IsZero() }))
	return nil
}

// runningOn returns the attempts of jobs and watchers that run on a worker.
func runningOn(w *standin.Worker) []standin.Run {
	return slices.DeleteFunc(w.Journal().Runs(), func(r standin.Run) bool { return !r.End.IsZero() || r.Kind == api.KindService })
}

// checkResumed waits until each lost attempt has a successor, and wants exactly one, elsewhere and not before earliest.
func (f *fleet) checkResumed(t *testing.T, lost []standin.Run, earliest func(standin.Run) time.Time) {
	t.Helper()
	for _, before := range lost {
		later := func() []standin.Run {
			return f.runs(func(r standin.Run) bool { return r.Task == before.Task && r.Attempt > before.Attempt })
		}
		f.eventually(resumeLimit, string(before.Task)+" runs again", func() bool { return len(later()) > 0 })
		successors := later()
		if len(successors) != 1 || successors[0].Worker == before.Worker {
			t.Errorf("%s on %s was followed by %+v", before.Task, before.Worker, successors)
		}
		if end := earliest(before); successors[0].Start.Before(end) {
			t.Errorf("%s began again %s before %s", before.Task, end.Sub(successors[0].Start), end)
		}
	}
}

// Guards against a second attempt that begins while the first may still run on a worker that does not answer. The journal
// of a frozen worker records the end of the lease.
func TestFrozenWorker(t *testing.T) {
	t.Parallel()
	f := startWork(t, longJob)
	f.eventually(answerAgain, "all tasks of the job run", func() bool { return len(f.running("index")) == jobTasks })
	l := f.startLoad("shop")
	victim := f.lossyWorker()
	lost := runningOn(victim)
	victim.SetFaults(standin.WorkerFaults{Frozen: true})
	f.checkResumed(t, lost, func(before standin.Run) time.Time {
		ended := f.runs(func(r standin.Run) bool { return r.Task == before.Task && r.Attempt == before.Attempt })
		if ended[0].End.IsZero() {
			t.Errorf("%s still runs on %s", before.Task, before.Worker)
		}
		return ended[0].End
	})
	victim.SetFaults(standin.WorkerFaults{})
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	f.awaitAnswers("shop", answerAgain, f.instances...)
	l.end()
	f.checkAll(t, l)
}

// Guards against tasks that are lost with their worker, or started twice. A worker that is gone cannot show that its
// leases are over, so the lease that is left after a renewal has to pass; renewals come each third of a lease.
func TestWorkerGone(t *testing.T) {
	t.Parallel()
	const leaseLeft = taskLease / 3
	f := startWork(t, longJob)
	f.eventually(answerAgain, "all tasks of the job run", func() bool { return len(f.running("index")) == jobTasks })
	l := f.startLoad("shop")
	victim := f.lossyWorker()
	lost := runningOn(victim)
	gone := time.Now()
	victim.Close()
	f.checkResumed(t, lost, func(standin.Run) time.Time { return gone.Add(leaseLeft) })
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	f.awaitAnswers("shop", answerAgain, f.instances...)
	l.end()
	f.checkAll(t, l)
}

// Guards against a leaving worker that still gets requests or tasks after the bound.
func TestLeavingWorker(t *testing.T) {
	t.Parallel()
	f := startWork(t, longJob)
	l := f.startLoad("shop")
	time.Sleep(steady)
	victim := f.running("shop")[0].Worker
	f.site.Worker(victim).SetLeaving(true)
	left := time.Now()
	time.Sleep(leavingLimit + leavingWatch)
	l.end()
	journal, after := f.site.Worker(victim).Journal(), left.Add(leavingLimit)
	for _, e := range journal.Executions() {
		if e.Start.After(after) {
			t.Errorf("request %s began on %s %s after it was leaving", e.Request, victim, e.Start.Sub(left))
		}
	}
	for _, r := range journal.Runs() {
		if r.Start.After(after) {
			t.Errorf("%s began on %s %s after it was leaving", r.Task, victim, r.Start.Sub(left))
		}
	}
	f.awaitAnswers("shop", answerAgain, f.instances...)
	f.checkAll(t, l)
}
