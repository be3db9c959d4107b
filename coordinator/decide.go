package coordinator

import (
	"time"

	"bronzehook/api"
	"bronzehook/runner"
)

// WorkerView is the state of a worker that a decision is based on.
type WorkerView struct {
	api.Worker
	Unit  api.Unit
	Epoch api.Epoch
	// Usable is set if the worker's rack has an owner that reaches the worker, and the worker is neither leaving nor
	// drained by an operator.
	Usable bool
	// Drained is set while the worker is drained by an operator or leaving.
	Drained bool
}

// TaskView is the state of a task that a decision is based on.
type TaskView struct {
	api.Task
	Kind     api.Kind
	Observed api.ObservedState
	Started  time.Time
	// Progress is the completed fraction of the task, from 0 to 1.
	Progress float64
	// Throttle is the share of its CPU that the task keeps; 1 if it is not throttled.
	Throttle float64
	// Outdated is set if a task of a service or watcher runs with an earlier spec hash of its workload.
	Outdated bool
	// Busy is set while a change of the task is in progress; no decision may change the task then.
	Busy bool
}

// View is the state that a decision is based on. Its memory is reused by the next cycle, so a Decider must not keep any
// part of it.
type View struct {
	Now       time.Time
	Workloads *api.WorkSet
	Workers   []WorkerView
	Tasks     []TaskView
}

// Placement assigns a pending task to a worker.
type Placement struct {
	Task   api.TaskID
	Worker api.WorkerID
	// Resources is what the attempt reserves: the declared size, corrected by measured usage.
	Resources api.Resources
}

// TaskAction is a throttle, a checkpoint, an eviction or a stop of a running task.
type TaskAction struct {
	Task   api.TaskID
	Action runner.Action
	Share  float64
	Reason string
	// NotEviction is set if the termination of the attempt does not count as an eviction.
	NotEviction bool
}

// Decision is the result of a scheduling cycle.
type Decision struct {
	Placements []Placement
	Actions    []TaskAction
	// Infeasible holds the infeasible tasks, which can never run, with the reason.
	Infeasible map[api.TaskID]string
	// More is set if tasks are left over for the next cycle because this one reached its bound.
	More bool
}

// Decider makes the scheduling decisions. Its methods are called on the event loop.
type Decider interface {
	Decide(view View) Decision
	// Reason returns why a pending task was not placed when it was last tried; empty if it was not tried.
	Reason(task api.TaskID) string
	// Used returns the last measured resource usage of a task, and Quarantined whether a worker is in quarantine: it
	// gets no tasks because all of its tasks failed.
	Used(task api.TaskID) api.Resources
	Quarantined(worker api.WorkerID, now time.Time) bool
	// Observe handles usage reports, which may be out of date.
	Observe(now time.Time, usage []runner.UsageReport)
	// HandleTermination handles the termination of an attempt that ran for the given time; it updates the model state about
	// workers, task sizes and run times.
	HandleTermination(now time.Time, task api.Task, report runner.AttemptReport, ran time.Duration)
	// Export returns the model state, and Restore replaces it by an exported one.
	Export() ([]byte, error)
	Restore(data []byte) error
}

// maxInitialReportWait is the longest wait of a new coordinator for reports of all racks before it places tasks.
// Without the wait all tasks of a workload go to the rack that reports first, and stay there since running tasks are
// not moved; their spread over data centres is lost. 1.5 s is too short for a newly started fleet, whose racks are
// acquired later.
const maxInitialReportWait = 3 * time.Second

// checkPlacementReady reports whether placement may begin: every worker in the directory whose rack is expected to
// report has been reported as reachable, or maxInitialReportWait has passed. Racks of an unresponsive instance are not
// waited for, because urgent tasks have to start within 8.7 s after the instance has failed.
func (c *Coordinator) checkPlacementReady(t *term) bool {
	if t.placementReady {
		return true
	}
	if c.options.Clock.Since(t.loadedAt) < maxInitialReportWait {
		workers, _ := c.options.Cluster.Workers()
		for _, w := range workers {
			// The first report of a rack may arrive before its workers have answered a fence, and also before the
			// acquisition of the rack is known here; in both cases its workers are not usable yet.
			unit := w.RackUnit()
			_, owned := c.options.Cluster.UnitOwner(unit)
			if (!owned || !t.workers[w.ID].Reachable) && c.options.Cluster.ReportExpected(unit) {
				return false
			}
		}
	}
	t.placementReady = true
	return true
}

func (c *Coordinator) decide(t *term, workloads *api.WorkSet) {
	view := c.view(t, workloads)
	decision := c.options.Decider.Decide(view)
	t.changed = t.changed || decision.More
	workers := map[api.WorkerID]WorkerView{}
	for _, w := range view.Workers {
		workers[w.ID] = w
	}
	for _, placement := range decision.Placements {
		c.place(t, placement, workers[placement.Worker])
	}
	for _, action := range decision.Actions {
		c.applyAction(t, action)
	}
	for id, reason := range decision.Infeasible {
		c.markInfeasible(t, id, reason)
	}
	c.restart(t, view, workers)
}

// restart stops attempts that have to move, because their worker is leaving or drained, and attempts whose workload
// spec has changed. Jobs and watchers on a drained worker resume from a checkpoint. Tasks of a service are stopped one
// at a time, so that the others keep serving requests.
func (c *Coordinator) restart(t *term, view View, workers map[api.WorkerID]WorkerView) {
	restarting := map[string]bool{}
	for i := range view.Tasks {
		task := &view.Tasks[i]
		if task.Kind == api.KindService && (task.Wanted == api.WantedPending || task.Busy || task.Observed == api.SeenStarting) {
			restarting[task.Work] = true
		}
	}
	for i := range view.Tasks {
		task := &view.Tasks[i]
		drained := workers[task.Worker].Drained
		if task.Wanted != api.WantedAssigned || task.Busy || !drained && !task.Outdated {
			continue
		}
		action := TaskAction{Task: task.ID, Action: runner.ActionStop, Reason: reasonOutdated, NotEviction: true}
		if drained {
			action.Reason = reasonDrained
		}
		if task.Kind == api.KindService {
			if restarting[task.Work] {
				continue
			}
			restarting[task.Work] = true
		} else if drained {
			action.Action = runner.ActionEvict
		}
		c.applyAction(t, action)
	}
}

// Reasons for restarting an attempt.
const (
	reasonDrained  = "the worker leaves or is drained"
	reasonOutdated = "the work was stated differently"
)

func (c *Coordinator) view(t *term, workloads *api.WorkSet) View {
	view := View{Now: c.options.Clock.Now(), Workloads: workloads, Workers: t.workerViews[:0], Tasks: t.taskViews[:0]}
	workers, drained := c.options.Cluster.Workers()
	for _, w := range workers {
		unit := w.RackUnit()
		unitOwner, owned := c.options.Cluster.UnitOwner(unit)
		report, reported := t.workers[w.ID]
		usable := owned && reported && report.Reachable && !report.Leaving && !w.Leaving && !drained[w.ID]
		view.Workers = append(view.Workers, WorkerView{
			Worker: w, Unit: unit, Epoch: unitOwner.Epoch, Usable: usable,
			Drained: w.Leaving || report.Leaving || drained[w.ID],
		})
	}
	for _, task := range t.tasks {
		specHash, restarts := t.specHashes[task.row.Work]
		view.Tasks = append(view.Tasks, TaskView{
			Task: task.latest(), Kind: workloads.Specs[task.row.Work].Kind, Observed: task.lastReport.State,
			Started:  task.startedAt,
			Progress: task.lastReport.Progress, Throttle: task.throttle, Busy: !task.idle() || task.stopping,
			Outdated: restarts && task.row.SpecHash != specHash,
		})
	}
	t.workerViews, t.taskViews = view.Workers, view.Tasks
	return view
}

func (c *Coordinator) place(t *term, placement Placement, w WorkerView) {
	task := t.tasks[placement.Task]
	if task == nil || !task.idle() || task.row.Wanted != api.WantedPending || !w.Usable {
		return
	}
	row := task.row
	row.Wanted = api.WantedAssigned
	row.Attempt++
	row.Worker = w.ID
	row.Unit = w.Unit
	row.Epoch = w.Epoch
	row.Resources = placement.Resources
	if spec, ok := c.options.Cluster.Workloads().Specs[row.Work]; ok {
		row.SpecHash = spec.SpecHash()
	}
	row.Reason = ""
	task.write(row)
}

func (c *Coordinator) applyAction(t *term, action TaskAction) {
	task := t.tasks[action.Task]
	if task == nil || !task.idle() || !task.running() || task.stopping {
		return
	}
	if action.Action == runner.ActionThrottle {
		task.throttle = action.Share
	}
	c.queueAction(t, task, action.Action, action.Share, action.Reason, action.NotEviction)
}

// markInfeasible records that a task can never run.
func (c *Coordinator) markInfeasible(t *term, id api.TaskID, reason string) {
	task := t.tasks[id]
	if task == nil || !task.idle() || task.row.Wanted != api.WantedPending {
		return
	}
	row := task.row
	row.Wanted = api.WantedFailed
	row.Reason = reason
	task.write(row)
	c.recordEvent("task-impossible", row, reason)
}

// Explanation describes the state of a task and the reason for it.
type Explanation struct {
	Task     api.Task          `json:"task"`
	Observed api.ObservedState `json:"seen,omitempty"`
	Reason   string            `json:"reason,omitempty"`
}

// Explain returns the states of the tasks of a workload; ok is false if this instance is not the active coordinator. It
// is called on the event loop.
func (c *Coordinator) Explain(workload string) (explanations []Explanation, ok bool) {
	if !c.Active() {
		return nil, false
	}
	for id, task := range c.term.tasks {
		if task.row.Work != workload {
			continue
		}
		reason := c.options.Decider.Reason(id)
		if reason == "" {
			reason = task.row.Reason
		}
		explanations = append(explanations, Explanation{Task: task.latest(), Observed: task.lastReport.State, Reason: reason})
	}
	return explanations, true
}
