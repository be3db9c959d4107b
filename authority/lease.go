package authority

import (
	"slices"
	"time"

	"bronzehook/api"
)

// Lease decides whether this instance's lease is valid. It is not safe for concurrent use.
type Lease struct {
	rule  Rule
	self  api.InstanceID
	lists regionLists
	// confirmedSends holds, for each peer, the latest send time of a heartbeat that the peer has acknowledged.
	confirmedSends map[api.InstanceID]time.Duration
	// renewalStart is the latest start time of a successful renewal of the session row.
	renewalStart time.Duration
	everRenewed  bool
	period       uint64
	// expiry is the end of the current or last lease period, as confirmed so far.
	expiry          time.Duration
	previousExpiry  time.Duration
	renewedInPeriod bool
}

// NewLease returns an instance lease that is not valid yet.
func NewLease(rule Rule, self api.InstanceID) *Lease {
	return &Lease{rule: rule, self: self, confirmedSends: map[api.InstanceID]time.Duration{}}
}

// SetRegion applies a directory list of the instances in this instance's region, read at time at.
func (l *Lease) SetRegion(members []api.InstanceID, at time.Duration) {
	l.lists.set(l.rule, members, at)
	l.update(at)
}

// RecordRenewal records at time now that a renewal of the session row, begun at start, has succeeded.
func (l *Lease) RecordRenewal(start, now time.Duration) {
	l.update(now)
	l.renewalStart = max(l.renewalStart, start)
	l.everRenewed = true
	l.update(now)
	// A renewal begun before the previous period ended, or confirmed too late, does not count: another instance may have
	// decided on expiry from the row that it wrote.
	if l.expiry > now && start >= l.previousExpiry && start+l.rule.LeaseDuration > now {
		l.renewedInPeriod = true
	}
}

// ConfirmedBy records at time now that peer has acknowledged a message that this instance sent at sent. The send time is
// used because the peer's clock is not comparable and its response may have been delayed. The instance acknowledges its
// own heartbeats by calling ConfirmedBy with its own ID, so that the lease of the only instance in a region also expires
// when that instance is paused: its directory list may have changed meanwhile.
func (l *Lease) ConfirmedBy(peer api.InstanceID, sent, now time.Duration) {
	l.update(now)
	if previous, ok := l.confirmedSends[peer]; !ok || sent > previous {
		l.confirmedSends[peer] = sent
	}
	l.update(now)
}

// Valid reports whether the instance lease is valid.
func (l *Lease) Valid(now time.Duration) bool {
	l.update(now)
	return now < l.expiry
}

// Expiry returns the time at which the instance lease expires unless it is confirmed again.
func (l *Lease) Expiry(now time.Duration) time.Duration {
	l.update(now)
	return l.expiry
}

// Period returns the number of the current or last lease period; 0 means that the lease was never valid.
func (l *Lease) Period(now time.Duration) uint64 {
	l.update(now)
	return l.period
}

// RenewedInPeriod reports whether the session row was renewed in the current lease period. Only reads of the table after such
// a renewal are certain to show every unit that others acquired because an earlier period had expired.
func (l *Lease) RenewedInPeriod(now time.Duration) bool { return l.Valid(now) && l.renewedInPeriod }

// update extends the current lease period, or starts another if the period expired before the latest confirmation was
// known. A replaced directory list may also end the period early.
func (l *Lease) update(now time.Duration) {
	expiry := l.confirmedExpiry(now)
	if now >= expiry {
		l.expiry = min(l.expiry, now)
		return
	}
	if now >= l.expiry {
		l.period++
		l.previousExpiry = l.expiry
		l.renewedInPeriod = false
	}
	l.expiry = expiry
}

func (l *Lease) confirmedExpiry(now time.Duration) time.Duration {
	expiry := time.Duration(0)
	if l.everRenewed {
		expiry = l.renewalStart + l.rule.LeaseDuration
	}
	if at, ok := l.majorityConfirmedAt(now); ok {
		expiry = max(expiry, at+l.rule.LeaseDuration)
	}
	return expiry
}

// majorityConfirmedAt returns the latest time such that a strict majority of every list in use has acknowledged a
// heartbeat sent at or after it.
func (l *Lease) majorityConfirmedAt(now time.Duration) (time.Duration, bool) {
	if len(l.lists.lists) == 0 {
		return 0, false
	}
	at := now
	ok := l.lists.allInUse(l.rule, now, func(members []api.InstanceID) bool {
		// If the directory lists no instance of the region, others may acquire the region's units.
		if len(members) == 0 {
			return false
		}
		confirmedAt, ok := l.majorityConfirmedIn(members)
		at = min(at, confirmedAt)
		return ok
	})
	return at, ok
}

func (l *Lease) majorityConfirmedIn(members []api.InstanceID) (time.Duration, bool) {
	needed := confirmationsRequired(sizeIncluding(members, l.self)) + 1
	var sendTimes []time.Duration
	if at, ok := l.confirmedSends[l.self]; ok {
		sendTimes = append(sendTimes, at)
	}
	for _, id := range members {
		if at, ok := l.confirmedSends[id]; ok && id != l.self {
			sendTimes = append(sendTimes, at)
		}
	}
	if len(sendTimes) < needed {
		return 0, false
	}
	slices.Sort(sendTimes)
	return sendTimes[len(sendTimes)-needed], true
}
