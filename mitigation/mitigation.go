// Package mitigation decides how best-effort tasks on one worker are limited, or moved away, so that the latency-critical
// tasks beside them keep their latency targets. Decisions are pure functions over a snapshot of the worker.
package mitigation

import (
	"slices"
	"time"

	"bronzehook/placement"
)

// Timing and steps of the mitigation.
const (
	// SettleTime is the time from a change of a CPU limit to the first measurement that shows its effect: a measurement
	// covers the last half second.
	SettleTime = 650 * time.Millisecond
	// maxTimeOverTarget is how long a latency-critical task may be over its target before all best-effort tasks
	// beside it are suspended.
	maxTimeOverTarget = 1300 * time.Millisecond
	// moveSuspendedAfter is how long a best-effort task is suspended at least before it is moved to another worker.
	moveSuspendedAfter = 400 * time.Millisecond
	// maxMoveProgress is the progress in percent from which on a suspended task is not moved.
	maxMoveProgress = 85
	// minRemainingPercent is the lowest limit for a task that can be moved; below it the task is suspended and moved. A task
	// that runs on slowly uses scarce capacity beside latency-critical tasks that others would use better: with 10 instead of
	// 70 percent the model of the tests serves 3% less and sends half as many commands again.
	minRemainingPercent = 70
	// maxLostWork is the work that a move may lose if the task could be limited instead. The tests' model has no larger losses.
	maxLostWork = 4 * time.Second
	// minWorthLoad is the interference load below which a limit helps too little to be worth a command.
	minWorthLoad = 0.02
)

// FullCPUPercent stands for no CPU limit, MinCPUPercent is the lowest limit other than 0, which suspends the task. Both are
// percentages of the CPU share of a best-effort task.
const (
	FullCPUPercent = 100
	MinCPUPercent  = 10
)

// Task is a running best-effort task.
type Task struct {
	Image string
	// RequestedCPU and UsedCPU are in thousandths of a core.
	RequestedCPU, UsedCPU int
	// CPUPercent is the CPU limit, changed last at LimitedAt.
	CPUPercent int
	LimitedAt  time.Duration
	// Progress is the last reported progress in percent; LostWork is the run time that a move would lose.
	Progress int
	LostWork time.Duration
}

// State is what the mitigation keeps of a worker between decisions.
type State struct {
	// LimitedAt is when a CPU limit was changed last.
	LimitedAt time.Duration
	// OverTargetSince is since when a latency-critical task has been over its target; 0 if none is.
	OverTargetSince time.Duration
}

// Worker is a snapshot of a worker.
type Worker struct {
	Node *placement.Node
	// Slow is set while the worker as a whole is slow, which throttling one task can't mend.
	Slow  bool
	Tasks []Task
}

// Action changes the CPU limit of a task, or moves the task to another worker.
type Action struct {
	// Task is the index in Worker.Tasks.
	Task       int
	Move       bool
	CPUPercent int
	// LatencyCritical is the image for whose sake the limit is changed, TargetRatio its expected tail latency as a share of its
	// target.
	LatencyCritical string
	TargetRatio     float64
}

// decision is a decision in progress.
type decision struct {
	model *placement.InterferenceModel
	w     *Worker
	now   time.Duration
	// image is the latency-critical image nearest to its target.
	image       string
	targetRatio float64
	actions     []Action
}

// Decide returns the actions for a worker and updates its state. It throttles best-effort tasks while a tail latency is near
// its target, relaxes the throttle when there is margin again, and moves tasks that stay suspended.
func Decide(model *placement.InterferenceModel, w *Worker, state *State, now time.Duration) []Action {
	if w.Node.LatencyCriticalTasks == 0 || w.Node.BestEffortTasks == 0 {
		state.OverTargetSince = 0
		return nil
	}
	d := &decision{model: model, w: w, now: now}
	d.moveSuspended()
	var known bool
	if d.image, d.targetRatio, known = model.HighestTargetRatio(w.Node); !known {
		return d.actions
	}
	overFor := state.timeOverTarget(d.targetRatio, now)
	// The time over target counts by what was measured, what is done about it by what is expected.
	d.image, d.targetRatio, _ = model.HighestExpectedRatio(w.Node)
	limited := len(d.actions)
	switch {
	case w.Slow || overFor > maxTimeOverTarget:
		d.suspendAll()
	case now < state.LimitedAt+SettleTime:
	case d.targetRatio > placement.ThrottleAbove:
		d.tighten()
	case d.targetRatio < placement.UnthrottleBelow:
		d.relax()
	}
	if len(d.actions) > limited {
		state.LimitedAt = now
	}
	return d.actions
}

// timeOverTarget returns for how long a latency-critical task has been over its target.
func (s *State) timeOverTarget(targetRatio float64, now time.Duration) time.Duration {
	switch {
	case targetRatio <= 1:
		s.OverTargetSince = 0
		return 0
	case s.OverTargetSince == 0:
		s.OverTargetSince = now
	}
	return now - s.OverTargetSince
}

// moveSuspended moves best-effort tasks that have been suspended for moveSuspendedAfter, so that they continue elsewhere, but
// not before the wait has cost as much as the work that the move loses. On a slow worker nothing is gained by waiting.
func (d *decision) moveSuspended() {
	for i, task := range d.w.Tasks {
		wait := moveSuspendedAfter
		if !d.w.Slow {
			wait = max(wait, task.LostWork)
		}
		if task.CPUPercent < MinCPUPercent && d.now-task.LimitedAt > wait && task.Progress < maxMoveProgress {
			d.actions = append(d.actions, Action{Task: i, Move: true})
		}
	}
}

// moves reports whether a task is to be moved.
func (d *decision) moves(task int) bool {
	return slices.ContainsFunc(d.actions, func(a Action) bool { return a.Task == task && a.Move })
}

// suspendAll suspends every best-effort task.
func (d *decision) suspendAll() {
	for i, task := range d.w.Tasks {
		if task.CPUPercent > 0 {
			d.limit(i, 0)
		}
	}
}

// tighten lowers the CPU limit of the task that interferes most with the image, so that the predicted tail latency is well
// under the target, or suspends the task if it can be moved and would have to run much slower. It changes one task at a time:
// the next measurement shows whether that was enough.
func (d *decision) tighten() {
	excess := d.model.ExcessLoad(d.w.Node, d.image)
	for _, i := range d.byLoad() {
		task := &d.w.Tasks[i]
		if task.CPUPercent == 0 || d.moves(i) {
			continue
		}
		load := d.load(i)
		if load < minWorthLoad {
			return
		}
		percent := int(float64(task.CPUPercent) * max(0, 1-excess/load))
		if percent < task.lowestPercent() {
			percent = 0
		}
		d.limit(i, percent)
		return
	}
}

// lowestPercent returns the lowest CPU limit at which the task runs on.
func (t *Task) lowestPercent() int {
	if t.LostWork <= maxLostWork && t.Progress < maxMoveProgress {
		return minRemainingPercent
	}
	return MinCPUPercent
}

// relax raises the CPU limit of the throttled task that interferes least, as far as the margin to the target allows.
func (d *decision) relax() {
	margin := -d.model.ExcessLoad(d.w.Node, d.image)
	tasks := d.byLoad()
	slices.Reverse(tasks)
	for _, i := range tasks {
		task := d.w.Tasks[i]
		if task.CPUPercent >= FullCPUPercent || d.moves(i) {
			continue
		}
		added := d.model.Effect(d.image, task.Image) * d.share(task.RequestedCPU) * float64(FullCPUPercent-task.CPUPercent) / FullCPUPercent
		percent := FullCPUPercent
		if added > margin {
			percent = task.CPUPercent + int(float64(FullCPUPercent-task.CPUPercent)*margin/added)
		}
		if percent >= task.CPUPercent+MinCPUPercent {
			d.limit(i, percent)
			return
		}
	}
}

func (d *decision) limit(task, percent int) {
	d.actions = append(d.actions, Action{Task: task, CPUPercent: percent, LatencyCritical: d.image, TargetRatio: d.targetRatio})
}

func (d *decision) share(cpu int) float64 {
	return float64(cpu) / float64(max(1, d.w.Node.Registration.Capacity.CPU))
}

// load returns the load that a task adds to the intrinsic load of the image.
func (d *decision) load(task int) float64 {
	t := &d.w.Tasks[task]
	return d.model.Effect(d.image, t.Image) * d.share(t.UsedCPU)
}

// byLoad returns the indices of the tasks, those with the highest interference load first.
func (d *decision) byLoad() []int {
	order := make([]int, len(d.w.Tasks))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch la, lb := d.load(a), d.load(b); {
		case la > lb:
			return -1
		case la < lb:
			return 1
		}
		return 0
	})
	return order
}
