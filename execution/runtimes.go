package execution

import (
	"time"

	"bronzehook/mitigation"
	"bronzehook/runtimes"
	"bronzehook/workers"
)

// minMeasuredProgress is the progress in percent from which on a running task shows how long it will run. Below it the time that
// a start takes has too much weight.
const minMeasuredProgress = 20

// stepRunTimes holds the run times of the tasks of one step: the measured ones of those that have ended, and the estimate of the
// others.
type stepRunTimes struct {
	ended    runtimes.Observations
	estimate time.Duration
}

// runTimesOf returns the run times of the steps of a job, which begin as the caller estimated them.
func runTimesOf(j *job) []stepRunTimes {
	if j.runTimes == nil {
		j.runTimes = make([]stepRunTimes, len(j.spec.Steps))
		for s := range j.runTimes {
			j.runTimes[s].estimate = j.spec.Steps[s].Estimate
		}
	}
	return j.runTimes
}

// noteRunTime records the run time of a task that is done; 0 if it is unknown. It does not count if the task continued from a
// checkpoint.
func (t *Term) noteRunTime(task *task, cause workers.Cause, ran time.Duration) {
	if t.opts.JobAdmission && cause == workers.CauseDone && !task.step.LongRunning && task.checkpoint == "" {
		runTimesOf(task.job)[task.id.Step].ended.Add(ran)
	}
}

// refreshEstimates updates the estimated run times of a job's steps. A step of which nothing has been measured is taken to deviate
// from its caller's estimate as the others do on average.
func (t *Term) refreshEstimates(j *job) {
	steps := runTimesOf(j)
	ratio, measured := 0.0, 0
	for s := range steps {
		observed := t.observedRunTimes(j, s)
		declared := j.spec.Steps[s].Estimate
		steps[s].estimate = declared
		if declared <= 0 || observed.Empty() {
			continue
		}
		steps[s].estimate = t.runTimeModel.Estimate(j.spec.Queue, declared, observed)
		ratio += float64(steps[s].estimate) / float64(declared)
		measured++
	}
	if measured == 0 || measured == len(steps) {
		return
	}
	for s := range steps {
		if steps[s].estimate == j.spec.Steps[s].Estimate {
			steps[s].estimate = time.Duration(float64(steps[s].estimate) * ratio / float64(measured))
		}
	}
}

// observedRunTimes returns the run times of the tasks of a step that have ended, and those that the progress of the running ones
// implies. Throttled tasks and those that continued from a checkpoint are left out.
func (t *Term) observedRunTimes(j *job, step int) runtimes.Observations {
	observed := j.runTimes[step].ended
	for _, o := range j.occurrences {
		if o == nil || o.remaining[step] == 0 {
			continue
		}
		for _, task := range o.steps[step] {
			a := task.current
			if a == nil || a.startedAt == 0 || a.progress < minMeasuredProgress || a.cpuPercent < mitigation.FullCPUPercent || task.checkpoint != "" {
				continue
			}
			observed.Add((a.progressAt - a.startedAt) * fullProgress / time.Duration(a.progress))
		}
	}
	return observed
}

// learnRunTimes compares the measured run times of a job that has ended with its caller's estimates.
func (t *Term) learnRunTimes(j *job) {
	for s := range j.runTimes {
		t.runTimeModel.Learn(j.spec.Queue, j.spec.Steps[s].Estimate, j.runTimes[s].ended)
	}
}
