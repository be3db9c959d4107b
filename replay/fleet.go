package replay

import (
	"time"

	"bronzehook/api"
	"bronzehook/scheduler"
)

// workload is a work of the trace with its true behaviour.
type workload struct {
	spec  api.Spec
	truth *Truth
	// rate is the requests per second over all tasks; running counts its tasks that answer.
	rate    float64
	running int
}

// attempt is a task that is assigned to a worker.
type attempt struct {
	scheduler.Task
	work   *workload
	worker *worker
	// runsFrom is when the task begins to make progress.
	runsFrom int
	// stopsAt is when an ordered stop takes effect; 0 if none was ordered.
	stopsAt int
	// savesAt is when an ordered checkpoint is complete; 0 if none was ordered.
	savesAt int
	// done and saved are the seconds of work that are done and that the last checkpoint holds.
	done, saved float64
	share       float64
	slowdown    float64
	ready       bool
}

func (a *attempt) isJob() bool { return a.work.spec.Kind == api.KindJob }

// use is what the attempt uses now.
func (a *attempt) use(now int) api.Resources {
	use := a.work.truth.Use
	if now < a.runsFrom {
		use.MilliCPU = 0
		return use
	}
	if a.work.spec.Kind == api.KindService {
		use.MilliCPU = int64(float64(use.MilliCPU) * a.work.rate / float64(max(1, a.work.running)))
	}
	use.MilliCPU = int64(float64(use.MilliCPU) * a.share)
	return use
}

// worker is a machine of the replay.
type worker struct {
	api.Worker
	broken   bool
	attempts []*attempt
	used     api.Resources
	load     float64
	reports  []report
	requests *requestModel
}

// report is a usage report on its way.
type report struct {
	arrives int
	used    api.Resources
	tasks   []taskReport
}

type taskReport struct {
	id        api.TaskID
	attempt   uint64
	work      *workload
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

func (w *worker) booked() api.Resources {
	var sum api.Resources
	for _, a := range w.attempts {
		sum = sum.Add(a.Resources)
	}
	return sum
}

// Interference weighs more the more a worker is loaded: from calmFactor below calmLoad to 1 at fullLoad.
const (
	calmFactor = 0.35
	calmLoad   = 0.3
	fullLoad   = 0.9
)

func loadFactor(load float64) float64 {
	part := min(1, max(0, (load-calmLoad)/(fullLoad-calmLoad)))
	return calmFactor + (1-calmFactor)*part
}

// settle computes the use of a worker and the slowdown of its attempts: pressure of the neighbours times sensitivity, by
// load, and the lack of processors where more is wanted than there is.
func (w *worker) settle(now int) {
	w.used = api.Resources{}
	var pressure [Dimensions]float64
	for _, a := range w.attempts {
		w.used = w.used.Add(a.use(now))
		for d := range pressure {
			pressure[d] += a.pressure(now, d)
		}
	}
	wanted := float64(w.used.MilliCPU) / float64(w.Capacity.MilliCPU)
	w.load = min(1, wanted)
	factor := loadFactor(w.load)
	for _, a := range w.attempts {
		extra := 0.0
		for d := range pressure {
			extra += a.work.truth.Sensitivity[d] * (pressure[d] - a.pressure(now, d))
		}
		a.slowdown = (1 + factor*extra) * max(1, wanted)
	}
}

func (a *attempt) pressure(now, dimension int) float64 {
	if now < a.runsFrom {
		return 0
	}
	return a.work.truth.Pressure[dimension] * a.share
}

// seconds returns a number of steps as a duration.
func seconds(n int) time.Duration { return time.Duration(n) * step }
