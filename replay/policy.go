package replay

import (
	"time"

	"bronzehook/api"
	"bronzehook/scheduler"
	"bronzehook/scheduler/placement"
)

// Policy is what is replayed: the options of the decisions about tasks, and who admits requests.
type Policy struct {
	Name     string
	Options  scheduler.Options
	Admitter Admitter
}

// Decision returns the policy of the system.
func Decision() Policy {
	return Policy{Name: "decision", Options: scheduler.DefaultOptions(), Admitter: FloorKeeper{Floors: DefaultFloors()}}
}

// Baseline returns first fit in order of arrival, with declared sizes, no reserve and no prediction. It displaces less
// urgent work at once, without a checkpoint; in the recorded traces all of its evictions come from that. It would also
// evict at once where services suffer, but first fit keeps services and jobs on different workers. Requests are taken
// as they come.
func Baseline() Policy {
	o := scheduler.DefaultOptions()
	o.Queue.ByUrgency, o.Queue.BySlack, o.Queue.BackOff = false, false, false
	o.Queue.AvoidFor = 0
	o.Feasibility.Enabled = false
	o.Placement = placement.FirstFit()
	o.Interference.Enabled = false
	o.Sizing.Sizes, o.Sizing.RunTimes = false, false
	o.Eviction.Throttle, o.Eviction.Checkpoint, o.Eviction.Hysteresis = false, false, false
	o.Quarantine.Workers, o.Quarantine.Works = false, false
	const noBound = 1 << 30
	o.Quarantine.MaxTries = noBound
	return Policy{Name: "baseline", Options: o, Admitter: TakeAll{}}
}

// Admitter shares the request capacity of a worker over the urgencies. Loads are in slots: requests per second times
// execution time.
type Admitter interface {
	// Admit returns the admitted part of the offered load of each urgency on a worker with the given slots.
	Admit(slots float64, offered [api.UrgencyCount]float64) [api.UrgencyCount]float64
}

// TakeAll admits everything that is offered; beyond the slots each urgency is answered in proportion to its load.
type TakeAll struct{}

// Admit implements Admitter.
func (TakeAll) Admit(_ float64, offered [api.UrgencyCount]float64) [api.UrgencyCount]float64 {
	return offered
}

// FloorKeeper admits up to a share of the slots that keeps queues short. Each urgency keeps its floor; what is left is
// lent in order of urgency.
type FloorKeeper struct {
	// Floors is the share of the usable slots that each urgency keeps, in percent.
	Floors api.Floors
}

// usableShare is the share of a worker's slots up to which the queue in front of them stays short.
const usableShare = 0.8

// DefaultFloors returns the floors of the replayed sites.
func DefaultFloors() api.Floors {
	return api.Floors{api.Low: 10, api.Normal: 20, api.High: 30, api.Critical: 30}
}

// Admit implements Admitter.
func (f FloorKeeper) Admit(slots float64, offered [api.UrgencyCount]float64) [api.UrgencyCount]float64 {
	const percent = 100
	usable := slots * usableShare
	var admitted [api.UrgencyCount]float64
	left := usable
	for u := range offered {
		admitted[u] = min(offered[u], usable*f.Floors[u]/percent)
		left -= admitted[u]
	}
	for u := api.UrgencyCount - 1; u >= 0; u-- {
		lent := min(left, offered[u]-admitted[u])
		admitted[u] += lent
		left -= lent
	}
	return admitted
}

// The times of the model.
const (
	step = time.Second
	// startSeconds is the time from an assignment until the task runs; resumeSeconds more from a checkpoint.
	startSeconds  = 1
	resumeSeconds = 3
	// checkpointSeconds is the time that a checkpoint takes; the task makes no progress in it.
	checkpointSeconds = 2
	// failSeconds is how long an attempt runs on a broken worker before it fails.
	failSeconds = 4
	// readySeconds is how long a service or watcher runs before it counts as a success of its worker.
	readySeconds = 10
	// reportSeconds is the period of usage reports; they arrive reportLag later.
	reportSeconds = 10
	reportLag     = 10
	// planSeconds is the period of cycles.
	planSeconds = 2
	// refreshSeconds is the period at which pending tasks get the sizes that were learned since.
	refreshSeconds = 30
)
