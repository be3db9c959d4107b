package scheduler

import (
	"time"

	"bronzehook/api"
	"bronzehook/scheduler/queue"
)

// Backlog is the queue of pending tasks together with the reason why each task waits. It is not safe for concurrent
// use.
type Backlog struct {
	*queue.Queue
	reasons map[api.TaskID]Refusal
}

// NewBacklog returns an empty backlog.
func NewBacklog(opts queue.Options) *Backlog {
	return &Backlog{Queue: queue.New(opts), reasons: map[api.TaskID]Refusal{}}
}

// Reason returns why the task was refused when it was last tried, if it was.
func (b *Backlog) Reason(task api.TaskID) (Refusal, bool) {
	r, ok := b.reasons[task]
	return r, ok
}

// Cancel removes a task and its reason. It reports whether the task was queued.
func (b *Backlog) Cancel(task api.TaskID) bool {
	delete(b.reasons, task)
	return b.Queue.Cancel(task)
}

// Run has the planner schedule at most limit tasks that are ready. Assigned and failed tasks are removed from the
// backlog; refused tasks are queued again. If the owner of the rack refuses an assignment, the caller returns it with
// Rejected.
func (b *Backlog) Run(p Planner, s *Snapshot, now time.Time, limit int) Plan {
	plan := p.Cycle(s, b.Ready(now, limit), now)
	for _, a := range plan.Assignments {
		delete(b.reasons, a.Task)
		b.Placed(a.Task)
	}
	for _, f := range plan.Failures {
		b.Cancel(f.Task)
	}
	for _, r := range plan.Refusals {
		b.reasons[r.Task] = r
		b.RequeueUnplaced(r.Task, r.Cause, now)
	}
	return plan
}
