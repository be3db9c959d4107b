package soak

import (
	"time"

	"bronzehook/platform/platformtest"
)

// check verifies the invariants of a run from what callers and workers saw. Each failure message begins with a short name
// of the violated invariant, such as "lost", "refused" or "order".
func (s *scenario) check() {
	for _, violation := range s.fleet.Violations() {
		s.t.Errorf("twice or limit: %s", violation)
	}
	started := make(map[string]bool)
	done := make(map[string]map[string]bool)
	for _, f := range s.fleet.Finishes() {
		if f.Cause == "done" {
			id := jobOf(f.Task)
			if done[id] == nil {
				done[id] = make(map[string]bool)
			}
			done[id][f.Task] = true
		}
	}
	for _, start := range s.fleet.Starts() {
		started[jobOf(start.Task)] = true
	}
	s.checkOrder()
	s.callers.check(started, done)
	s.checkDraining()
	if s.contention != nil {
		s.contention.check()
	}
}

// checkLongRunning fails the test unless all tasks of each running long-running job run, and no task of a cancelled job runs
// or was started later than cancelLimit after both the cancellation and loadStopped.
func (s *scenario) checkLongRunning(loadStopped time.Time) {
	running := make(map[string]int)
	for _, task := range s.runningTasks() {
		running[jobOf(task)]++
	}
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	for _, id := range s.callers.accepted {
		state := s.callers.state[id]
		switch {
		case state == "cancelled" && running[id] > 0:
			s.t.Errorf("unasked: %d tasks of cancelled job %s run %v after the load stopped", running[id], id, time.Since(loadStopped))
		case isLongRunning(id) && state == "running" && running[id] != tasksPerLongRunningJob:
			s.t.Errorf("lost: %d of %d long-running tasks of %s run", running[id], tasksPerLongRunningJob, id)
		}
	}
	for _, start := range s.fleet.Starts() {
		id := jobOf(start.Task)
		cancelled, ok := s.callers.cancelled[id]
		if limit := cancelled.Add(cancelLimit); ok && start.At.After(limit) && start.At.After(loadStopped.Add(cancelLimit)) {
			s.t.Errorf("unasked: %s started %v after its job was cancelled", start.Task, start.At.Sub(cancelled))
		}
	}
}

// checkOrder fails the test if a task of the second step started before any task of the first step was done.
func (s *scenario) checkOrder() {
	firstDone := make(map[string]time.Time)
	for _, f := range s.fleet.Finishes() {
		id := jobOf(f.Task)
		if f.Cause == "done" && platformtest.StepOf(f.Task) == 0 && firstDone[id].IsZero() {
			firstDone[id] = f.At
		}
	}
	for _, start := range s.fleet.Starts() {
		id := jobOf(start.Task)
		if platformtest.StepOf(start.Task) == 1 && (firstDone[id].IsZero() || start.At.Before(firstDone[id])) {
			s.t.Errorf("order: %s started before any task of its first step was done", start.Task)
		}
	}
}
