package execution

import (
	"slices"
	"strings"
	"time"

	"bronzehook/evacuation"
	"bronzehook/invalid"
	"bronzehook/jobs"
	"bronzehook/logging"
	"bronzehook/placement"
)

// evacuationLogInterval is the time between two lines on what is left in an evacuated data centre.
const evacuationLogInterval = 5 * time.Second

// advanceEvacuations moves work out of the evacuated data centres and reports what is left there.
func (t *Term) advanceEvacuations(now time.Duration) {
	t.finishMoves(now)
	if len(t.evacuated) == 0 {
		t.opts.EvacuationBoard.Publish(&evacuation.Report{Leading: true})
		return
	}
	t.observeOpenWorkers()
	reports := make(map[string]*evacuation.DataCentreReport, len(t.evacuated))
	for name, e := range t.evacuated {
		reports[name] = &evacuation.DataCentreReport{
			DataCentre: name, Version: e.Version, AgeMillis: (now - e.Since).Milliseconds(), Tasks: make(map[string]int), Reasons: make(map[string]int),
		}
	}
	attempts, candidates := t.evacuationCandidates(now, reports)
	t.moveIndex.Refresh(t.nodes.all)
	t.moveFailures, t.moveSearches = placement.Failures{}, 0
	maxMoves := evacuation.MaxMoves(t.latencyPressure())
	for _, i := range evacuation.Order(candidates) {
		a := attempts[i]
		reports[a.worker.node.Registration.Zone].Reasons[string(t.advanceMove(a, &candidates[i], maxMoves, now))]++
	}
	t.publishEvacuations(reports, now)
}

// advanceMove begins the move of a task if it may leave its data centre now, and returns why it is still there.
func (t *Term) advanceMove(a *taskAttempt, c *evacuation.Candidate, maxMoves int, now time.Duration) evacuation.Reason {
	if reason := c.Stays(); reason != "" {
		return reason
	}
	switch {
	case len(t.moves) >= maxMoves || t.moveSearches >= maxMoveSearches || !a.task.job.queueKnown || t.moves[a.task] != nil:
		return evacuation.ReasonPaced
	case a.task.step.LongRunning && !t.allowsDisruption(a):
		return evacuation.ReasonUnavailable
	}
	refusal := t.beginMove(a, now)
	if refusal == placement.ReasonNone {
		return evacuation.ReasonStopping
	}
	t.noteUnplaceable(a.task, refusal)
	return evacuation.Reason(refusal.String())
}

// evacuationCandidates returns the attempts in the evacuated data centres, and counts them in the reports.
func (t *Term) evacuationCandidates(now time.Duration, reports map[string]*evacuation.DataCentreReport) ([]*taskAttempt, []evacuation.Candidate) {
	var attempts []*taskAttempt
	var candidates []evacuation.Candidate
	for _, w := range t.active {
		if !t.isEvacuated(w) {
			continue
		}
		for _, a := range w.attempts {
			c := evacuation.Candidate{
				Kind: kindOf(a.task), Confirmed: a.phase == phaseRunning, Stopping: a.stopping, Gang: a.task.step.Gang,
				Available: a.task.available(), Progress: a.progress, Estimate: a.task.step.Estimate, KeepsWork: a.task.step.Checkpointing,
			}
			if a.startedAt > 0 {
				c.Ran = now - a.startedAt
			}
			attempts, candidates = append(attempts, a), append(candidates, c)
			reports[w.node.Registration.Zone].Tasks[c.Kind.String()]++
		}
	}
	return attempts, candidates
}

// latencyPressure counts the workers outside the evacuated data centres with latency-critical tasks, and those of them on which
// such a task is over its target.
func (t *Term) latencyPressure() (overTarget, latencyCritical int) {
	for _, w := range t.active {
		if w.node.LatencyCriticalTasks == 0 || t.isEvacuated(w) {
			continue
		}
		latencyCritical++
		if w.mitigation.OverTargetSince > 0 {
			overTarget++
		}
	}
	return overTarget, latencyCritical
}

// observeOpenWorkers notes which labels workers outside the evacuated data centres have, and reports evacuations of data
// centres that no worker is in.
func (t *Term) observeOpenWorkers() {
	clear(t.openLabels)
	clear(t.placeable)
	known := make(map[string]bool)
	for _, w := range t.workers {
		registration := &w.node.Registration
		known[registration.Zone] = true
		if !w.registered || registration.Draining || t.isEvacuated(w) {
			continue
		}
		for _, label := range registration.Labels {
			t.openLabels[label] = true
		}
	}
	for name, e := range t.evacuated {
		if !known[name] {
			t.opts.Invalid.Report(invalid.SourceEvacuation, name, e.Version, invalid.New(invalid.KindUnknownValue, "data centre"))
		}
	}
}

// onlyEvacuated reports whether no worker outside the evacuated data centres has a label.
func (t *Term) onlyEvacuated(label string) bool {
	return len(t.evacuated) > 0 && !t.openLabels[label]
}

// noteUnplaceable reports a task that can run in evacuated data centres only, once in each of them, after a refusal.
func (t *Term) noteUnplaceable(task *task, refusal placement.Reason) {
	if len(t.evacuated) == 0 || t.placeable[task.step] || !isLasting(refusal) {
		return
	}
	bound := false
	for name, e := range t.evacuated {
		switch {
		case slices.Contains(e.unplaceable, task):
			bound = true
		case len(e.unplaceable) < evacuation.MaxListed && t.canRunOnlyIn(name, task):
			bound = true
			e.unplaceable = append(e.unplaceable, task)
			t.opts.Metrics.evacuation.unplaceable.Inc()
			t.log.Warn().Stringer(logging.KeyTask, task.id).Str(logging.KeyDataCentre, name).Str("queue", task.job.spec.Queue).
				Str(logging.KeyReason, refusal.String()).Bool("running", task.current != nil).
				Msg("task can run in an evacuated data centre only")
		}
	}
	t.placeable[task.step] = !bound
}

// runsOrEnded reports whether a task needs no place any more, or was placed outside the evacuated data centres.
func (t *Term) runsOrEnded(task *task) bool {
	return task.ended() || (task.current != nil && !t.isEvacuated(task.current.worker))
}

// isLasting reports whether a refusal does not cease to apply when other work ends.
func isLasting(refusal placement.Reason) bool {
	return refusal == placement.ReasonNoLabel || refusal == placement.ReasonTooLarge || refusal == placement.ReasonNoWorker
}

// canRunOnlyIn reports whether workers of an evacuated data centre, and none outside all of them, have the label and the
// capacity for a task.
func (t *Term) canRunOnlyIn(dataCentre string, task *task) bool {
	found := false
	for _, w := range t.workers {
		registration := &w.node.Registration
		if !w.registered || registration.Draining || !suits(task, registration.Service, registration.Capacity) ||
			(task.step.Requires != "" && !registration.HasLabel(task.step.Requires)) {
			continue
		}
		if !t.isEvacuated(w) {
			return false
		}
		found = found || registration.Zone == dataCentre
	}
	return found
}

func suits(task *task, service string, capacity jobs.Resources) bool {
	return service == task.job.queue.Service && task.step.Reserved().Fits(capacity)
}

// publishEvacuations sets the metrics, logs progress and publishes the report for operators.
func (t *Term) publishEvacuations(reports map[string]*evacuation.DataCentreReport, now time.Duration) {
	published := &evacuation.Report{Leading: true}
	for name, report := range reports {
		e := t.evacuated[name]
		e.unplaceable = slices.DeleteFunc(e.unplaceable, t.runsOrEnded)
		for _, task := range e.unplaceable {
			report.Unplaceable = append(report.Unplaceable, task.id.String())
		}
		t.opts.Metrics.evacuation.setLeft(report)
		empty := report.Left() == 0
		if (empty && !e.empty) || (!empty && now-e.reportedAt >= evacuationLogInterval) {
			e.reportedAt = now
			t.logEvacuation(report, empty)
		}
		e.empty = empty
		published.DataCentres = append(published.DataCentres, *report)
	}
	slices.SortFunc(published.DataCentres, func(a, b evacuation.DataCentreReport) int {
		return strings.Compare(a.DataCentre, b.DataCentre)
	})
	t.opts.EvacuationBoard.Publish(published)
}

func (t *Term) logEvacuation(report *evacuation.DataCentreReport, empty bool) {
	t.log.Info().Str(logging.KeyDataCentre, report.DataCentre).Int64("age_ms", report.AgeMillis).Interface("tasks", report.Tasks).
		Interface("reasons", report.Reasons).Int("in_flight", len(t.moves)).Int("unplaceable", len(report.Unplaceable)).
		Bool("empty", empty).Msg("evacuation progress")
}

// endEvacuationReports withdraws the reports and metrics of the term, since the next leader may be another instance.
func (t *Term) endEvacuationReports() {
	t.opts.EvacuationBoard.Publish(nil)
	for name := range t.evacuated {
		t.opts.Metrics.evacuation.forget(name)
	}
}
