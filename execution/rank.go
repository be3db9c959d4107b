package execution

import (
	"math"
	"time"

	"bronzehook/jobs"
	"bronzehook/placement"
)

// rank is what orders a job among those of its priority.
type rank struct {
	// valueClass is 0 while the job can still end in time, 1 while it can end late, 2 after that; a large job that can end late
	// has 0. It is worthOverdue for jobs that last and have waited for too long.
	valueClass int
	// work is what is left to do, in core-seconds by the caller's estimates.
	work float64
	// score is the slack in seconds, plus a term that grows with the work left. With more work than room the most jobs
	// end in time if small ones go first; by size alone large ones would never be served.
	score float64
}

// valueClassOverdue comes before all other values of rank.worth.
const valueClassOverdue = -1

// sizeWeight is the slack in seconds that weighs as much as twice the work.
const sizeWeight = 1.5

// progressWeight is the slack in seconds that a job that is nearly done is ahead of one that has not begun: what has
// begun is brought to its end, or large jobs would be overtaken until they are worth nothing.
const progressWeight = 8.0

// largeFactor times the mean work of a queue makes a job large. Large jobs need room for longer than others and are the first to
// be late in a crowd. They are not put behind all that can end in time, or few of them would ever end: they go on by the
// time that is left until they earn nothing, and their size sets them back by largeSetBack of what it would.
const (
	largeFactor  = 1.5
	largeSetBack = 0.5
)

// sizes holds the mean work of the jobs of each queue, in core-seconds by the callers' estimates.
type sizes map[string]*size

type size struct {
	count float64
	mean  float64
}

// sizeMemory bounds the number of jobs that a mean remembers, so that it follows a change of what callers send.
const sizeMemory = 200

// workOf returns the work of a number of tasks of a step, in core-seconds.
func workOf(step *jobs.Step, count int) float64 {
	return float64(count*step.Resources.CPU) * step.Estimate.Seconds() / 1000
}

func (s sizes) note(spec *jobs.Spec) {
	work := 0.0
	for i := range spec.Steps {
		work += workOf(&spec.Steps[i], spec.Steps[i].Count)
	}
	of := s[spec.Queue]
	if of == nil {
		of = &size{}
		s[spec.Queue] = of
	}
	of.count = min(of.count+1, sizeMemory)
	of.mean += (work - of.mean) / of.count
}

func (s sizes) mean(queue string) float64 {
	if of := s[queue]; of != nil {
		return of.mean
	}
	return 0
}

// rankOf computes a job's rank from the steps that are not done. Work beyond the mean of the queue does not set a job back
// any further, and large jobs less: the largest jobs would else be served half as often as all, or less.
func rankOf(j *job, today time.Time, meanWork float64) rank {
	var r rank
	var chain time.Duration
	left, total, work := 0, 0, 0.0
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		chain = max(chain, placement.Chain(j.spec, func(step int) bool { return o.left[step] > 0 }))
		for s, count := range o.left {
			step := &j.spec.Steps[s]
			left += count
			total += step.Count
			work += workOf(step, step.Count)
			r.work += workOf(step, count)
		}
	}
	large := work > largeFactor*meanWork
	end := today.Add(chain)
	limit := j.deadline
	switch {
	case end.After(j.lateDeadline):
		r.valueClass = 2
	case end.After(j.deadline) && large:
		limit = j.lateDeadline
	case end.After(j.deadline):
		r.valueClass, limit = 1, j.lateDeadline
	}
	progress := 1 - float64(left)/float64(max(1, total))
	setBack := sizeWeight * math.Log2(1+min(r.work, meanWork))
	if large {
		setBack *= largeSetBack
	}
	r.score = limit.Sub(end).Seconds() + setBack - progressWeight*progress
	return r
}

// moreUrgent orders jobs by priority, by what they can still earn, and then by their score.
func moreUrgent(a, b *job) bool {
	if a.queue.Priority != b.queue.Priority {
		return a.queue.Priority < b.queue.Priority
	}
	if a.rank.valueClass != b.rank.valueClass {
		return a.rank.valueClass < b.rank.valueClass
	}
	return a.rank.score < b.rank.score
}
