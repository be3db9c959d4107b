package execution

import "time"

// stockEvery is the time between two log lines that sum up the fleet.
const stockEvery = 2 * time.Second

// logStock sums up the fleet, so that a log alone tells why work waited.
func (t *Term) logStock(now time.Duration) {
	if now < t.stockAt || t.usable == 0 {
		return
	}
	t.stockAt = now + stockEvery
	var usable, silent, servingNodes, fillerNodes, free, leftover, serving, fillers, other int
	phases := make(map[string]int)
	for _, w := range t.engaged {
		n := &w.node
		for _, r := range w.runs {
			phases[r.describe()]++
		}
		if w.lookFailures > 0 {
			silent++
		}
		if !n.Usable {
			continue
		}
		usable++
		free += n.Free().CPU
		serving += n.LatencyCriticalTasks
		fillers += n.BestEffortTasks
		other += len(w.runs) - n.LatencyCriticalTasks - n.BestEffortTasks
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
		if !j.begun {
			waiting++
		}
	}
	t.log.Info().Int("jobs", len(t.jobs)).Int("not_begun", waiting).Int("listed", len(t.workers)).Int("engaged", len(t.engaged)).Int("usable", usable).Int("silent", silent).
		Int("serving_workers", servingNodes).Int("filler_workers", fillerNodes).Int("free_cpu", free).
		Int("leftover_cpu", leftover).Int("serving", serving).Int("fillers", fillers).Int("other", other).
		Int("headroom", t.spread(t.urgent.missing())).Int("short_headroom", t.spread(t.short.missing())).
		Int("holds", len(t.holds)).Interface("attempts", phases).Interface("refusals", t.refusals).Dur("duty_age", t.holder.Age()).
		Dur("run_delay", t.overload.delay).Msg("fleet")
	clear(t.refusals)
}

// describe names how far an attempt has got.
func (r *run) describe() string {
	switch {
	case r.stopping:
		return "stopping"
	case r.phase == phaseRecording:
		return "recording"
	case r.phase == phaseOrdered:
		return "ordered"
	case r.phase == phaseInherited:
		return "inherited"
	}
	return "running"
}
