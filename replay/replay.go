package replay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"bronzehook/api"
	"bronzehook/scheduler"
	"bronzehook/scheduler/queue"
)

// traceStart is the virtual wall-clock time at which every trace starts.
var traceStart = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// pendingTask is a task that is not assigned to a worker.
type pendingTask struct {
	task     api.Task
	workload *workload
	// savedSeconds is the work that the last checkpoint holds, in seconds at full speed.
	savedSeconds float64
	pendingSince int
}

// jobRun is one run of a job: a number of tasks with a common deadline.
type jobRun struct {
	tasks, succeeded, failed int
	dueAt                    int
	finishedAt               int
	canceled                 bool
	infeasible               bool
}

// replayer replays one trace with one policy.
type replayer struct {
	site    Site
	policy  Policy
	engine  *scheduler.Engine
	backlog *scheduler.Backlog
	rng     *rand.Rand
	now     int

	workers   []*worker
	byID      map[api.WorkerID]*worker
	workloads map[string]*workload
	services  []*workload
	specs     map[string]api.Spec
	teams     map[string]api.Team
	pending   map[api.TaskID]*pendingTask
	running   map[api.TaskID]*attempt
	runs      map[string]*jobRun
	runNames  []string
	revision  uint64
	state     scheduler.Snapshot
	counters  counters
}

// counters are the sums from which the measures are computed.
type counters struct {
	serviceLatency, urgentLatency *hdrhistogram.Histogram
	offered, answered             float64
	urgentOffered                 float64
	urgentAnswered                float64
	batchSeconds                  float64
	lostSeconds                   float64
	evictions, throttles          int
	checkpoints, kills            int
	failedAttempts                int
	quarantines                   int
	longestUrgentStart            int
	reportedInfeasible            map[string]bool
}

// The latency histograms are in microseconds, with latencyDigits significant digits.
const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

func newReplayer(site Site, policy Policy, seed uint64) *replayer {
	r := &replayer{
		site: site, policy: policy,
		engine:  scheduler.New(policy.Options, seed),
		backlog: scheduler.NewBacklog(policy.Options.Queue),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		byID:    map[api.WorkerID]*worker{}, workloads: map[string]*workload{},
		specs: map[string]api.Spec{}, teams: map[string]api.Team{},
		pending: map[api.TaskID]*pendingTask{}, running: map[api.TaskID]*attempt{}, runs: map[string]*jobRun{},
		counters: counters{
			serviceLatency:     hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
			urgentLatency:      hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
			reportedInfeasible: map[string]bool{},
		},
	}
	for i, w := range site.workers() {
		state := &worker{Worker: w, requests: newRequestModel(policy.Admitter, seed, uint64(i))}
		r.workers = append(r.workers, state)
		r.byID[w.ID] = state
	}
	return r
}

func (r *replayer) time() time.Time { return traceStart.Add(duration(r.now)) }

// replay replays the events and stops early when ctx ends. Events of the flood are left out unless flood is set.
func (r *replayer) replay(ctx context.Context, events []Event, flood bool) error {
	next := 0
	for r.now = 0; r.now < traceSeconds; r.now++ {
		for ; next < len(events) && events[next].At <= r.now; next++ {
			if flood || !events[next].Flood {
				r.applyEvent(&events[next])
			}
		}
		r.deliverReports()
		r.advance()
		r.simulateRequests()
		r.refreshPending()
		if r.now%cycleSeconds == 0 {
			r.runCycle()
		}
		if err := ctx.Err(); err != nil {
			return errors.Wrap(err, "replay trace")
		}
	}
	return nil
}

func (r *replayer) applyEvent(e *Event) {
	switch e.Kind {
	case EventTeam:
		r.teams[e.Team.Name] = *e.Team
	case EventWork:
		r.addWorkload(e)
	case EventRun:
		r.startRun(e)
	case EventRate:
		r.workloads[e.Work].rate = e.Rate
	case EventCancel:
		r.cancel(e)
	case EventBreak:
		r.byID[e.Worker].broken = true
	case EventRepair:
		r.byID[e.Worker].broken = false
	}
}

func (r *replayer) addWorkload(e *Event) {
	w := &workload{spec: *e.Spec, truth: e.Truth}
	r.workloads[e.Work] = w
	r.specs[e.Work] = w.spec
	if w.spec.Kind == api.KindService {
		r.services = append(r.services, w)
	}
	if w.spec.Kind == api.KindJob {
		return
	}
	for i := range w.spec.Replicas {
		r.addPending(&pendingTask{
			task: api.Task{ID: api.NewTaskID(e.Work, i), Work: e.Work, Recorded: r.time()}, workload: w, pendingSince: r.now,
		})
	}
}

func runName(job string, run int) string { return fmt.Sprintf("%s/%d", job, run) }

// taskID returns the ID of a task of a job run. Each run has its own range of tasksPerRun task indexes.
func taskID(job string, run, index int) api.TaskID {
	const tasksPerRun = 1000
	return api.NewTaskID(job, run*tasksPerRun+index)
}

func (r *replayer) startRun(e *Event) {
	w := r.workloads[e.Work]
	name := runName(e.Work, e.Run)
	r.runs[name] = &jobRun{tasks: e.Parts, dueAt: r.now + int(e.Deadline)}
	r.runNames = append(r.runNames, name)
	for i := range e.Parts {
		r.addPending(&pendingTask{
			task: api.Task{
				ID: taskID(e.Work, e.Run, i), Work: e.Work, Recorded: r.time(),
				Due: r.time().Add(duration(int(e.Deadline))), Reason: name,
			},
			workload: w, pendingSince: r.now,
		})
	}
}

func (r *replayer) addPending(p *pendingTask) {
	p.task.Wanted = api.WantedPending
	r.pending[p.task.ID] = p
	r.backlog.Add(r.queueItem(p))
}

func (r *replayer) queueItem(p *pendingTask) queue.Item {
	progress := 0.0
	if p.workload.truth.RunSeconds > 0 {
		progress = p.savedSeconds / p.workload.truth.RunSeconds
	}
	return r.engine.NewItem(p.task, &p.workload.spec, progress, api.Resources{})
}

func (r *replayer) cancel(e *Event) {
	run := r.runs[runName(e.Work, e.Run)]
	if run == nil || run.succeeded+run.failed == run.tasks {
		return
	}
	run.canceled = true
	for i := range run.tasks {
		id := taskID(e.Work, e.Run, i)
		if r.pending[id] != nil {
			delete(r.pending, id)
			r.backlog.Cancel(id)
		}
		if a := r.running[id]; a != nil {
			r.removeAttempt(a)
		}
	}
}

// refreshPending updates pending tasks with the current estimates of sizes and run times.
func (r *replayer) refreshPending() {
	if r.now%refreshSeconds != 0 || !r.policy.Options.Sizing.CorrectSizes {
		return
	}
	for _, id := range sortedIDs(r.pending) {
		r.backlog.Add(r.queueItem(r.pending[id]))
	}
}
