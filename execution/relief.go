package execution

import (
	"time"

	"bronzehook/logging"
	"bronzehook/placement"
)

// Timing of the relief of serving tasks.
const (
	// mixedLookWait bounds the age of measurements on workers where fillers run beside serving tasks.
	mixedLookWait = 500 * time.Millisecond
	// settleTime is how long a change of pace needs to show in a measurement of the last half second.
	settleTime = 700 * time.Millisecond
	// pacedFor is how long a slowed filler is kept before it is moved elsewhere.
	pacedFor = 1500 * time.Millisecond
	// slowPace is the percentage of its share that a slowed filler keeps.
	slowPace = 0
)

// mixed reports whether fillers run beside serving tasks.
func (w *worker) mixed() bool { return w.node.Serving > 0 && w.node.Fillers > 0 }

// measure teaches the model of disturbance from a worker's inventory and notes the tails of its serving tasks.
func (t *Term) measure(w *worker) {
	if w.node.Serving == 0 {
		return
	}
	fillers := make(map[string]float64)
	for _, r := range w.runs {
		if r.task.step.Filler && r.phase == phaseRunning {
			fillers[r.task.step.Image] += float64(r.usage) / float64(max(1, w.node.Entry.Capacity.CPU))
		}
	}
	w.node.Measured()
	for _, serving := range w.node.ServingByImage {
		serving.Tail = 0
	}
	for _, r := range w.runs {
		step := r.task.step
		if !step.Serves() || r.percent < 100 || r.usage <= 0 {
			continue
		}
		tail := time.Duration(r.usage) * time.Millisecond
		t.disturbance.Learn(placement.Sample{Image: step.Image, Tail: tail, Fillers: fillers})
		serving := w.node.ServingByImage[step.Image]
		serving.Tail = max(serving.Tail, tail)
	}
}

// relieve slows the filler that disturbs the most while a serving task is near or over its target, and moves fillers
// that stay slowed.
func (t *Term) relieve(w *worker, now time.Duration) {
	if !w.mixed() {
		return
	}
	image, excess := t.disturbance.Pressed(&w.node)
	for _, r := range w.runs {
		if r.paced && !r.stopping && now-r.pacedAt > pacedFor {
			r.task.avoid = w.id()
			t.stop(r, "disturbs serving tasks")
		}
	}
	if excess <= 0 || now < w.relievedAt+settleTime {
		return
	}
	var worst *run
	var most float64
	for _, r := range w.runs {
		if !r.task.step.Filler || r.paced || r.stopping || r.phase != phaseRunning {
			continue
		}
		if push := t.disturbance.Slope(image, r.task.step.Image) * float64(r.usage+1); worst == nil || push > most {
			worst, most = r, push
		}
	}
	if worst == nil {
		return
	}
	w.relievedAt = now
	t.log.Info().Stringer(logging.KeyTask, worst.task.id).Int(logging.KeyAttempt, worst.attempt).
		Str(logging.KeyWorker, string(w.id())).Str("image", worst.task.step.Image).Str("serving_image", image).
		Float64("excess", excess).Float64("slope", t.disturbance.Slope(image, worst.task.step.Image)).
		Msg("filler slowed down")
	t.pace(worst, now)
}

func (t *Term) pace(r *run, now time.Duration) {
	r.paced, r.pacedAt = true, now
	target := t.target(r.worker)
	task, attempt := r.task.id, r.attempt
	go func() {
		if !t.holder.Valid() {
			return
		}
		err := t.opts.Workers.Pace(t.ctx, target, task, attempt, slowPace)
		if err != nil {
			t.post(func() { t.paceFailed(r, err) })
		}
	}()
}

// paceFailed stops a filler that could not be slowed down.
func (t *Term) paceFailed(r *run, err error) {
	t.log.Warn().Stringer(logging.KeyTask, r.task.id).AnErr("error", err).Msg("pace not set")
	if r.worker.runs[runKey{r.task.id, r.attempt}] == r {
		t.stop(r, "disturbs serving tasks")
	}
}
