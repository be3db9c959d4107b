package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

// Guards against more requests in flight to a worker than it has slots while requests of an earlier owner are in flight.
func TestSlotsOfAnEarlierOwnerAreDeducted(t *testing.T) {
	const slots, inherited, requests = 8, 3, 1000
	table := NewSlotTable()
	table.SetCapacity("w1", slots, 64, inherited)
	endpoint := api.Endpoint{Worker: "w1", Task: "s.0"}
	var inFlight, peak atomic.Int64
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			release, err := table.Acquire(t.Context(), endpoint)
			if err != nil {
				t.Error(err)
				return
			}
			count := inFlight.Add(1)
			for seen := peak.Load(); count > seen && !peak.CompareAndSwap(seen, count); seen = peak.Load() {
			}
			time.Sleep(50 * time.Microsecond)
			inFlight.Add(-1)
			release()
			release()
		})
	}
	wg.Wait()
	if got := peak.Load(); got != slots-inherited {
		t.Errorf("%d requests in flight at one time, want %d", got, slots-inherited)
	}
	if got := table.InUse("w1"); got != 0 {
		t.Errorf("%d slots in use after all requests", got)
	}
}

// Guards against requests that wait for ever or are sent after this instance has lost the worker's rack.
func TestRemovedWorkerRefusesWaitingRequests(t *testing.T) {
	table := NewSlotTable()
	table.SetCapacity("w1", 1, 64, 0)
	endpoint := api.Endpoint{Worker: "w1", Task: "s.0"}
	if _, err := table.Acquire(t.Context(), endpoint); err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		_, err := table.Acquire(context.Background(), endpoint)
		result <- err
	}()
	time.Sleep(10 * time.Millisecond)
	table.Remove("w1")
	if err := <-result; !fault.Is(err, fault.CodeNotOwner) || fault.OutcomeOf(err) != api.NotRun {
		t.Errorf("waiting request: %v, want not-run with %s", err, fault.CodeNotOwner)
	}
	table.SetCapacity("w1", 1, 64, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := table.Acquire(ctx, endpoint); !fault.Is(err, fault.CodeNoCapacity) {
		t.Errorf("a slot was allocated twice after the worker was added again: %v", err)
	}
}
