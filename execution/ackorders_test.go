package execution

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"bronzehook/fault"
	"bronzehook/jobs"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// commitOutcome is what becomes of a held commit.
type commitOutcome int

const (
	commitStored commitOutcome = iota
	commitRefused
	// commitUnanswered is applied, but its response is lost.
	commitUnanswered
)

// heldCommit is a commit that waits for the test to decide its outcome.
type heldCommit struct {
	queue   *commitQueue
	outcome chan commitOutcome
}

// holdingTable holds each commit until the test decides its outcome, once holding is set.
type holdingTable struct {
	*memory.Table
	holding bool
	held    chan *heldCommit
}

func (h *holdingTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if !h.holding {
		return h.Table.Commit(ctx, txn)
	}
	c := &heldCommit{outcome: make(chan commitOutcome)}
	h.held <- c
	switch <-c.outcome {
	case commitRefused:
		return 0, &store.CallError{Call: "commit", Kind: fault.CodeStoreUnavailable, Detail: "refused"}
	case commitUnanswered:
		if _, err := h.Table.Commit(ctx, txn); err != nil {
			return 0, err
		}
		return 0, &store.CallError{Call: "commit", Kind: fault.CodeOutcomeUnknown, Detail: "no reply"}
	}
	return h.Table.Commit(ctx, txn)
}

// ackPlay plays random orders of ends, cancellations and commits. Nothing runs beside it: the same seed gives the same order.
type ackPlay struct {
	*rig
	front *holdingTable
	rand  *rand.Rand
	fleet []*worker
	// open holds the commits under way, listed the terminations that each worker has listed, and lost the attempts that were
	// marked as lost and may still be reported.
	open    []*heldCommit
	listed  map[*worker][]workers.Termination
	lost    []*taskAttempt
	cancels []store.Row
	names   []string
}

func newAckPlay(t *testing.T, seed uint64) *ackPlay {
	table := memory.New()
	front := &holdingTable{Table: table, held: make(chan *heldCommit)}
	p := &ackPlay{rig: newRigBehind(t, table, front), front: front, rand: rand.New(rand.NewPCG(seed, 0)), listed: make(map[*worker][]workers.Termination)}
	// Calls through carriers are never answered, so that all that is known of attempts is what this test reports.
	p.opts.Carriers = &fakeCarriers{names: []string{"c"}, assigned: make(map[string]int)}
	for i := range 3 {
		p.fleet = append(p.fleet, p.addWorker(fmt.Sprintf("w%d", i), 600))
	}
	front.holding = true
	return p
}

// step does one random thing.
func (p *ackPlay) step() {
	if p.rand.IntN(60) == 0 {
		p.setOneAside()
	}
	switch p.rand.IntN(10) {
	case 0:
		p.submitJob()
	case 1:
		p.Term.schedule(p.clock)
	case 2, 3:
		p.end()
	case 4:
		p.lose()
	case 5:
		p.requestCancel()
	case 6:
		p.readCancels()
	case 7:
		p.beginCommits()
	default:
		p.finishCommit(commitOutcome(p.rand.IntN(3)))
	}
}

func (p *ackPlay) submitJob() {
	id := fmt.Sprintf("j%d", len(p.names))
	p.names = append(p.names, id)
	second := oneStep(1, 100)
	second.After = []int{0}
	shapes := [][]jobs.Step{{gangStep(3, 100)}, {oneStep(2, 100)}, {oneStep(1, 100), second}, {gangStep(2, 100), second}}
	// The row is written by an instance that accepts jobs, past the leader's commits.
	p.front.holding = false
	j := p.submit(id, shapes[p.rand.IntN(len(shapes))]...)
	p.front.holding = true
	p.markVerified(store.Row{Key: store.JobKey(id), Version: j.stateVersion})
}

// started returns the attempts that may have been started, in a fixed order.
func (p *ackPlay) started() []*taskAttempt {
	var started []*taskAttempt
	for _, w := range p.fleet {
		for _, a := range w.attempts {
			if a.phase != phaseRecording {
				started = append(started, a)
			}
		}
	}
	slices.SortFunc(started, func(a, b *taskAttempt) int {
		return slices.Compare([]byte(fmt.Sprint(a.task.id, a.number)), []byte(fmt.Sprint(b.task.id, b.number)))
	})
	return started
}

// end lets a worker list the end of an attempt, or of one that was lost before.
func (p *ackPlay) end() {
	if len(p.lost) > 0 && p.rand.IntN(3) == 0 {
		i := p.rand.IntN(len(p.lost))
		p.list(p.lost[i], p.randomCause())
		p.lost = slices.Delete(p.lost, i, i+1)
		return
	}
	if started := p.started(); len(started) > 0 {
		p.list(started[p.rand.IntN(len(started))], p.randomCause())
	}
}

func (p *ackPlay) randomCause() workers.Cause {
	return []workers.Cause{workers.CauseDone, workers.CauseDone, workers.CauseFailed, workers.CauseStopped}[p.rand.IntN(4)]
}

// list lets a worker report the termination of an attempt, beside the attempts that go on.
func (p *ackPlay) list(a *taskAttempt, cause workers.Cause) {
	w := a.worker
	number := int64(len(p.listed[w]) + 1)
	p.listed[w] = append(p.listed[w], workers.Termination{Number: number, Task: a.task.id, Attempt: a.number, Cause: cause})
	var running []workers.Running
	for key, other := range w.attempts {
		if other != a && other.phase != phaseRecording {
			running = append(running, workers.Running{Task: key.task, Attempt: key.attempt})
		}
	}
	p.handlePoll(w, workers.PollRequest{Target: p.target(w)}, p.clock, workers.Inventory{StartTime: testStartTime, Running: running, Terminations: p.listed[w]}, nil)
}

func (p *ackPlay) lose() {
	if started := p.started(); len(started) > 0 {
		a := started[p.rand.IntN(len(started))]
		p.lost = append(p.lost, a)
		p.markLost(a, lostLeaseExpired)
	}
}

func (p *ackPlay) setOneAside() {
	if len(p.names) == 0 {
		return
	}
	if j := p.jobs[jobs.ID(p.names[p.rand.IntN(len(p.names))])]; j != nil {
		p.setJobAside(j, "test")
	}
}

// requestCancel stores the cancellation of a job that has not ended, as the instance that the caller asks does.
func (p *ackPlay) requestCancel() {
	if len(p.names) == 0 {
		return
	}
	id := p.names[p.rand.IntN(len(p.names))]
	current, err := jobs.Decode[jobs.PublicState]("state", p.table.Value(store.StateKey(id)))
	if err != nil || current.State.Terminal() {
		return
	}
	state := jobs.PublicState{State: jobs.StateCancelled, Queue: testQueue}
	_, err = p.table.Commit(p.ctx, store.Txn{Puts: []store.Put{{Key: store.StateKey(id), Value: jobs.Encode(&state)}, {Key: store.CancelKey(id)}}})
	if err != nil {
		p.t.Fatal(err)
	}
	p.cancels = append(p.cancels, store.Row{Key: store.CancelKey(id)})
}

func (p *ackPlay) readCancels() {
	for _, row := range p.cancels {
		p.applyIntake(row)
	}
	p.cancels = nil
}

// queues returns the commit queues in a fixed order.
func (p *ackPlay) queues() []*commitQueue {
	queues := []*commitQueue{&p.records}
	for group := range p.states {
		queues = append(queues, &p.states[group])
	}
	return queues
}

// beginCommits starts the commits that have something to store.
func (p *ackPlay) beginCommits() {
	for _, q := range p.queues() {
		if q.committing {
			continue
		}
		q.nextCommit, q.deferredUntil = 0, 0
		if q == &p.records {
			p.commitRecords(p.clock)
		} else {
			p.commitStates(q, p.clock)
		}
		if q.committing {
			c := <-p.front.held
			c.queue = q
			p.open = append(p.open, c)
		}
	}
}

// finishCommit lets one of the commits under way end.
func (p *ackPlay) finishCommit(outcome commitOutcome) {
	if len(p.open) == 0 {
		return
	}
	i := p.rand.IntN(len(p.open))
	p.open[i].outcome <- outcome
	p.open = slices.Delete(p.open, i, i+1)
	(<-p.Term.events)()
}

// settle lets workers report the end of all attempts of ended jobs, and the store answer, until nothing is left to store.
func (p *ackPlay) settle() {
	p.readCancels()
	for range 12 {
		for _, a := range p.started() {
			if a.stopping {
				p.list(a, workers.CauseStopped)
			}
		}
		p.beginCommits()
		for len(p.open) > 0 {
			p.finishCommit(commitStored)
		}
	}
}

// checkAcknowledged fails if a termination may be acknowledged of which the store does not know.
func (p *ackPlay) checkAcknowledged() {
	for w, listed := range p.listed {
		for _, termination := range listed[:w.storedUpTo] {
			if id := string(termination.Task.Job); p.table.Value(store.JobKey(id)) != nil && !p.recorded(termination) {
				p.t.Fatalf("%s may forget the termination %+v, which is not stored", w.id(), termination)
			}
		}
	}
}

// recorded reports whether the progress record of a job shows a termination.
func (p *ackPlay) recorded(termination workers.Termination) bool {
	record, err := jobs.Decode[jobs.Record]("record", p.table.Value(store.ProgressKey(string(termination.Task.Job))))
	if err != nil {
		return false
	}
	return slices.ContainsFunc(record.Tasks, func(r jobs.TaskRecord) bool {
		sameTask := r.Step == termination.Task.Step && r.Index == termination.Task.Index
		return sameTask && (r.Done || (termination.Cause != workers.CauseDone && r.Ended >= termination.Attempt))
	})
}

// Guards against an acknowledgement that waits for a commit which nothing starts: it holds up all later ones of its worker. Each
// has a commit under way or queued that releases it, or its job is gone. Also against terminations that are acknowledged
// before they are stored, starts that wait for ever for their record, and ended jobs that are never removed.
func TestEveryTerminationIsStoredThenAcknowledged(t *testing.T) {
	const seeds, steps = 200, 200
	for seed := range uint64(seeds) {
		p := newAckPlay(t, seed)
		for range steps {
			p.step()
			p.checkAcknowledged()
		}
		p.settle()
		p.checkAcknowledged()
		for _, w := range p.fleet {
			if len(w.pendingAcks) > 0 {
				t.Errorf("seed %d: %d of %d terminations of %s wait, first for job %s", seed, len(w.pendingAcks), len(p.listed[w]), w.id(), w.pendingAcks[0].job.spec.ID)
			}
		}
		for id, j := range p.jobs {
			if j.removable() || len(j.unsent) > 0 {
				t.Errorf("seed %d: job %s: %s, %d attempts, %d starts wait", seed, id, j.state, j.liveAttempts, len(j.unsent))
			}
		}
		if t.Failed() {
			return
		}
	}
}
