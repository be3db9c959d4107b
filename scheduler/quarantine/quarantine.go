// Package quarantine takes workers on which all jobs fail out of use and probes them at growing intervals. Failures of
// a workload that fails on every worker count against the workload, not against the workers.
package quarantine

import (
	"fmt"
	"time"

	"bronzehook/api"
)

// Options configures the rules. Each rule can be disabled separately.
type Options struct {
	// QuarantineWorkers enables the quarantine of workers.
	QuarantineWorkers bool
	// AttributeToWorkloads counts the failures of a workload that fails on every worker against the workload.
	AttributeToWorkloads bool
	// ConsecutiveFailures is the number of consecutive failures, of at least DistinctWorkloads workloads, that quarantine a worker.
	ConsecutiveFailures, DistinctWorkloads int
	// MinProbeDelay is the time from the start of the quarantine to the first probe. It doubles with each failed probe, up to
	// MaxProbeDelay.
	MinProbeDelay, MaxProbeDelay time.Duration
	// MinFailedWorkers is the number of different workers on which a workload must fail, without a success on any, for its
	// failures to count against it.
	MinFailedWorkers int
	// MaxFailures is the number of failures after which a task is not started again.
	MaxFailures int
	// MaxWorkloads bounds the workloads whose failures are recorded. All are discarded when the bound is reached.
	MaxWorkloads int
}

// DefaultOptions returns the production defaults.
func DefaultOptions() Options {
	return Options{
		QuarantineWorkers: true, AttributeToWorkloads: true, ConsecutiveFailures: 5, DistinctWorkloads: 3, MinProbeDelay: time.Minute,
		MaxProbeDelay: 30 * time.Minute, MinFailedWorkers: 3, MaxFailures: 6, MaxWorkloads: 1 << 12,
	}
}

// State is the quarantine state of a worker, as placement uses it.
type State struct {
	Quarantined bool
	// Probe is set when one job may be started on the worker to test whether it has recovered.
	Probe bool
	// NextProbe is the time at which the next probe is due.
	NextProbe time.Time
}

// worker is the recorded state of a worker.
type worker struct {
	// consecutiveFailures holds the workloads of the failures since the last success, the latest maxRecordedFailures.
	consecutiveFailures []string
	quarantined         bool
	// probeDelay is the current time between two probes.
	probeDelay time.Duration
	nextProbe  time.Time
}

// workload is the recorded state of a workload.
type workload struct {
	// failedOn lists the different workers on which the workload has failed since its last success, at most
	// maxRecordedFailures of them.
	failedOn []api.WorkerID
}

// maxRecordedFailures bounds the consecutive failures recorded per worker, and the workers recorded per workload.
const maxRecordedFailures = 64

// Tracker records the results of attempts. It is not safe for concurrent use.
type Tracker struct {
	opts      Options
	workers   map[api.WorkerID]*worker
	workloads map[string]*workload
}

// NewTracker returns a tracker without results.
func NewTracker(opts Options) *Tracker {
	return &Tracker{opts: opts, workers: map[api.WorkerID]*worker{}, workloads: map[string]*workload{}}
}

// Success records that a task of the workload succeeded on the worker, or became ready if it is a service or a watcher.
func (t *Tracker) Success(id api.WorkerID, name string) {
	delete(t.workloads, name)
	w := t.worker(id)
	w.consecutiveFailures = w.consecutiveFailures[:0]
	w.quarantined = false
	w.probeDelay = 0
}

// Failure records that a task of the workload failed on the worker and reports whether this quarantined the worker.
func (t *Tracker) Failure(id api.WorkerID, name string, now time.Time) bool {
	t.recordWorkloadFailure(id, name)
	w := t.worker(id)
	w.consecutiveFailures = append(w.consecutiveFailures, name)
	if len(w.consecutiveFailures) > maxRecordedFailures {
		w.consecutiveFailures = w.consecutiveFailures[1:]
	}
	if !t.opts.QuarantineWorkers {
		return false
	}
	if w.quarantined {
		t.recordProbeFailure(w, name, now)
		return false
	}
	if !t.failsEverything(w) {
		return false
	}
	w.quarantined = true
	w.probeDelay = t.opts.MinProbeDelay
	w.nextProbe = now.Add(w.probeDelay)
	return true
}

// recordProbeFailure schedules the next probe. It doubles the delay unless the workload fails on every worker, since
// such a failure says nothing about this worker.
func (t *Tracker) recordProbeFailure(w *worker, name string, now time.Time) {
	if !t.FailsEverywhere(name) {
		w.probeDelay = min(2*w.probeDelay, t.opts.MaxProbeDelay)
	}
	w.nextProbe = now.Add(w.probeDelay)
}

// State returns the quarantine state of a worker.
func (t *Tracker) State(id api.WorkerID, now time.Time) State {
	w := t.workers[id]
	if w == nil || !w.quarantined {
		return State{}
	}
	return State{Quarantined: true, Probe: !now.Before(w.nextProbe), NextProbe: w.nextProbe}
}

// ProbeStarted records that a job was placed on a quarantined worker. The next probe is due after the current delay, so
// that no second one starts while the first runs.
func (t *Tracker) ProbeStarted(id api.WorkerID, now time.Time) {
	if w := t.workers[id]; w != nil && w.quarantined {
		w.nextProbe = now.Add(w.probeDelay)
	}
}

// Remove removes a worker that has left the fleet.
func (t *Tracker) Remove(id api.WorkerID) { delete(t.workers, id) }

// FailsEverywhere reports whether failures of the workload count against the workload and not against the workers.
func (t *Tracker) FailsEverywhere(name string) bool {
	w := t.workloads[name]
	return t.opts.AttributeToWorkloads && w != nil && len(w.failedOn) >= t.opts.MinFailedWorkers
}

// GiveUp reports whether the task has failed too often to be started again, and why. Successes of other tasks of the
// same workload do not raise the limit, so the number of tries is always bounded.
func (t *Tracker) GiveUp(task *api.Task) (reason string, giveUp bool) {
	if task.Failures < t.opts.MaxFailures {
		return "", false
	}
	if w := t.workloads[task.Work]; w != nil && t.FailsEverywhere(task.Work) {
		return fmt.Sprintf("failed %d times; the workload failed on %d different workers and succeeded on none",
			task.Failures, len(w.failedOn)), true
	}
	return fmt.Sprintf("failed %d times", task.Failures), true
}

// failsEverything reports whether the worker's consecutive failures meet the quarantine rule. Failures that count
// against the workload are ignored.
func (t *Tracker) failsEverything(w *worker) bool {
	failures := 0
	workloads := map[string]bool{}
	for _, name := range w.consecutiveFailures {
		if t.FailsEverywhere(name) {
			continue
		}
		failures++
		workloads[name] = true
	}
	return failures >= t.opts.ConsecutiveFailures && len(workloads) >= t.opts.DistinctWorkloads
}

// recordWorkloadFailure adds the worker to those on which the workload has failed.
func (t *Tracker) recordWorkloadFailure(id api.WorkerID, name string) {
	w := t.workloads[name]
	if w == nil {
		if len(t.workloads) >= t.opts.MaxWorkloads {
			clear(t.workloads)
		}
		w = &workload{}
		t.workloads[name] = w
	}
	for _, recorded := range w.failedOn {
		if recorded == id {
			return
		}
	}
	if len(w.failedOn) < maxRecordedFailures {
		w.failedOn = append(w.failedOn, id)
	}
}

// worker returns the state of a worker, creating it if needed.
func (t *Tracker) worker(id api.WorkerID) *worker {
	w := t.workers[id]
	if w == nil {
		w = &worker{}
		t.workers[id] = w
	}
	return w
}
