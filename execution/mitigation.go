package execution

import (
	"sort"
	"time"

	"bronzehook/logging"
	"bronzehook/placement"
)

// Timing and steps of the mitigation of interference with latency-critical tasks.
const (
	// colocatedPollWait bounds the age of measurements on workers that run best-effort beside latency-critical tasks.
	colocatedPollWait = 600 * time.Millisecond
	// settleTime is how long a change of a CPU limit takes to show in a measurement, which covers the last half
	// second.
	settleTime = 650 * time.Millisecond
	// maxTimeOverTarget is how long a latency-critical task may be over its target before all best-effort tasks
	// beside it are suspended.
	maxTimeOverTarget = 1300 * time.Millisecond
	// moveSuspendedAfter is how long a best-effort task is suspended before it is moved to another worker.
	moveSuspendedAfter = 400 * time.Millisecond
	// maxMoveProgress is the progress in percent from which on a suspended task is not moved.
	maxMoveProgress = 85
	// fullCPUPercent stands for no CPU limit, minCPUPercent is the lowest limit other than 0. Both are percentages of
	// the CPU share of a best-effort task.
	fullCPUPercent = 100
	minCPUPercent  = 10
	// minInterferenceLoad keeps the division by an interference load that is not known yet finite.
	minInterferenceLoad = 1e-3
)

// colocated reports whether best-effort tasks run beside latency-critical ones.
func (w *worker) colocated() bool {
	return w.node.LatencyCriticalTasks > 0 && w.node.BestEffortTasks > 0
}

// recordLatencies updates the interference model from a worker's inventory and records the tail latencies of its
// latency-critical tasks. Those on a slow worker say nothing about images and do not reach the model.
func (t *Term) recordLatencies(w *worker) {
	if w.node.LatencyCriticalTasks == 0 {
		t.setSlow(w, false, 0)
		return
	}
	samples := t.latencySamples(w)
	t.classifySpeed(w, samples)
	w.node.InvalidateAdmissible()
	for _, group := range w.node.LatencyCriticalByImage {
		group.TailLatency = 0
		if !w.slow {
			group.IntrinsicLoad = 0
		}
	}
	for _, sample := range samples {
		group := w.node.LatencyCriticalByImage[sample.Image]
		group.TailLatency = max(group.TailLatency, sample.TailLatency)
		if !w.slow {
			group.IntrinsicLoad = max(group.IntrinsicLoad, t.interference.Learn(sample))
		}
	}
}

// latencySamples returns the measurements of a worker's latency-critical tasks that are in full operation.
func (t *Term) latencySamples(w *worker) []placement.Sample {
	bestEffortUsage := make(map[string]float64)
	for _, r := range w.attempts {
		if r.task.step.BestEffort && r.phase == phaseRunning {
			bestEffortUsage[r.task.step.Image] += float64(r.usage) / float64(max(1, w.node.Registration.Capacity.CPU))
		}
	}
	var samples []placement.Sample
	for _, r := range w.attempts {
		if !r.task.step.LatencyCritical() || r.progress < wholePercent || r.usage <= 0 {
			continue
		}
		samples = append(samples, placement.Sample{
			Job: r.task.job.spec.ID, Image: r.task.step.Image, TailLatency: time.Duration(r.usage) * time.Millisecond,
			BestEffortShares: bestEffortUsage, At: t.opts.Clock(),
		})
	}
	return samples
}

// mitigateInterference keeps the latency-critical tasks of a worker under their targets. It throttles best-effort
// tasks while a measured tail latency is near its target, relaxes the throttle when there is margin again, and moves
// tasks that stay suspended.
func (t *Term) mitigateInterference(w *worker, now time.Duration) {
	if !w.colocated() {
		w.overTargetSince = 0
		return
	}
	t.moveSuspended(w, now)
	image, share, known := t.interference.HighestTargetRatio(&w.node)
	if !known {
		return
	}
	if share <= 1 {
		w.overTargetSince = 0
	} else if w.overTargetSince == 0 {
		w.overTargetSince = now
	}
	if w.slow || (w.overTargetSince > 0 && now-w.overTargetSince > maxTimeOverTarget) {
		t.suspendAll(w, image, share, now)
		return
	}
	if now < w.throttledAt+settleTime {
		return
	}
	switch {
	case share > placement.ThrottleAbove:
		t.tightenThrottle(w, image, share, now)
	case share < placement.UnthrottleBelow:
		t.relaxThrottle(w, image, share, now)
	}
}

// moveSuspended stops best-effort tasks that have been suspended for moveSuspendedAfter, so that they continue
// elsewhere.
func (t *Term) moveSuspended(w *worker, now time.Duration) {
	for _, r := range w.attempts {
		suspended := r.cpuPercent < minCPUPercent && r.task.step.BestEffort && r.phase == phaseRunning && !r.stopping
		if suspended && now-r.throttledAt > moveSuspendedAfter && r.progress < maxMoveProgress {
			r.task.avoid = w.id()
			t.stop(r, "interferes with latency-critical tasks")
		}
	}
}

// suspendAll suspends every best-effort task of a worker.
func (t *Term) suspendAll(w *worker, image string, share float64, now time.Duration) {
	for _, r := range w.attempts {
		if r.task.step.BestEffort && r.phase == phaseRunning && !r.stopping && r.cpuPercent > 0 {
			t.setThrottle(r, 0, image, share, now)
		}
	}
}

// tightenThrottle lowers the CPU limit of the best-effort task that interferes most with an image, so that the
// predicted tail latency is well under the target. It changes one task at a time: the next measurement shows whether
// that was enough.
func (t *Term) tightenThrottle(w *worker, image string, share float64, now time.Duration) {
	excess := t.interference.ExcessLoad(&w.node, image)
	for _, r := range t.bestEffortByLoad(w, image) {
		if r.cpuPercent == 0 {
			continue
		}
		load := max(t.interferenceLoad(r, image), minInterferenceLoad)
		cpuPercent := int(float64(r.cpuPercent) * max(0, 1-excess/load))
		if cpuPercent < minCPUPercent {
			cpuPercent = 0
		}
		t.setThrottle(r, cpuPercent, image, share, now)
		return
	}
}

// relaxThrottle raises the CPU limit of the throttled task that interferes least, as far as the margin to the target
// allows.
func (t *Term) relaxThrottle(w *worker, image string, share float64, now time.Duration) {
	margin := -t.interference.ExcessLoad(&w.node, image)
	attempts := t.bestEffortByLoad(w, image)
	for i := len(attempts) - 1; i >= 0; i-- {
		r := attempts[i]
		if r.cpuPercent >= fullCPUPercent {
			continue
		}
		requested := float64(r.task.step.Resources.CPU) / float64(max(1, w.node.Registration.Capacity.CPU))
		addedLoad := t.interference.Effect(image, r.task.step.Image) * requested * float64(fullCPUPercent-r.cpuPercent) / fullCPUPercent
		cpuPercent := fullCPUPercent
		if addedLoad > margin {
			cpuPercent = r.cpuPercent + int(float64(fullCPUPercent-r.cpuPercent)*margin/addedLoad)
		}
		if cpuPercent >= r.cpuPercent+minCPUPercent {
			t.setThrottle(r, cpuPercent, image, share, now)
			return
		}
	}
}

// interferenceLoad returns the load that a best-effort attempt adds to an image's own.
func (t *Term) interferenceLoad(r *taskAttempt, image string) float64 {
	used := float64(r.usage) / float64(max(1, r.worker.node.Registration.Capacity.CPU))
	return t.interference.Effect(image, r.task.step.Image) * used
}

// bestEffortByLoad returns the running best-effort attempts of a worker, those with the highest interference load
// first.
func (t *Term) bestEffortByLoad(w *worker, image string) []*taskAttempt {
	var attempts []*taskAttempt
	for _, r := range w.attempts {
		if r.task.step.BestEffort && r.phase == phaseRunning && !r.stopping {
			attempts = append(attempts, r)
		}
	}
	sort.Slice(attempts, func(i, j int) bool {
		return t.interferenceLoad(attempts[i], image) > t.interferenceLoad(attempts[j], image)
	})
	return attempts
}

// setThrottle limits a best-effort attempt to a percentage of its share of the CPU.
func (t *Term) setThrottle(r *taskAttempt, cpuPercent int, image string, share float64, now time.Duration) {
	t.log.Info().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.number).
		Str(logging.KeyWorker, string(r.worker.id())).Int("pace", cpuPercent).Int("before", r.cpuPercent).
		Str("image", r.task.step.Image).Str("serving_image", image).Float64("share_of_target", share).
		Float64("effect", t.interference.Effect(image, r.task.step.Image)).Msg("filler paced")
	r.cpuPercent, r.throttledAt = cpuPercent, now
	r.worker.throttledAt = now
	target := t.target(r.worker)
	task, attempt := r.task.id, r.number
	go func() {
		if !t.leader.Valid() {
			return
		}
		if err := t.opts.Workers.Throttle(t.ctx, target, task, attempt, cpuPercent); err != nil {
			t.post(func() { t.handleThrottleFailure(r, err) })
		}
	}()
}

// handleThrottleFailure stops a best-effort attempt whose CPU limit is not known.
func (t *Term) handleThrottleFailure(r *taskAttempt, err error) {
	t.log.Warn().Stringer(logging.KeyTask, r.task.id).AnErr("error", err).Msg("CPU limit not set")
	if r.worker.attempts[attemptKey{r.task.id, r.number}] == r {
		t.stop(r, "interferes with latency-critical tasks")
	}
}
