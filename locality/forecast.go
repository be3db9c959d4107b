package locality

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bronzehook/jobs"
)

// Never is the time of an event that is not expected to happen.
const Never = time.Duration(math.MaxInt64)

// Release is the capacity that becomes free on a worker at a time.
type Release struct {
	At       time.Duration
	Capacity jobs.Resources
}

// Forecast predicts when the workers of a near place will have capacity for waiting tasks. Tasks are added in the order of their
// ranks, and each takes the earliest capacity on one worker. A later task does not start before an earlier one on the same
// worker, which overstates the wait of small tasks behind large ones.
type Forecast struct {
	now     time.Duration
	workers []timeline
	// memo holds the latest result of next, until a task is added.
	memo struct {
		valid bool
		need  jobs.Resources
		slot  slot
	}
}

// timeline is the free capacity of one worker at a time, and what becomes free after it.
type timeline struct {
	at       time.Duration
	free     jobs.Resources
	releases []Release
}

// slot is the earliest capacity for a task: from start on, after the given number of releases of a worker.
type slot struct {
	worker, releases int
	start            time.Duration
}

// NewForecast returns a forecast at a time, without workers.
func NewForecast(now time.Duration) *Forecast { return &Forecast{now: now} }

// AddWorker adds a worker with its free capacity and what will become free on it. The releases are in the order of their times;
// they are not changed.
func (f *Forecast) AddWorker(free jobs.Resources, releases []Release) {
	f.workers = append(f.workers, timeline{at: f.now, free: free, releases: releases})
	f.memo.valid = false
}

// Empty reports whether the forecast is of no worker.
func (f *Forecast) Empty() bool { return len(f.workers) == 0 }

// Wait returns the time until the place has capacity for another task; Never if it is not expected to.
func (f *Forecast) Wait(need jobs.Resources) time.Duration { return f.until(f.next(need).start) }

// until returns the time from now to a start.
func (f *Forecast) until(start time.Duration) time.Duration {
	if start == Never {
		return Never
	}
	return start - f.now
}

// Add adds a waiting task, which takes the earliest capacity for its run time.
func (f *Forecast) Add(need jobs.Resources, runTime time.Duration) { f.take(need, runTime) }

// Start notes that a task has just been placed on a worker, by the order of AddWorker.
func (f *Forecast) Start(worker int, need jobs.Resources, runTime time.Duration) {
	w := &f.workers[worker]
	w.free = w.free.Sub(need)
	if runTime > 0 {
		w.release(Release{f.now + runTime, need})
	}
	f.memo.valid = false
}

// WaitGroup returns the time until the place has capacity for all tasks of a group at once; Never if it is not expected to.
func (f *Forecast) WaitGroup(need jobs.Resources, count, perWorker int) time.Duration {
	return f.until(f.withGroup(need, count, perWorker).start)
}

// AddGroup adds a group, which takes capacity for all of its tasks for their run time once there is enough.
func (f *Forecast) AddGroup(need jobs.Resources, count, perWorker int, runTime time.Duration) {
	with := f.withGroup(need, count, perWorker)
	if with.start == Never {
		return
	}
	for i := range with.workers {
		for range with.taken[i] {
			with.workers[i].release(Release{with.start + runTime, need})
		}
	}
	f.workers, f.memo.valid = with.workers, false
}

// groupPlan is a forecast in which a group has taken capacity without returning it.
type groupPlan struct {
	Forecast
	start time.Duration
	// taken counts the tasks by worker.
	taken []int
}

func (f *Forecast) withGroup(need jobs.Resources, count, perWorker int) groupPlan {
	plan := groupPlan{Forecast: Forecast{now: f.now, workers: slices.Clone(f.workers)}, start: f.now, taken: make([]int, len(f.workers))}
	for range count {
		best := slot{worker: -1, start: Never}
		for i := range plan.workers {
			if perWorker > 0 && plan.taken[i] >= perWorker {
				continue
			}
			if start, releases := plan.workers[i].next(need); start < best.start {
				best = slot{i, releases, start}
			}
		}
		if best.worker < 0 {
			plan.start = Never
			return plan
		}
		plan.workers[best.worker].take(need, best)
		plan.taken[best.worker]++
		plan.start = max(plan.start, best.start)
	}
	return plan
}

func (f *Forecast) next(need jobs.Resources) slot {
	if f.memo.valid && f.memo.need == need {
		return f.memo.slot
	}
	best := slot{worker: -1, start: Never}
	for i := range f.workers {
		if start, releases := f.workers[i].next(need); start < best.start {
			best = slot{i, releases, start}
		}
	}
	f.memo.valid, f.memo.need, f.memo.slot = true, need, best
	return best
}

func (f *Forecast) take(need jobs.Resources, runTime time.Duration) {
	s := f.next(need)
	if s.worker < 0 {
		return
	}
	w := &f.workers[s.worker]
	w.take(need, s)
	w.release(Release{s.start + runTime, need})
	f.memo.valid = false
}

// next returns when the worker has capacity for a task, and after how many releases.
func (w *timeline) next(need jobs.Resources) (time.Duration, int) {
	free, at := w.free, w.at
	for i := 0; ; i++ {
		if need.Fits(free) {
			return at, i
		}
		if i == len(w.releases) {
			return Never, i
		}
		free, at = free.Add(w.releases[i].Capacity), max(at, w.releases[i].At)
	}
}

// take lets a task take the capacity of a slot.
func (w *timeline) take(need jobs.Resources, s slot) {
	for _, r := range w.releases[:s.releases] {
		w.free = w.free.Add(r.Capacity)
	}
	w.free, w.at, w.releases = w.free.Sub(need), s.start, w.releases[s.releases:]
}

// release adds a release. The slice is shared with other forecasts, so that it is copied.
func (w *timeline) release(r Release) {
	i, _ := slices.BinarySearchFunc(w.releases, r.At, func(other Release, at time.Duration) int {
		return cmp.Compare(other.At, at)
	})
	releases := make([]Release, 0, len(w.releases)+1)
	releases = append(append(append(releases, w.releases[:i]...), r), w.releases[i:]...)
	w.releases = releases
}
