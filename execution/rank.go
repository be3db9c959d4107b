package execution

import (
	"math"
	"time"

	"bronzehook/jobs"
	"bronzehook/placement"
)

// rank determines the position of a job among the jobs of its priority.
type rank struct {
	// valueClass is 0 while the job can still end by its deadline, 1 while it can end by its late deadline, 2 after
	// that. A large job stays in class 0 while it can end by its late deadline. The class is valueClassOverdue for jobs
	// with a long-running task that has waited for more than holdAfter. While a queue is saturated, the class and, for the
	// jobs of class 0, the score follow from what was decided on its backlog (see Term.applyBacklog).
	valueClass int
	// yielding is set while the queue of the job uses more than its share of the capacity and another one waits.
	yielding bool
	// work is the remaining work, in core-seconds by the caller's estimates.
	work float64
	// score is the slack (the time between the earliest possible end and the deadline) in seconds, plus a size penalty,
	// minus a bonus for progress; the lowest score ranks first. If there is more work than capacity, the most jobs end
	// in time if small ones go first. By size alone, large ones would never be served.
	score float64
}

// valueClassOverdue comes before all other values of rank.valueClass.
const valueClassOverdue = -1

// sizeWeight is the slack in seconds that weighs as much as a doubling of the remaining work.
const sizeWeight = 1.5

// progressWeight is the slack in seconds by which a job that is nearly done is ahead of one that has not started.
// Without it, smaller jobs would overtake large ones that have started until these can accrue no more value.
const progressWeight = 8.0

// A job is large if its work exceeds largeFactor times the mean work of its queue. Large jobs need capacity for longer
// than others and are the first to be late under load. If they were then ranked behind all jobs that can end in time,
// few of them would ever end. So a late large job is ranked by the time until its late deadline, and the size penalty
// of large jobs is multiplied by largeSizeFactor.
const (
	largeFactor     = 1.5
	largeSizeFactor = 0.5
)

// queueWorkMeans holds the mean work of the jobs of each queue, in core-seconds by the callers' estimates.
type queueWorkMeans map[string]*runningMean

// runningMean is a mean in which the weight of earlier samples is bounded.
type runningMean struct {
	count float64
	mean  float64
}

// maxMeanSamples bounds the weight of the earlier jobs in a mean, so that it adapts when the work that callers submit
// changes.
const maxMeanSamples = 200

// workOf returns the work of a number of tasks of a step, in core-seconds.
func workOf(step *jobs.Step, count int) float64 {
	return float64(count*step.Resources.CPU) * step.Estimate.Seconds() / 1000
}

// totalWork returns the work of all steps of a job, in core-seconds.
func totalWork(spec *jobs.Spec) float64 {
	work := 0.0
	for i := range spec.Steps {
		work += workOf(&spec.Steps[i], spec.Steps[i].Count)
	}
	return work
}

// note adds the work of a job to the mean of its queue.
func (s queueWorkMeans) note(spec *jobs.Spec) {
	work := totalWork(spec)
	m := s[spec.Queue]
	if m == nil {
		m = &runningMean{}
		s[spec.Queue] = m
	}
	m.count = min(m.count+1, maxMeanSamples)
	m.mean += (work - m.mean) / m.count
}

// mean returns the mean work of the jobs of a queue; 0 if there was none.
func (s queueWorkMeans) mean(queue string) float64 {
	if m := s[queue]; m != nil {
		return m.mean
	}
	return 0
}

// rankOf computes a job's rank from the steps that are not done. Remaining work beyond the mean of the queue does not
// raise the size penalty any further, and that of large jobs is reduced. Otherwise the largest jobs would be
// served at most half as often as jobs in general.
func rankOf(j *job, wallTime time.Time, meanWork float64) rank {
	var r rank
	var criticalPath time.Duration
	left, total, work := 0, 0, 0.0
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		criticalPath = max(criticalPath, placement.CriticalPath(j.spec, func(step int) bool { return o.remaining[step] > 0 }))
		for s, count := range o.remaining {
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

// ranksHigher reports whether job a is scheduled before job b: those of queues within their shares first, then by priority, by
// value class and by score.
func ranksHigher(a, b *job) bool {
	if a.rank.yielding != b.rank.yielding {
		return b.rank.yielding
	}
	if a.queue.Priority != b.queue.Priority {
		return a.queue.Priority < b.queue.Priority
	}
	if a.rank.valueClass != b.rank.valueClass {
		return a.rank.valueClass < b.rank.valueClass
	}
	return a.rank.score < b.rank.score
}
