package execution

import (
	"testing"
	"time"

	"bronzehook/jobs"
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
