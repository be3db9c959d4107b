package execution

import (
	"slices"
	"time"

	"bronzehook/fault"
	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/placement"
	"bronzehook/store"
	"bronzehook/workers"
)

// watchIntake follows accepted jobs and cancellations.
func (t *Term) watchIntake(after uint64) {
	t.watchTable(store.TableIntake, after, intakeWait, intakeGap, func(rows []store.Row, whole bool, at time.Duration) {
		t.intakeAt = at
		for _, row := range rows {
			if row.Deleted {
				continue
			}
			t.applyIntake(row)
			if !whole {
				t.markLive(row)
			}
		}
	})
}

// watchWorkers follows the entries of workers.
func (t *Term) watchWorkers(after uint64) {
	t.watchTable(t.opts.WorkersTable, after, workersWait, workersGap, func(rows []store.Row, whole bool, _ time.Duration) {
		if whole {
			t.deregisterMissing(rows)
		}
		for _, row := range rows {
			t.applyRegistration(row)
		}
	})
}

// watchTable hands changes of a table to the control goroutine, with when they were read. If the history is gone it reads the whole
// table.
func (t *Term) watchTable(
	table string, after uint64, wait, gap time.Duration, apply func(rows []store.Row, whole bool, at time.Duration),
) {
	for t.ctx.Err() == nil {
		changes, err := t.opts.Table.Watch(t.ctx, table, after, wait)
		whole := false
		if fault.CodeOf(err) == fault.CodeExpired {
			whole = true
			changes, err = store.List(t.ctx, t.opts.Table, table, "", "")
			t.log.Warn().Str("table", table).Uint64("after", after).Msg("history gone, table read whole")
		}
		if err != nil {
			t.pause(watchRetry)
			continue
		}
		after = max(after, changes.Version)
		at := t.opts.Clock()
		t.post(func() { apply(changes.Rows, whole, at) })
		if len(changes.Rows) > 0 || whole {
			t.pause(gap)
		}
	}
}

func (t *Term) pause(d time.Duration) { leadership.Sleep(t.ctx, d) }

// applyIntake takes up a job or a cancellation.
func (t *Term) applyIntake(row store.Row) {
	name, cancel, ok := store.ParseIntake(row.Name)
	if !ok {
		return
	}
	id := jobs.ID(name)
	if cancel {
		if j := t.jobs[id]; j != nil {
			t.cancel(j)
			return
		}
		t.earlyCancels[id] = true
		return
	}
	if t.jobs[id] != nil {
		return
	}
	spec, err := jobs.Decode[jobs.Spec]("job", row.Value)
	if err != nil {
		t.log.Error().Str(logging.KeyRequest, name).AnErr("error", err).Msg("job unreadable")
		return
	}
	j := &job{
		spec: spec, state: jobs.StateQueued, stored: jobs.StateQueued, stateVersion: row.Version,
		occurrences: make([]*occurrence, spec.Occurrences()), pending: !spec.Scheduled(),
	}
	t.jobs[id] = j
	t.order = append(t.order, j)
	t.sizes.note(spec)
	if !spec.Scheduled() {
		t.openOccurrence(j, 0)
	}
	t.scheduleDue = true
	if t.earlyCancels[id] {
		delete(t.earlyCancels, id)
		t.cancel(j)
	}
}

// markLive notes that a job was read from the changes since this term began. Unlike one from an excerpt, which may be older
// than the job's end, it is known to be alive.
func (t *Term) markLive(row store.Row) {
	name, cancel, ok := store.ParseIntake(row.Name)
	if !ok || cancel {
		return
	}
	if j := t.jobs[jobs.ID(name)]; j != nil && !j.verified && j.stateVersion == row.Version {
		j.verified = true
		t.markRecord(j)
	}
}

// cancel ends a job whose public state says so already.
func (t *Term) cancel(j *job) {
	if j.cancelled || j.removed {
		return
	}
	j.cancelled = true
	j.state, j.stored = jobs.StateCancelled, jobs.StateCancelled
	t.log.Info().Str(logging.KeyRequest, string(j.spec.ID)).Int("running", j.liveAttempts).Msg("job is cancelled")
	t.stopAll(j, "cancelled")
	t.touch(j)
}

// applyRegistration takes up what a worker says of itself.
func (t *Term) applyRegistration(row store.Row) {
	id := workers.ID(row.Name)
	if row.Deleted {
		if w := t.workers[id]; w != nil && w.registered {
			t.deregister(w)
			t.log.Info().Str(logging.KeyWorker, row.Name).Msg("worker no longer listed")
		}
		return
	}
	entry, ok := t.opts.ParseEntry(row)
	if !ok {
		if w := t.workers[id]; w != nil {
			t.deregister(w)
		}
		return
	}
	w := t.workerOf(id)
	if w.startTime != 0 && entry.Born != 0 && entry.Born < w.startTime {
		return
	}
	if !w.registered && !t.loading {
		t.log.Info().Str(logging.KeyWorker, row.Name).Str("addr", entry.Addr).Msg("worker listed")
	}
	if w.node.Entry.Addr != entry.Addr || (entry.Born != 0 && w.startTime != 0 && entry.Born > w.startTime) {
		// Another life: it has not seen this term's epoch.
		w.fenced = false
		w.incarnation++
		w.pollFailures = 0
	}
	if entry.Draining && !w.node.Entry.Draining {
		w.drainingSince = t.opts.Clock()
		w.leavesAt = w.drainingSince + entry.Remaining
		t.log.Info().Str(logging.KeyWorker, row.Name).Dur("remaining", entry.Remaining).Msg("worker is draining")
	}
	w.registered = true
	w.node.Entry = entry
	if w.active {
		t.scheduleDue = true
	} else if !entry.Draining {
		t.enqueueInactive(w)
	}
}

// deregister notes that a worker has no entry. One that nothing runs on is forgotten.
func (t *Term) deregister(w *worker) {
	w.registered = false
	if !w.active {
		delete(t.workers, w.id())
	}
}

// deregisterMissing drops the entries that a whole reading of the table does not have.
func (t *Term) deregisterMissing(rows []store.Row) {
	present := make(map[workers.ID]bool, len(rows))
	for _, row := range rows {
		present[workers.ID(row.Name)] = true
	}
	for id, w := range t.workers {
		if !present[id] {
			t.deregister(w)
		}
	}
}

// nodeList keeps the accounts in a slice for the decisions.
type nodeList struct {
	all   []*placement.Node
	owner map[*placement.Node]*worker
}

func (l *nodeList) add(node *placement.Node, w *worker) {
	if l.owner == nil {
		l.owner = make(map[*placement.Node]*worker)
	}
	l.all = append(l.all, node)
	l.owner[node] = w
}

func (l *nodeList) remove(node *placement.Node) {
	delete(l.owner, node)
	l.all = slices.DeleteFunc(l.all, func(other *placement.Node) bool { return other == node })
}

// refreshNodes brings the accounts' usability up to date.
func (t *Term) refreshNodes(now time.Duration) {
	t.usable, t.capacity, t.degraded = 0, 0, 0
	for _, w := range t.active {
		usable := w.registered && w.fenced && !w.node.Entry.Draining && w.pollFailures == 0 && len(w.orphans) == 0 && !w.hedged && !t.isCordoned(w)
		if usable && !w.node.Usable {
			t.scheduleDue = true
		}
		w.node.Usable = usable
		if usable {
			t.usable++
			t.capacity += w.node.Entry.Capacity.CPU
		}
		t.updateHealth(w, now)
	}
	t.countPools()
}
