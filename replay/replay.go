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

// epoch is the virtual time at which every trace begins.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// pendingTask is a task that is not assigned.
type pendingTask struct {
	task api.Task
	work *workload
	// saved is the work in seconds that the checkpoint holds.
	saved float64
	since int
}

// jobRun is one run of a job.
type jobRun struct {
	parts, ended, failed int
	due                  int
	finishedAt           int
	canceled             bool
	infeasible           bool
}

// replayer replays one trace with one policy.
type replayer struct {
	site    Site
	policy  Policy
	engine  *scheduler.Engine
	backlog *scheduler.Backlog
	rng     *rand.Rand
	now     int

	workers  []*worker
	byID     map[api.WorkerID]*worker
	works    map[string]*workload
	services []*workload
	specs    map[string]api.Spec
	teams    map[string]api.Team
	pending  map[api.TaskID]*pendingTask
	running  map[api.TaskID]*attempt
	runs     map[string]*jobRun
	runNames []string
	revision uint64
	state    scheduler.Snapshot
	c        counters
}

// counters are the raw sums behind the measures.
type counters struct {
	services, urgent     *hdrhistogram.Histogram
	offered, answered    float64
	urgentOffered        float64
	urgentAnswered       float64
	batchSeconds         float64
	lostSeconds          float64
	evictions, throttles int
	checkpoints, kills   int
	failedTries          int
	quarantines          int
	urgentWait           int
	reported             map[string]bool
}

// The histogram counts latencies in microseconds.
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
		byID:    map[api.WorkerID]*worker{}, works: map[string]*workload{},
		specs: map[string]api.Spec{}, teams: map[string]api.Team{},
		pending: map[api.TaskID]*pendingTask{}, running: map[api.TaskID]*attempt{}, runs: map[string]*jobRun{},
		c: counters{
			services: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
			urgent:   hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
			reported: map[string]bool{},
		},
	}
	for i, w := range site.workers() {
		state := &worker{Worker: w, requests: newRequestModel(policy.Admitter, seed, uint64(i))}
		r.workers = append(r.workers, state)
		r.byID[w.ID] = state
	}
	return r
}

func (r *replayer) time() time.Time { return epoch.Add(seconds(r.now)) }

// replay runs the events until ctx ends; flood says whether those of the flood are part of it.
func (r *replayer) replay(ctx context.Context, events []Event, flood bool) error {
	next := 0
	for r.now = 0; r.now < traceSeconds; r.now++ {
		for ; next < len(events) && events[next].At <= r.now; next++ {
			if flood || !events[next].Flood {
				r.happen(&events[next])
			}
		}
		r.deliverReports()
		r.advance()
		r.answerRequests()
		r.refresh()
		if r.now%planSeconds == 0 {
			r.plan()
		}
		if err := ctx.Err(); err != nil {
			return errors.Wrap(err, "replay trace")
		}
	}
	return nil
}

func (r *replayer) happen(e *Event) {
	switch e.Kind {
	case EventTeam:
		r.teams[e.Team.Name] = *e.Team
	case EventWork:
		r.introduce(e)
	case EventRun:
		r.startRun(e)
	case EventRate:
		r.works[e.Work].rate = e.Rate
	case EventCancel:
		r.cancel(e)
	case EventBreak:
		r.byID[e.Worker].broken = true
	case EventRepair:
		r.byID[e.Worker].broken = false
	}
}

func (r *replayer) introduce(e *Event) {
	w := &workload{spec: *e.Spec, truth: e.Truth}
	r.works[e.Work] = w
	r.specs[e.Work] = w.spec
	if w.spec.Kind == api.KindService {
		r.services = append(r.services, w)
	}
	if w.spec.Kind == api.KindJob {
		return
	}
	for i := range w.spec.Replicas {
		r.await(&pendingTask{
			task: api.Task{ID: api.NewTaskID(e.Work, i), Work: e.Work, Recorded: r.time()}, work: w, since: r.now,
		})
	}
}

func runName(work string, run int) string { return fmt.Sprintf("%s/%d", work, run) }

// partID names a part of a run; runs of a work number their parts one after the other.
func partID(work string, run, part int) api.TaskID {
	const partsPerRun = 1000
	return api.NewTaskID(work, run*partsPerRun+part)
}

func (r *replayer) startRun(e *Event) {
	w := r.works[e.Work]
	name := runName(e.Work, e.Run)
	r.runs[name] = &jobRun{parts: e.Parts, due: r.now + int(e.Deadline)}
	r.runNames = append(r.runNames, name)
	for i := range e.Parts {
		r.await(&pendingTask{
			task: api.Task{
				ID: partID(e.Work, e.Run, i), Work: e.Work, Recorded: r.time(),
				Due: r.time().Add(seconds(int(e.Deadline))), Reason: name,
			},
			work: w, since: r.now,
		})
	}
}

func (r *replayer) await(p *pendingTask) {
	p.task.Wanted = api.WantedPending
	r.pending[p.task.ID] = p
	r.backlog.Add(r.item(p))
}

func (r *replayer) item(p *pendingTask) queue.Item {
	progress := 0.0
	if p.work.truth.RunSeconds > 0 {
		progress = p.saved / p.work.truth.RunSeconds
	}
	return r.engine.NewItem(p.task, &p.work.spec, progress, api.Resources{})
}

func (r *replayer) cancel(e *Event) {
	run := r.runs[runName(e.Work, e.Run)]
	if run == nil || run.ended+run.failed == run.parts {
		return
	}
	run.canceled = true
	for i := range run.parts {
		id := partID(e.Work, e.Run, i)
		if r.pending[id] != nil {
			delete(r.pending, id)
			r.backlog.Cancel(id)
		}
		if a := r.running[id]; a != nil {
			r.end(a)
		}
	}
}

// refresh gives pending tasks the sizes and run times that were learned since.
func (r *replayer) refresh() {
	if r.now%refreshSeconds != 0 || !r.policy.Options.Sizing.Sizes {
		return
	}
	for _, id := range sortedIDs(r.pending) {
		r.backlog.Add(r.item(r.pending[id]))
	}
}
