package authority

import (
	"testing"
	"time"

	"bronzehook/api"
)

// Guards against the two majorities overlapping for any size of region.
func TestMajoritiesExclude(t *testing.T) {
	for n := 1; n <= 100; n++ {
		if othersToHold(n)+othersToLapse(n) <= n-1 {
			t.Errorf("region of %d: both %d others can hear and %d not hear", n, othersToHold(n), othersToLapse(n))
		}
	}
}

// Guards against a restarted instance reporting silence that it did not witness.
func TestLedgerCountsFromItsStart(t *testing.T) {
	if age := NewLedger(10*time.Second).Age("x", 12*time.Second); age != 2*time.Second {
		t.Errorf("age of an instance that was never heard = %s, want the time since the start", age)
	}
}

// Guards against a region cut or a store outage ending authority, and against a dead instance that never lapses.
func TestHolderAndObserverCases(t *testing.T) {
	region := []api.InstanceID{"a", "b", "c"}
	h := NewHolder(testRule, "a")
	h.SetRegion(region, 0)
	h.HeardBy("a", 11*time.Second, 11*time.Second)
	h.HeardBy("b", 10*time.Second, 11*time.Second)
	if !h.Valid(14*time.Second) || h.Valid(15*time.Second) {
		t.Error("authority from a majority must last for Hold after the heartbeat was sent")
	}
	h.RenewedAt(20*time.Second, 21*time.Second)
	if !h.Anchored(21*time.Second) || h.Term(21*time.Second) != 2 {
		t.Error("a renewal after a lapse must begin an anchored second term")
	}
	o := NewObserver(testRule)
	o.SetRegion("r", region, 0)
	o.SessionSeen("a", 1, 0, 0)
	o.SessionSeen("a", 1, 7*time.Second, 7*time.Second)
	o.NotHeardReport("b", "a", 0, 7*time.Second)
	if o.Lapsed("a", "r", 7*time.Second) {
		t.Error("one report of two needed must not lapse an instance")
	}
	o.NotHeardReport("c", "a", 0, 7*time.Second)
	if !o.Lapsed("a", "r", 7*time.Second) {
		t.Error("a silent instance must lapse")
	}
	o.SetRegion("r", nil, 8*time.Second)
	o.SessionSeen("b", 1, 8*time.Second, 8*time.Second)
	o.SessionSeen("b", 1, 15*time.Second, 15*time.Second)
	if !o.Lapsed("b", "r", 15*time.Second) {
		t.Error("an instance of a region that the directory dropped must lapse without reports")
	}
}

// Guards against a changed directory list letting a holder and an observer with the previous list both have a majority.
func TestReplacedListsStayInUse(t *testing.T) {
	h := NewHolder(testRule, "a")
	h.SetRegion([]api.InstanceID{"a", "b", "c", "d", "e"}, 0)
	h.SetRegion([]api.InstanceID{"a", "b", "c"}, time.Second)
	now := time.Second + testRule.Silence()
	h.HeardBy("a", now, now)
	h.HeardBy("b", now, now)
	if h.Valid(now) {
		t.Error("a majority of the new list alone must not give authority while the old list is in use")
	}
	if later := now + time.Millisecond; !h.Valid(later) {
		t.Error("the old list must go out of use")
	}
}

// Guards against trusting table rows that were read after a renewal which others may have overtaken.
func TestRenewalOfEarlierTermDoesNotAnchor(t *testing.T) {
	h := NewHolder(testRule, "a")
	h.SetRegion([]api.InstanceID{"a", "b", "c"}, 0)
	h.RenewedAt(0, 0)
	h.HeardBy("a", 6*time.Second, 6*time.Second)
	h.HeardBy("b", 6*time.Second, 6*time.Second)
	h.RenewedAt(4*time.Second, 7*time.Second)
	if h.Term(7*time.Second) != 2 || h.Anchored(7*time.Second) {
		t.Error("a renewal begun in the first term must not anchor the second")
	}
	h.RenewedAt(8*time.Second, 8*time.Second)
	if !h.Anchored(8 * time.Second) {
		t.Error("a renewal begun in the second term must anchor it")
	}
}
