// Package authority holds the rule that decides when an instance may act as the owner of its units, and when others may
// treat it as lapsed. It does no input or output and reads no clock: all times are readings of the local monotonic
// clock, and readings of two instances are never compared.
//
// Authority is held in terms. A term ends when its last confirmation is older than Hold; a later confirmation begins a
// new term. An observer's verdict concerns the term that the session row names and is final for that term, so it does
// not matter how long the verdict takes to reach the place where it is used. State that was read from the table in an
// earlier term has to be read again before it is used, after a session renewal in the new term (Anchored): any claim by
// others is conditional on the session row, so it either is seen by that reading or fails.
package authority

import (
	"slices"
	"time"

	"bronzehook/api"
)

const (
	// DefaultHold is the time for which one confirmation gives authority.
	DefaultHold = 5 * time.Second
	// Margin is added to Hold by observers. It covers differing clock rates.
	Margin = time.Second
	// maxVerdictAge is the largest age of the evidence behind a verdict. Together with the overlap of directory lists it
	// bounds the lag between the lists of holder and observer.
	maxVerdictAge = 3 * time.Second
)

// Rule holds the durations that all instances share.
type Rule struct {
	Hold time.Duration
}

// Silence is the time without confirmation after which an instance may count as lapsed. Replaced directory lists stay
// in use for as long: holder and observer both need their majority in each, so two instances whose directory readings
// differ by lag still decide on a common list.
func (r Rule) Silence() time.Duration { return r.Hold + Margin }

// StallTime is the time without a change of the session row after which a holder of the coordinator unit that is not
// heard either may be replaced. Urgent work has to start within 8.7 s, also after the death of the coordinator, which
// leaves no time for Silence. It is safe to be wrong: each act of a coordinator is conditional on its unit row.
func (r Rule) StallTime() time.Duration { return min(r.Silence(), 3*time.Second) }

// othersToHold returns the number of other instances that have to hear a holder in a region of n: with itself, a strict
// majority.
func othersToHold(n int) int { return n / 2 }

// othersToLapse returns the number of other instances that have to report silence in a region of n: half, rounded up.
// Of n - 1 others, othersToHold and othersToLapse cannot both be met.
func othersToLapse(n int) int { return (n + 1) / 2 }

// regionLists holds the latest directory list of a region and those replaced less than the rule's silence ago.
type regionLists struct {
	lists []regionList
}

type regionList struct {
	members []api.InstanceID
	// replaced is the time at which a later list came; it is unset for the latest.
	replaced time.Duration
}

func (l *regionLists) set(rule Rule, members []api.InstanceID, at time.Duration) {
	sorted := slices.Sorted(slices.Values(members))
	last := len(l.lists) - 1
	if last >= 0 && slices.Equal(l.lists[last].members, sorted) {
		return
	}
	if last >= 0 {
		l.lists[last].replaced = at
	}
	l.lists = append(l.lists, regionList{members: sorted})
	l.prune(rule, at)
}

func (l *regionLists) prune(rule Rule, now time.Duration) {
	last := len(l.lists) - 1
	keep := l.lists[:0]
	for i, list := range l.lists {
		if i == last || now-list.replaced <= rule.Silence() {
			keep = append(keep, list)
		}
	}
	l.lists = keep
}

// inUse calls visit for each list in use until it returns false. It reports whether all visits returned true.
func (l *regionLists) inUse(rule Rule, now time.Duration, visit func(members []api.InstanceID) bool) bool {
	for i, list := range l.lists {
		if i < len(l.lists)-1 && now-list.replaced > rule.Silence() {
			continue
		}
		if !visit(list.members) {
			return false
		}
	}
	return true
}

// sizeWith returns the number of members, self included whether it is listed or not.
func sizeWith(members []api.InstanceID, self api.InstanceID) int {
	if slices.Contains(members, self) {
		return len(members)
	}
	return len(members) + 1
}
