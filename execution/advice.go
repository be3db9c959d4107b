package execution

import (
	"time"

	"bronzehook/jobs"
	"bronzehook/logging"
	"bronzehook/workers"
)

// Bounds of questions to the advice service.
const (
	// maxWorkersPerRequest bounds the workers in one question: each of them takes time to judge.
	maxWorkersPerRequest = 30
	// ticketExpiryMargin is kept back from a ticket's validity for the way of the order.
	ticketExpiryMargin  = 400 * time.Millisecond
	adviceRetryInterval = 250 * time.Millisecond
)

// stepAdvice is what is known of the workers that may run a step.
type stepAdvice struct {
	tickets map[workers.ID]ticket
	// refused holds workers that may not run the step, which does not change.
	refused     map[workers.ID]bool
	requestedAt time.Duration
}

type ticket struct {
	text  string
	born  int64
	until time.Duration
}

// ticketFor returns a valid ticket of a worker.
func (a *stepAdvice) ticketFor(w *worker, now time.Duration) (string, bool) {
	t, ok := a.tickets[w.id()]
	return t.text, ok && t.born == w.startTime && now < t.until-ticketExpiryMargin
}

// allowed returns which workers may run a step of a queue under advice now, and asks for more if none has room. A queue
// without advice allows all.
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

// requestAdvice sends one question at a time: the service handles the questions of a machine one after the other, and the most
// urgent step is asked for first.
func (t *Term) requestAdvice(j *job, o *occurrence, step int, a *stepAdvice, now time.Duration) {
	if t.adviceInFlight || t.opts.Advisor == nil || now < a.requestedAt+adviceRetryInterval {
		return
	}
	var ids []workers.ID
	for _, w := range t.active {
		id := w.id()
		fits := w.node.Usable && w.node.Entry.Service == j.queue.Service && j.spec.Steps[step].Reserved().Fits(w.node.Free())
		if fits && !a.refused[id] {
			ids = append(ids, id)
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
	question := jobs.Task{Job: j.spec.ID, Occurrence: number, Step: step}
	go func() {
		advice, err := t.opts.Advisor.Advise(t.ctx, question, ids)
		t.post(func() { t.handleAdvice(a, question, ids, now, advice, err) })
	}()
}

// handleAdvice takes up an answer.
func (t *Term) handleAdvice(
	a *stepAdvice, question jobs.Task, ids []workers.ID, asked time.Duration, advice workers.Advice, err error,
) {
	t.adviceInFlight = false
	t.scheduleDue = true
	event := t.log.Info()
	if err != nil {
		event = t.log.Warn().AnErr("error", err)
	}
	event.Stringer(logging.KeyTask, question).Int("asked", len(ids)).Int("good", len(advice.Tickets)).
		Dur("valid", advice.Valid).Msg("advice on a step")
	if err != nil {
		return
	}
	for _, id := range ids {
		text, good := advice.Tickets[id]
		if !good {
			a.refused[id] = true
			continue
		}
		if w := t.workers[id]; w != nil {
			a.tickets[id] = ticket{text: text, born: w.startTime, until: asked + advice.Valid}
		}
	}
}

// ticketOf returns the ticket that goes with an order.
func (t *Term) ticketOf(r *taskAttempt, now time.Duration) string {
	o := r.task.job.occurrences[r.task.id.Occurrence]
	if o == nil || o.advice[r.task.id.Step] == nil {
		return ""
	}
	text, _ := o.advice[r.task.id.Step].ticketFor(r.worker, now)
	return text
}
