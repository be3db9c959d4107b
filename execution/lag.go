package execution

import "time"

// A leader that is short of processor time handles responses late. If it dropped them as timed out, it would take
// workers for unresponsive that have reported their terminations, and start work again that is done. So the time-outs
// of polls grow with the lag of the leader. Those of commands do not: a gang has to be stopped soon if one of its
// starts is not confirmed.
const (
	// lagThreshold is the lag up to which time-outs are not extended.
	lagThreshold = 60 * time.Millisecond
	// timeoutMarginFactor times the lag is added to time-outs, up to maxTimeoutMargin. A multiple is needed because a
	// response passes through several goroutines, each of which may be late.
	timeoutMarginFactor = 10
	maxTimeoutMargin    = 4 * time.Second
	// lagDecay is the share of the worst lag that is left at the next tick.
	lagDecay = 0.95
)

// lag tracks how late the control goroutine handles its ticks.
type lag struct {
	worst      time.Duration
	lastTickAt time.Duration
}

// note records the time at which a tick was handled.
func (l *lag) note(now time.Duration) {
	late := time.Duration(0)
	if l.lastTickAt > 0 {
		late = max(0, now-l.lastTickAt-tickInterval)
	}
	l.lastTickAt = now
	l.worst = max(late, time.Duration(lagDecay*float64(l.worst)))
}

// present returns the worst lag, or the delay of a tick that has not been handled yet if that is longer.
func (l *lag) present(now time.Duration) time.Duration {
	if l.lastTickAt == 0 {
		return l.worst
	}
	return max(l.worst, now-l.lastTickAt-tickInterval)
}

// timeoutMargin returns what is added to the time-out of a poll.
func (l *lag) timeoutMargin() time.Duration {
	if l.worst <= lagThreshold {
		return 0
	}
	return min(maxTimeoutMargin, timeoutMarginFactor*l.worst)
}
