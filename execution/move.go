package execution

import (
	"time"

	"bronzehook/evacuation"
	"bronzehook/logging"
	"bronzehook/placement"
	"bronzehook/workers"
)

// Limits of moves out of evacuated data centres.
const (
	// maxMoveSearches bounds the searches for a place in one pass, so that a full fleet does not delay the leader.
	maxMoveSearches = 16
	// moveTimeout is how long a move counts as in flight after its held place was given up.
	moveTimeout = 10 * time.Second
)

// move is the move of a task out of an evacuated data centre. Its place is reserved before the task is stopped, and it counts as
// in flight until the task runs again.
type move struct {
	// node is the worker on which the place is reserved; nil once it is used or given up.
	node  *placement.Node
	since time.Duration
}

// beginMove reserves a place for a running task elsewhere and stops the task. If there is no place, it returns the reason.
func (t *Term) beginMove(a *taskAttempt, now time.Duration) placement.Reason {
	node, reason := t.findPlace(a)
	if node == nil {
		return reason
	}
	node.Reserve(a.task.step)
	t.moves[a.task] = &move{node: node, since: now}
	t.opts.Metrics.evacuation.moves.WithLabelValues(kindOf(a.task).String()).Inc()
	t.log.Info().Stringer(logging.KeyTask, a.task.id).Int(logging.KeyAttempt, a.number).Str(logging.KeyWorker, string(a.worker.id())).
		Str("to", string(node.Registration.ID)).Str(logging.KeyDataCentre, a.worker.node.Registration.Zone).Int("in_flight", len(t.moves)).
		Msg("task leaves an evacuated data centre")
	t.stop(a, "its data centre is being evacuated")
	return placement.ReasonNone
}

// findPlace returns the best worker elsewhere for a running task. Preferences are relaxed in this order: a worker near the
// data, then one on the rack of the group, which are scores, and then the headroom.
func (t *Term) findPlace(a *taskAttempt) (*placement.Node, placement.Reason) {
	if label := a.task.step.Requires; label != "" && t.onlyEvacuated(label) {
		return nil, placement.ReasonNoLabel
	}
	request := t.moveRequest(a.task)
	var reason placement.Reason
	for _, headroom := range []int{t.moveHeadroom(a.task), 0} {
		request.Headroom = headroom
		if t.moveFailures.Infeasible(&request) {
			reason = placement.ReasonNoCapacity
			continue
		}
		t.moveSearches++
		search := t.moveIndex.NewSearch()
		node, refusal := search.Choose(request)
		if node != nil {
			return node, placement.ReasonNone
		}
		if search.Unadvised() {
			t.wantAdvice(a.task)
		}
		reason = refusal
		t.moveFailures.Note(&request, refusal)
		t.noteRefusal(a.task.job.queue.Service, a.task.step, refusal)
		if refusal != placement.ReasonHeadroom {
			break
		}
	}
	return nil, reason
}

// moveRequest returns the placement request for a task that is moved.
func (t *Term) moveRequest(task *task) placement.Request {
	j := task.job
	request := t.request(j, task, task.occurrence().steps[task.id.Step])
	request.LocalOnly, request.Headroom = false, 0
	return request
}

// moveHeadroom returns the headroom that a moved task leaves if there is a worker with that much. Term.headroom does not tell it,
// since it depends on how long a task has waited.
func (t *Term) moveHeadroom(task *task) int {
	switch {
	case t.usableCount == 0:
		return 0
	case task.step.LongRunning:
		return min(t.perWorker(t.batchDemand.missing()), max(0, task.step.Resources.CPU-1))
	case task.job.queue.Priority > 0:
		return t.perWorker(t.topPriorityDemand.missing())
	}
	return 0
}

// placeMoved places the moved tasks that have been stopped on the workers that are reserved for them. A task whose place cannot
// be used is placed like any other.
func (t *Term) placeMoved() {
	for task, m := range t.moves {
		if m.node == nil || (task.current != nil && !task.ended()) {
			continue
		}
		node := m.node
		t.releaseMove(task)
		if task.ended() {
			continue
		}
		request := t.moveRequest(task)
		if w := t.nodes.workers[node]; w != nil && placement.Accepts(node, request) {
			t.assign(task.job, task, w, task.attempt+1)
			continue
		}
		t.opts.Metrics.evacuation.placesLost.Inc()
		t.log.Info().Stringer(logging.KeyTask, task.id).Str(logging.KeyWorker, string(node.Registration.ID)).
			Msg("place of a moved task lost")
	}
}

// ended reports whether a task needs no further attempt.
func (t *task) ended() bool { return t.done || t.job.terminal() || t.job.excluded() }

// releaseMove releases the place that is reserved for a moved task, if there is one.
func (t *Term) releaseMove(task *task) {
	if m := t.moves[task]; m != nil && m.node != nil {
		m.node.Release(task.step)
		m.node = nil
	}
}

// finishMoves drops the moves that are over: the task runs again, or ended, or waits for longer than moveTimeout.
func (t *Term) finishMoves(now time.Duration) {
	for task, m := range t.moves {
		running := task.current != nil && task.current.phase == phaseRunning
		if m.node == nil && (task.ended() || running || now-m.since > moveTimeout) {
			delete(t.moves, task)
		}
	}
}

// destination returns the worker on which a place is reserved for a task; nil if there is none.
func (t *Term) destination(task *task) *placement.Node {
	if m := t.moves[task]; m != nil {
		return m.node
	}
	return nil
}

// countByWorker counts the tasks that may be running, or are to be moved there, by their workers.
func (t *Term) countByWorker(tasks []*task) map[workers.ID]int {
	counts := make(map[workers.ID]int)
	for _, task := range tasks {
		if task.current != nil {
			counts[task.current.worker.id()]++
		}
		if node := t.destination(task); node != nil {
			counts[node.Registration.ID]++
		}
	}
	return counts
}

// rackOf returns the rack on which tasks of a step run, of which one outside evacuated data centres is preferred.
func (t *Term) rackOf(tasks []*task) string {
	for _, task := range tasks {
		if node := t.destination(task); node != nil {
			return node.Registration.Rack
		}
		if task.current != nil && !t.isEvacuated(task.current.worker) {
			return task.current.worker.node.Registration.Rack
		}
	}
	return ""
}

// kindOf returns the kind of a task.
func kindOf(task *task) evacuation.Kind {
	switch {
	case task.step.LatencyCritical():
		return evacuation.KindLatencyCritical
	case task.step.LongRunning:
		return evacuation.KindLongRunning
	case task.step.BestEffort:
		return evacuation.KindBestEffort
	}
	return evacuation.KindBatch
}
