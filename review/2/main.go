// Command 2 has an outage of the store while two workers have more than 500 ends each to report, and checks that no task
// starts again after a run of it has ended done (rule TWICE).
package main

import (
	"fmt"
	"time"

	"bronzehook/review/harness"
)

const (
	// jobs of width tasks each are spread evenly over the workers: 1,200 tasks on each.
	jobs    = 6
	width   = 400
	workers = 2
	// length is how long a task runs. The store is down from outageBefore before the first task ends, for outage.
	length       = 9 * time.Second
	outageBefore = 3 * time.Second
	outage       = 4200 * time.Millisecond
)

func main() { harness.Main(play) }

func play(l *harness.Lab) (bool, error) {
	plan := harness.Route{Name: "plan", MaxAttempts: 3}
	l.PutManifest(1, plan)
	l.Fleet.Behaviour.Duration = func(string) time.Duration { return length }
	if err := l.Fleet.Add(workers); err != nil {
		return false, err
	}
	if err := l.Start(3); err != nil {
		return false, err
	}
	for n := range jobs {
		job := harness.Job(harness.Step{"count": width, "cpu": 25, "mem_mb": 100, "estimated_ms": length.Milliseconds()})
		if status := l.Submit(l.Instances[n%len(l.Instances)], plan, fmt.Sprintf("%016x", n+1), job); status != 200 {
			return false, fmt.Errorf("job %d was not accepted: %d", n, status)
		}
	}
	if err := l.Await(15*time.Second, "all tasks have begun", func() bool { return len(l.Fleet.Starts()) >= jobs*width }); err != nil {
		return false, err
	}
	for _, w := range l.Fleet.Workers() {
		l.Note("%s runs %d tasks", w.ID, w.Busy())
	}
	if l.Trouble {
		time.Sleep(time.Until(l.Fleet.Starts()[0].At.Add(length - outageBefore)))
		for _, i := range l.Instances {
			i.Gate.SetBusy(true)
			time.AfterFunc(outage, func() { i.Gate.SetBusy(false) })
		}
	}
	time.Sleep(length + 12*time.Second)
	return repeated(l), nil
}

// repeated reports whether a task started after a run of it had ended done, and that end was noted without a lapse of
// the worker's lease between.
func repeated(l *harness.Lab) bool {
	done := make(map[string]harness.End)
	for _, e := range l.Fleet.Ends() {
		if _, known := done[e.Task]; !known && e.How == "done" && !e.Noted.IsZero() && !e.Lapsed {
			done[e.Task] = e
		}
	}
	count := 0
	for _, s := range l.Fleet.Starts() {
		e, known := done[s.Task]
		if !known || s.Run <= e.Run || s.At.Before(e.At) {
			continue
		}
		count++
		if count <= 5 {
			l.Note("%s run %d begins on %s %v after run %d ended done there (end %d on %s, noted)", s.Task, s.Run, s.Worker, s.At.Sub(e.At).Round(time.Millisecond), e.Run, e.Number, e.Worker)
		}
	}
	l.Note("%d starts in all, %d tasks done, %d starts after a noted end done", len(l.Fleet.Starts()), len(done), count)
	return count > 0
}
