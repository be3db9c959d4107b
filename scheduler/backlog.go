package scheduler

import (
	"time"

	"bronzehook/api"
	"bronzehook/scheduler/queue"
)

// Backlog is the queue of pending tasks with the reason why each of them waits. It is owned by one goroutine.
type Backlog struct {
	*queue.Queue
	reasons map[api.TaskID]Refusal
}

// NewBacklog returns an empty backlog.
func NewBacklog(opts queue.Options) *Backlog {
	return &Backlog{Queue: queue.New(opts), reasons: map[api.TaskID]Refusal{}}
}

// Reason returns why a task was not placed when it was last tried.
func (b *Backlog) Reason(task api.TaskID) (Refusal, bool) {
	r, ok := b.reasons[task]
	return r, ok
}

// Cancel forgets a task and its reason.
func (b *Backlog) Cancel(task api.TaskID) bool {
	delete(b.reasons, task)
	return b.Queue.Cancel(task)
}

// Run lets the planner decide about at most limit tasks that are due, and takes back what it refused. Assigned and
// failed tasks leave the backlog; an assignment that the owner of the rack refuses comes back with Rejected.
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
		b.Refused(r.Task, r.Cause, now)
	}
	return plan
}
