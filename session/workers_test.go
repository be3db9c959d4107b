package session

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/backend/fake"
	"bronzehook/fault"
)

const (
	// balancerDelay is the time after which a load balancer leaves out an instance that is not ready.
	balancerDelay = 500 * time.Millisecond
	// leavingLimit is the time, specified in the design document, after which a leaving endpoint gets no new requests or tasks.
	leavingLimit = 3 * time.Second
	// leavingWatchTime is the time for which a leaving worker is observed after leavingLimit.
	leavingWatchTime = 4 * time.Second
	// restartLimit bounds the restart on another worker: the attempt lease, the detection of its expiry, and the limit in
	// the design document for the start of a task.
	restartLimit = 20 * time.Second
	// longJobTime is the run time of tasks that must still be running when their worker is lost.
	longJobTime = 12 * time.Second
)

// Guards against a planned stop that cuts off requests in flight or leaves ownership units without an owner.
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	f := startWorkloads(t, time.Second)
	l := f.startLoad("shop")
	time.Sleep(steadyTime)
	victim := f.owner(api.RackUnit("montego", "r0"))
	stopSentAt := time.Now()
	victim.signal(t, syscall.SIGTERM)
	time.Sleep(balancerDelay)
	l.excluded.Store(victim.id)
	if code := victim.waitStopped(t); code != fault.ExitOK {
		t.Errorf("the planned stop ended with exit code %d", code)
	}
	ended := time.Now()
	t.Logf("the stop took %s, answered again after %s", ended.Sub(stopSentAt), f.awaitAnswered("shop", recoveryLimit, f.others(victim)...))
	time.Sleep(steadyTime)
	l.finish()
	executed := f.executions()
	for _, s := range l.recorded() {
		if wasCutOff(s, executed[s.key]) {
			t.Errorf("attempt %d of %s through %s, started %s after SIGTERM, was cut off: %+v", s.number, s.key, s.instance, s.startedAt.Sub(stopSentAt), s.callResult)
		}
	}
	f.checkAll(t, l)
}

// wasCutOff reports whether the connection of an attempt broke or its outcome is unknown. If a stopping instance refuses a later
// attempt at a key, the outcome is unknown by design, because that instance cannot tell the outcome of the earlier ones; such an
// attempt was cut off only if an execution of the key had started by then.
func wasCutOff(s sendAttempt, executions []fake.Execution) bool {
	if s.broken || s.outcome != api.Unknown {
		return s.broken
	}
	if s.number == 1 || s.reason != string(fault.CodeStopping) {
		return true
	}
	return slices.ContainsFunc(executions, func(e fake.Execution) bool { return e.Start.Before(s.finishedAt) })
}

// workerWithJobAndWatcher returns a worker that runs tasks of both a job and a watcher.
func (f *fleet) workerWithJobAndWatcher() *fake.Worker {
	f.t.Helper()
	for _, w := range f.cluster.Workers() {
		kinds := map[api.Kind]bool{}
		for _, r := range w.EventLog().Attempts() {
			if r.End.IsZero() {
				kinds[r.Kind] = true
			}
		}
		if kinds[api.KindJob] && kinds[api.KindWatcher] {
			return w
		}
	}
	f.t.Fatalf("no worker runs both a job and a watcher: %+v", f.attempts(func(r fake.AttemptRecord) bool { return r.End.IsZero() }))
	return nil
}

// runningOn returns the running attempts of jobs and watchers on a worker.
func runningOn(w *fake.Worker) []fake.AttemptRecord {
	return slices.DeleteFunc(w.EventLog().Attempts(), func(r fake.AttemptRecord) bool { return !r.End.IsZero() || r.Kind == api.KindService })
}

// checkRestarted waits until each lost attempt has a successor, and requires that there is exactly one, on another worker and
// not started before earliest.
func (f *fleet) checkRestarted(t *testing.T, lost []fake.AttemptRecord, earliest func(fake.AttemptRecord) time.Time) {
	t.Helper()
	for _, before := range lost {
		later := func() []fake.AttemptRecord {
			return f.attempts(func(r fake.AttemptRecord) bool { return r.Task == before.Task && r.Attempt > before.Attempt })
		}
		f.eventually(restartLimit, string(before.Task)+" runs again", func() bool { return len(later()) > 0 })
		successors := later()
		if len(successors) != 1 || successors[0].Worker == before.Worker {
			t.Errorf("%s on %s was followed by %+v", before.Task, before.Worker, successors)
		}
		if end := earliest(before); successors[0].Start.Before(end) {
			t.Errorf("%s was started again %s before %s", before.Task, end.Sub(successors[0].Start), end)
		}
	}
}

// startRunningJob starts a fleet on which all tasks of a long job run, and a load on its service.
func startRunningJob(t *testing.T) (*fleet, *load) {
	t.Helper()
	f := startWorkloads(t, longJobTime)
	f.eventually(recoveryLimit, "all tasks of the job run", func() bool { return len(f.runningAttempts("index")) == jobTasks })
	return f, f.startLoad("shop")
}

// checkRecovered requires that the long job gets done and that the service answers, and ends the load.
func (f *fleet) checkRecovered(t *testing.T, l *load) {
	t.Helper()
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	f.awaitAnswered("shop", recoveryLimit, f.instances...)
	l.finish()
	f.checkAll(t, l)
}

// Guards against a second attempt that starts while the first may still run on an unresponsive worker. The event log of a
// frozen worker records the expiry of the attempt lease.
func TestFrozenWorker(t *testing.T) {
	t.Parallel()
	f, l := startRunningJob(t)
	victim := f.workerWithJobAndWatcher()
	lost := runningOn(victim)
	victim.SetFaults(fake.WorkerFaults{Frozen: true})
	f.checkRestarted(t, lost, func(before fake.AttemptRecord) time.Time {
		ended := f.attempts(func(r fake.AttemptRecord) bool { return r.Task == before.Task && r.Attempt == before.Attempt })
		if ended[0].End.IsZero() {
			t.Errorf("%s still runs on %s", before.Task, before.Worker)
		}
		return ended[0].End
	})
	victim.SetFaults(fake.WorkerFaults{})
	f.checkRecovered(t, l)
}

// Guards against tasks that are lost with their worker, or started twice. A crashed worker cannot show that its attempt leases
// have expired, so a task may be started again only after the time left of its lease has passed. Attempt leases are renewed each
// third of their duration; the test requires that at least such a third has passed.
func TestWorkerCrash(t *testing.T) {
	t.Parallel()
	const remainingLease = attemptLease / 3
	f, l := startRunningJob(t)
	victim := f.workerWithJobAndWatcher()
	lost := runningOn(victim)
	crashedAt := time.Now()
	victim.Close()
	f.checkRestarted(t, lost, func(fake.AttemptRecord) time.Time { return crashedAt.Add(remainingLease) })
	f.checkRecovered(t, l)
}

// Guards against a leaving worker that still gets requests or tasks after leavingLimit.
func TestLeavingWorker(t *testing.T) {
	t.Parallel()
	f := startWorkloads(t, longJobTime)
	l := f.startLoad("shop")
	time.Sleep(steadyTime)
	victim := f.runningAttempts("shop")[0].Worker
	f.cluster.Worker(victim).SetLeaving(true)
	leavingSince := time.Now()
	time.Sleep(leavingLimit + leavingWatchTime)
	l.finish()
	eventLog, after := f.cluster.Worker(victim).EventLog(), leavingSince.Add(leavingLimit)
	for _, e := range eventLog.Executions() {
		if e.Start.After(after) {
			t.Errorf("request %s was started on %s %s after the worker began to leave", e.Request, victim, e.Start.Sub(leavingSince))
		}
	}
	for _, r := range eventLog.Attempts() {
		if r.Start.After(after) {
			t.Errorf("%s was started on %s %s after the worker began to leave", r.Task, victim, r.Start.Sub(leavingSince))
		}
	}
	f.awaitAnswered("shop", recoveryLimit, f.instances...)
	f.checkAll(t, l)
}
