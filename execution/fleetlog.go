package execution

import "time"

// fleetLogInterval is the time between two fleet summaries in the log.
const fleetLogInterval = 2 * time.Second

// logFleet logs a fleet summary if that is due, so that the log alone shows why work waited.
func (t *Term) logFleet(now time.Duration) {
	if now < t.fleetLogAt || t.usableCount == 0 {
		return
	}
	t.fleetLogAt = now + fleetLogInterval
	var usable, unresponsive, latencyCriticalWorkers, bestEffortWorkers, free, leftover, latencyCritical, bestEffort, other int
	phases := make(map[string]int)
	for _, w := range t.active {
		n := &w.node
		for _, a := range w.attempts {
			phases[a.phaseLabel()]++
		}
		if w.pollFailures > 0 {
			unresponsive++
		}
		if !n.Usable {
			continue
		}
		usable++
		free += n.Free().CPU
		latencyCritical += n.LatencyCriticalTasks
		bestEffort += n.BestEffortTasks
		other += len(w.attempts) - n.LatencyCriticalTasks - n.BestEffortTasks
		switch {
		case n.LatencyCriticalTasks > 0:
			latencyCriticalWorkers++
		case n.BestEffortTasks > 0:
			bestEffortWorkers++
			leftover += n.UnusedCPU()
		default:
			leftover += n.UnusedCPU()
		}
	}
	notStarted := 0
	for _, j := range t.jobs {
		if !j.started {
			notStarted++
		}
	}
	t.log.Info().Int("jobs", len(t.jobs)).Int("not_begun", notStarted).Int("listed", len(t.workers)).Int("engaged", len(t.active)).Int("usable", usable).Int("silent", unresponsive).
		Int("serving_workers", latencyCriticalWorkers).Int("filler_workers", bestEffortWorkers).Int("free_cpu", free).
		Int("leftover_cpu", leftover).Int("serving", latencyCritical).Int("fillers", bestEffort).Int("other", other).
		Int("headroom", t.perWorker(t.topPriorityDemand.missing())).Int("short_headroom", t.perWorker(t.batchDemand.missing())).
		Int("holds", len(t.holds)).Interface("attempts", phases).Interface("refusals", t.refusals).Dur("duty_age", t.leader.Age()).
		Dur("run_delay", t.overload.runDelay).Msg("fleet")
	clear(t.refusals)
}

// phaseLabel returns the name under which the fleet summary counts the attempt.
func (a *taskAttempt) phaseLabel() string {
	if a.stopping {
		return "stopping"
	}
	return a.phase.String()
}
