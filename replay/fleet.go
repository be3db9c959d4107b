package replay

import (
	"time"

	"bronzehook/api"
	"bronzehook/scheduler"
)

// workload is a workload of the trace with its actual behaviour.
type workload struct {
	spec  api.Spec
	truth *Truth
	// rate is the requests per second over all tasks; running is the number of tasks that have started.
	rate    float64
	running int
}

// attempt is an attempt of a task on a worker. Its times are in seconds from the start of the trace.
type attempt struct {
	scheduler.Task
	workload *workload
	worker   *worker
	// runningFrom is when the task starts to make progress.
	runningFrom int
	// stopsAt is when a requested stop takes effect; 0 if none was requested.
	stopsAt int
	// checkpointDoneAt is when a requested checkpoint is complete; 0 if none is in progress.
	checkpointDoneAt int
	// doneSeconds is the work done, in seconds at full speed; savedSeconds is the part that the last checkpoint holds.
	doneSeconds, savedSeconds float64
	cpuShare                  float64
	slowdown                  float64
	ready                     bool
}

func (a *attempt) isJob() bool { return a.workload.spec.Kind == api.KindJob }

// usage returns the current resource usage of the attempt.
func (a *attempt) usage(now int) api.Resources {
	usage := a.workload.truth.Use
	if now < a.runningFrom {
		usage.MilliCPU = 0
		return usage
	}
	if a.workload.spec.Kind == api.KindService {
		usage.MilliCPU = int64(float64(usage.MilliCPU) * a.workload.rate / float64(max(1, a.workload.running)))
	}
	usage.MilliCPU = int64(float64(usage.MilliCPU) * a.cpuShare)
	return usage
}

// worker is a simulated worker.
type worker struct {
	api.Worker
	broken   bool
	attempts []*attempt
	used     api.Resources
	load     float64
	reports  []usageReport
	requests *requestModel
}

// usageReport is a usage report that has not been delivered yet.
type usageReport struct {
	deliverAt int
	used      api.Resources
	tasks     []taskUsage
}

type taskUsage struct {
	id        api.TaskID
	attempt   uint64
	workload  *workload
	used      api.Resources
	slowdown  float64
	throttled bool
}

func (w *worker) remove(a *attempt) {
	for i := range w.attempts {
		if w.attempts[i] == a {
			w.attempts = append(w.attempts[:i], w.attempts[i+1:]...)
			return
		}
	}
}

func (w *worker) reserved() api.Resources {
	var sum api.Resources
	for _, a := range w.attempts {
		sum = sum.Add(a.Resources)
	}
	return sum
}

// Interference grows with the CPU load of a worker: its factor is lowLoadFactor up to lowLoad and rises linearly to 1 at
// highLoad.
const (
	lowLoadFactor = 0.35
	lowLoad       = 0.3
	highLoad      = 0.9
)

func interferenceFactor(load float64) float64 {
	fraction := min(1, max(0, (load-lowLoad)/(highLoad-lowLoad)))
	return lowLoadFactor + (1-lowLoadFactor)*fraction
}

// updateLoad computes the usage of a worker and the slowdown of its attempts. The slowdown is 1 plus the interference
// (pressure of the other attempts times own sensitivity, scaled by the load), times the CPU oversubscription.
func (w *worker) updateLoad(now int) {
	w.used = api.Resources{}
	var pressure [Dimensions]float64
	for _, a := range w.attempts {
		w.used = w.used.Add(a.usage(now))
		for d := range pressure {
			pressure[d] += a.pressure(now, d)
		}
	}
	demand := float64(w.used.MilliCPU) / float64(w.Capacity.MilliCPU)
	w.load = min(1, demand)
	factor := interferenceFactor(w.load)
	for _, a := range w.attempts {
		interference := 0.0
		for d := range pressure {
			interference += a.workload.truth.Sensitivity[d] * (pressure[d] - a.pressure(now, d))
		}
		a.slowdown = (1 + factor*interference) * max(1, demand)
	}
}

func (a *attempt) pressure(now, dimension int) float64 {
	if now < a.runningFrom {
		return 0
	}
	return a.workload.truth.Pressure[dimension] * a.cpuShare
}

// duration converts a number of time steps to a duration.
func duration(n int) time.Duration { return time.Duration(n) * step }
