package execution

import (
	"time"

	"bronzehook/logging"
	"bronzehook/mitigation"
	"bronzehook/placement"
	"bronzehook/workers"
)

// colocatedPollWait bounds the age of measurements on workers that run best-effort beside latency-critical tasks.
const colocatedPollWait = 600 * time.Millisecond

// colocated reports whether best-effort tasks run beside latency-critical ones.
func (w *worker) colocated() bool {
	return w.node.LatencyCriticalTasks > 0 && w.node.BestEffortTasks > 0
}

// pollsTooLong reports whether the poll in flight was sent before the worker ran best-effort beside latency-critical tasks and may
// wait longer than measurements of these may take. Unknown interference is worst in the first seconds.
func (w *worker) pollsTooLong() bool {
	return w.polling && w.pollWait > colocatedPollWait && w.fenced && w.pollFailures == 0 && w.colocated()
}

// recordLatencies records the tail latencies that a worker reported for its latency-critical tasks, and updates the
// interference model with them. On a slow worker they reflect the slowness rather than interference, so the model is not
// updated.
func (t *Term) recordLatencies(w *worker) {
	if w.node.LatencyCriticalTasks == 0 {
		t.setSlow(w, false, 0)
		return
	}
	samples := t.latencySamples(w)
	t.classifySpeed(w, samples)
	w.node.InvalidateAdmissible()
	for _, group := range w.node.LatencyCriticalByImage {
		group.TailLatency, group.ExpectedRise = 0, 0
		if !w.slow {
			group.IntrinsicLoad = 0
		}
	}
	for _, sample := range samples {
		group := w.node.LatencyCriticalByImage[sample.Image]
		group.TailLatency = max(group.TailLatency, sample.TailLatency)
		if !w.slow {
			group.IntrinsicLoad = max(group.IntrinsicLoad, t.interference.Learn(sample))
			group.ExpectedRise = max(group.ExpectedRise, t.interference.ExpectedRise(sample.Job, sample.At))
		}
	}
}

// latencySamples returns the measurements of those latency-critical tasks of a worker that are fully started. The usage
// reported for a latency-critical task is its tail latency in milliseconds.
func (t *Term) latencySamples(w *worker) []placement.Sample {
	bestEffortUsage := make(map[string]float64)
	for _, a := range w.attempts {
		if a.task.step.BestEffort && a.phase == phaseRunning {
			bestEffortUsage[a.task.step.Image] += float64(a.usage) / float64(max(1, w.node.Registration.Capacity.CPU))
		}
	}
	var samples []placement.Sample
	for _, a := range w.attempts {
		if !a.task.step.LatencyCritical() || a.progress < fullProgress || a.usage <= 0 {
			continue
		}
		samples = append(samples, placement.Sample{
			Job: a.task.job.spec.ID, Image: a.task.step.Image, TailLatency: time.Duration(a.usage) * time.Millisecond,
			BestEffortShares: bestEffortUsage, At: t.opts.Clock(),
		})
	}
	return samples
}

// mitigateInterference keeps the tail latencies of a worker's latency-critical tasks under their targets: it carries out what
// mitigation.Decide returns.
func (t *Term) mitigateInterference(w *worker, now time.Duration) {
	if !w.colocated() {
		w.mitigation.OverTargetSince = 0
		return
	}
	attempts, tasks := w.bestEffort()
	snapshot := mitigation.Worker{Node: &w.node, Slow: w.slow, Tasks: tasks}
	for _, action := range mitigation.Decide(t.interference, &snapshot, &w.mitigation, now) {
		a := attempts[action.Task]
		if action.Move {
			a.task.avoidWorker = w.id()
			t.opts.Metrics.interference.moves.Inc()
			t.stop(a, "interferes with latency-critical tasks")
			continue
		}
		t.setThrottle(a, action.CPUPercent, action.LatencyCritical, action.TargetRatio, now)
	}
}

// bestEffort returns the running best-effort attempts of a worker, and their state for the mitigation.
func (w *worker) bestEffort() (attempts []*taskAttempt, tasks []mitigation.Task) {
	for _, a := range w.attempts {
		if !a.task.step.BestEffort || a.phase != phaseRunning || a.stopping {
			continue
		}
		attempts = append(attempts, a)
		tasks = append(tasks, mitigation.Task{
			Image: a.task.step.Image, RequestedCPU: a.task.step.Resources.CPU, UsedCPU: a.usage, CPUPercent: a.cpuPercent,
			LimitedAt: a.throttledAt, Progress: a.progress, LostWork: a.lostWork(),
		})
	}
	return attempts, tasks
}

// lostWork estimates the run time that is lost if the attempt is stopped. How old a checkpoint is isn't known; it is taken to be
// recent.
func (a *taskAttempt) lostWork() time.Duration {
	if a.task.checkpoint != "" {
		return 0
	}
	return a.task.step.Estimate * time.Duration(max(0, a.progress)) / fullProgress
}

// setThrottle limits a best-effort attempt to a percentage of its CPU share; 0 suspends it.
func (t *Term) setThrottle(a *taskAttempt, cpuPercent int, image string, targetRatio float64, now time.Duration) {
	t.log.Info().Stringer(logging.KeyTask, a.task.id).Int(logging.KeyAttempt, a.number).
		Str(logging.KeyWorker, string(a.worker.id())).Int("pace", cpuPercent).Int("before", a.cpuPercent).
		Str("image", a.task.step.Image).Str("serving_image", image).Float64("share_of_target", targetRatio).
		Float64("effect", t.interference.Effect(image, a.task.step.Image)).Msg("filler paced")
	t.opts.Metrics.interference.limitChanged(a.cpuPercent, cpuPercent)
	a.cpuPercent, a.throttledAt = cpuPercent, now
	t.sendThrottle(a)
}

// sendThrottle sends the CPU limit of an attempt, one command at a time: of two commands on different connections the worker may
// carry out the earlier one last.
func (t *Term) sendThrottle(a *taskAttempt) {
	if a.throttling {
		return
	}
	a.throttling = true
	target := t.target(a.worker)
	task, attempt, cpuPercent := a.task.id, a.number, a.cpuPercent
	if target.Via != "" {
		t.opts.Carriers.ThrottleVia(target, task, attempt, cpuPercent, func(err error) { t.handleThrottle(a, target, cpuPercent, err) })
		return
	}
	t.spawn("throttle command", func() {
		err := error(&workers.UnreachableError{Worker: target.ID, Detail: "leadership lease expired"})
		if t.leader.Valid() {
			err = t.opts.Workers.Throttle(t.ctx, target, task, attempt, cpuPercent)
		}
		t.post(func() { t.handleThrottle(a, target, cpuPercent, err) })
	})
}

// handleThrottle handles the response to a throttle command with a CPU limit, which may have changed since.
func (t *Term) handleThrottle(a *taskAttempt, sentTo workers.Target, cpuPercent int, err error) {
	a.throttling = false
	if t.refusedOwnOlderToken(a.worker, sentTo, err) && a.worker.attempts[attemptKey{a.task.id, a.number}] == a && !a.stopping {
		t.sendThrottle(a)
		return
	}
	if err != nil {
		t.handleThrottleFailure(a, err)
		return
	}
	if a.cpuPercent != cpuPercent && a.worker.attempts[attemptKey{a.task.id, a.number}] == a && !a.stopping {
		t.sendThrottle(a)
	}
}

// handleThrottleFailure stops a best-effort attempt after a throttle command failed, since its CPU limit is unknown
// then.
func (t *Term) handleThrottleFailure(a *taskAttempt, err error) {
	t.log.Warn().Stringer(logging.KeyTask, a.task.id).AnErr("error", err).Msg("CPU limit not set")
	if a.worker.attempts[attemptKey{a.task.id, a.number}] == a {
		t.stop(a, "its CPU limit is unknown")
	}
}
