package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// run is one run of a task on one life of a worker.
type run struct {
	task   string
	number int
	worker string
	life   int
	start  time.Time
	// takes is how long the run takes; 0 if it lasts.
	takes time.Duration
	// end is zero while the run goes on; how is the listed cause of the end, or "crash".
	end time.Time
	how string
	// listed is the number of the end in the worker's list; noted is when seen_upto reached it.
	listed int64
	noted  time.Time
	// lapsed is set if the worker's lease expired between the end and its being noted.
	lapsed bool
}

// percent returns the progress of the run; one that lasts is at work at once.
func (r *run) percent() int {
	if r.takes == 0 {
		return 100
	}
	return int(min(99, 100*time.Since(r.start)/r.takes))
}

// Ledger collects what the workers have run, for the check of the rules.
type Ledger struct {
	mu     sync.Mutex
	record *Record
	runs   []*run
}

// Start notes that a worker has begun a run.
func (l *Ledger) Start(w *Worker, task string, number int, takes time.Duration) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{task: task, number: number, worker: w.ID, life: w.life, start: time.Now(), takes: takes}
	l.runs = append(l.runs, r)
	l.record.Note("worker %s: run %d of %s begins", w.ID, number, task)
	return r
}

// End notes the end of a run.
func (l *Ledger) End(r *run, how string, listed int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.end, r.how, r.listed = time.Now(), how, listed
	l.record.Note("worker %s: run %d of %s ends: %s, end number %d", r.worker, r.number, r.task, how, listed)
}

// Seen notes that a worker's ends up to a number have been taken note of.
func (l *Ledger) Seen(w *Worker, upTo int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if r.worker == w.ID && r.life == w.life && r.listed > 0 && r.listed <= upTo && r.noted.IsZero() {
			r.noted = time.Now()
			l.record.Note("worker %s: seen_upto %d covers end %d (run %d of %s, %s)", w.ID, upTo, r.listed, r.number, r.task, r.how)
		}
	}
}

// Lapse notes that the lease on a worker has expired.
func (l *Ledger) Lapse(w *Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if r.worker == w.ID && r.life == w.life && r.listed > 0 && r.noted.IsZero() {
			r.lapsed = true
		}
	}
}

// Runs returns the runs of tasks whose names begin with a prefix.
func (l *Ledger) Runs(prefix string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []run
	for _, r := range l.runs {
		if strings.HasPrefix(r.task, prefix) {
			found = append(found, *r)
		}
	}
	return found
}

// IdleSince reports whether nothing has run on any worker since a time.
func (l *Ledger) IdleSince(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if r.end.IsZero() || r.end.After(since) {
			return false
		}
	}
	return true
}

// Twice returns the breaches of TWICE: two runs of a task at the same time, or a start after a run has ended done whose end
// is taken note of.
func (l *Ledger) Twice() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var breaches []string
	for i, first := range l.runs {
		for _, second := range l.runs[i+1:] {
			if first.task != second.task {
				continue
			}
			if first.end.IsZero() || first.end.After(second.start) {
				breaches = append(breaches, fmt.Sprintf("%s: run %d begins on %s while run %d goes on on %s",
					second.task, second.number, second.worker, first.number, first.worker))
			} else if first.how == "done" && !first.noted.IsZero() && !first.lapsed {
				breaches = append(breaches, fmt.Sprintf("%s: run %d begins on %s although run %d ended done on %s, which was taken note of",
					second.task, second.number, second.worker, first.number, first.worker))
			}
		}
	}
	return breaches
}
