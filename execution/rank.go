package execution

import (
	"math"
	"time"

	"bronzehook/jobs"
	"bronzehook/placement"
)

// rank orders a job among those of its priority.
type rank struct {
	// valueClass is 0 while the job can still end in time, 1 while it can end late, 2 after that; a large job that
	// can end late stays in class 0. It is valueClassOverdue for jobs with a long-running task that has waited for
	// too long.
	valueClass int
	// work is the work left, in core-seconds by the caller's estimates.
	work float64
	// score is the slack in seconds, plus a term that grows with the work left. With more work than capacity, most
	// jobs end in time if small ones go first; by size alone, large ones would never be served.
	score float64
}

// valueClassOverdue comes before all other values of rank.valueClass.
const valueClassOverdue = -1

// sizeWeight is the slack in seconds that weighs as much as a doubling of the work left.
const sizeWeight = 1.5

// progressWeight is the slack in seconds by which a job that is nearly done is ahead of one that has not started.
// Started jobs are brought to their end, or large ones would be overtaken until they have no value left.
const progressWeight = 8.0

// largeFactor times the mean work of a queue makes a job large. Large jobs need capacity for longer than others and
// are the first to be late under load. They are not ranked behind all jobs that can end in time, or few of them would
// ever end: they are ranked by the time left until they have no value, and their size penalty is multiplied by
// largeSizeFactor.
const (
	largeFactor     = 1.5
	largeSizeFactor = 0.5
)

// sizes holds the mean work of the jobs of each queue, in core-seconds by the callers' estimates.
type sizes map[string]*runningMean

type runningMean struct {
	count float64
	mean  float64
}

// maxMeanSamples bounds the number of jobs that a mean accounts for, so that it adapts when the work that callers
// submit changes.
const maxMeanSamples = 200

// workOf returns the work of a number of tasks of a step, in core-seconds.
func workOf(step *jobs.Step, count int) float64 {
	return float64(count*step.Resources.CPU) * step.Estimate.Seconds() / 1000
}

func (s sizes) note(spec *jobs.Spec) {
	work := 0.0
	for i := range spec.Steps {
		work += workOf(&spec.Steps[i], spec.Steps[i].Count)
	}
	m := s[spec.Queue]
	if m == nil {
		m = &runningMean{}
		s[spec.Queue] = m
	}
	m.count = min(m.count+1, maxMeanSamples)
	m.mean += (work - m.mean) / m.count
}

func (s sizes) mean(queue string) float64 {
	if m := s[queue]; m != nil {
		return m.mean
	}
	return 0
}

// rankOf computes a job's rank from the steps that are not done. Work beyond the mean of the queue does not raise the
// size penalty any further, and large jobs pay less of it: the largest jobs would otherwise be served half as often
// as all, or less.
func rankOf(j *job, wallTime time.Time, meanWork float64) rank {
	var r rank
	var criticalPath time.Duration
	left, total, work := 0, 0, 0.0
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		criticalPath = max(criticalPath, placement.CriticalPath(j.spec, func(step int) bool { return o.left[step] > 0 }))
		for s, count := range o.left {
			step := &j.spec.Steps[s]
			left += count
			total += step.Count
			work += workOf(step, step.Count)
			r.work += workOf(step, count)
		}
	}
	large := work > largeFactor*meanWork
	end := wallTime.Add(criticalPath)
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
	sizePenalty := sizeWeight * math.Log2(1+min(r.work, meanWork))
	if large {
		sizePenalty *= largeSizeFactor
	}
	r.score = limit.Sub(end).Seconds() + sizePenalty - progressWeight*progress
	return r
}

// ranksHigher orders jobs by priority, by the value that they can still accrue, and then by their score.
func ranksHigher(a, b *job) bool {
	if a.queue.Priority != b.queue.Priority {
		return a.queue.Priority < b.queue.Priority
	}
	if a.rank.valueClass != b.rank.valueClass {
		return a.rank.valueClass < b.rank.valueClass
	}
	return a.rank.score < b.rank.score
}
