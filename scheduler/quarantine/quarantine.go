// Package quarantine takes workers that fail everything out of use and tries them again sparingly. Failures of work that
// fails everywhere are held against the work, not against the workers.
package quarantine

import (
	"fmt"
	"time"

	"bronzehook/api"
)

// Options tunes the rules; each can be off alone.
type Options struct {
	// Workers quarantines workers that fail everything.
	Workers bool
	// Works holds failures against work that fails everywhere.
	Works bool
	// FailuresInRow failures of at least DifferentJobs jobs without a success between them quarantine a worker.
	FailuresInRow, DifferentJobs int
	// FirstProbe is the time until a quarantined worker gets one job; it doubles with each failure to MaxProbe.
	FirstProbe, MaxProbe time.Duration
	// FailsEverywhere is the number of different workers on which work must fail, without a success on any, for its
	// failures to be held against it.
	FailsEverywhere int
	// MaxTries is the number of failures after which a task is not started again.
	MaxTries int
	// MaxWorks bounds the works whose failures are remembered.
	MaxWorks int
}

// DefaultOptions returns the options of a production site.
func DefaultOptions() Options {
	return Options{
		Workers: true, Works: true, FailuresInRow: 5, DifferentJobs: 3, FirstProbe: time.Minute,
		MaxProbe: 30 * time.Minute, FailsEverywhere: 3, MaxTries: 6, MaxWorks: 1 << 12,
	}
}

// State is what placement has to know about a worker.
type State struct {
	Quarantined bool
	// Probe is set when one job may be started to find out whether the worker has recovered.
	Probe bool
	// Until is when the next probe is due.
	Until time.Time
}

type worker struct {
	// failed lists the works of the failures in a row, the last MaxStreak of them.
	failed      []string
	quarantined bool
	delay       time.Duration
	until       time.Time
}

type work struct {
	// failedOn lists the different workers on which the work failed since its last success.
	failedOn []api.WorkerID
}

// maxStreak bounds the failures in a row that are remembered of a worker.
const maxStreak = 64

// Tracker records the results of attempts. It is owned by one goroutine.
type Tracker struct {
	opts    Options
	workers map[api.WorkerID]*worker
	works   map[string]*work
}

// NewTracker returns a book without results.
func NewTracker(opts Options) *Tracker {
	return &Tracker{opts: opts, workers: map[api.WorkerID]*worker{}, works: map[string]*work{}}
}

// Success records that a task of the work succeeded on the worker, or became ready if it is a service or a watcher.
func (b *Tracker) Success(id api.WorkerID, name string) {
	delete(b.works, name)
	w := b.worker(id)
	w.failed = w.failed[:0]
	w.quarantined = false
	w.delay = 0
}

// Failure records that a task of the work failed on the worker and reports whether the worker was quarantined by it.
func (b *Tracker) Failure(id api.WorkerID, name string, now time.Time) bool {
	b.blameWork(id, name)
	w := b.worker(id)
	w.failed = append(w.failed, name)
	if len(w.failed) > maxStreak {
		w.failed = w.failed[1:]
	}
	if !b.opts.Workers {
		return false
	}
	if w.quarantined {
		b.probeFailed(w, name, now)
		return false
	}
	if !b.failsEverything(w) {
		return false
	}
	w.quarantined = true
	w.delay = b.opts.FirstProbe
	w.until = now.Add(w.delay)
	return true
}

// probeFailed doubles the time to the next probe, unless the probe was work that fails everywhere and so proves nothing.
func (b *Tracker) probeFailed(w *worker, name string, now time.Time) {
	if !b.FailsEverywhere(name) {
		w.delay = min(2*w.delay, b.opts.MaxProbe)
	}
	w.until = now.Add(w.delay)
}

// Of returns the state of a worker.
func (b *Tracker) Of(id api.WorkerID, now time.Time) State {
	w := b.workers[id]
	if w == nil || !w.quarantined {
		return State{}
	}
	return State{Quarantined: true, Probe: !now.Before(w.until), Until: w.until}
}

// ProbeStarted records that a job was placed on a quarantined worker, so that no second probe starts before its result.
func (b *Tracker) ProbeStarted(id api.WorkerID, now time.Time) {
	if w := b.workers[id]; w != nil && w.quarantined {
		w.until = now.Add(w.delay)
	}
}

// Forget drops a worker that has left.
func (b *Tracker) Forget(id api.WorkerID) { delete(b.workers, id) }

// FailsEverywhere reports whether failures of the work are held against it.
func (b *Tracker) FailsEverywhere(name string) bool {
	w := b.works[name]
	return b.opts.Works && w != nil && len(w.failedOn) >= b.opts.FailsEverywhere
}

// GiveUp reports whether a task with this many failures is not started again, and why. A success of other tasks of the
// same work raises no bound, so that the number of tries is bounded in every case.
func (b *Tracker) GiveUp(task *api.Task) (reason string, giveUp bool) {
	if task.Failures < b.opts.MaxTries {
		return "", false
	}
	if w := b.works[task.Work]; w != nil && b.FailsEverywhere(task.Work) {
		return fmt.Sprintf("failed %d times; the work failed on %d different workers and on none did it succeed",
			task.Failures, len(w.failedOn)), true
	}
	return fmt.Sprintf("failed %d times", task.Failures), true
}

// failsEverything applies the rule to the failures in a row that are not held against the work.
func (b *Tracker) failsEverything(w *worker) bool {
	counted := 0
	jobs := map[string]bool{}
	for _, name := range w.failed {
		if b.FailsEverywhere(name) {
			continue
		}
		counted++
		jobs[name] = true
	}
	return counted >= b.opts.FailuresInRow && len(jobs) >= b.opts.DifferentJobs
}

func (b *Tracker) blameWork(id api.WorkerID, name string) {
	w := b.works[name]
	if w == nil {
		if len(b.works) >= b.opts.MaxWorks {
			clear(b.works)
		}
		w = &work{}
		b.works[name] = w
	}
	for _, known := range w.failedOn {
		if known == id {
			return
		}
	}
	if len(w.failedOn) < maxStreak {
		w.failedOn = append(w.failedOn, id)
	}
}

func (b *Tracker) worker(id api.WorkerID) *worker {
	w := b.workers[id]
	if w == nil {
		w = &worker{}
		b.workers[id] = w
	}
	return w
}
