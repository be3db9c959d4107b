package execution

import "time"

// An instance that is short of processor time reads answers late. A worker whose answers are dropped for that is not silent: it has
// listed its ends, and work that is given up and started elsewhere would be done twice. So the time-outs of looks grow with how
// late the holder itself is. Those of orders do not: a gang whose start is not known to be whole is broken up soon.
const (
	// tolerableLag is how late ticks may be without a consequence.
	tolerableLag = 60 * time.Millisecond
	// timeoutMarginFactor times the lag is added to time-outs, up to maxSlack: an answer passes several goroutines.
	timeoutMarginFactor = 10
	maxTimeoutMargin    = 4 * time.Second
	// lagDecay is what is left of the greatest lag at the next tick.
	lagDecay = 0.95
)

// lag is how late the control goroutine is.
type lag struct {
	worst  time.Duration
	tickAt time.Duration
}

// note takes up that a tick was handled at a time.
func (l *lag) note(now time.Duration) {
	late := time.Duration(0)
	if l.tickAt > 0 {
		late = max(0, now-l.tickAt-tickEvery)
	}
	l.tickAt = now
	l.worst = max(late, time.Duration(lagDecay*float64(l.worst)))
}

// timeoutMargin is what is added to the time-out of a look.
func (l *lag) timeoutMargin() time.Duration {
	if l.worst <= tolerableLag {
		return 0
	}
	return min(maxTimeoutMargin, timeoutMarginFactor*l.worst)
}
