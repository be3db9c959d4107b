package main

import (
	"os"
	"time"

	"bronzehook/platform/platformtest"
)

// A large job is accepted while small ones come. Rule LOST: finish_s after the end of the traffic no job may have nothing running for
// 3 s while a task's turn has come, there is capacity for it twice over, and under half of the capacity is in use.
const (
	largeJobWorkers = 24
	largeCount      = 3000
	largeCPU        = 50
	largeMemoryMB   = 20
	largeRuns       = 4 * time.Second
	smallCount      = 2
	smallCPU        = 1000
	smallRuns       = 600 * time.Millisecond
	smallInterval   = 500 * time.Millisecond
	largeAfter      = 5 * time.Second
	trafficTime     = 25 * time.Second
	finishTime      = 14 * time.Second
	idleLimit       = 3 * time.Second
	judgeTime       = 5 * time.Second
	judgeInterval   = 100 * time.Millisecond
)

// With VARIANT=timed a job with times takes the place of the large one: small occurrences, of which none is large by itself.
const (
	timedCount      = 60
	timedTimes      = 110
	timedInterval   = 500 * time.Millisecond
	timedRuns       = 300 * time.Millisecond
	timedTraffic    = 60 * time.Second
	timedFirstAfter = time.Second
)

const (
	kindSmall = 'a'
	kindLarge = 'b'
)

func playLargeJob(r *rig, trouble bool) error {
	isLarge := func(task string) bool { return task[0] == kindLarge }
	large, largeTime, traffic := oneStep(largeCount, largeCPU, largeMemoryMB, largeRuns), largeRuns, trafficTime
	timed := os.Getenv("VARIANT") == "timed"
	if timed {
		large, largeTime, traffic = oneStep(timedCount, largeCPU, largeMemoryMB, timedRuns), timedRuns, timedTraffic
		large["repeat_count"], large["interval_ms"] = timedTimes, timedInterval.Milliseconds()
	}
	cpuOf := func(task string) int {
		if isLarge(task) {
			return largeCPU
		}
		return smallCPU
	}
	behaviour := platformtest.Behaviour{
		Duration: func(task string) time.Duration {
			if isLarge(task) {
				return largeTime
			}
			return smallRuns
		},
		CPU: cpuOf,
	}
	if err := r.startPlatform(largeJobWorkers, behaviour); err != nil {
		return err
	}
	r.putManifest(1, defaultRoute())
	if err := r.startInstances(3, nil); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	accepted := make(map[string]bool)
	begun := time.Now()
	sentLarge := false
	for i := 0; time.Since(begun) < traffic; i++ {
		if trouble && !sentLarge && time.Since(begun) > largeAfter {
			sentLarge = true
			id := jobID(kindLarge, 1)
			if timed {
				large["first_run_ms"] = time.Now().Add(timedFirstAfter).UnixMilli()
			}
			accepted[id] = r.submit(id, large)
		}
		id := jobID(kindSmall, i)
		accepted[id] = r.submit(id, oneStep(smallCount, smallCPU, 512, smallRuns))
		time.Sleep(smallInterval)
	}
	r.note("end of the traffic")
	time.Sleep(finishTime)
	r.judgeIdle(accepted, cpuOf)
	r.note("transactions refused by the store for a row above %d bytes: %d, largest row %d bytes", rowBytes, r.refusedRows, r.largestRow)
	return nil
}

func oneStep(count, cpu, memoryMB int, runs time.Duration) map[string]any {
	return map[string]any{"spec": "review", "steps": []map[string]any{
		{"count": count, "cpu": cpu, "mem_mb": memoryMB, "estimated_ms": runs.Milliseconds()},
	}}
}

// judgeIdle looks for accepted jobs that have not ended and have nothing running for idleLimit, while under half of the
// capacity is in use.
func (r *rig) judgeIdle(accepted map[string]bool, cpuOf func(string) int) {
	idleSince := make(map[string]time.Time)
	found := make(map[string]bool)
	capacity := largeJobWorkers * r.fleet.CPU
	for until := time.Now().Add(judgeTime); time.Now().Before(until); time.Sleep(judgeInterval) {
		running, inUse := make(map[string]bool), 0
		for _, w := range r.fleet.Workers() {
			for _, task := range w.RunningTasks() {
				running[jobOf(task)] = true
				inUse += cpuOf(task)
			}
		}
		now := time.Now()
		for id, ok := range accepted {
			if !ok || running[id] || 2*inUse >= capacity || r.ended(id) {
				delete(idleSince, id)
				continue
			}
			if _, known := idleSince[id]; !known {
				idleSince[id] = now
			}
			if now.Sub(idleSince[id]) > idleLimit && !found[id] {
				found[id] = true
				r.breakRule("LOST: job %s, accepted, has nothing running for %.1f s, %d of %d thousandths of a core in use; state %q",
					id, now.Sub(idleSince[id]).Seconds(), inUse, capacity, r.state(id))
			}
		}
	}
	r.note("accepted jobs: %d, without work: %d", countTrue(accepted), len(found))
}

// ended reports whether all tasks of a job are done at the workers.
func (r *rig) ended(id string) bool {
	done, want := 0, smallCount
	if id[0] == kindLarge {
		want = largeCount
		if os.Getenv("VARIANT") == "timed" {
			want = timedCount * timedTimes
		}
	}
	for _, f := range r.fleet.Finishes() {
		if f.Cause == "done" && jobOf(f.Task) == id {
			done++
		}
	}
	return done >= want
}

func countTrue(set map[string]bool) int {
	count := 0
	for _, ok := range set {
		if ok {
			count++
		}
	}
	return count
}
