package execution

import "time"

// A holder that is short of processor time for long lets work wait that another instance would place at once. Ticks hardly show
// it, since the control goroutine gets its turns; what waits are the goroutines that carry calls and their answers.
const (
	// overloadEvery is the time between two readings of the run delay.
	overloadEvery = 400 * time.Millisecond
	// overloadDelay is the mean run delay from which a reading counts, overloadReadings how many of them in a row make a holder
	// count as overloaded.
	overloadDelay    = 5 * time.Millisecond
	overloadReadings = 2
)

// overload is how long goroutines of this process wait for a processor.
type overload struct {
	delay    time.Duration
	readings int
	due      time.Duration
}

// note takes up a reading of the mean run delay.
func (o *overload) note(delay time.Duration) {
	o.delay = delay
	if delay < overloadDelay {
		o.readings = 0
		return
	}
	o.readings++
}

// sustained reports whether the process has been short of processor time for a while.
func (o *overload) sustained() bool { return o.readings >= overloadReadings }

// watchOverload reads the run delay if that is due, and tells of an overload that lasts.
func (t *Term) watchOverload(now time.Duration) {
	if t.opts.RunDelay == nil || now < t.overload.due {
		return
	}
	t.overload.due = now + overloadEvery
	t.overload.note(t.opts.RunDelay())
	if t.overload.sustained() {
		t.opts.Overloaded(t.overload.delay)
	}
}
