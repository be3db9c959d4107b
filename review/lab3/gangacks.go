package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bronzehook/platform/platformtest"
)

// Gangs, and tasks beside them, come for a few seconds, with the disruption twice as many of the gangs. After that small jobs of two
// steps come, without gangs and without any disruption. Rule LOST: finish_s after the end of the traffic no job may have nothing
// running for 3 s while a task's turn has come and there is capacity for it twice over.
const (
	gangWorkers    = 12
	gangCount      = 12
	sideCount      = 2
	gangTimes      = 24
	gangInterval   = 200 * time.Millisecond
	burstFactor    = 2
	gangRunsLeast  = 900 * time.Millisecond
	settleTime     = 5 * time.Second
	pairInterval   = 200 * time.Millisecond
	pairTime       = 32 * time.Second
	pairCount      = 24
	pairCPU        = 100
	pairMemoryMB   = 20
	pairRunsLeast  = 100 * time.Millisecond
	pairRunsSpread = 300 * time.Millisecond
)

// Within each interval the jobs arrive at first, the tasks beside the gangs end at sidePhase, and the gangs at gangPhase.
const (
	sidePhase = 90 * time.Millisecond
	gangPhase = 150 * time.Millisecond
)

const (
	kindGang = 'd'
	kindSide = '5'
	kindPair = 'e'
)

// schedule gives the tasks of the first part their ends.
type schedule struct {
	begun time.Time
	mu    sync.Mutex
	ends  map[string]time.Time
}

// left returns how long a task runs that starts now. All tasks of a run of a job end at the same moment.
func (s *schedule) left(job string, phase time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	end, known := s.ends[job]
	if !known || time.Until(end) <= 0 {
		intervals := (time.Since(s.begun) + gangRunsLeast) / gangInterval
		end = s.begun.Add((intervals+1)*gangInterval + phase)
		s.ends[job] = end
	}
	return time.Until(end)
}

func playGangAcks(r *rig, trouble bool) error {
	s := &schedule{begun: time.Now(), ends: make(map[string]time.Time)}
	behaviour := platformtest.Behaviour{
		Duration: func(task string) time.Duration {
			switch task[0] {
			case kindGang:
				return s.left(jobOf(task), gangPhase)
			case kindSide:
				return s.left(jobOf(task), sidePhase)
			}
			return pairRunsLeast + rand.N(pairRunsSpread)
		},
		Gang: func(task string) bool { return task[0] == kindGang },
		CPU:  func(string) int { return pairCPU },
	}
	if err := r.startPlatform(gangWorkers, behaviour); err != nil {
		return err
	}
	r.putManifest(1, defaultRoute())
	if err := r.startInstances(3, nil); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	accepted := &acceptedJobs{jobs: make(map[string]bool)}
	var open sync.WaitGroup
	hand := func(id string, job any) {
		open.Go(func() { accepted.note(id, r.submit(id, job)) })
	}
	atOnce := 1
	if trouble {
		atOnce = burstFactor
	}
	r.note("gangs at once: %d", atOnce)
	for i := range gangTimes {
		time.Sleep(gangInterval - time.Since(s.begun)%gangInterval)
		for k := range atOnce {
			hand(jobID(kindGang, i*burstFactor+k), spreadJob(gangCount, true))
		}
		hand(jobID(kindSide, i), spreadJob(sideCount, false))
	}
	r.note("no more gangs")
	time.Sleep(settleTime)
	for i, begun := 0, time.Now(); time.Since(begun) < pairTime; i++ {
		hand(jobID(kindPair, i), pairJob())
		time.Sleep(pairInterval)
	}
	open.Wait()
	if count := countTrue(accepted.jobs); count < len(accepted.jobs)/2 {
		return fmt.Errorf("only %d of %d jobs were accepted", count, len(accepted.jobs))
	}
	r.note("end of the traffic")
	time.Sleep(finishTime)
	r.judgePairs(accepted.jobs)
	return nil
}

// spreadJob is a job of tasks on different workers.
func spreadJob(count int, gang bool) map[string]any {
	step := map[string]any{"count": count, "cpu": pairCPU, "mem_mb": pairMemoryMB, "estimated_ms": gangRunsLeast.Milliseconds(), "anti_affinity": 1}
	if gang {
		step["gang"] = true
	}
	return map[string]any{"spec": "spread", "steps": []map[string]any{step}}
}

// pairJob is a job of two steps, one after the other.
func pairJob() map[string]any {
	step := map[string]any{"count": pairCount, "cpu": pairCPU, "mem_mb": pairMemoryMB, "estimated_ms": 250}
	second := map[string]any{"after": []int{0}}
	for key, value := range step {
		second[key] = value
	}
	return map[string]any{"spec": "pair", "steps": []map[string]any{step, second}}
}

// acceptedJobs holds the jobs that were accepted.
type acceptedJobs struct {
	mu   sync.Mutex
	jobs map[string]bool
}

func (a *acceptedJobs) note(id string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.jobs[id] = ok
}

// judgePairs looks for accepted jobs whose second step does not run for idleLimit although all tasks of the first are done, and for
// jobs of which nothing has run.
func (r *rig) judgePairs(accepted map[string]bool) {
	idleSince, found := make(map[string]time.Time), make(map[string]bool)
	seenDone := make(map[string]int)
	capacity := gangWorkers * r.fleet.CPU
	for until := time.Now().Add(judgeTime); time.Now().Before(until); time.Sleep(judgeInterval) {
		running := make(map[string]bool)
		inUse := 0
		for _, w := range r.fleet.Workers() {
			for _, task := range w.RunningTasks() {
				running[jobOf(task)] = true
				inUse += pairCPU
			}
		}
		done := r.doneBySteps()
		now := time.Now()
		for id, ok := range accepted {
			first, second := done[id+".0"], done[id+".1"]
			progressed := first+second != seenDone[id]
			seenDone[id] = first + second
			if !ok || id[0] != kindPair || running[id] || progressed || second >= pairCount || 2*inUse >= capacity {
				delete(idleSince, id)
				continue
			}
			if _, known := idleSince[id]; !known {
				idleSince[id] = now
			}
			if idle := now.Sub(idleSince[id]); idle > idleLimit && !found[id] {
				found[id] = true
				r.breakRule("LOST: job %s has nothing running for %.1f s, %d of %d tasks of its first step and %d of its second "+
					"have ended done; %d of %d thousandths of a core in use; state %q",
					id, idle.Seconds(), first, pairCount, second, inUse, capacity, r.state(id))
			}
		}
	}
	ends := make(map[string]int)
	for _, f := range r.fleet.Finishes() {
		ends[f.Worker]++
	}
	for _, w := range r.fleet.Workers() {
		r.note("worker %s: %d runs have ended there", w.ID, ends[w.ID])
	}
	unfinished := 0
	for id, ok := range accepted {
		if state := r.state(id); ok && state != "succeeded" {
			unfinished++
		}
	}
	r.note("accepted jobs: %d, not shown as succeeded: %d, without work: %d", countTrue(accepted), unfinished, len(found))
}

// doneBySteps counts the tasks that have ended done, by job and step.
func (r *rig) doneBySteps() map[string]int {
	done := make(map[string]int)
	for _, f := range r.fleet.Finishes() {
		if f.Cause == "done" {
			done[fmt.Sprintf("%s.%d", jobOf(f.Task), platformtest.StepOf(f.Task))]++
		}
	}
	return done
}
