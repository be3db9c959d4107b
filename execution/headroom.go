package execution

import "time"

// Parameters of the headroom for urgent work.
const (
	// demandDecay is how fast the remembered peak of urgent work is forgotten, per second.
	demandDecay = 0.05
	// headroomFactor times the remembered peak is kept free for urgent tasks.
	headroomFactor = 1.2
)

// demand remembers the processors that the most urgent short tasks use at their peak, in thousandths of a core.
type demand struct {
	peak float64
	at   time.Duration
	// largest is the largest single task seen.
	largest int
}

// observe takes up the present use.
func (d *demand) observe(cpu int, now time.Duration) {
	if d.at > 0 {
		d.peak *= 1 - demandDecay*(now-d.at).Seconds()
	}
	d.at = now
	d.peak = max(d.peak, float64(cpu))
}

// isUrgent reports whether a task is one that headroom is kept for: short work of the first priority.
func isUrgent(t *task) bool {
	return t.job.queue.Priority == 0 && !t.step.LongRunning && !t.step.Filler
}

// observeUrgent sums up urgent work that runs or waits.
func (t *Term) observeUrgent(now time.Duration) {
	cpu := 0
	for _, w := range t.workers {
		for _, r := range w.runs {
			if isUrgent(r.task) {
				cpu += r.task.step.Resources.CPU
				t.urgent.largest = max(t.urgent.largest, r.task.step.Resources.CPU)
			}
		}
	}
	t.urgentInUse = cpu
	t.urgent.observe(cpu, now)
}

// headroom is what a task of a job has to leave free on each worker. Headroom is spread over the workers, and lent to
// less urgent work only as fillers, which give way by themselves.
func (t *Term) headroom(j *job) int {
	if j.queue.Priority == 0 || t.usable == 0 {
		return 0
	}
	missing := headroomFactor*t.urgent.peak - float64(t.urgentInUse)
	if missing <= 0 {
		return 0
	}
	return int(missing) / t.usable
}
