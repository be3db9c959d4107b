package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzehook/api"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func item(name string, kind api.Kind, urgency api.Urgency, due, runTime time.Duration) Item {
	spec := &api.Spec{Name: name, Kind: kind, Urgency: urgency, Team: "team-" + name}
	task := api.Task{ID: api.TaskID(name), Work: name, Recorded: start}
	if due > 0 {
		task.Due = start.Add(due)
	}
	return Item{Task: task, Spec: spec, RunTime: runTime, Size: api.Resources{MilliCPU: 1000, MemoryMB: 1000}}
}

func job(name string, urgency api.Urgency, due, runTime time.Duration) Item {
	return item(name, api.KindJob, urgency, due, runTime)
}

func names(items []Item) []string {
	var list []string
	for _, it := range items {
		list = append(list, string(it.Task.ID))
	}
	return list
}

// TestReadyOrder checks the order with and without ByUrgency and BySlack. It guards against urgent tasks that wait
// behind less urgent ones, and against jobs that will miss their deadline delaying jobs that can still meet theirs.
func TestReadyOrder(t *testing.T) {
	withoutSlack := DefaultOptions()
	withoutSlack.BySlack = false
	withoutUrgency := withoutSlack
	withoutUrgency.ByUrgency = false
	items := []Item{
		job("late", api.Normal, time.Minute, time.Hour),
		job("no-deadline", api.Normal, 0, time.Minute),
		job("long", api.Normal, 2*time.Hour, 100*time.Minute),
		job("short", api.Normal, time.Hour, 10*time.Minute),
		item("service", api.KindService, api.Normal, 0, 0),
		job("critical", api.Critical, 0, 0),
		item("low-service", api.KindService, api.Low, 0, 0),
	}
	for _, tc := range []struct {
		name string
		opts Options
		want []string
	}{
		{"tasks are ordered by urgency and slack, and late jobs come last in their class", DefaultOptions(),
			[]string{"critical", "service", "long", "short", "no-deadline", "late", "low-service"}},
		{"without slack, a class is ordered by arrival", withoutSlack,
			[]string{"critical", "service", "late", "no-deadline", "long", "short", "low-service"}},
		{"without urgency and slack, all tasks are ordered by arrival", withoutUrgency,
			[]string{"late", "no-deadline", "long", "short", "service", "critical", "low-service"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := New(tc.opts)
			for _, it := range items {
				q.Add(it)
			}
			if diff := cmp.Diff(tc.want, names(q.Ready(start, 100))); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEventsRetryOnlyAffectedTasks checks which events bring forward the next try of a backed-off task.
func TestEventsRetryOnlyAffectedTasks(t *testing.T) {
	free := func(cpu int64) Event {
		return Event{Kind: EventCapacityFreed, Region: "r", Free: api.Resources{MilliCPU: cpu, MemoryMB: 1000}}
	}
	for _, tc := range []struct {
		name  string
		cause Cause
		event Event
		want  []string
	}{
		{"enough free capacity retries a task that lacked capacity", CauseCapacity, free(1000), []string{"a"}},
		{"too little free capacity retries nothing", CauseCapacity, free(999), nil},
		{"free capacity does not retry a task whose team is at its quota", CauseQuota, free(1000), nil},
		{"lower use of the team retries its task", CauseQuota, Event{Kind: EventTeamQuota, Team: "team-a"}, []string{"a"}},
		{"lower use of another team retries nothing", CauseQuota, Event{Kind: EventTeamQuota, Team: "team-b"}, nil},
		{"free capacity does not retry an infeasible task", CauseInfeasible, free(99999), nil},
		{"a change of the fleet retries an infeasible task", CauseInfeasible, Event{Kind: EventFleetChanged}, []string{"a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := New(DefaultOptions())
			q.Add(job("a", api.Normal, 0, 0))
			q.Ready(start, 1)
			q.RequeueUnplaced("a", tc.cause, start)
			q.Notify(tc.event)
			got := names(q.Ready(start.Add(DefaultOptions().MinBackOff/2), 10))
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("retried tasks (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRefusedShapeDoesNotBlockOthers guards against tasks of a team at its quota delaying the tasks behind them.
func TestRefusedShapeDoesNotBlockOthers(t *testing.T) {
	q := New(DefaultOptions())
	for i := range 3 {
		blocked := job("blocked", api.High, 0, 0)
		blocked.Task.ID = api.NewTaskID("blocked", i)
		q.Add(blocked)
	}
	q.Add(job("free", api.Low, 0, 0))
	for _, it := range q.Ready(start, 3) {
		q.RequeueUnplaced(it.Task.ID, CauseQuota, start)
	}
	if diff := cmp.Diff([]string{"free"}, names(q.Ready(start, 10))); diff != "" {
		t.Errorf("ready tasks behind a blocked team (-want +got):\n%s", diff)
	}
}

// TestRunningTaskDelaysOnlyItself guards against a task whose last attempt has not ended delaying tasks of the same
// shape.
func TestRunningTaskDelaysOnlyItself(t *testing.T) {
	q := New(DefaultOptions())
	for i := range 2 {
		it := job("w", api.Normal, 0, 0)
		it.Task.ID = api.NewTaskID("w", i)
		q.Add(it)
	}
	q.Ready(start, 1)
	q.RequeueUnplaced("w.0", CauseRunning, start)
	if diff := cmp.Diff([]string{"w.1"}, names(q.Ready(start, 10))); diff != "" {
		t.Errorf("ready (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"w.0"}, names(q.Ready(start.Add(DefaultOptions().MinBackOff), 10))); diff != "" {
		t.Errorf("ready after the delay (-want +got):\n%s", diff)
	}
}

// TestUrgentBackOffIsShort guards against a back-off that keeps an urgent task from starting within 8.7 s of the time
// at which capacity becomes free.
func TestUrgentBackOffIsShort(t *testing.T) {
	const startBound = 8700 * time.Millisecond
	q := New(DefaultOptions())
	q.Add(item("s", api.KindService, api.Critical, 0, 0))
	last := start
	for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(50 * time.Millisecond) {
		for _, it := range q.Ready(now, 1) {
			if gap := now.Sub(last); gap > startBound/4 {
				t.Fatalf("urgent task waited %s between two tries", gap)
			}
			last = now
			q.RequeueUnplaced(it.Task.ID, CauseCapacity, now)
		}
	}
}

// TestRejectedTaskAvoidsWorkersAndBacksOff guards against a task that keeps being placed on the same workers although
// the owner of the rack rejects it.
func TestRejectedTaskAvoidsWorkersAndBacksOff(t *testing.T) {
	q := New(DefaultOptions())
	it := job("a", api.Normal, 0, 0)
	q.Add(it)
	tries, now := 0, start
	avoided := map[api.WorkerID]bool{}
	for ; now.Before(start.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, got := range q.Ready(now, 1) {
			for _, w := range got.Avoid {
				avoided[w] = true
			}
			worker := api.WorkerID(fmt.Sprint("w", tries))
			if avoided[worker] {
				t.Fatalf("try %d went to %s again", tries, worker)
			}
			tries++
			q.Placed("a")
			q.RequeueRejected(it, worker, now)
			if len(got.Avoid) != tries-1 {
				t.Fatalf("try %d avoids %v, want every worker that refused", tries, got.Avoid)
			}
		}
	}
	if tries < immediateRetries || tries > 12 {
		t.Errorf("%d tries in 20 s, want some immediate tries and then fewer", tries)
	}
}

// TestCancelCostDoesNotGrowWithQueue guards against a Cancel that scans the whole queue, which would make the
// cancellation of many tasks slow.
func TestCancelCostDoesNotGrowWithQueue(t *testing.T) {
	perTask := func(size int) float64 {
		q := New(DefaultOptions())
		for i := range size {
			it := job(fmt.Sprint("w", i%200), api.Normal, time.Duration(i)*time.Second, time.Second)
			it.Task.ID = api.TaskID(fmt.Sprint(i))
			q.Add(it)
		}
		startedAt := time.Now()
		for i := range size / 2 {
			q.Cancel(api.TaskID(fmt.Sprint(i * 2)))
		}
		return float64(time.Since(startedAt)) / float64(size/2)
	}
	fastest := func(size int) float64 {
		return min(perTask(size), perTask(size), perTask(size))
	}
	small, large := fastest(2000), fastest(64000)
	// A scan would cost 32 times as much; the logarithm and cache misses account for less than a third of that.
	if large > 10*small {
		t.Errorf("cancelling one of 64,000 tasks takes %.0f ns and one of 2,000 takes %.0f ns", large, small)
	}
}

// TestMixedOperationsKeepEveryTask guards against tasks that are lost or returned twice when all operations are mixed.
func TestMixedOperationsKeepEveryTask(t *testing.T) {
	q := New(DefaultOptions())
	now := start
	for i := range 3000 {
		now = now.Add(70 * time.Millisecond)
		it := job(fmt.Sprint("w", i%7), api.Urgency(i%4), time.Duration(i%50)*time.Second, time.Second)
		it.Task.ID = api.TaskID(fmt.Sprint(i % 400))
		q.Add(it)
		returned := map[api.TaskID]bool{}
		for k, r := range q.Ready(now, i%5) {
			if returned[r.Task.ID] {
				t.Fatalf("step %d: Ready returned %s twice", i, r.Task.ID)
			}
			returned[r.Task.ID] = true
			switch (i + k) % 5 {
			case 0:
				q.Placed(r.Task.ID)
			case 1:
				q.RequeueUnplaced(r.Task.ID, CauseCapacity, now)
			case 2:
				q.RequeueRejected(r, "w", now)
			case 3:
				q.Cancel(r.Task.ID)
			default:
				q.Requeue(r.Task.ID)
			}
		}
		if i%11 == 0 {
			q.Notify(Event{Kind: EventFleetChanged})
		}
	}
	total, farFuture := 0, now.Add(time.Hour)
	for batch := q.Ready(farFuture, 50); len(batch) > 0; batch = q.Ready(farFuture, 50) {
		total += len(batch)
	}
	if total != q.Len() {
		t.Errorf("Ready returned %d tasks of %d that are queued", total, q.Len())
	}
}
