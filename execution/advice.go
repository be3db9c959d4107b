package execution

import (
	"time"

	"bronzehook/jobs"
	"bronzehook/logging"
	"bronzehook/workers"
)

// Parameters of requests to the advice service. For queues with advice, that service decides which workers may run a
// step.
const (
	// maxWorkersPerRequest bounds the workers in one request, since the service needs time to evaluate each of them.
	maxWorkersPerRequest = 30
	// ticketExpiryMargin is subtracted from the validity of a ticket to allow for the network latency of the start
	// command.
	ticketExpiryMargin  = 400 * time.Millisecond
	adviceRetryInterval = 250 * time.Millisecond
)

// stepAdvice is the advice received so far on the workers that may run a step.
type stepAdvice struct {
	tickets map[workers.ID]ticket
	// refused holds workers that may not run the step; a refusal is final.
	refused     map[workers.ID]bool
	requestedAt time.Duration
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

// allowed returns a filter for the workers that may run a step of a queue with advice, and requests more advice if none
// of them has free capacity. It returns nil for a queue without advice, which allows all workers.
func (t *Term) allowed(j *job, o *occurrence, step int, now time.Duration) func(workers.ID) bool {
	if j.queue.Advice == nil {
		return nil
	}
	a := o.advice[step]
	if a == nil {
		a = &stepAdvice{tickets: make(map[workers.ID]ticket), refused: make(map[workers.ID]bool)}
		if o.advice == nil {
			o.advice = make(map[int]*stepAdvice)
		}
		o.advice[step] = a
	}
	if !t.hasFreeCapacity(a, &j.spec.Steps[step], now) {
		t.requestAdvice(j, o, step, a, now)
	}
	return func(id workers.ID) bool {
		w := t.workers[id]
		if w == nil {
			return false
		}
		_, ok := a.ticketFor(w, now)
		return ok
	}
}

// hasFreeCapacity reports whether a worker with a valid ticket has free capacity for a task of a step.
func (t *Term) hasFreeCapacity(a *stepAdvice, step *jobs.Step, now time.Duration) bool {
	for id := range a.tickets {
		w := t.workers[id]
		if w == nil || !w.node.Usable || !step.Reserved().Fits(w.node.Free()) {
			continue
		}
		if _, ok := a.ticketFor(w, now); ok {
			return true
		}
	}
	return false
}

// requestAdvice sends one request at a time: the service handles requests from one machine sequentially, and so the
// first step in scheduling order is answered first.
func (t *Term) requestAdvice(j *job, o *occurrence, step int, a *stepAdvice, now time.Duration) {
	if t.adviceInFlight || t.opts.Advisor == nil || now < a.requestedAt+adviceRetryInterval {
		return
	}
	var ids []workers.ID
	startTimes := make(map[workers.ID]int64)
	for _, w := range t.active {
		id := w.id()
		fits := w.node.Usable && w.node.Registration.Service == j.queue.Service && j.spec.Steps[step].Reserved().Fits(w.node.Free())
		if fits && !a.refused[id] {
			ids = append(ids, id)
			startTimes[id] = w.startTime
		}
		if len(ids) == maxWorkersPerRequest {
			break
		}
	}
	if len(ids) == 0 {
		t.poolOf(j.queue.Service).capacityShort = true
		return
	}
	number := 0
	for k, other := range j.occurrences {
		if other == o {
			number = k
		}
	}
	t.adviceInFlight = true
	a.requestedAt = now
	stepID := jobs.Task{Job: j.spec.ID, Occurrence: number, Step: step}
	t.spawn("advice request", func() {
		advice, err := t.opts.Advisor.Advise(t.ctx, stepID, ids)
		t.post(func() { t.handleAdvice(a, stepID, startTimes, now, advice, err) })
	})
}

// handleAdvice handles the response of the advice service. A ticket is for the incarnation of the worker that the leader
// knew when it sent the request, of which startTimes holds the start time: the worker may have started again since.
func (t *Term) handleAdvice(
	a *stepAdvice, stepID jobs.Task, startTimes map[workers.ID]int64, requestedAt time.Duration, advice workers.Advice, err error,
) {
	t.adviceInFlight = false
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
			a.refused[id] = true
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
