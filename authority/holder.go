package authority

import (
	"slices"
	"time"

	"bronzehook/api"
)

// Holder decides whether this instance holds authority. It is not safe for concurrent use.
type Holder struct {
	rule  Rule
	self  api.InstanceID
	lists regionLists
	// heard holds, for each peer, the latest time at which this instance sent something that the peer has heard.
	heard   map[api.InstanceID]time.Duration
	renewed time.Duration
	hasRow  bool
	term    uint64
	// until is the end of the current or last term, as known so far.
	until       time.Duration
	previousEnd time.Duration
	anchored    bool
}

// NewHolder returns a holder without authority.
func NewHolder(rule Rule, self api.InstanceID) *Holder {
	return &Holder{rule: rule, self: self, heard: map[api.InstanceID]time.Duration{}}
}

// SetRegion takes a directory list of the instances of the holder's region, read at a time.
func (h *Holder) SetRegion(members []api.InstanceID, at time.Duration) {
	h.lists.set(h.rule, members, at)
	h.advance(at)
}

// RenewedAt records at time now that a session renewal started at start has succeeded.
func (h *Holder) RenewedAt(start, now time.Duration) {
	h.advance(now)
	h.renewed = max(h.renewed, start)
	h.hasRow = true
	h.advance(now)
	// A verdict of others may rest on the row of an earlier term, or on a row whose renewal took too long to confirm.
	if h.until > now && start >= h.previousEnd && start+h.rule.Hold > now {
		h.anchored = true
	}
}

// HeardBy records at time now that peer has heard something that this instance sent at sent. The time of sending is used
// because the peer's own clock says nothing here and the answer may have been delayed. The instance counts itself by
// calling HeardBy with its own ID at every heartbeat, so that the only instance of a region also lapses when paused: its
// directory list may have changed meanwhile.
func (h *Holder) HeardBy(peer api.InstanceID, sent, now time.Duration) {
	h.advance(now)
	if previous, ok := h.heard[peer]; !ok || sent > previous {
		h.heard[peer] = sent
	}
	h.advance(now)
}

// Valid reports whether the instance holds authority.
func (h *Holder) Valid(now time.Duration) bool {
	h.advance(now)
	return now < h.until
}

// Until returns the time at which authority ends unless it is confirmed again.
func (h *Holder) Until(now time.Duration) time.Duration {
	h.advance(now)
	return h.until
}

// Term returns the number of the current or last term; 0 means that authority was never held.
func (h *Holder) Term(now time.Duration) uint64 {
	h.advance(now)
	return h.term
}

// Anchored reports whether a session renewal has succeeded in the current term. Only then does what is read from the
// table show every claim that others made on the ground of an earlier term.
func (h *Holder) Anchored(now time.Duration) bool { return h.Valid(now) && h.anchored }

// advance extends the current term, or begins another one if the term had ended before this confirmation was known. A
// replaced directory list may also end the term early.
func (h *Holder) advance(now time.Duration) {
	until := h.confirmedUntil(now)
	if now >= until {
		h.until = min(h.until, now)
		return
	}
	if now >= h.until {
		h.term++
		h.previousEnd = h.until
		h.anchored = false
	}
	h.until = until
}

func (h *Holder) confirmedUntil(now time.Duration) time.Duration {
	until := time.Duration(0)
	if h.hasRow {
		until = h.renewed + h.rule.Hold
	}
	if at, ok := h.majorityAt(now); ok {
		until = max(until, at+h.rule.Hold)
	}
	return until
}

// majorityAt returns the latest time at which a strict majority of each list in use had heard this instance.
func (h *Holder) majorityAt(now time.Duration) (time.Duration, bool) {
	if len(h.lists.lists) == 0 {
		return 0, false
	}
	at := now
	ok := h.lists.inUse(h.rule, now, func(members []api.InstanceID) bool {
		// Without any listed instance of the region, others may claim its units.
		if len(members) == 0 {
			return false
		}
		one, ok := h.majorityOf(members)
		at = min(at, one)
		return ok
	})
	return at, ok
}

func (h *Holder) majorityOf(members []api.InstanceID) (time.Duration, bool) {
	needed := othersToHold(sizeWith(members, h.self)) + 1
	var times []time.Duration
	if at, ok := h.heard[h.self]; ok {
		times = append(times, at)
	}
	for _, id := range members {
		if at, ok := h.heard[id]; ok && id != h.self {
			times = append(times, at)
		}
	}
	if len(times) < needed {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-needed], true
}
