package execution

import "time"

// A leader that is short of processor time for long delays work that another instance would place at once. The
// lateness of ticks hardly shows this, since the control goroutine is scheduled in time; what waits are the
// goroutines that carry calls and their responses.
const (
	// overloadCheckInterval is the time between two readings of the run delay.
	overloadCheckInterval = 400 * time.Millisecond
	// overloadRunDelay is the mean run delay from which on a reading counts as overload. overloadReadings is the
	// number of consecutive ones from which on a leader counts as overloaded.
	overloadRunDelay = 5 * time.Millisecond
	overloadReadings = 2
)

// overload tracks how long goroutines of this process wait for a processor.
type overload struct {
	delay    time.Duration
	readings int
	due      time.Duration
}

// note records a reading of the mean run delay.
func (o *overload) note(delay time.Duration) {
	o.delay = delay
	if delay < overloadRunDelay {
		o.readings = 0
		return
	}
	o.readings++
}

// sustained reports whether the process has been short of processor time for several readings in a row.
func (o *overload) sustained() bool { return o.readings >= overloadReadings }

// watchOverload reads the run delay when that is due, and reports a sustained overload.
func (t *Term) watchOverload(now time.Duration) {
	if t.opts.RunDelay == nil || now < t.overload.due {
		return
	}
	t.overload.due = now + overloadCheckInterval
	t.overload.note(t.opts.RunDelay())
	if t.overload.sustained() {
		t.opts.Overloaded(t.overload.delay)
	}
}
