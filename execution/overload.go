package execution

import "time"

// A leader that is short of processor time for long delays the placement of work, and another instance should lead
// instead. The lag of ticks hardly shows the shortage, since the control goroutine is scheduled in time; the goroutines
// that make calls and handle their responses have to wait.
const (
	// overloadCheckInterval is the time between two readings of the run delay.
	overloadCheckInterval = 400 * time.Millisecond
	// overloadRunDelay is the mean run delay from which on a reading counts as overload. overloadReadings is the number
	// of consecutive such readings from which on the leader counts as overloaded.
	overloadRunDelay = 5 * time.Millisecond
	overloadReadings = 2
)

// overload tracks the run delay: the mean time for which goroutines of this process wait for a processor.
type overload struct {
	runDelay time.Duration
	// readings counts the consecutive readings that count as overload.
	readings    int
	nextCheckAt time.Duration
}

// note records a reading of the mean run delay.
func (o *overload) note(runDelay time.Duration) {
	o.runDelay = runDelay
	if runDelay < overloadRunDelay {
		o.readings = 0
		return
	}
	o.readings++
}

// sustained reports whether the process has been short of processor time for several readings in a row.
func (o *overload) sustained() bool { return o.readings >= overloadReadings }

// watchOverload reads the run delay when that is due, and reports a sustained overload.
func (t *Term) watchOverload(now time.Duration) {
	if t.opts.RunDelay == nil || now < t.overload.nextCheckAt {
		return
	}
	t.overload.nextCheckAt = now + overloadCheckInterval
	t.overload.note(t.opts.RunDelay())
	if t.overload.sustained() {
		t.opts.Overloaded(t.overload.runDelay)
	}
}
