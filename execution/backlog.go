package execution

import (
	"math"
	"time"

	"bronzehook/backlog"
	"bronzehook/jobadmission"
	"bronzehook/jobs"
	"bronzehook/placement"
)

const (
	// backlogInterval is the time between two decisions which jobs are deferred.
	backlogInterval = 250 * time.Millisecond
	// overdueAfter is the wait from which on a ready task counts as one for which there is no capacity. Placement and
	// commands take a part of a second by themselves.
	overdueAfter = time.Second
	// saturationShare is the CPU of overdue tasks, as a share of what the queue uses, from which on the queue is saturated. A few
	// tasks wait for a rack or a label at any load.
	saturationShare = 0.25
	// minOverdueJobs is the number of jobs with overdue tasks from which on the queue is saturated, so that a few jobs that fit
	// nowhere do not refuse others on a calm day.
	minOverdueJobs = 4
	// usageTimeConstant is the time over which the CPU in use is averaged. Tasks that are placed together end together, and then
	// a queue uses little for an instant.
	usageTimeConstant = 2 * time.Second
)

// standing is what was decided on a job of a saturated queue.
type standing uint8

const (
	// standingNone means that nothing was decided, since the queue is not saturated or the job is new.
	standingNone standing = iota
	// standingKept jobs are to end in time, or late if that costs little capacity.
	standingKept
	// standingDeferred jobs get the capacity that kept ones leave.
	standingDeferred
	// standingWorthless jobs can earn nothing any more.
	standingWorthless
)

// queueBacklog is the backlog of a queue.
type queueBacklog struct {
	meter jobadmission.Meter
	sizes backlog.Sizes
	// ended is the work that has ended since the latest observation, endedDeferred the part of it that was placed while its
	// job was deferred or late, in core-seconds.
	ended, endedDeferred float64
	// service and usage are those of the latest observation. overdue is the CPU of tasks that have waited for overdueAfter, and
	// overdueJobs the number of their jobs.
	service     string
	usage       backlog.Usage
	overdue     float64
	overdueJobs int
	// meanInUse is the mean of the CPU that the queue uses over usageTimeConstant.
	meanInUse float64
	// rate is the rate at which the queue's work is expected to end: the measured one, and no less than its share of that of the
	// service; 0 if unknown.
	rate float64
	// yielding is set while the queue uses more than its share and another one waits.
	yielding bool
	// forecast is that of the latest observation; nil unless the queue is saturated. counts holds the jobs by standing.
	forecast *jobs.QueueForecast
	counts   [standingWorthless + 1]int
}

// backlogOf returns the backlog of a queue.
func (t *Term) backlogOf(queue string) *queueBacklog {
	b := t.backlogs[queue]
	if b == nil {
		b = &queueBacklog{}
		t.backlogs[queue] = b
	}
	return b
}

// saturated reports whether work of the queue waits because there is no capacity for it.
func (b *queueBacklog) saturated() bool {
	return b.overdueJobs >= minOverdueJobs && b.overdue > saturationShare*b.usage.InUse
}

// noteAccepted classifies a job by its size.
func (t *Term) noteAccepted(j *job) {
	j.lasting = j.spec.HasLongRunning()
	if !j.lasting {
		j.sizeClass = t.backlogOf(j.spec.Queue).sizes.Classify(totalWork(j.spec))
	}
}

// noteDone adds a task that is done to the work that has ended.
func (t *Term) noteDone(task *task) {
	if !t.opts.JobAdmission || task.job.lasting {
		return
	}
	b, work := t.backlogOf(task.job.spec.Queue), taskWork(task.job, task.id.Step)
	b.ended += work
	if task.placedDeferred {
		b.endedDeferred += work
	}
}

// noteOutcome records, once for each job, whether the job was served.
func (t *Term) noteOutcome(j *job, served bool) {
	if !j.lasting && !j.outcomeNoted && !j.spec.Scheduled() {
		j.outcomeNoted = true
		t.backlogOf(j.spec.Queue).sizes.Note(j.sizeClass, served)
	}
}

// taskWork returns the work of a task of a step, in core-seconds by its estimated run time.
func taskWork(j *job, step int) float64 {
	return cores(&j.spec.Steps[step]) * runTimesOf(j)[step].estimate.Seconds()
}

func cores(step *jobs.Step) float64 { return float64(step.Resources.CPU) / 1000 }

// observeBacklog decides which jobs are deferred and forecasts the waits of each queue, if that is due.
func (t *Term) observeBacklog(now time.Duration, wallTime time.Time) {
	if !t.opts.JobAdmission || now < t.backlogDueAt {
		return
	}
	interval := now - t.backlogObservedAt
	if t.backlogObservedAt == 0 {
		interval = 0
	}
	t.backlogDueAt, t.backlogObservedAt = now+backlogInterval, now
	waiting := t.observeLoads(now, wallTime)
	for _, b := range t.backlogs {
		b.meanInUse += (1 - math.Exp(-float64(interval)/float64(usageTimeConstant))) * (b.usage.InUse - b.meanInUse)
		b.meter.Observe(b.ended, b.endedDeferred, interval, b.saturated())
		b.ended, b.endedDeferred = 0, 0
	}
	t.divideServices()
	for name, b := range t.backlogs {
		t.decideStandings(name, b, waiting[name], wallTime)
	}
	t.logBacklog(now)
}

// observeLoads updates the loads of all jobs and the usage of each queue. It returns the jobs that may be deferred, by queue.
func (t *Term) observeLoads(now time.Duration, wallTime time.Time) map[string][]*job {
	for _, b := range t.backlogs {
		b.usage, b.overdue, b.overdueJobs = backlog.Usage{}, 0, 0
	}
	t.observeLargestWorkers()
	waiting := make(map[string][]*job)
	for _, j := range t.order {
		if j.excluded() || j.terminal() || !j.queueKnown || j.lasting {
			continue
		}
		t.refreshEstimates(j)
		j.load = t.loadOf(j, now, wallTime)
		b := t.backlogOf(j.spec.Queue)
		b.service, b.usage.Priority = j.queue.Service, j.queue.Priority
		b.usage.InUse += j.load.inUse
		b.usage.Waiting += j.load.ready
		b.overdue += j.load.overdue
		if j.load.overdue > 0 {
			b.overdueJobs++
		}
		if !j.spec.Scheduled() {
			waiting[j.spec.Queue] = append(waiting[j.spec.Queue], j)
		}
	}
	return waiting
}

// decideStandings decides which jobs of a queue are deferred, and updates the forecast of the queue.
func (t *Term) decideStandings(name string, b *queueBacklog, all []*job, wallTime time.Time) {
	b.forecast, b.counts = nil, [standingWorthless + 1]int{}
	candidates := make([]backlog.Job, 0, len(all))
	var kept []*job
	for _, j := range all {
		j.standing = standingNone
		if b.rate <= 0 {
			continue
		}
		worth, slack, earns := backlog.Weigh(j.load.path, j.deadline.Sub(wallTime), j.lateDeadline.Sub(wallTime))
		if !earns {
			j.standing = standingWorthless
			t.noteOutcome(j, false)
			continue
		}
		j.standing, j.slack = standingKept, slack
		kept, candidates = append(kept, j), append(candidates, backlog.Job{
			Waiting: j.load.waiting, Remaining: j.load.remaining, Worth: worth, Slack: slack, Protected: b.sizes.Protected(j.sizeClass),
		})
	}
	for _, i := range backlog.Defer(candidates, b.rate) {
		kept[i].standing = standingDeferred
	}
	if b.rate > 0 {
		b.updateForecast(all)
	}
	t.opts.Metrics.backlog.observe(name, b)
}

// updateForecast computes the forecast of a saturated queue from the standings of its jobs.
func (b *queueBacklog) updateForecast(all []*job) {
	b.forecast = &jobs.QueueForecast{Rate: b.rate, LateRate: b.meter.LateRate(), Capacity: b.meanInUse}
	for _, j := range all {
		b.counts[j.standing]++
		switch j.standing {
		case standingKept:
			b.forecast.InTime += j.load.waiting
		case standingDeferred:
			b.forecast.Deferred += j.load.waiting
		}
	}
}

// divideServices divides each service between its queues: it updates their rates, and which of them use more than their share of
// what batch work gets while others wait.
func (t *Term) divideServices() {
	byService := make(map[string][]*queueBacklog)
	for _, b := range t.backlogs {
		byService[b.service] = append(byService[b.service], b)
	}
	for _, queues := range byService {
		// Capacity that is free although tasks are overdue is of no use to them: it is headroom, or too little on any worker.
		var capacity, rate float64
		usages := make([]backlog.Usage, len(queues))
		for i, b := range queues {
			// Only overdue tasks count as waiting: any others may start in the next cycle.
			usages[i] = backlog.Usage{Priority: b.usage.Priority, InUse: b.meanInUse, Waiting: b.overdue}
			capacity += b.meanInUse
			rate += b.meter.Rate()
		}
		shares, yielding := backlog.Shares(usages), backlog.Yielding(usages, capacity)
		for i, b := range queues {
			b.rate, b.yielding = b.meter.Rate(), yielding[i]
			if b.rate > 0 {
				b.rate = max(b.rate, shares[i]*rate)
			}
		}
	}
}

// applyBacklog changes the rank of a job by what was decided on the backlog of its queue.
func (t *Term) applyBacklog(j *job) {
	if j.lasting || !t.opts.JobAdmission {
		return
	}
	switch j.standing {
	case standingKept:
		// In the order of their slacks the kept jobs end in time, as backlog.Defer has decided.
		j.rank.valueClass, j.rank.score = 0, j.slack.Seconds()
	case standingDeferred:
		j.rank.valueClass = 1
	case standingWorthless:
		j.rank.valueClass = 2
	}
	j.rank.yielding = t.backlogOf(j.spec.Queue).yielding
}

// maxYieldTime bounds how long after its submission a job gets no exceptions for starved jobs. While jobs go on to arrive there are
// always some that can end in time.
const maxYieldTime = 10 * time.Second

// yieldsToKept reports whether a job gets no exceptions for starved jobs, because it would take capacity from jobs of its queue
// that are to end in time. Without any of these it would wait for ever, since the queue then stays saturated.
func (t *Term) yieldsToKept(j *job) bool {
	if j.standing < standingDeferred || t.backlogOf(j.spec.Queue).counts[standingKept] == 0 {
		return false
	}
	return t.opts.Now().Sub(time.UnixMilli(j.spec.Submitted)) < maxYieldTime
}

// maxForecastDelay is the age from which on a forecast is not published. Scheduling may take long on a leader that is short of
// processor time.
const maxForecastDelay = time.Second

// forecasts returns the forecasts to be published; nil if no queue is saturated.
func (t *Term) forecasts(now time.Duration) map[string]jobs.QueueForecast {
	if !t.opts.JobAdmission || now-t.backlogObservedAt > maxForecastDelay {
		return nil
	}
	var forecasts map[string]jobs.QueueForecast
	for name, b := range t.backlogs {
		if b.forecast == nil {
			continue
		}
		if forecasts == nil {
			forecasts = make(map[string]jobs.QueueForecast)
		}
		forecasts[name] = *b.forecast
	}
	return forecasts
}

// backlogLogInterval is the time between two lines on the backlogs.
const backlogLogInterval = 2 * time.Second

// logBacklog logs the forecast of each saturated queue if that is due.
func (t *Term) logBacklog(now time.Duration) {
	if now < t.backlogLogAt {
		return
	}
	t.backlogLogAt = now + backlogLogInterval
	for name, b := range t.backlogs {
		if f := b.forecast; f != nil {
			t.log.Info().Str("queue", name).Float64("rate", f.Rate).Float64("late_rate", f.LateRate).Float64("in_time", f.InTime).
				Float64("deferred", f.Deferred).Int("jobs_kept", b.counts[standingKept]).Int("jobs_deferred", b.counts[standingDeferred]).
				Int("jobs_worthless", b.counts[standingWorthless]).Bool("yielding", b.yielding).Msg("backlog forecast")
		}
	}
}

// jobLoad is what a job uses and needs.
type jobLoad struct {
	// waiting is the work of the tasks that have no worker yet, remaining all that is left, in core-seconds.
	waiting, remaining float64
	// path is the expected duration of the rest of the critical path, if its tasks get capacity at once.
	path time.Duration
	// inUse is the CPU of the tasks that have a worker, ready that of those that wait for one, and overdue that of those that
	// have waited for overdueAfter although any worker may run them and some worker is large enough, in cores.
	inUse, ready, overdue float64
}

// loadOf returns the load of a job.
func (t *Term) loadOf(j *job, now time.Duration, wallTime time.Time) jobLoad {
	var load jobLoad
	for number, o := range j.occurrences {
		if o == nil || j.spec.Due(number) > wallTime.UnixMilli() {
			continue
		}
		rest := make([]time.Duration, len(o.steps))
		for s := range o.steps {
			if o.remaining[s] > 0 {
				rest[s] = t.addStepLoad(&load, j, o, s, now)
			}
		}
		load.path = max(load.path, placement.LongestPath(j.spec, func(step int) time.Duration { return rest[step] }))
	}
	return load
}

// addStepLoad adds the load of a step, and returns how long the step is expected to take if all its tasks get capacity at once.
func (t *Term) addStepLoad(load *jobLoad, j *job, o *occurrence, step int, now time.Duration) (rest time.Duration) {
	size, work, estimate := cores(&j.spec.Steps[step]), taskWork(j, step), j.runTimes[step].estimate
	ready := t.stepReady(j, o, step)
	fits := unconstrained(&j.spec.Steps[step]) && j.spec.Steps[step].Reserved().Fits(t.largestWorkers[j.queue.Service])
	for _, task := range o.steps[step] {
		switch a := task.current; {
		case task.done:
		case a != nil:
			left := 1 - float64(max(0, a.progress))/fullProgress
			load.inUse += size
			load.remaining += left * work
			rest = max(rest, time.Duration(left*float64(estimate)))
		default:
			load.waiting += work
			load.remaining += work
			rest = estimate
			if !ready {
				continue
			}
			load.ready += size
			if fits && now-task.readyAt > overdueAfter {
				load.overdue += size
			}
		}
	}
	return rest
}

// observeLargestWorkers updates the largest capacity of the usable workers of each service, in each dimension.
func (t *Term) observeLargestWorkers() {
	clear(t.largestWorkers)
	for _, w := range t.active {
		if !w.node.Usable {
			continue
		}
		largest, capacity := t.largestWorkers[w.node.Registration.Service], w.node.Registration.Capacity
		t.largestWorkers[w.node.Registration.Service] = jobs.Resources{
			CPU: max(largest.CPU, capacity.CPU), MemoryMB: max(largest.MemoryMB, capacity.MemoryMB), GPU: max(largest.GPU, capacity.GPU),
		}
	}
}

// unconstrained reports whether a task of the step fits wherever there is CPU for it. Others may wait although there is capacity.
func unconstrained(step *jobs.Step) bool {
	return step.Requires == "" && step.Resources.GPU == 0 && !step.Gang
}
