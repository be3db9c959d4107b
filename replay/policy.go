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
	Admitter NewAdmitter
}

// Decision returns the policy of the system.
func Decision() Policy {
	return Policy{Name: "decision", Options: scheduler.DefaultOptions(), Admitter: NewCoreAdmitter}
}

// Baseline returns first fit in order of arrival, with declared sizes, no reserve and no prediction. It displaces less
// urgent work at once, without a checkpoint; in the recorded traces all of its evictions come from that. It would also
// evict at once where services suffer, but first fit keeps services and jobs on different workers. Requests run in order
// of arrival.
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
	return Policy{Name: "baseline", Options: o, Admitter: NewFIFOAdmitter}
}

// DefaultFloors returns the floors of the replayed sites.
func DefaultFloors() api.Floors {
	return api.Floors{api.Low: 10, api.Normal: 20, api.High: 30, api.Critical: 30}
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
