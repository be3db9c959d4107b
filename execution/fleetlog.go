package execution

import "time"

// fleetLogInterval is the time between two log lines that sum up the fleet.
const fleetLogInterval = 2 * time.Second

// logFleet sums up the fleet, so that a log alone tells why work waited.
func (t *Term) logFleet(now time.Duration) {
	if now < t.fleetLogAt || t.usable == 0 {
		return
	}
	t.fleetLogAt = now + fleetLogInterval
	var usable, silent, servingNodes, fillerNodes, free, leftover, serving, fillers, other int
	phases := make(map[string]int)
	for _, w := range t.active {
		n := &w.node
		for _, r := range w.attempts {
			phases[r.phaseLabel()]++
		}
		if w.pollFailures > 0 {
			silent++
		}
		if !n.Usable {
			continue
		}
		usable++
		free += n.Free().CPU
		serving += n.LatencyCriticalTasks
		fillers += n.BestEffortTasks
		other += len(w.attempts) - n.LatencyCriticalTasks - n.BestEffortTasks
		switch {
		case n.LatencyCriticalTasks > 0:
			servingNodes++
		case n.BestEffortTasks > 0:
			fillerNodes++
			leftover += n.Leftover()
		default:
			leftover += n.Leftover()
		}
	}
	waiting := 0
	for _, j := range t.jobs {
		if !j.started {
			waiting++
		}
	}
	t.log.Info().Int("jobs", len(t.jobs)).Int("not_begun", waiting).Int("listed", len(t.workers)).Int("engaged", len(t.active)).Int("usable", usable).Int("silent", silent).
		Int("serving_workers", servingNodes).Int("filler_workers", fillerNodes).Int("free_cpu", free).
		Int("leftover_cpu", leftover).Int("serving", serving).Int("fillers", fillers).Int("other", other).
		Int("headroom", t.perWorker(t.topPriorityDemand.missing())).Int("short_headroom", t.perWorker(t.batchDemand.missing())).
		Int("holds", len(t.holds)).Interface("attempts", phases).Interface("refusals", t.refusals).Dur("duty_age", t.leader.Age()).
		Dur("run_delay", t.overload.delay).Msg("fleet")
	clear(t.refusals)
}

// phaseLabel names how far an attempt has got.
func (r *taskAttempt) phaseLabel() string {
	switch {
	case r.stopping:
		return "stopping"
	case r.phase == phaseRecording:
		return "recording"
	case r.phase == phaseSent:
		return "ordered"
	case r.phase == phaseInherited:
		return "inherited"
	}
	return "running"
}
