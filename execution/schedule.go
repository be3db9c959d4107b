package execution

import (
	"math"
	"sort"
	"time"

	"bronzehook/jobs"
	"bronzehook/locality"
	"bronzehook/logging"
	"bronzehook/manifest"
	"bronzehook/placement"
	"bronzehook/workers"
)

// schedule places every task that can be placed, in the order of the ranks of the jobs.
func (t *Term) schedule(now time.Duration) {
	m := t.opts.Manifest.Current()
	if m == nil || !t.evacuationsKnown() {
		return
	}
	t.scheduledAt = now
	t.compactOrder()
	t.refreshHolds()
	t.placeMoved()
	t.observeFree()
	t.nodeIndex.Refresh(t.nodes.all)
	clear(t.canPlaceTwoByStep)
	t.near.beginCycle()
	t.placementFailures = placement.Failures{}
	wallTime := t.opts.Now()
	for _, j := range t.order {
		t.refreshQueue(j, m)
	}
	t.observeBacklog(now, wallTime)
	for _, j := range t.order {
		j.rank = rankOf(j, wallTime, t.queueWork.mean(j.spec.Queue))
		t.applyBacklog(j)
		if hasOverdueLongRunning(j, now) {
			j.rank.valueClass = valueClassOverdue
		}
	}
	sort.SliceStable(t.order, func(a, b int) bool { return ranksHigher(t.order[a], t.order[b]) })
	for _, j := range t.order {
		if !j.queueKnown || j.terminal() {
			continue
		}
		if t.opts.Guard.Do("placement", func() { t.placeJob(j, now, wallTime) }) != nil {
			t.setJobAside(j, "its placement panicked")
		}
	}
	t.requestAdvice(now)
}

// compactOrder drops the jobs from the order of which nothing is placed any more.
func (t *Term) compactOrder() {
	kept := t.order[:0]
	for _, j := range t.order {
		if !j.excluded() {
			kept = append(kept, j)
		}
	}
	clear(t.order[len(kept):])
	t.order = kept
}

// refreshQueue keeps a job's copy of its queue up to date with the manifest. If the queue was removed from the
// manifest, the copy stays as it was; a job that is read after the removal uses the queue policy that is stored with
// it.
func (t *Term) refreshQueue(j *job, m *manifest.Manifest) {
	q := m.Queue(j.spec.Queue)
	if q == nil && !j.queueKnown && j.spec.QueuePolicy.Service != "" {
		q = manifest.QueueFromPolicy(j.spec.Queue, j.spec.QueuePolicy)
	}
	if q == nil || (j.queueKnown && j.queue == *q) {
		return
	}
	j.queue, j.queueKnown = *q, true
	objective := placement.Objective(j.spec, q.Stretch, q.LatencyTarget)
	j.deadline = time.UnixMilli(j.spec.Submitted).Add(objective)
	j.lateDeadline = time.UnixMilli(j.spec.Submitted).Add(placement.LateFactor * objective)
	t.updateJobState(j)
}

// placeJob places the tasks of the ready steps of all occurrences that are due.
func (t *Term) placeJob(j *job, now time.Duration, wallTime time.Time) {
	for number := range j.occurrences {
		if due := j.spec.Due(number); due > wallTime.UnixMilli() {
			break
		}
		o := t.openOccurrence(j, number)
		for s := range o.steps {
			if o.remaining[s] > 0 && t.stepReady(j, o, s) {
				o.markReady(s, now)
				t.placeStep(j, o, s, now)
			}
		}
	}
}

// markReady marks a step as ready. The waiting time of its tasks counts from then on.
func (o *occurrence) markReady(step int, now time.Duration) {
	if o.ready[step] {
		return
	}
	o.ready[step] = true
	for _, task := range o.steps[step] {
		task.readyAt = now
	}
}

// stepReady reports whether the dependencies of a step are done.
func (t *Term) stepReady(j *job, o *occurrence, step int) bool {
	for _, earlier := range j.spec.Steps[step].After {
		if o.remaining[earlier] > 0 {
			return false
		}
	}
	return true
}

// placeStep places the waiting tasks of a ready step, and may hold capacity for those that cannot be placed.
func (t *Term) placeStep(j *job, o *occurrence, number int, now time.Duration) {
	tasks := o.steps[number]
	step := &j.spec.Steps[number]
	if step.Gang {
		t.placeGang(j, o, number)
		return
	}
	near := t.newNearSearch(j, o, number)
	defer t.near.noteBacklog(tasks)
	var search *placement.Search
	refusedHeadroom := math.MaxInt
	for _, task := range tasks {
		// All tasks of a step request the same resources. Long-running ones may have to leave different headroom, which
		// depends on how long each has waited; those that have to leave no less than a refused one are not tried.
		if task.done || task.current != nil {
			continue
		}
		if t.holds[task] == nil && t.headroom(task, now) >= refusedHeadroom {
			t.holdCapacity(j, task, tasks, now)
			continue
		}
		if search == nil {
			search = t.nodeIndex.NewSearch()
			if t.groupWaits(near, tasks, t.adviceLookup(j, o, number)) {
				t.wantAdvice(task)
				return
			}
		}
		if t.waitsNear(near, task) {
			continue
		}
		if !t.place(j, task, tasks, search, near) {
			if near.waiting() || search.Unadvised() {
				t.wantAdvice(task)
			}
			if !near.waiting() {
				refusedHeadroom = min(refusedHeadroom, t.headroom(task, now))
			}
			t.holdCapacity(j, task, tasks, now)
			t.explainWait(j, task, tasks, now)
		}
		if refusedHeadroom == 0 && !t.mayHold(task, now) {
			return
		}
	}
}

// place assigns a task to the best worker and reports whether there is one.
func (t *Term) place(j *job, task *task, siblings []*task, search *placement.Search, near *nearSearch) bool {
	request := t.request(j, task, siblings)
	t.preferNear(near, task, &request)
	if near.waiting() {
		t.noteWaitNear(j.queue.Service, task.step)
		return false
	}
	if t.placementFailures.Infeasible(&request) {
		return false
	}
	node, reason := search.Choose(request)
	if node == nil {
		t.placementFailures.Note(&request, reason)
		t.refusals[reason]++
		t.noteRefusal(j.queue.Service, task.step, reason)
		t.opts.Metrics.placementFailed(reason.String())
		t.noteUnplaceable(task, reason)
		return false
	}
	t.assign(j, task, t.nodes.workers[node], task.attempt+1)
	return true
}

// The log explains why a long-running task waits after explainWaitAfter, and then once per explainWaitInterval.
const (
	explainWaitAfter    = 3 * time.Second
	explainWaitInterval = 3 * time.Second
)

// explainWait logs why a long-running task waits: the number of workers by the reason for which each is unsuitable, and
// the largest free capacity.
func (t *Term) explainWait(j *job, task *task, siblings []*task, now time.Duration) {
	if !task.step.LongRunning || now-task.readyAt < explainWaitAfter || now-task.explainedAt < explainWaitInterval {
		return
	}
	task.explainedAt = now
	t.fleetLogAt = now
	var largest jobs.Resources
	for _, node := range t.nodes.all {
		free := node.Free()
		if node.Usable && free.CPU > largest.CPU {
			largest = free
		}
	}
	t.log.Warn().Stringer(logging.KeyTask, task.id).Str("queue", j.spec.Queue).Dur("waited", now-task.readyAt).
		Int("cpu", task.step.Resources.CPU).Int("memory_mb", task.step.Resources.MemoryMB).
		Int("largest_free_cpu", largest.CPU).Int("memory_mb_there", largest.MemoryMB).
		Interface("refusals", placement.Explain(t.nodes.all, t.request(j, task, siblings))).Msg("lasting task waits")
}

// request returns the placement request for a task. siblings are all tasks of its step.
func (t *Term) request(j *job, task *task, siblings []*task) placement.Request {
	request := placement.Request{
		Step: task.step, Service: j.queue.Service, Avoid: task.avoidWorker, Interference: t.interference,
		Advice:   t.adviceLookup(j, task.occurrence(), task.id.Step),
		Headroom: t.headroom(task, t.scheduledAt), Offset: t.nextOffset(),
	}
	if task.step.LongRunning {
		request.SlotCPU, request.MaxLostSlots = t.slotCPU, t.maxLostSlots(task, t.scheduledAt)
	}
	if task.step.AntiAffinity > 0 {
		onNode := t.countByWorker(siblings)
		request.OnNode = func(id workers.ID) int { return onNode[id] }
	}
	if task.step.RackSensitive {
		request.RackInUse = t.rackOf(siblings)
	}
	request.AllowStarved = t.bestEffortStarved(j, task)
	request.UseWithheld = t.mayUseWithheld(task)
	request.UseHeld = request.AllowStarved || t.starved(task, t.scheduledAt)
	return request
}

// offsetStride is by how much the position at which placements start to examine the workers moves from one placement to
// the next, so that tasks are distributed over the fleet.
const offsetStride = 37

func (t *Term) nextOffset() int {
	t.placementOffset += offsetStride
	return t.placementOffset
}

// assign creates an attempt of a task on a worker. Its start command is sent as soon as its progress record is stored.
func (t *Term) assign(j *job, task *task, w *worker, attempt int) *taskAttempt {
	task.attempt, task.nearOutcome = attempt, locality.OutcomeNone
	t.near.noteAssigned(w, task.step)
	task.placedDeferred = j.rank.valueClass > 0
	t.releaseHold(task)
	t.releaseMove(task)
	t.freeCPU -= task.step.Reserved().CPU
	if w.breaker.halfOpen && !task.step.LongRunning {
		// A half-open breaker admits one task at a time.
		w.node.Degraded = true
	}
	a := &taskAttempt{task: task, number: attempt, worker: w, workerStartTime: w.startTime, phase: phaseRecording, progress: -1}
	slots := w.node.Slots(t.slotCPU)
	t.attach(a)
	if task.step.LongRunning {
		// A batch task takes its slot from those that batch work needs, so that as many of the others remain for other work.
		t.freeSlots -= slots - w.node.Slots(t.slotCPU)
	}
	t.markChanged(j)
	a.recordSequence = j.sequence
	j.unsent = append(j.unsent, a)
	t.detailLog.Info().Stringer(logging.KeyTask, task.id).Int(logging.KeyAttempt, attempt).
		Str(logging.KeyWorker, string(w.id())).Str("queue", j.spec.Queue).Uint64(logging.KeyRevision, t.revision()).
		Int("free_cpu", w.node.Free().CPU).Int("leftover_cpu", w.node.UnusedCPU()).
		Dur("clock_age", t.opts.Clock()-w.clockAt).Msg("attempt placed")
	return a
}

func (t *Term) revision() uint64 { return t.opts.Manifest.Version() }
