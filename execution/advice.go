package execution

import (
	"cmp"
	"slices"
	"time"

	"bronzehook/jobs"
	"bronzehook/logging"
	"bronzehook/placement"
	"bronzehook/workers"
)

// Parameters of requests to the advice service. For queues with advice, that service decides which workers may run a
// step.
const (
	// maxWorkersPerRequest bounds the workers in one request, since the service needs time to evaluate each of them.
	maxWorkersPerRequest = 30
	// ticketExpiryMargin is subtracted from the validity of a ticket to allow for the network latency of the start
	// command.
	ticketExpiryMargin = 400 * time.Millisecond
	// adviceRetryInterval is the least time between two requests for one step.
	adviceRetryInterval = 250 * time.Millisecond
	// maxAdviceTurnWait bounds how long the requests for steps that rank higher go before that for a step. A step that has wanted
	// no advice for adviceTurnMemory waits anew.
	maxAdviceTurnWait = time.Second
	adviceTurnMemory  = time.Second
	// maxAdviceSilence is how long a request may be in flight before the service counts as not answering.
	maxAdviceSilence = time.Second
)

// stepAdvice is the advice received so far on the workers that may run a step.
type stepAdvice struct {
	tickets map[workers.ID]ticket
	// refused holds the start times of the incarnations that may not run the step; a refusal is final.
	refused map[workers.ID]int64
	// nextRequest is when the next request may be sent.
	nextRequest time.Duration
	// wantedAt is when advice was last wanted, waitsSince since when the step waits for its turn to request it.
	wantedAt, waitsSince time.Duration
	// wanted is set while a task of the step is in Term.adviceWanted.
	wanted bool
}

// ticket is the permission of the advice service to start a step on one incarnation of a worker.
type ticket struct {
	text      string
	startTime int64
	expiresAt time.Duration
}

// ticketFor returns the ticket of a worker, if there is one and it is valid for the current incarnation of the worker.
func (a *stepAdvice) ticketFor(w *worker, now time.Duration) (string, bool) {
	t, ok := a.tickets[w.id()]
	return t.text, ok && t.startTime == w.startTime && now < t.expiresAt-ticketExpiryMargin
}

// stateOf returns what is known of whether the current incarnation of a worker may run the step.
func (a *stepAdvice) stateOf(w *worker, now time.Duration) placement.Advice {
	if _, ok := a.ticketFor(w, now); ok {
		return placement.AdviceGranted
	}
	if startTime, ok := a.refused[w.id()]; ok && startTime == w.startTime {
		return placement.AdviceRefused
	}
	return placement.AdviceUnknown
}

// adviceForStep returns the advice received for a step.
func (o *occurrence) adviceForStep(step int) *stepAdvice {
	a := o.advice[step]
	if a == nil {
		a = &stepAdvice{tickets: make(map[workers.ID]ticket), refused: make(map[workers.ID]int64)}
		if o.advice == nil {
			o.advice = make(map[int]*stepAdvice)
		}
		o.advice[step] = a
	}
	return a
}

// adviceLookup returns a function that tells what is known of whether a worker may run a step; nil for a queue without advice, which
// allows all workers.
func (t *Term) adviceLookup(j *job, o *occurrence, step int) func(workers.ID) placement.Advice {
	if j.queue.Advice == nil {
		return nil
	}
	a, now := o.adviceForStep(step), t.scheduledAt
	return func(id workers.ID) placement.Advice {
		w := t.workers[id]
		if w == nil {
			return placement.AdviceUnknown
		}
		return a.stateOf(w, now)
	}
}

// adviceMayCome reports whether a task may be granted the workers on which it has no advice: its queue has none, or the service
// answers.
func (t *Term) adviceMayCome(task *task) bool {
	if task.job.queue.Advice == nil {
		return true
	}
	overdue := t.adviceInFlight && t.scheduledAt-t.adviceSentAt > maxAdviceSilence
	return !t.adviceFailed && !overdue
}

// adviceRefuses reports whether a task may not run on a worker.
func (t *Term) adviceRefuses(task *task, node *placement.Node) bool {
	a, w := task.occurrence().advice[task.id.Step], t.nodes.workers[node]
	return a != nil && w != nil && a.stateOf(w, t.scheduledAt) == placement.AdviceRefused
}

// wantAdvice notes that a task cannot be placed without further advice.
func (t *Term) wantAdvice(unplaced *task) {
	if unplaced.job.queue.Advice == nil {
		return
	}
	a, now := unplaced.stepAdvice(), t.scheduledAt
	if a.wanted {
		return
	}
	a.wanted = true
	if now-a.wantedAt > adviceTurnMemory {
		a.waitsSince = now
	}
	a.wantedAt = now
	t.adviceWanted = append(t.adviceWanted, unplaced)
}

// stepAdvice returns the advice received for the step of a task.
func (t *task) stepAdvice() *stepAdvice { return t.occurrence().adviceForStep(t.id.Step) }

// requestAdvice sends a request for the step whose turn it is among those that want advice, unless one is in flight: the service
// handles requests from one machine sequentially.
func (t *Term) requestAdvice(now time.Duration) {
	wanted := t.adviceWanted
	t.adviceWanted = nil
	for _, task := range wanted {
		task.stepAdvice().wanted = false
	}
	if t.adviceInFlight || t.opts.Advisor == nil {
		return
	}
	sortByTurn(wanted, now)
	for _, task := range wanted {
		a := task.stepAdvice()
		if task.ended() || task.job.queue.Advice == nil || now < a.nextRequest {
			continue
		}
		a.waitsSince, a.nextRequest = now, now+adviceRetryInterval
		if candidates := t.adviceCandidates(task); len(candidates) > 0 {
			t.sendAdviceRequest(task, candidates, now)
			return
		}
	}
}

// sortByTurn sorts tasks that want advice, in the order of the ranks of their jobs, by their turns: those that have waited for
// maxAdviceTurnWait come first, or requests for steps that rank higher could keep them waiting for ever.
func sortByTurn(wanted []*task, now time.Duration) {
	slices.SortStableFunc(wanted, func(a, b *task) int {
		return cmp.Compare(min(a.stepAdvice().waitsSince, now-maxAdviceTurnWait), min(b.stepAdvice().waitsSince, now-maxAdviceTurnWait))
	})
}

// adviceCandidates returns the workers to request advice on for the step of a task: those that would take the task but for a
// ticket, the near ones first, and no others while the task waits for one of these.
func (t *Term) adviceCandidates(task *task) []*worker {
	request := t.adviceRequest(task)
	var nodes, others []*placement.Node
	if near := request; t.restrictToNear(task, &near) {
		nodes = placement.Unadvised(t.nodes.all, near, maxWorkersPerRequest)
	}
	if !task.nearOutcome.Waits() {
		others = placement.Unadvised(t.nodes.all, request, maxWorkersPerRequest)
	}
	for _, node := range others {
		if len(nodes) < maxWorkersPerRequest && !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	candidates := make([]*worker, 0, len(nodes))
	for _, node := range nodes {
		candidates = append(candidates, t.nodes.workers[node])
	}
	return candidates
}

// adviceRequest returns the request by which a task is placed.
func (t *Term) adviceRequest(task *task) placement.Request {
	o := task.occurrence()
	switch {
	case task.current != nil:
		return t.moveRequest(task)
	case task.step.Gang:
		return t.groupRequest(task, t.adviceLookup(task.job, o, task.id.Step))
	}
	return t.request(task.job, task, o.steps[task.id.Step])
}

// restrictToNear restricts a request to the workers near the data of a task, or to the rack on which its group would run if all
// workers were allowed, and reports whether there are such.
func (t *Term) restrictToNear(task *task, request *placement.Request) bool {
	tasks := task.occurrence().steps[task.id.Step]
	near := t.newNearSearch(task.job, task.occurrence(), task.id.Step)
	if near == nil {
		return false
	}
	if near.onRack && near.place == nil {
		granted := t.groupRequest(task, grantUnknown(request.Advice))
		_, waiting := firstWaiting(tasks)
		near.place = t.placeForAll(t.groupPlaces(near), granted, shapeOf(&granted, waiting))
	}
	return near.restrictGroup(request)
}

// grantUnknown returns advice that grants what is not known.
func grantUnknown(advice func(workers.ID) placement.Advice) func(workers.ID) placement.Advice {
	return func(id workers.ID) placement.Advice {
		if advice(id) == placement.AdviceRefused {
			return placement.AdviceRefused
		}
		return placement.AdviceGranted
	}
}

// sendAdviceRequest requests advice on workers for the step of a task.
func (t *Term) sendAdviceRequest(task *task, candidates []*worker, now time.Duration) {
	a := task.stepAdvice()
	a.forgetMissing(t.workers)
	ids, startTimes := make([]workers.ID, 0, len(candidates)), make(map[workers.ID]int64, len(candidates))
	for _, w := range candidates {
		ids = append(ids, w.id())
		startTimes[w.id()] = w.startTime
	}
	t.adviceInFlight, t.adviceSentAt = true, now
	stepID := jobs.Task{Job: task.id.Job, Occurrence: task.id.Occurrence, Step: task.id.Step}
	t.spawn("advice request", func() {
		advice, err := t.opts.Advisor.Advise(t.ctx, stepID, ids)
		t.post(func() { t.handleAdvice(a, stepID, startTimes, now, advice, err) })
	})
}

// forgetMissing drops the advice on workers that are gone.
func (a *stepAdvice) forgetMissing(present map[workers.ID]*worker) {
	for id := range a.tickets {
		if present[id] == nil {
			delete(a.tickets, id)
		}
	}
	for id := range a.refused {
		if present[id] == nil {
			delete(a.refused, id)
		}
	}
}

// handleAdvice handles the response of the advice service. A ticket is for the incarnation of the worker that the leader
// knew when it sent the request, of which startTimes holds the start time: the worker may have started again since.
func (t *Term) handleAdvice(
	a *stepAdvice, stepID jobs.Task, startTimes map[workers.ID]int64, requestedAt time.Duration, advice workers.Advice, err error,
) {
	t.adviceInFlight, t.adviceFailed = false, err != nil
	t.scheduleDue = true
	event := t.log.Info()
	if err != nil {
		event = t.log.Warn().AnErr("error", err)
	}
	event.Stringer(logging.KeyTask, stepID).Int("asked", len(startTimes)).Int("good", len(advice.Tickets)).
		Dur("valid", advice.Valid).Msg("advice request for a step finished")
	if err != nil {
		return
	}
	for id, startTime := range startTimes {
		text, ok := advice.Tickets[id]
		if !ok {
			a.refused[id] = startTime
			continue
		}
		a.tickets[id] = ticket{text: text, startTime: startTime, expiresAt: requestedAt + advice.Valid}
	}
}

// dropTicket drops the ticket that an attempt was refused for.
func (t *Term) dropTicket(a *taskAttempt) {
	o := a.task.job.occurrences[a.task.id.Occurrence]
	if o != nil && o.advice[a.task.id.Step] != nil {
		delete(o.advice[a.task.id.Step].tickets, a.worker.id())
	}
}

// ticketOf returns the ticket to send with the start command of an attempt; empty if none is needed or valid.
func (t *Term) ticketOf(a *taskAttempt, now time.Duration) string {
	o := a.task.job.occurrences[a.task.id.Occurrence]
	if o == nil || o.advice[a.task.id.Step] == nil {
		return ""
	}
	text, _ := o.advice[a.task.id.Step].ticketFor(a.worker, now)
	return text
}
