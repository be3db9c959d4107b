package execution

import (
	"time"

	"bronzehook/jobs"
	"bronzehook/locality"
	"bronzehook/logging"
	"bronzehook/placement"
)

// nearSearch is the search for a near place for the tasks of one step in one scheduling cycle. It is nil for steps whose tasks
// take as long anywhere.
type nearSearch struct {
	job   *job
	slack time.Duration
	// place is the place that the tasks are to run on; nil if there is none. onRack is set if it is the rack of the group,
	// else it is near the data.
	place  *nearPlace
	onRack bool
	// refused is set once no worker of the place takes a task of the step. Capacity does not grow within a cycle.
	refused bool
	// waits is set while the task tried last waits for the place.
	waits bool
}

// newNearSearch returns the search for the tasks of a step.
func (t *Term) newNearSearch(j *job, o *occurrence, number int) *nearSearch {
	step := &j.spec.Steps[number]
	if t.opts.RemoteDataFactor <= 1 || step.Estimate <= 0 || (step.Affinity == "" && (!step.RackSensitive || step.Count < 2)) {
		return nil
	}
	waiting := false
	for _, task := range o.steps[number] {
		waiting = waiting || (task.current == nil && !task.done)
	}
	if !waiting {
		return nil
	}
	near := &nearSearch{job: j, slack: t.slack(j, o)}
	if step.Affinity != "" {
		near.place = t.nearPlaceOf(j.queue.Service, step.Affinity)
		return near
	}
	near.onRack = true
	if rack, one := t.onlyRackOf(o.steps[number]); rack != "" && one {
		near.place = t.nearPlaceOf(j.queue.Service, rack)
	}
	return near
}

// slack returns for how long the remaining tasks of an occurrence can be delayed so that the job ends by its deadline.
func (t *Term) slack(j *job, o *occurrence) time.Duration {
	path := placement.CriticalPath(j.spec, func(step int) bool { return o.remaining[step] > 0 })
	return j.deadline.Sub(t.opts.Now().Add(path))
}

// waiting reports whether the task tried last waits for a near place, so that its refusal says nothing about other workers.
func (s *nearSearch) waiting() bool { return s != nil && s.waits }

// preferNear decides whether a task waits for a near place because no worker there accepts it now.
func (t *Term) preferNear(s *nearSearch, task *task, request *placement.Request) {
	if s == nil {
		return
	}
	s.waits = false
	if s.place == nil || t.starved(task, t.scheduledAt) {
		return
	}
	if s.onRack {
		request.RackInUse = s.place.key.label
	}
	free := !s.refused && s.place.accepts(*request)
	// Long-running tasks of one step may have to leave different headroom.
	s.refused = !free && !task.step.LongRunning
	// With a free near worker the score decides: one that failed the task, or fails many, is not preferred.
	s.waits = t.decideForTask(s, task, free).Waits()
}

// noteWaitNear counts a task or group that waits for a near place, and requests further workers, which may be near.
func (t *Term) noteWaitNear(service string, step *jobs.Step) {
	t.refusals[placement.ReasonNonLocal]++
	t.opts.Metrics.placementFailed(placement.ReasonNonLocal.String())
	t.noteRefusal(service, step, placement.ReasonNoCapacity)
}

// waitsNear reports whether a task waits for a near place that has refused another task of its step.
func (t *Term) waitsNear(s *nearSearch, task *task) bool {
	return s != nil && s.refused && !t.starved(task, t.scheduledAt) && t.decideForTask(s, task, false).Waits()
}

// decideForTask decides for one task. If the task waits, it takes its turn in the forecast of the place.
func (t *Term) decideForTask(s *nearSearch, task *task, free bool) locality.Decision {
	place := locality.Place{FreeNow: free, Closed: t.onlyEvacuated(s.place.key.label)}
	if !free {
		place.Wait, place.Known = t.expectedWait(s.place, task)
		// What is expected of batch tasks does not tell how long a long-running one waits.
		place.Known = place.Known && !task.step.LongRunning
	}
	decision := t.decideNear(s, task, place)
	if decision.Outcome == locality.OutcomeWait {
		t.forecastOf(s.place).Add(task.step.Reserved(), task.step.Estimate)
		t.near.add(s.place, 1)
	}
	return decision
}

// expectedWait returns the expected wait of a task for a place. It is unknown if no worker there is usable, or if there is free
// capacity that the task may not use for another reason.
func (t *Term) expectedWait(p *nearPlace, task *task) (wait time.Duration, known bool) {
	forecast := t.forecastOf(p)
	if forecast.Empty() {
		return 0, false
	}
	wait = forecast.Wait(task.step.Reserved())
	switch wait {
	case 0:
		return 0, false
	case locality.Never:
		return wait, true
	}
	return wait + t.backlogDelay(p.key.service), true
}

// decideNear decides for a task or, by its first waiting task, for a group.
func (t *Term) decideNear(s *nearSearch, task *task, place locality.Place) locality.Decision {
	subject := locality.Task{
		Estimate: task.step.Estimate, FarFactor: t.opts.RemoteDataFactor, Slack: s.slack, Waited: t.scheduledAt - task.readyAt,
	}
	if task.step.LongRunning {
		// A long-running task has no end that could be late.
		subject.Slack = locality.Never
	}
	decision := t.near.decide(place, subject)
	if decision.Outcome == task.nearOutcome {
		return decision
	}
	task.nearOutcome = decision.Outcome
	kind, near, ahead := nearData, "", 0
	if s.onRack {
		kind = nearGroup
	}
	if s.place != nil {
		near, ahead = s.place.key.label, s.place.ahead
	}
	t.opts.Metrics.locality.decisions.WithLabelValues(kind, decision.String()).Inc()
	event := t.detailLog.Info().Stringer(logging.KeyTask, task.id).Str("queue", task.job.spec.Queue).Str("kind", kind).
		Str("outcome", decision.String()).Str("near", near).Int("ahead", ahead).Dur("extra", subject.ExtraTime()).
		Dur("slack", subject.Slack).Dur("waited", subject.Waited).Dur("until", decision.Until).Bool("known", place.Known)
	if place.Known && place.Wait < locality.Never {
		event = event.Dur("expected", place.Wait)
	}
	event.Msg("near place decided")
	return decision
}
