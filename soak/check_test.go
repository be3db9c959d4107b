package soak

import (
	"time"

	"bronzehook/platform/platformtest"
)

// check compares what was promised with what was seen.
func (s *site) check() {
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
}

// checkLasting requires that lasting tasks are at work unless their jobs are cancelled, and that nothing of a cancelled job
// runs.
func (s *site) checkLasting(healed time.Time) {
	at := make(map[string]int)
	for _, w := range s.fleet.Workers() {
		for _, task := range w.RunningTasks() {
			at[jobOf(task)]++
		}
	}
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	for _, id := range s.callers.accepted {
		state := s.callers.state[id]
		switch {
		case state == "cancelled" && at[id] > 0:
			s.t.Errorf("unasked: %d tasks of %s run %v after the faults, which was cancelled", at[id], id, time.Since(healed))
		case lasts(id) && state == "running" && at[id] != lastingTasks:
			s.t.Errorf("lost: %d of %d lasting tasks of %s run", at[id], lastingTasks, id)
		}
	}
	for _, start := range s.fleet.Starts() {
		id := jobOf(start.Task)
		cancelled, ok := s.callers.cancelled[id]
		if limit := cancelled.Add(stopTime); ok && start.At.After(limit) && start.At.After(healed.Add(stopTime)) {
			s.t.Errorf("unasked: %s started %v after its job was cancelled", start.Task, start.At.Sub(cancelled))
		}
	}
}

// checkOrder requires that all tasks of the first step were done before one of the second started.
func (s *site) checkOrder() {
	last := make(map[string]time.Time)
	for _, f := range s.fleet.Finishes() {
		id := jobOf(f.Task)
		if f.Cause == "done" && platformtest.StepOf(f.Task) == 0 && last[id].IsZero() {
			last[id] = f.At
		}
	}
	for _, start := range s.fleet.Starts() {
		id := jobOf(start.Task)
		if platformtest.StepOf(start.Task) == 1 && (last[id].IsZero() || start.At.Before(last[id])) {
			s.t.Errorf("order: %s started before its first step was done", start.Task)
		}
	}
}
