// Package locality decides how long a task waits for a place near its data, or a group for a rack that takes all of it,
// instead of running elsewhere, where it takes longer. The decisions are pure functions of a snapshot.
package locality

import "time"

// Place describes the near places of a task: the workers with its data, or one rack for a group.
type Place struct {
	// FreeNow is set if a near worker takes the task now.
	FreeNow bool
	// Closed is set if nothing new is started near the data, so that a wait is in vain.
	Closed bool
	// Known is set if Wait is known. It is not if no near worker is usable, or if a near worker has free capacity but refuses
	// the task for another reason.
	Known bool
	// Wait is the expected time until a near place is free, after those that rank higher have taken theirs; Never if none will be.
	Wait time.Duration
}

// Task describes a waiting task.
type Task struct {
	// Estimate is the run time near the data. FarFactor is how many times as long the task takes elsewhere.
	Estimate  time.Duration
	FarFactor float64
	// Slack is for how long the start can be delayed so that the job still ends in time if all of its remaining tasks run
	// near their data.
	Slack time.Duration
	// Waited is how long the task has waited.
	Waited time.Duration
}

// Outcome says what a decision was, and why.
type Outcome uint8

// The outcomes. The task waits for a near place with OutcomeWait and OutcomeWaitUnknown only.
const (
	OutcomeNone Outcome = iota
	// OutcomeUnaffected means that the task takes no longer elsewhere.
	OutcomeUnaffected
	OutcomeNear
	OutcomeWait
	OutcomeWaitUnknown
	OutcomeTooLong
	OutcomeWaitedOut
	OutcomeLate
	OutcomeClosed
)

// Outcomes holds all outcomes of decisions.
var Outcomes = []Outcome{
	OutcomeUnaffected, OutcomeNear, OutcomeWait, OutcomeWaitUnknown, OutcomeTooLong, OutcomeWaitedOut, OutcomeLate, OutcomeClosed,
}

var outcomeNames = [...]string{
	OutcomeNone: "", OutcomeUnaffected: "unaffected", OutcomeNear: "near", OutcomeWait: "wait", OutcomeWaitUnknown: "wait-unknown",
	OutcomeTooLong: "far-wait-too-long", OutcomeWaitedOut: "far-waited-out", OutcomeLate: "far-late", OutcomeClosed: "far-closed",
}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Waits reports whether the task waits for a near place.
func (o Outcome) Waits() bool { return o == OutcomeWait || o == OutcomeWaitUnknown }

// Decision is the result of Decide.
type Decision struct {
	Outcome
	// Until is the total waiting time after which the task waits no longer, whatever is expected then.
	Until time.Duration
}

// Parameters of the decisions.
const (
	// waitMargin is by what factor the expected wait is multiplied before it is compared with the extra time elsewhere.
	// Estimates of run times are rough, and a wait that is in vain costs its time and then the extra time as well.
	waitMargin = 1.25
	// unknownWaitShare and maxUnknownWait bound the wait while the expected wait is unknown, as a share of the extra time
	// and as a time. It is long enough for the leader to connect to workers near the data that it has not used so far.
	unknownWaitShare = 0.2
	maxUnknownWait   = time.Second
)

// ExtraTime returns by how much longer a task takes elsewhere.
func (t *Task) ExtraTime() time.Duration {
	return time.Duration(max(0, t.FarFactor-1) * float64(t.Estimate))
}

// Decide decides whether a task waits for a near place. It waits while the expected wait is clearly shorter than the extra time
// elsewhere, but in total no longer than the extra time: if the expectation was wrong, it then takes at most twice as long
// as if it had run elsewhere at once.
func Decide(place Place, task Task) Decision {
	extra := task.ExtraTime()
	unknownLimit := min(time.Duration(unknownWaitShare*float64(extra)), maxUnknownWait)
	switch {
	case extra <= 0:
		return Decision{Outcome: OutcomeUnaffected}
	case place.FreeNow:
		return Decision{Outcome: OutcomeNear}
	case place.Closed:
		return Decision{Outcome: OutcomeClosed}
	case task.Slack < 0:
		return Decision{Outcome: OutcomeLate}
	case !place.Known && task.Waited >= unknownLimit:
		return Decision{Outcome: OutcomeWaitedOut}
	case !place.Known && task.Slack >= extra && task.Slack-extra < unknownLimit-task.Waited:
		// Elsewhere the job still ends in time if the task does not wait out the limit.
		return Decision{Outcome: OutcomeTooLong}
	case !place.Known:
		return Decision{Outcome: OutcomeWaitUnknown, Until: unknownLimit}
	case task.Waited >= extra:
		return Decision{Outcome: OutcomeWaitedOut}
	case float64(place.Wait)*waitMargin >= float64(extra):
		return Decision{Outcome: OutcomeTooLong}
	}
	return Decision{Outcome: OutcomeWait, Until: extra}
}
