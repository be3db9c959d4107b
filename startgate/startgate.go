// Package startgate decides whether a start command may leave, from the newest known requests that forbid it (the evacuation
// of the worker's data centre, the draining of the worker, the cancellation of the job) and from the age of that knowledge. It
// does no I/O.
//
// A request that was acknowledged after the read which confirmed the knowledge is unknown. Its bound ends no earlier than the
// bound after the sending of that read, so a start that leaves before then breaks no bound, however long it waited.
package startgate

import "time"

// Bounds are the times for which starts are still allowed after a request was acknowledged. A bound of 0 is not checked.
type Bounds struct {
	// Evacuate is the bound of the evacuation of a data centre, Drain that of the draining of a worker, Cancel that of the
	// cancellation of a job.
	Evacuate, Drain, Cancel time.Duration
}

const (
	// maxTransitMargin, and maxTransitShare of shorter bounds, is the part of a bound that is left for the way from the last check
	// to the worker: a pause of the process between the check and the write (100 ms where the share of a core is limited), and
	// the network between regions.
	maxTransitMargin = 250 * time.Millisecond
	maxTransitShare  = 0.1
	// maxLeaveTime is how long a command may take to leave: 0.8 s to wait for a connection and 0.8 s to identify the worker on
	// a new one.
	maxLeaveTime = 1600 * time.Millisecond
	// maxLeaveShare bounds the leave time as a share of the bound. With a bound of 2.5 s, maxLeaveTime would leave 0.65 s for
	// the age, which a store with latencies of 0.2 s exceeds. A command that needs more time than is left isn't sent.
	maxLeaveShare = 0.4
)

// share returns a share of a bound, at most limit.
func share(bound time.Duration, ratio float64, limit time.Duration) time.Duration {
	return min(limit, time.Duration(ratio*float64(bound)))
}

// latestWrite returns how long after the read a start may be written.
func latestWrite(bound time.Duration) time.Duration {
	return bound - share(bound, maxTransitShare, maxTransitMargin)
}

// MaxAge returns the age of the knowledge from which on starts are held back, for the bound of the requests that it is about.
func MaxAge(bound time.Duration) time.Duration {
	return latestWrite(bound) - share(bound, maxLeaveShare, maxLeaveTime)
}

// readsPerAge is the number of watches that begin within the maximum age. The age reaches two waits and two latencies of the
// store, because it counts from the sending of a watch: with four, a latency of half a wait (0.27 s with a bound of 4 s) adds up
// to three quarters of the maximum age.
const readsPerAge = 4

// minWatchWait bounds the load of watches on the store.
const minWatchWait = 50 * time.Millisecond

// WatchWait returns how long a watch of a table may wait for changes, at most longest, so that its knowledge stays fresh.
func WatchWait(bound, longest time.Duration) time.Duration {
	if bound <= 0 {
		return longest
	}
	return min(longest, max(minWatchWait, MaxAge(bound)/readsPerAge))
}

// Knowledge is what is known about a start at one moment.
type Knowledge struct {
	// Evacuated, Draining, Unregistered and Cancelled are set if the request is known. Unregistered means that the worker has no
	// registration any more.
	Evacuated, Draining, Unregistered, Cancelled bool
	// OperatorTableAt, RegistrationsAt and IntakeAt are when the reads were sent that last confirmed the evacuations, the
	// registrations, and the cancellations.
	OperatorTableAt, RegistrationsAt, IntakeAt time.Duration
}

// Verdict is what happens to a start.
type Verdict uint8

// The verdicts, from the mildest to the strictest.
const (
	// Allow lets the start leave until Decision.LeaveBy.
	Allow Verdict = iota
	// Hold delays the start until the knowledge is fresh.
	Hold
	// Reject means that the task has to be placed again.
	Reject
)

// Decision is the decision on a start.
type Decision struct {
	Verdict Verdict
	// Reason is the reason of a Hold or Reject.
	Reason Reason
	// LeaveBy is the time until which an allowed start may leave; 0 if it is not bounded.
	LeaveBy time.Duration
}

// Decide decides on a start at a time.
func Decide(k Knowledge, b Bounds, now time.Duration) Decision {
	for _, request := range []struct {
		known  bool
		reason Reason
	}{
		{k.Cancelled, ReasonCancelled}, {k.Evacuated, ReasonEvacuated}, {k.Draining, ReasonDraining}, {k.Unregistered, ReasonUnregistered},
	} {
		if request.known {
			return Decision{Verdict: Reject, Reason: request.reason}
		}
	}
	allowed := Decision{}
	for _, source := range []struct {
		bound, readAt time.Duration
		stale         Reason
	}{
		{b.Evacuate, k.OperatorTableAt, ReasonStaleOperatorTable}, {b.Drain, k.RegistrationsAt, ReasonStaleRegistrations},
		{b.Cancel, k.IntakeAt, ReasonStaleIntake},
	} {
		if source.bound <= 0 {
			continue
		}
		if now-source.readAt > MaxAge(source.bound) {
			return Decision{Verdict: Hold, Reason: source.stale}
		}
		leaveBy := source.readAt + latestWrite(source.bound)
		if allowed.LeaveBy == 0 || leaveBy < allowed.LeaveBy {
			allowed.LeaveBy = leaveBy
		}
	}
	return allowed
}

// Combine returns the decision on starts that leave together or not at all, such as those of a gang.
func Combine(a, b Decision) Decision {
	switch {
	case b.Verdict > a.Verdict:
		return b
	case a.Verdict != Allow || b.LeaveBy == 0:
		return a
	case a.LeaveBy == 0 || b.LeaveBy < a.LeaveBy:
		a.LeaveBy = b.LeaveBy
	}
	return a
}
