package authority

import (
	"testing"
	"time"

	"bronzehook/api"
)

// Guards against a region size for which a lease can be confirmed and decided to be expired at the same time.
func TestQuorumsExcludeEachOther(t *testing.T) {
	for n := 1; n <= 100; n++ {
		if confirmationsRequired(n)+reportsRequired(n) <= n-1 {
			t.Errorf("region of %d: %d others can confirm the lease while %d report the instance unresponsive",
				n, confirmationsRequired(n), reportsRequired(n))
		}
	}
}

// Guards against a restarted instance that reports others as unresponsive for a time before its own start.
func TestHeartbeatAgeCountsFromStart(t *testing.T) {
	if age := NewHeartbeatTracker(10*time.Second).Age("x", 12*time.Second); age != 2*time.Second {
		t.Errorf("age of an instance without a heartbeat = %s, want the time since the start", age)
	}
}

// Guards against a region's network partition or a store outage ending a lease, and against a crashed instance whose
// lease never expires.
func TestLeaseAndObserverCases(t *testing.T) {
	region := []api.InstanceID{"a", "b", "c"}
	lease := NewLease(testRule, "a")
	lease.SetRegion(region, 0)
	lease.ConfirmedBy("a", 11*time.Second, 11*time.Second)
	lease.ConfirmedBy("b", 10*time.Second, 11*time.Second)
	if !lease.Valid(14*time.Second) || lease.Valid(15*time.Second) {
		t.Error("a lease confirmed by a majority must last for the lease duration after the heartbeat was sent")
	}
	lease.RecordRenewal(20*time.Second, 21*time.Second)
	if !lease.RenewedInPeriod(21*time.Second) || lease.Period(21*time.Second) != 2 {
		t.Error("a renewal after the expiry must start a second lease period, with the row renewed in it")
	}
	observer := NewObserver(testRule)
	observer.SetRegion("r", region, 0)
	observer.RecordSessionRow("a", 1, 0, 0)
	observer.RecordSessionRow("a", 1, 7*time.Second, 7*time.Second)
	observer.RecordUnresponsiveReport("b", "a", 0, 7*time.Second)
	if observer.Expired("a", "r", 7*time.Second) {
		t.Error("one report of two required must not make a lease expire")
	}
	observer.RecordUnresponsiveReport("c", "a", 0, 7*time.Second)
	if !observer.Expired("a", "r", 7*time.Second) {
		t.Error("the lease of an unresponsive instance must expire")
	}
	observer.SetRegion("r", nil, 8*time.Second)
	observer.RecordSessionRow("b", 1, 8*time.Second, 8*time.Second)
	observer.RecordSessionRow("b", 1, 15*time.Second, 15*time.Second)
	if !observer.Expired("b", "r", 15*time.Second) {
		t.Error("the lease of an instance in a region without listed instances must expire without reports")
	}
}

// Guards against a changed directory list that gives a quorum to a leaseholder and to an observer with the previous list.
func TestReplacedListsStayInUse(t *testing.T) {
	lease := NewLease(testRule, "a")
	lease.SetRegion([]api.InstanceID{"a", "b", "c", "d", "e"}, 0)
	lease.SetRegion([]api.InstanceID{"a", "b", "c"}, time.Second)
	now := time.Second + testRule.ExpiryDelay()
	lease.ConfirmedBy("a", now, now)
	lease.ConfirmedBy("b", now, now)
	if lease.Valid(now) {
		t.Error("a majority of the new list alone must not make the lease valid while the old list is in use")
	}
	if later := now + time.Millisecond; !lease.Valid(later) {
		t.Error("the old list must not stay in use after the expiry delay")
	}
}

// Guards against using table rows read after a renewal that began in an earlier lease period: others may have acquired
// units since it began.
func TestRenewalOfEarlierPeriodDoesNotCount(t *testing.T) {
	lease := NewLease(testRule, "a")
	lease.SetRegion([]api.InstanceID{"a", "b", "c"}, 0)
	lease.RecordRenewal(0, 0)
	lease.ConfirmedBy("a", 6*time.Second, 6*time.Second)
	lease.ConfirmedBy("b", 6*time.Second, 6*time.Second)
	lease.RecordRenewal(4*time.Second, 7*time.Second)
	if lease.Period(7*time.Second) != 2 || lease.RenewedInPeriod(7*time.Second) {
		t.Error("a renewal begun in the first lease period must not count for the second")
	}
	lease.RecordRenewal(8*time.Second, 8*time.Second)
	if !lease.RenewedInPeriod(8 * time.Second) {
		t.Error("a renewal begun in the second lease period must count for it")
	}
}
