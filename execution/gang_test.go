package execution

import (
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/manifest"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

func gangStep(count, cpu int) jobs.Step {
	step := oneStep(count, cpu)
	step.Gang = true
	return step
}

// Guards against members of a gang that wait alone because there was capacity for a part of it.
func TestGangStartsAllOrNothing(t *testing.T) {
	r := newRig(t, memory.New())
	first := r.addWorker("w1", 200)
	j := r.submit("a", gangStep(3, 100))
	r.scheduleAndCommit()
	if j.liveAttempts != 0 || len(first.attempts) != 0 {
		t.Fatalf("%d of 3 members started", j.liveAttempts)
	}
	r.addWorker("w2", 200)
	r.scheduleAndCommit()
	if j.liveAttempts != 3 {
		t.Fatalf("%d of 3 members started", j.liveAttempts)
	}
	for _, start := range r.client.starts {
		if start.Attempt != 1 {
			t.Errorf("%v started as attempt %d", start.Task, start.Attempt)
		}
	}
}

// Guards against a gang with members of different attempts after one of them has failed, and against a failure that
// counts once for each member.
func TestFailedGangRestartsAsAWhole(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	j := r.submit("a", gangStep(2, 100))
	r.scheduleAndCommit()
	task := func(index int) jobs.Task { return jobs.Task{Job: "a", Index: index} }
	r.reportTerminations(w,
		workers.Termination{Number: 1, Task: task(0), Attempt: 1, Cause: workers.CauseFailed, Checkpoint: "c"},
		workers.Termination{Number: 2, Task: task(1), Attempt: 1, Cause: workers.CauseBroken},
	)
	r.scheduleAndCommit()
	if j.terminal() {
		t.Fatalf("the job is %s after one failure of the gang", j.state)
	}
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	if len(r.client.starts) != 4 {
		t.Fatalf("%d starts", len(r.client.starts))
	}
	for _, start := range r.client.starts[2:] {
		if start.Attempt != 2 || start.Checkpoint != "c" {
			t.Errorf("%v started as attempt %d from checkpoint %q", start.Task, start.Attempt, start.Checkpoint)
		}
	}
}

// Guards against a gang that continues or restarts after one of its members was reported as done: that termination
// counts for all members.
func TestOneTerminationEndsWholeGang(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("a", gangStep(3, 100))
	r.scheduleAndCommit()
	r.reportTerminations(w,
		workers.Termination{Number: 1, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: workers.CauseDone},
		workers.Termination{Number: 2, Task: jobs.Task{Job: "a", Index: 1}, Attempt: 1, Cause: workers.CauseDone},
		workers.Termination{Number: 3, Task: jobs.Task{Job: "a", Index: 2}, Attempt: 1, Cause: workers.CauseDone},
	)
	r.scheduleAndCommit()
	state, err := jobs.Decode[jobs.PublicState]("state", r.table.Value(store.StateKey("a")))
	if err != nil || state.State != jobs.StateSucceeded {
		t.Errorf("state %v, %v", state, err)
	}
	if n := r.client.startCount(); n != 3 {
		t.Errorf("%d starts", n)
	}
}

// Guards against an occurrence of a repeated job that starts before it is due or not at all, and against one that
// waits for the previous one.
func TestOccurrencesStartWhenDue(t *testing.T) {
	r := newRig(t, memory.New())
	r.addWorker("w", 1000)
	spec := &jobs.Spec{
		ID: "a", Queue: testQueue, Steps: []jobs.Step{oneStep(1, 100)}, Submitted: r.wallClock.UnixMilli(),
		Repeat: 3, FirstRun: r.wallClock.Add(time.Second).UnixMilli(), Interval: 2 * time.Second,
	}
	state := jobs.PublicState{State: jobs.StateQueued, Queue: testQueue}
	version, err := r.table.Commit(r.ctx, store.Txn{Puts: []store.Put{{Key: store.StateKey("a"), Value: jobs.Encode(&state)}}})
	if err != nil {
		t.Fatal(err)
	}
	r.applyIntake(store.Row{Key: store.JobKey("a"), Value: jobs.Encode(spec), Version: version})
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {999 * time.Millisecond, 0}, {time.Second, 1}, {2 * time.Second, 1}, {3 * time.Second, 2}, {5 * time.Second, 3}, {9 * time.Second, 3}} {
		r.wallClock = time.UnixMilli(spec.Submitted).Add(c.after)
		r.scheduleAndCommit()
		if n := r.client.startCount(); n != c.want {
			t.Errorf("%v after the submission: %d starts, want %d", c.after, n, c.want)
		}
	}
}

// Guards against members of a gang that wait until their time-out for a member whose start had no response or whose
// worker began to drain. A benchmark day with an overloaded variant of tentpole-sched broke the rule GANG for that
// reason.
func TestGangIsStoppedWhenAStartIsAbandoned(t *testing.T) {
	for name, abandon := range map[string]func(*rig, *taskAttempt){
		"no answer": func(r *rig, missing *taskAttempt) {
			missing.startsSent, missing.startsPending = maxStartCommands, 0
			r.handleStartWithoutResponse(missing, r.clock, &workers.UnreachableError{Worker: missing.worker.id()})
		},
		"worker leaves": func(r *rig, missing *taskAttempt) {
			missing.worker.node.Registration.Draining = true
			r.sendStart(missing)
		},
	} {
		r := newRig(t, memory.New())
		r.addWorker("w1", 100)
		r.addWorker("w2", 100)
		j := r.submit("a", gangStep(2, 100))
		r.scheduleAndCommit()
		members := j.occurrences[0].steps[0]
		abandon(r, members[0].current)
		if !members[0].current.stopping || !members[1].current.stopping {
			t.Errorf("%s: stopping %v and %v", name, members[0].current.stopping, members[1].current.stopping)
		}
	}
}

// report lets a worker answer a poll with the termination of one member of the gang "a".
func (r *rig) report(w *worker, number int64, index, attempt int, cause workers.Cause) {
	var listed []workers.Running
	for key := range w.attempts {
		if key.task.Index != index {
			listed = append(listed, workers.Running{Task: key.task, Attempt: key.attempt})
		}
	}
	r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, r.clock, workers.Inventory{
		StartTime: 1, Running: listed, Terminations: []workers.Termination{
			{Number: number, Task: jobs.Task{Job: "a", Index: index}, Attempt: attempt, Cause: cause},
		},
	}, nil)
}

// takeOver starts a term with what another one has stored. The worker is the one that ran the other's attempts.
func (r *rig) takeOver(id string, cpu int) (*rig, *worker) {
	r.t.Helper()
	next := newRig(r.t, r.table)
	next.opts.Manifest.Update(r.opts.Manifest.Current())
	if _, err := next.load(); err != nil {
		r.t.Fatal(err)
	}
	next.commitAll()
	return next, next.addWorker(id, cpu)
}

// Guards against a job that is given up after one attempt of its gang, because each member that failed in it was counted.
func TestFailedAttemptOfAGangCountsOnce(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	j := r.submit("a", gangStep(3, 100))
	r.scheduleAndCommit()
	number := int64(0)
	for attempt := 1; attempt <= 2; attempt++ {
		if j.terminal() {
			t.Fatalf("the job is %s after %d attempts", j.state, attempt-1)
		}
		for index, cause := range []workers.Cause{workers.CauseFailed, workers.CauseFailed, workers.CauseBroken} {
			number++
			r.report(w, number, index, attempt, cause)
		}
		r.scheduleAndCommit()
	}
	if j.state != jobs.StateFailed {
		t.Errorf("the job is %s after two failed attempts of two", j.state)
	}
	if n := r.client.startCount(); n != 6 {
		t.Errorf("%d starts", n)
	}
}

// Guards against a new leader that counts an attempt of a gang a second time, because other members of it fail, or that
// does not count one, because a member that failed before has ended in it.
func TestNewLeaderKnowsFailedAttemptsOfAGang(t *testing.T) {
	type end struct {
		index, attempt int
		cause          workers.Cause
	}
	for name, c := range map[string]struct {
		before, after []end
		want          int
	}{
		"another member fails in the same attempt":           {[]end{{0, 1, "failed"}}, []end{{1, 1, "failed"}}, 1},
		"the last member fails first":                        {[]end{{2, 1, "failed"}}, []end{{0, 1, "failed"}, {1, 1, "failed"}}, 1},
		"first failure of the second attempt":                {[]end{{0, 1, "failed"}, {1, 1, "broken"}, {2, 1, "broken"}}, []end{{1, 2, "failed"}}, 2},
		"the member that failed first is broken in the next": {[]end{{0, 1, "failed"}, {1, 1, "broken"}, {2, 1, "broken"}, {0, 2, "broken"}}, []end{{1, 2, "failed"}}, 2},
		"all but one are broken in the next":                 {[]end{{0, 1, "failed"}, {1, 1, "broken"}, {2, 1, "broken"}, {0, 2, "broken"}, {1, 2, "broken"}}, []end{{2, 2, "failed"}}, 2},
		"both attempts are counted":                          {[]end{{0, 1, "failed"}, {1, 1, "failed"}, {2, 1, "broken"}, {2, 2, "failed"}}, []end{{0, 2, "failed"}, {1, 2, "failed"}}, 2},
		"nobody fails after the change":                      {[]end{{0, 1, "failed"}}, []end{{1, 1, "broken"}, {2, 1, "broken"}}, 1},
	} {
		r := newRig(t, memory.New())
		w := r.addWorker("w", 1000)
		r.opts.Manifest.Update((&manifest.Manifest{Version: 2, Queues: []manifest.Queue{
			{Name: testQueue, Service: "s", MaxAttempts: 9, Stretch: 2, LatencyTarget: time.Second},
		}}).Index())
		r.submit("a", gangStep(3, 100))
		r.scheduleAndCommit()
		number := int64(0)
		report := func(r *rig, w *worker, ends []end) {
			for _, e := range ends {
				number++
				r.report(w, number, e.index, e.attempt, e.cause)
				r.scheduleAndCommit()
			}
		}
		report(r, w, c.before)
		next, w := r.takeOver("w", 1000)
		report(next, w, c.after)
		if got := next.findTask(jobs.Task{Job: "a"}).failureCount(); got != c.want {
			t.Errorf("%s: %d failures, want %d", name, got, c.want)
		}
	}
}

// Guards against a lost member whose failure is reported late, after the gang has started again, and is counted although
// the attempt was, or not counted although it was not.
func TestLateFailureOfALostMemberCountsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		other workers.Cause
		want  int
	}{"the attempt was counted": {workers.CauseFailed, 1}, "the attempt was not counted": {workers.CauseBroken, 1}} {
		r := newRig(t, memory.New())
		w1, w2 := r.addWorker("w1", 100), r.addWorker("w2", 100)
		r.submit("a", gangStep(2, 100))
		r.scheduleAndCommit()
		members := r.jobs["a"].occurrences[0].steps[0]
		lost, other := members[0], members[1]
		if lost.current.worker != w1 {
			w1, w2 = w2, w1
		}
		r.markLost(lost.current, "its lease has run out")
		r.report(w2, 1, other.id.Index, 1, c.other)
		r.scheduleAndCommit()
		if lost.attempt != 2 {
			t.Fatalf("%s: the gang has not started again", name)
		}
		r.report(w1, 1, lost.id.Index, 1, workers.CauseFailed)
		if got := lost.failureCount(); got != c.want {
			t.Errorf("%s: %d failures, want %d", name, got, c.want)
		}
	}
}
