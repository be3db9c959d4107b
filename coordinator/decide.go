package coordinator

import (
	"time"

	"bronzehook/api"
	"bronzehook/runner"
)

// WorkerView is a worker as a decision sees it.
type WorkerView struct {
	api.Worker
	Unit  api.Unit
	Epoch api.Epoch
	// Usable is set if the worker's rack has an owner that reaches the worker, the worker does not leave and no operator
	// drains it.
	Usable bool
	// Drained is set while an operator drains the worker, or the worker leaves.
	Drained bool
}

// TaskView is a task as a decision sees it.
type TaskView struct {
	api.Task
	Kind    api.Kind
	Seen    api.SeenState
	Started time.Time
	// Progress is the part of the work that is done, from 0 to 1.
	Progress float64
	// Throttle is the share of its processors that the task keeps.
	Throttle float64
	// Outdated is set if a service or watcher runs under an earlier statement of its work.
	Outdated bool
	// Busy is set while a change of the task is under way, so that no decision may touch it.
	Busy bool
}

// View is what a decision sees. It is not changed until the next cycle, which uses its memory again; a Decider keeps no
// part of it.
type View struct {
	Now     time.Time
	Work    *api.WorkSet
	Workers []WorkerView
	Tasks   []TaskView
}

// Placement assigns a pending task to a worker.
type Placement struct {
	Task   api.TaskID
	Worker api.WorkerID
	// Resources is what the attempt reserves; the declared size corrected by what was seen.
	Resources api.Resources
}

// Reclaim acts on a running task.
type Reclaim struct {
	Task   api.TaskID
	Action runner.Action
	Share  float64
	Reason string
	// Forced is set if the end of the attempt does not count as an eviction.
	Forced bool
}

// Decision is what a cycle wants done.
type Decision struct {
	Placements []Placement
	Reclaims   []Reclaim
	// Impossible names tasks that can never run, with the reason.
	Impossible map[api.TaskID]string
	// More is set if tasks that are due were left for the next cycle.
	More bool
}

// Decider makes the decisions. Its methods are called on the control goroutine.
type Decider interface {
	Decide(view View) Decision
	// Reason says why a pending task was not placed when it was last tried; empty if it was not tried.
	Reason(task api.TaskID) string
	// Used returns the last measured use of a task, and Quarantined whether a worker gets no tasks because it failed all.
	Used(task api.TaskID) api.Resources
	Quarantined(worker api.WorkerID, now time.Time) bool
	// Observe takes usage reports, which lag.
	Observe(now time.Time, usage []runner.UsageReport)
	// Ended takes the end of an attempt after the time that it ran, for what is learned about workers, sizes and run times.
	Ended(now time.Time, task api.Task, report runner.AttemptReport, ran time.Duration)
	// Export returns what was learned, and Restore replaces it by exported content.
	Export() ([]byte, error)
	Restore(data []byte) error
}

// settleTime is the longest wait of a new coordinator for reports of all racks before it places tasks. Without the wait
// all tasks of a work go to the rack that reports first, and the spread over data centres is lost for good, since running
// tasks are not moved. With 1.5 s a fleet that has just started lost its spread, because racks were claimed later.
const settleTime = 3 * time.Second

// settle reports whether every listed worker whose rack may report has been reported as reachable, or the time for that is
// over. Racks of an instance that is not heard are not waited for, because urgent work has to start within 8.7 s after its
// death.
func (c *Coordinator) settle(t *term) bool {
	if t.settled {
		return true
	}
	if c.options.Clock.Since(t.loadedAt) < settleTime {
		workers, _ := c.options.Cluster.Workers()
		for _, w := range workers {
			// The first report of a rack may come before its workers have answered a fence, and also before the claim of
			// the rack was read here; both keep its workers out of the view.
			unit := w.RackUnit()
			_, owned := c.options.Cluster.Claim(unit)
			if (!owned || !t.workers[w.ID].Reachable) && c.options.Cluster.ReportExpected(unit) {
				return false
			}
		}
	}
	t.settled = true
	return true
}

func (c *Coordinator) decide(t *term, work *api.WorkSet) {
	view := c.view(t, work)
	decision := c.options.Decider.Decide(view)
	t.changed = t.changed || decision.More
	workers := map[api.WorkerID]WorkerView{}
	for _, w := range view.Workers {
		workers[w.ID] = w
	}
	for _, placement := range decision.Placements {
		c.place(t, placement, workers[placement.Worker])
	}
	for _, reclaim := range decision.Reclaims {
		c.reclaim(t, reclaim)
	}
	for id, reason := range decision.Impossible {
		c.giveUp(t, id, reason)
	}
	c.restart(t, view, workers)
}

// restart ends attempts that have to run elsewhere, because their worker leaves or is drained, or anew, because their
// work was stated differently. Batch work and watchers on a drained worker resume from a checkpoint. Of each service one
// task at a time is stopped, so that the others keep answering.
func (c *Coordinator) restart(t *term, view View, workers map[api.WorkerID]WorkerView) {
	moving := map[string]bool{}
	for i := range view.Tasks {
		v := &view.Tasks[i]
		if v.Kind == api.KindService && (v.Wanted == api.WantedPending || v.Busy || v.Seen == api.SeenStarting) {
			moving[v.Work] = true
		}
	}
	for i := range view.Tasks {
		v := &view.Tasks[i]
		drained := workers[v.Worker].Drained
		if v.Wanted != api.WantedAssigned || v.Busy || !drained && !v.Outdated {
			continue
		}
		step := Reclaim{Task: v.ID, Action: runner.ActionStop, Reason: reasonOutdated, Forced: true}
		if drained {
			step.Reason = reasonDrained
		}
		if v.Kind == api.KindService {
			if moving[v.Work] {
				continue
			}
			moving[v.Work] = true
		} else if drained {
			step.Action = runner.ActionEvict
		}
		c.reclaim(t, step)
	}
}

// Reasons of attempts that restart.
const (
	reasonDrained  = "the worker leaves or is drained"
	reasonOutdated = "the work was stated differently"
)

func (c *Coordinator) view(t *term, work *api.WorkSet) View {
	view := View{Now: c.options.Clock.Now(), Work: work, Workers: t.workerViews[:0], Tasks: t.taskViews[:0]}
	workers, drained := c.options.Cluster.Workers()
	for _, w := range workers {
		unit := w.RackUnit()
		claim, owned := c.options.Cluster.Claim(unit)
		report, reported := t.workers[w.ID]
		usable := owned && reported && report.Reachable && !report.Leaving && !w.Leaving && !drained[w.ID]
		view.Workers = append(view.Workers, WorkerView{
			Worker: w, Unit: unit, Epoch: claim.Epoch, Usable: usable, Drained: w.Leaving || report.Leaving || drained[w.ID],
		})
	}
	for _, known := range t.tasks {
		statement, restarts := t.statements[known.row.Work]
		view.Tasks = append(view.Tasks, TaskView{
			Task: known.latest(), Kind: work.Specs[known.row.Work].Kind, Seen: known.seen.State, Started: known.startedAt,
			Progress: known.seen.Progress, Throttle: known.throttle, Busy: !known.idle() || known.stopping,
			Outdated: restarts && known.row.Statement != statement,
		})
	}
	t.workerViews, t.taskViews = view.Workers, view.Tasks
	return view
}

func (c *Coordinator) place(t *term, placement Placement, w WorkerView) {
	known := t.tasks[placement.Task]
	if known == nil || !known.idle() || known.row.Wanted != api.WantedPending || !w.Usable {
		return
	}
	row := known.row
	row.Wanted = api.WantedAssigned
	row.Attempt++
	row.Worker = w.ID
	row.Unit = w.Unit
	row.Epoch = w.Epoch
	row.Resources = placement.Resources
	if spec, ok := c.options.Cluster.Work().Specs[row.Work]; ok {
		row.Statement = spec.Statement()
	}
	row.Reason = ""
	known.write(row)
}

func (c *Coordinator) reclaim(t *term, reclaim Reclaim) {
	known := t.tasks[reclaim.Task]
	if known == nil || !known.idle() || !known.running() || known.stopping {
		return
	}
	if reclaim.Action == runner.ActionThrottle {
		known.throttle = reclaim.Share
	}
	c.interveneOn(t, known, reclaim.Action, reclaim.Share, reclaim.Reason, reclaim.Forced)
}

// giveUp records that a task can never run.
func (c *Coordinator) giveUp(t *term, id api.TaskID, reason string) {
	known := t.tasks[id]
	if known == nil || !known.idle() || known.row.Wanted != api.WantedPending {
		return
	}
	row := known.row
	row.Wanted = api.WantedFailed
	row.Reason = reason
	known.write(row)
	c.note("task-impossible", row, reason)
}

// Explanation says where a task stands and why.
type Explanation struct {
	Task   api.Task      `json:"task"`
	Seen   api.SeenState `json:"seen,omitempty"`
	Reason string        `json:"reason,omitempty"`
}

// Explain returns where the tasks of a piece of work stand; ok is false if the duty is not held here. It is called on
// the control goroutine.
func (c *Coordinator) Explain(work string) (explanations []Explanation, ok bool) {
	if !c.Active() {
		return nil, false
	}
	for id, known := range c.term.tasks {
		if known.row.Work != work {
			continue
		}
		reason := c.options.Decider.Reason(id)
		if reason == "" {
			reason = known.row.Reason
		}
		explanations = append(explanations, Explanation{Task: known.latest(), Seen: known.seen.State, Reason: reason})
	}
	return explanations, true
}
