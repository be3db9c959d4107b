package execution

import (
	"slices"
	"time"

	"bronzehook/fault"
	"bronzehook/invalid"
	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/placement"
	"bronzehook/startgate"
	"bronzehook/store"
	"bronzehook/workers"
)

// tableRead describes a read of a table: when it was sent and answered, and whether it read all rows instead of changes. All
// changes before sentAt are known once it is applied; sentAt is 0 if the response left some out.
type tableRead struct {
	sentAt, answeredAt time.Duration
	full               bool
}

// watchIntake watches the table of accepted jobs and cancellations.
func (t *Term) watchIntake(after uint64) {
	wait := startgate.WatchWait(t.opts.StartBounds.Cancel, intakeWatchWait)
	t.watchTable(store.TableIntake, after, wait, minIntakeReadInterval, func(rows []store.Row, read tableRead) {
		t.intakeReadAt, t.freshness.intakeAsOf = read.answeredAt, max(t.freshness.intakeAsOf, read.sentAt)
		for _, row := range rows {
			if row.Deleted {
				continue
			}
			t.guardRow(invalid.SourceJob, row, t.applyIntake)
			if !read.full {
				t.markVerified(row)
			}
		}
	})
}

// watchWorkers watches the table of worker registrations.
func (t *Term) watchWorkers(after uint64) {
	wait := startgate.WatchWait(t.opts.StartBounds.Drain, workersWatchWait)
	t.watchTable(t.opts.WorkersTable, after, wait, minWorkersReadInterval, t.applyRegistrations)
}

// applyRegistrations applies changes of the table of worker registrations, or a full read of it.
func (t *Term) applyRegistrations(rows []store.Row, read tableRead) {
	if read.full {
		t.deregisterMissing(rows)
	}
	for _, row := range rows {
		t.guardRow(invalid.SourceRegistration, row, t.applyRegistration)
	}
	t.freshness.registrationsAsOf = max(t.freshness.registrationsAsOf, read.sentAt)
}

// watchTable passes changes of a table to the control goroutine. The store may delay the response by maxWait while there are
// no changes, but not the first one: the reads before the watch may have taken long. After changes the next watch starts
// minInterval later. If the store has discarded the history since the last version read, watchTable does a full read instead.
func (t *Term) watchTable(
	table string, after uint64, maxWait, minInterval time.Duration, apply func(rows []store.Row, read tableRead),
) {
	wait := time.Duration(0)
	for t.ctx.Err() == nil {
		read := tableRead{sentAt: t.opts.Clock()}
		changes, err := t.opts.Table.Watch(t.ctx, table, after, wait)
		if fault.CodeOf(err) == fault.CodeExpired {
			read = tableRead{sentAt: t.opts.Clock(), full: true}
			changes, err = store.List(t.ctx, t.opts.Table, table, "", "")
			t.log.Warn().Str("table", table).Uint64("after", after).Uint64("version", changes.Version).Msg("history gone, table read whole")
		}
		// A full read of a snapshot older than the changes that are known would undo these, and no watch would report them again.
		if err != nil || (read.full && changes.Version < after) {
			t.sleep(watchRetryDelay)
			continue
		}
		wait = maxWait
		after = changes.ResumeAfter(after)
		read.answeredAt = t.opts.Clock()
		if changes.More {
			read.sentAt = 0
		}
		t.post(func() { apply(changes.Rows, read) })
		if len(changes.Rows) > 0 || read.full {
			t.sleep(minInterval)
		}
	}
}

// sleep waits for a duration or until the term ends.
func (t *Term) sleep(d time.Duration) { leadership.Sleep(t.ctx, d) }

// applyIntake applies an accepted job or a cancellation.
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
	if _, aside := t.setAside[id]; aside || t.jobs[id] != nil {
		return
	}
	spec, err := decodeSpec(id, row)
	if err != nil {
		t.opts.Invalid.Report(invalid.SourceJob, name, row.Version, err)
		t.setAside[id] = nil
		return
	}
	j := &job{
		spec: spec, state: jobs.StateQueued, storedState: jobs.StateQueued, stateVersion: row.Version,
		occurrences: make([]*occurrence, spec.Occurrences()), pending: !spec.Scheduled(),
	}
	t.jobs[id] = j
	t.order = append(t.order, j)
	t.queueWork.note(spec)
	t.noteAccepted(j)
	if !spec.Scheduled() {
		t.openOccurrence(j, 0)
	}
	t.scheduleDue = true
	if t.earlyCancels[id] {
		delete(t.earlyCancels, id)
		t.cancel(j)
	}
}

// markVerified marks a job as verified that a watch has reported since this term began. A job from a full read is not
// marked, since that snapshot may be older than the end of the job.
func (t *Term) markVerified(row store.Row) {
	name, cancel, ok := store.ParseIntake(row.Name)
	if !ok || cancel {
		return
	}
	if j := t.jobs[jobs.ID(name)]; j != nil && !j.verified && j.stateVersion == row.Version {
		j.verified = true
		t.queueRecord(j)
	}
}

// cancel ends a job whose stored public state is already cancelled.
func (t *Term) cancel(j *job) {
	if j.cancelled || j.excluded() {
		return
	}
	j.cancelled = true
	j.state, j.storedState = jobs.StateCancelled, jobs.StateCancelled
	t.log.Info().Str(logging.KeyRequest, string(j.spec.ID)).Int("running", j.liveAttempts).Msg("job is cancelled")
	t.stopAll(j, "cancelled")
	t.markChanged(j)
}

// applyRegistration applies a row of the table of worker registrations.
func (t *Term) applyRegistration(row store.Row) {
	id := workers.ID(row.Name)
	if row.Deleted {
		if w := t.workers[id]; w != nil && w.registered {
			t.deregister(w)
			t.log.Info().Str(logging.KeyWorker, row.Name).Msg("worker no longer listed")
		}
		return
	}
	registration, err := t.opts.ParseRegistration(row)
	if err != nil {
		t.opts.Invalid.Report(invalid.SourceRegistration, row.Name, row.Version, err)
		if w := t.workers[id]; w != nil {
			t.deregister(w)
		}
		return
	}
	w := t.workerOf(id)
	if !w.registered && !t.loading {
		t.log.Info().Str(logging.KeyWorker, row.Name).Str("addr", registration.Addr).Msg("worker listed")
	}
	announced := w.announcesIncarnation(registration.StartTime)
	if announced {
		t.logAnnouncedIncarnation(w, registration)
	}
	if announced || w.node.Registration.Addr != registration.Addr {
		// A new incarnation of the worker has not accepted a fencing token of this term yet. A poll in flight may be answered
		// by the earlier one.
		t.raiseToken(w)
		w.pollFailures = 0
	}
	if registration.Draining && !w.node.Registration.Draining {
		w.drainingSince = t.opts.Clock()
		w.leavesAt = w.drainingSince + registration.Remaining
		t.log.Info().Str(logging.KeyWorker, row.Name).Dur("remaining", registration.Remaining).Msg("worker is draining")
	}
	w.registered = true
	w.leaving.Store(registration.Draining)
	w.node.Registration = registration
	t.nodes.version++
	if w.active {
		t.scheduleDue = true
	} else if !registration.Draining {
		t.enqueueInactive(w)
	}
}

// registrationCurrent reports whether the registration is that of the incarnation that answered last. Another one may differ in
// capacity, labels and service.
func (w *worker) registrationCurrent() bool {
	return w.startTime == 0 || w.node.Registration.StartTime == 0 || w.node.Registration.StartTime == w.startTime
}

// announcesIncarnation reports whether a registration with a start time is the first one of an incarnation that has not
// answered yet.
func (w *worker) announcesIncarnation(startTime int64) bool {
	return w.startTime != 0 && startTime > w.startTime && startTime != w.node.Registration.StartTime
}

// deregister notes that a worker has no registration any more, and removes it from the local view if it is inactive.
func (t *Term) deregister(w *worker) {
	w.registered = false
	w.leaving.Store(true)
	if !w.active {
		delete(t.workers, w.id())
	}
}

// deregisterMissing deregisters the workers that a full read of the table does not contain.
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

// nodeList holds the placement nodes of the active workers: all of them, and the worker of each.
type nodeList struct {
	all     []*placement.Node
	workers map[*placement.Node]*worker
	// version grows with each change of the list or of a registration.
	version int
}

func (l *nodeList) add(node *placement.Node, w *worker) {
	if l.workers == nil {
		l.workers = make(map[*placement.Node]*worker)
	}
	l.version++
	l.all = append(l.all, node)
	l.workers[node] = w
}

func (l *nodeList) remove(node *placement.Node) {
	l.version++
	delete(l.workers, node)
	l.all = slices.DeleteFunc(l.all, func(other *placement.Node) bool { return other == node })
}

// refreshNodes updates which workers are usable, the totals of their capacity, and their health.
func (t *Term) refreshNodes(now time.Duration) {
	t.refreshEvacuations(now)
	t.usableCount, t.usableCPU, t.degradedCount = 0, 0, 0
	for _, w := range t.active {
		usable := w.registered && w.fenced && w.registrationCurrent() && !w.node.Registration.Draining && w.pollFailures == 0 &&
			len(w.orphans) == 0 && !w.hedged && !t.isCordoned(w) && !t.isEvacuated(w) && !t.evacuatedElsewhere(w) && now-w.clockAt <= maxClockAge
		if usable && !w.node.Usable {
			t.scheduleDue = true
		}
		w.node.Usable = usable
		w.node.WithheldCPU = t.withheldCPU(w)
		w.node.OverdueStarts = w.overdueStarts.At(now)
		if usable {
			t.usableCount++
			t.usableCPU += w.node.Registration.Capacity.CPU
		}
		t.updateHealth(w, now)
	}
	t.countPools()
}
