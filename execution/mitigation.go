package execution

import (
	"sort"
	"time"

	"bronzehook/logging"
	"bronzehook/placement"
)

// Timing and steps of the relief of serving tasks.
const (
	// colocatedPollWait bounds the age of measurements on workers where fillers run beside serving tasks.
	colocatedPollWait = 600 * time.Millisecond
	// settleTime is how long a change of pace needs to show in a measurement of the last half second.
	settleTime = 650 * time.Millisecond
	// maxTimeOverTarget is how long a serving task may be over its target before all fillers beside it are held.
	maxTimeOverTarget = 1300 * time.Millisecond
	// moveSuspendedAfter is how long a filler is held before it is moved elsewhere.
	moveSuspendedAfter = 400 * time.Millisecond
	// maxMoveProgress is the progress in percent from which a held filler is not moved.
	maxMoveProgress = 85
	// fullCPUPercent and the least pace other than 0, in percent of a filler's share.
	fullCPUPercent = 100
	minCPUPercent  = 10
	// minInterferenceLoad keeps the division by a push that is not known yet finite.
	minInterferenceLoad = 1e-3
)

// colocated reports whether fillers run beside serving tasks.
func (w *worker) colocated() bool {
	return w.node.LatencyCriticalTasks > 0 && w.node.BestEffortTasks > 0
}

// recordLatencies teaches the model of disturbance from a worker's inventory and notes the tails of its serving tasks. The tails on a
// slow worker say nothing of images.
func (t *Term) recordLatencies(w *worker) {
	if w.node.LatencyCriticalTasks == 0 {
		t.setSlow(w, false, 0)
		return
	}
	samples := t.samples(w)
	t.classifySpeed(w, samples)
	w.node.InvalidateAdmissible()
	for _, serving := range w.node.LatencyCriticalByImage {
		serving.Tail = 0
		if !w.slow {
			serving.Own = 0
		}
	}
	for _, sample := range samples {
		serving := w.node.LatencyCriticalByImage[sample.Image]
		serving.Tail = max(serving.Tail, sample.Tail)
		if !w.slow {
			serving.Own = max(serving.Own, t.interference.Learn(sample))
		}
	}
}

// samples returns the measurements of a worker's serving tasks that are at work.
func (t *Term) samples(w *worker) []placement.Sample {
	fillers := make(map[string]float64)
	for _, r := range w.attempts {
		if r.task.step.BestEffort && r.phase == phaseRunning {
			fillers[r.task.step.Image] += float64(r.usage) / float64(max(1, w.node.Entry.Capacity.CPU))
		}
	}
	var samples []placement.Sample
	for _, r := range w.attempts {
		if !r.task.step.LatencyCritical() || r.progress < wholePercent || r.usage <= 0 {
			continue
		}
		samples = append(samples, placement.Sample{
			Job: r.task.job.spec.ID, Image: r.task.step.Image, Tail: time.Duration(r.usage) * time.Millisecond,
			Fillers: fillers, At: t.opts.Clock(),
		})
	}
	return samples
}

// mitigateInterference keeps the serving tasks of a worker under their targets: it slows fillers down while a measured tail is near
// its target, lets them speed up when there is room again, and moves those that are held for long.
func (t *Term) mitigateInterference(w *worker, now time.Duration) {
	if !w.colocated() {
		w.overTargetSince = 0
		return
	}
	t.moveSuspended(w, now)
	image, share, known := t.interference.Worst(&w.node)
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
	case share > placement.Pressed:
		t.tightenThrottle(w, image, share, now)
	case share < placement.Relaxed:
		t.relaxThrottle(w, image, share, now)
	}
}

// moveSuspended stops fillers that have been held for long, so that they go on elsewhere.
func (t *Term) moveSuspended(w *worker, now time.Duration) {
	for _, r := range w.attempts {
		held := r.cpuPercent < minCPUPercent && r.task.step.BestEffort && r.phase == phaseRunning && !r.stopping
		if held && now-r.throttledAt > moveSuspendedAfter && r.progress < maxMoveProgress {
			r.task.avoid = w.id()
			t.stop(r, "disturbs serving tasks")
		}
	}
}

// suspendAll holds every filler of a worker.
func (t *Term) suspendAll(w *worker, image string, share float64, now time.Duration) {
	for _, r := range w.attempts {
		if r.task.step.BestEffort && r.phase == phaseRunning && !r.stopping && r.cpuPercent > 0 {
			t.setThrottle(r, 0, image, share, now)
		}
	}
}

// tightenThrottle reduces the filler that disturbs an image the most, so that the predicted tail is well under the target. One
// at a time: what is measured next tells whether that was enough.
func (t *Term) tightenThrottle(w *worker, image string, share float64, now time.Duration) {
	need := t.interference.Excess(&w.node, image)
	for _, r := range t.bestEffortByLoad(w, image) {
		if r.cpuPercent == 0 {
			continue
		}
		push := max(t.interferenceLoad(r, image), minInterferenceLoad)
		pace := int(float64(r.cpuPercent) * max(0, 1-need/push))
		if pace < minCPUPercent {
			pace = 0
		}
		t.setThrottle(r, pace, image, share, now)
		return
	}
}

// relaxThrottle lets the slowed filler that disturbs the least go on as fast as the room allows.
func (t *Term) relaxThrottle(w *worker, image string, share float64, now time.Duration) {
	room := -t.interference.Excess(&w.node, image)
	fillers := t.bestEffortByLoad(w, image)
	for i := len(fillers) - 1; i >= 0; i-- {
		r := fillers[i]
		if r.cpuPercent >= fullCPUPercent {
			continue
		}
		asked := float64(r.task.step.Resources.CPU) / float64(max(1, w.node.Entry.Capacity.CPU))
		missing := t.interference.Effect(image, r.task.step.Image) * asked * float64(fullCPUPercent-r.cpuPercent) / fullCPUPercent
		pace := fullCPUPercent
		if missing > room {
			pace = r.cpuPercent + int(float64(fullCPUPercent-r.cpuPercent)*room/missing)
		}
		if pace >= r.cpuPercent+minCPUPercent {
			t.setThrottle(r, pace, image, share, now)
			return
		}
	}
}

// interferenceLoad is the load that a filler adds to an image's.
func (t *Term) interferenceLoad(r *taskAttempt, image string) float64 {
	used := float64(r.usage) / float64(max(1, r.worker.node.Entry.Capacity.CPU))
	return t.interference.Effect(image, r.task.step.Image) * used
}

func (t *Term) bestEffortByLoad(w *worker, image string) []*taskAttempt {
	var fillers []*taskAttempt
	for _, r := range w.attempts {
		if r.task.step.BestEffort && r.phase == phaseRunning && !r.stopping {
			fillers = append(fillers, r)
		}
	}
	sort.Slice(fillers, func(i, j int) bool {
		return t.interferenceLoad(fillers[i], image) > t.interferenceLoad(fillers[j], image)
	})
	return fillers
}

// setThrottle orders the percentage of its share that a filler may use.
func (t *Term) setThrottle(r *taskAttempt, pace int, image string, share float64, now time.Duration) {
	t.log.Info().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.number).
		Str(logging.KeyWorker, string(r.worker.id())).Int("pace", pace).Int("before", r.cpuPercent).
		Str("image", r.task.step.Image).Str("serving_image", image).Float64("share_of_target", share).
		Float64("effect", t.interference.Effect(image, r.task.step.Image)).Msg("filler paced")
	r.cpuPercent, r.throttledAt = pace, now
	r.worker.throttledAt = now
	target := t.target(r.worker)
	task, attempt := r.task.id, r.number
	go func() {
		if !t.leader.Valid() {
			return
		}
		if err := t.opts.Workers.Throttle(t.ctx, target, task, attempt, pace); err != nil {
			t.post(func() { t.handleThrottleFailure(r, err) })
		}
	}()
}

// handleThrottleFailure stops a filler whose pace is not known.
func (t *Term) handleThrottleFailure(r *taskAttempt, err error) {
	t.log.Warn().Stringer(logging.KeyTask, r.task.id).AnErr("error", err).Msg("pace not set")
	if r.worker.attempts[attemptKey{r.task.id, r.number}] == r {
		t.stop(r, "disturbs serving tasks")
	}
}
