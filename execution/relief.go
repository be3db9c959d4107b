package execution

import (
	"sort"
	"time"

	"bronzehook/logging"
	"bronzehook/placement"
)

// Timing and steps of the relief of serving tasks.
const (
	// mixedLookWait bounds the age of measurements on workers where fillers run beside serving tasks.
	mixedLookWait = 600 * time.Millisecond
	// settleTime is how long a change of pace needs to show in a measurement of the last half second.
	settleTime = 650 * time.Millisecond
	// overPatience is how long a serving task may be over its target before all fillers beside it are held.
	overPatience = 1300 * time.Millisecond
	// heldFor is how long a filler is held before it is moved elsewhere.
	heldFor = 400 * time.Millisecond
	// nearlyDone is the progress in percent from which a held filler is not moved.
	nearlyDone = 85
	// fullPace and the least pace other than 0, in percent of a filler's share.
	fullPace = 100
	minPace  = 10
	// minPush keeps the division by a push that is not known yet finite.
	minPush = 1e-3
)

// mixed reports whether fillers run beside serving tasks.
func (w *worker) mixed() bool { return w.node.LatencyCriticalTasks > 0 && w.node.BestEffortTasks > 0 }

// measure teaches the model of disturbance from a worker's inventory and notes the tails of its serving tasks. The tails on a
// slow worker say nothing of images.
func (t *Term) measure(w *worker) {
	if w.node.LatencyCriticalTasks == 0 {
		t.setSlow(w, false, 0)
		return
	}
	samples := t.samples(w)
	t.judgeSpeed(w, samples)
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
			serving.Own = max(serving.Own, t.disturbance.Learn(sample))
		}
	}
}

// samples returns the measurements of a worker's serving tasks that are at work.
func (t *Term) samples(w *worker) []placement.Sample {
	fillers := make(map[string]float64)
	for _, r := range w.runs {
		if r.task.step.BestEffort && r.phase == phaseRunning {
			fillers[r.task.step.Image] += float64(r.usage) / float64(max(1, w.node.Entry.Capacity.CPU))
		}
	}
	var samples []placement.Sample
	for _, r := range w.runs {
		if !r.task.step.LatencyCritical() || r.percent < wholePercent || r.usage <= 0 {
			continue
		}
		samples = append(samples, placement.Sample{
			Job: r.task.job.spec.ID, Image: r.task.step.Image, Tail: time.Duration(r.usage) * time.Millisecond,
			Fillers: fillers, At: t.opts.Clock(),
		})
	}
	return samples
}

// relieve keeps the serving tasks of a worker under their targets: it slows fillers down while a measured tail is near
// its target, lets them speed up when there is room again, and moves those that are held for long.
func (t *Term) relieve(w *worker, now time.Duration) {
	if !w.mixed() {
		w.overSince = 0
		return
	}
	t.moveHeld(w, now)
	image, share, known := t.disturbance.Worst(&w.node)
	if !known {
		return
	}
	if share <= 1 {
		w.overSince = 0
	} else if w.overSince == 0 {
		w.overSince = now
	}
	if w.slow || (w.overSince > 0 && now-w.overSince > overPatience) {
		t.holdAll(w, image, share, now)
		return
	}
	if now < w.relievedAt+settleTime {
		return
	}
	switch {
	case share > placement.Pressed:
		t.slowDown(w, image, share, now)
	case share < placement.Relaxed:
		t.speedUp(w, image, share, now)
	}
}

// moveHeld stops fillers that have been held for long, so that they go on elsewhere.
func (t *Term) moveHeld(w *worker, now time.Duration) {
	for _, r := range w.runs {
		held := r.pace < minPace && r.task.step.BestEffort && r.phase == phaseRunning && !r.stopping
		if held && now-r.pacedAt > heldFor && r.percent < nearlyDone {
			r.task.avoid = w.id()
			t.stop(r, "disturbs serving tasks")
		}
	}
}

// holdAll holds every filler of a worker.
func (t *Term) holdAll(w *worker, image string, share float64, now time.Duration) {
	for _, r := range w.runs {
		if r.task.step.BestEffort && r.phase == phaseRunning && !r.stopping && r.pace > 0 {
			t.setPace(r, 0, image, share, now)
		}
	}
}

// slowDown reduces the filler that disturbs an image the most, so that the predicted tail is well under the target. One
// at a time: what is measured next tells whether that was enough.
func (t *Term) slowDown(w *worker, image string, share float64, now time.Duration) {
	need := t.disturbance.Excess(&w.node, image)
	for _, r := range t.fillersByPush(w, image) {
		if r.pace == 0 {
			continue
		}
		push := max(t.push(r, image), minPush)
		pace := int(float64(r.pace) * max(0, 1-need/push))
		if pace < minPace {
			pace = 0
		}
		t.setPace(r, pace, image, share, now)
		return
	}
}

// speedUp lets the slowed filler that disturbs the least go on as fast as the room allows.
func (t *Term) speedUp(w *worker, image string, share float64, now time.Duration) {
	room := -t.disturbance.Excess(&w.node, image)
	fillers := t.fillersByPush(w, image)
	for i := len(fillers) - 1; i >= 0; i-- {
		r := fillers[i]
		if r.pace >= fullPace {
			continue
		}
		asked := float64(r.task.step.Resources.CPU) / float64(max(1, w.node.Entry.Capacity.CPU))
		missing := t.disturbance.Effect(image, r.task.step.Image) * asked * float64(fullPace-r.pace) / fullPace
		pace := fullPace
		if missing > room {
			pace = r.pace + int(float64(fullPace-r.pace)*room/missing)
		}
		if pace >= r.pace+minPace {
			t.setPace(r, pace, image, share, now)
			return
		}
	}
}

// push is the load that a filler adds to an image's.
func (t *Term) push(r *run, image string) float64 {
	used := float64(r.usage) / float64(max(1, r.worker.node.Entry.Capacity.CPU))
	return t.disturbance.Effect(image, r.task.step.Image) * used
}

func (t *Term) fillersByPush(w *worker, image string) []*run {
	var fillers []*run
	for _, r := range w.runs {
		if r.task.step.BestEffort && r.phase == phaseRunning && !r.stopping {
			fillers = append(fillers, r)
		}
	}
	sort.Slice(fillers, func(i, j int) bool { return t.push(fillers[i], image) > t.push(fillers[j], image) })
	return fillers
}

// setPace orders the percentage of its share that a filler may use.
func (t *Term) setPace(r *run, pace int, image string, share float64, now time.Duration) {
	t.log.Info().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.attempt).
		Str(logging.KeyWorker, string(r.worker.id())).Int("pace", pace).Int("before", r.pace).
		Str("image", r.task.step.Image).Str("serving_image", image).Float64("share_of_target", share).
		Float64("effect", t.disturbance.Effect(image, r.task.step.Image)).Msg("filler paced")
	r.pace, r.pacedAt = pace, now
	r.worker.relievedAt = now
	target := t.target(r.worker)
	task, attempt := r.task.id, r.attempt
	go func() {
		if !t.holder.Valid() {
			return
		}
		if err := t.opts.Workers.Throttle(t.ctx, target, task, attempt, pace); err != nil {
			t.post(func() { t.paceFailed(r, err) })
		}
	}()
}

// paceFailed stops a filler whose pace is not known.
func (t *Term) paceFailed(r *run, err error) {
	t.log.Warn().Stringer(logging.KeyTask, r.task.id).AnErr("error", err).Msg("pace not set")
	if r.worker.runs[runKey{r.task.id, r.attempt}] == r {
		t.stop(r, "disturbs serving tasks")
	}
}
