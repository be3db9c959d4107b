// Package authority implements instance leases. It decides how long an instance may act as the owner of its ownership
// units, and when other instances may treat its lease as expired. It does no input or output and reads no clock: all
// times are readings of the local monotonic clock, and readings of two instances are never compared.
//
// A lease period is an uninterrupted time with a valid instance lease. It ends when its last confirmation is older than
// the instance lease duration; a later confirmation starts a new period. An expiry decision of an observer refers to one
// version of the session row and is final for the lease period in which that version was written, so it may be used
// with any delay.
//
// State that was read from the table in an earlier lease period must be read again after the session row has been
// renewed in the new period. Other instances acquire units only on condition that the session row is unchanged, so each
// acquisition is either visible to that read or fails.
package authority

import (
	"slices"
	"time"

	"bronzehook/api"
)

const (
	// DefaultLeaseDuration is the default instance lease duration: the time for which one confirmation keeps the lease valid.
	DefaultLeaseDuration = 5 * time.Second
	// ClockDriftMargin is the clock drift margin that observers add to the instance lease duration, since the clocks of two
	// instances may run at different rates.
	ClockDriftMargin = time.Second
	// maxObservationAge is the largest age of the observations behind an expiry decision. Together with the time for which
	// replaced directory lists stay in use, it bounds the lag between the lists of the leaseholder and the observer.
	maxObservationAge = 3 * time.Second
)

// Rule holds the durations of instance leases. They must be the same on all instances.
type Rule struct {
	// LeaseDuration is the instance lease duration.
	LeaseDuration time.Duration
}

// ExpiryDelay is the expiry delay: the time without a confirmation after which an instance lease may be treated as expired.
// Replaced directory lists stay in use for the same time. The leaseholder and the observer both need their quorum in
// every list in use, so they decide on a common list even if their reads of the directory lag each other.
func (r Rule) ExpiryDelay() time.Duration { return r.LeaseDuration + ClockDriftMargin }

// StaleAfter is the time without a change of its session row after which an unresponsive coordinator may be replaced.
// Urgent tasks must start within 8.7 s even if the coordinator fails, which leaves no time for the expiry delay. A wrong
// decision is safe, since every write of a coordinator is conditional on its unit row.
func (r Rule) StaleAfter() time.Duration { return min(r.ExpiryDelay(), 3*time.Second) }

// confirmationsRequired returns the number of other instances in a region of n that must acknowledge the heartbeats of
// an instance: with itself, a strict majority.
func confirmationsRequired(n int) int { return n / 2 }

// reportsRequired returns the number of other instances in a region of n that must report an instance as
// unresponsive: half, rounded up. The n - 1 other instances are too few to satisfy both this and confirmationsRequired.
func reportsRequired(n int) int { return (n + 1) / 2 }

// regionLists holds the latest directory list of a region and those that were replaced within the expiry delay.
type regionLists struct {
	lists []directoryList
}

type directoryList struct {
	members []api.InstanceID
	// replacedAt is the time at which a newer list was read. It is zero for the latest list.
	replacedAt time.Duration
}

func (l *regionLists) set(rule Rule, members []api.InstanceID, at time.Duration) {
	sorted := slices.Sorted(slices.Values(members))
	last := len(l.lists) - 1
	if last >= 0 && slices.Equal(l.lists[last].members, sorted) {
		return
	}
	if last >= 0 {
		l.lists[last].replacedAt = at
	}
	l.lists = append(l.lists, directoryList{members: sorted})
	l.prune(rule, at)
}

func (l *regionLists) prune(rule Rule, now time.Duration) {
	last := len(l.lists) - 1
	keep := l.lists[:0]
	for i, list := range l.lists {
		if i == last || now-list.replacedAt <= rule.ExpiryDelay() {
			keep = append(keep, list)
		}
	}
	l.lists = keep
}

// allInUse reports whether check returns true for every list in use. It stops at the first false.
func (l *regionLists) allInUse(rule Rule, now time.Duration, check func(members []api.InstanceID) bool) bool {
	for i, list := range l.lists {
		if i < len(l.lists)-1 && now-list.replacedAt > rule.ExpiryDelay() {
			continue
		}
		if !check(list.members) {
			return false
		}
	}
	return true
}

// sizeIncluding returns the number of members. It counts self even if the list does not contain it.
func sizeIncluding(members []api.InstanceID, self api.InstanceID) int {
	if slices.Contains(members, self) {
		return len(members)
	}
	return len(members) + 1
}
