package admission

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/fault"
)

var now = time.Unix(1000, 0)

func ticket(u api.Urgency, deadline time.Duration) *Ticket {
	return &Ticket{Urgency: u, Service: "s", Deadline: now.Add(deadline)}
}

// trained returns a core whose service takes the given time.
func trained(capacity int, service time.Duration) *Core {
	c := NewCore(DefaultConfig(), capacity, api.Floors{})
	for range 200 {
		c.times.observe("s", now, service)
	}
	return c
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name     string
		queued   int
		deadline time.Duration
		want     fault.Code
	}{
		{"a request must not run if its service takes longer than its caller waits", 0, 50 * time.Millisecond, fault.CodeInfeasible},
		{"a request must not wait if the queue alone takes longer than its caller waits", 4, 450 * time.Millisecond, fault.CodeInfeasible},
		{"a queue must not grow beyond its bounded waiting, however patient the callers are", 20, time.Minute, fault.CodeOverloaded},
		{"a feasible request must not be refused", 4, time.Second, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := trained(1, 100*time.Millisecond)
			if tc.queued > 0 {
				c.Offer(now, ticket(api.Normal, time.Minute))
			}
			for range tc.queued {
				if refusal := c.Offer(now, ticket(api.Normal, time.Minute)); refusal != nil {
					t.Fatal(refusal)
				}
			}
			last := ticket(api.Normal, tc.deadline)
			refusal := c.Offer(now, last)
			switch {
			case tc.want == "" && refusal != nil:
				t.Errorf("refused: %v", refusal)
			case tc.want != "" && (refusal == nil || refusal.FailureCode != tc.want || refusal.Retry <= 0):
				t.Errorf("refusal = %v, want code %s with a retry delay", refusal, tc.want)
			}
		})
	}
}

// Guards against a service being refused for ever after one slow spell.
func TestInfeasibleServiceIsProbed(t *testing.T) {
	c := trained(1, time.Second)
	if c.Offer(now, ticket(api.High, 100*time.Millisecond)) == nil {
		t.Fatal("an infeasible request was granted")
	}
	later := now.Add(probeInterval)
	probe := &Ticket{Urgency: api.High, Service: "s", Deadline: later.Add(100 * time.Millisecond)}
	if refusal := c.Offer(later, probe); refusal != nil {
		t.Fatalf("no probe: %v", refusal)
	}
	c.Release(later, probe, true)
	second := &Ticket{Urgency: api.High, Service: "s", Deadline: later.Add(100 * time.Millisecond)}
	if c.Offer(later, second) == nil {
		t.Error("a second probe was granted within the interval")
	}
}

// Guards against a slot leaking or being given twice when callers give up while they wait.
func TestControllerUnderCancellation(t *testing.T) {
	const capacity = 4
	c := NewController(clockwork.NewRealClock(), DefaultConfig(), capacity, api.Floors{})
	var running, most int
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range 400 {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i%7)*time.Millisecond)
			defer cancel()
			grant, err := c.Admit(ctx, Request{Urgency: api.Urgency(i % api.UrgencyCount), Service: "s"})
			if err != nil {
				if fault.OutcomeOf(err) != api.NotRun {
					t.Errorf("refused with outcome %s", fault.OutcomeOf(err))
				}
				return
			}
			mu.Lock()
			running++
			most = max(most, running)
			mu.Unlock()
			time.Sleep(100 * time.Microsecond)
			mu.Lock()
			running--
			mu.Unlock()
			grant.Done(true)
		})
	}
	wait.Wait()
	if most > capacity {
		t.Errorf("%d requests ran at once, capacity is %d", most, capacity)
	}
	if inUse := c.core.InUse(); inUse != 0 {
		t.Errorf("%d slots leaked", inUse)
	}
}

// Guards against a team getting its whole rate on each of several instances.
func TestQuotaIsDividedOverInstances(t *testing.T) {
	q := NewQuotas()
	q.Set(map[string]api.Team{"a": {Name: "a", RequestsPerSecond: 100}}, 4)
	passed := 0
	var last error
	for i := range 1000 {
		if err := q.Take("a", now.Add(time.Duration(i)*10*time.Millisecond)); err == nil {
			passed++
		} else {
			last = err
		}
	}
	if passed < 245 || passed > 265 {
		t.Errorf("%d requests in 10 s passed, want 25 per second and the burst", passed)
	}
	if !fault.Is(last, fault.CodeQuota) || fault.OutcomeOf(last) != api.NotRun || fault.Describe(last).RetryAfter <= 0 {
		t.Errorf("refusal %v, want a quota failure that is not-run with a retry delay", last)
	}
	if q.Take("unbounded", now) != nil {
		t.Error("a team without a rate was refused")
	}
}

// Guards against retries adding more than a tenth to the load when everything fails.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	config := DefaultRetryConfig()
	b := NewRetryBudget(config, now)
	retries := 0
	for range 1000 {
		b.Earn()
		for range 3 {
			if b.Take(now) {
				retries++
			}
		}
	}
	if limit := int(config.Burst + 1000*config.Ratio); retries > limit || retries < limit-2 {
		t.Errorf("%d retries for 1000 requests, want %d", retries, limit)
	}
}

// Guards against an urgency that starves in a flood of more urgent requests because its own take several times as long.
func TestFloorHoldsForSlowRequests(t *testing.T) {
	const (
		capacity    = 8
		floor       = 10
		fast        = 10 * time.Millisecond
		slowFactor  = 4
		length      = 10 * time.Second
		maxWaiting  = 2 * capacity
		minFloorPut = 0.98
	)
	config := DefaultConfig()
	core := NewCore(config, capacity, api.Floors{api.Low: floor})
	now := time.Unix(0, 0)
	end := now.Add(length)
	deadline := end.Add(time.Hour)
	took := map[string]time.Duration{"fast": fast, "slow": slowFactor * fast}
	var tickets []*Ticket
	offer := func(service string, u api.Urgency) {
		for core.Waiting(u) < maxWaiting {
			ticket := &Ticket{Urgency: u, Service: service, Deadline: deadline}
			if core.Offer(now, ticket) != nil {
				return
			}
			tickets = append(tickets, ticket)
		}
	}
	given := time.Duration(0)
	for ; now.Before(end); now = now.Add(time.Millisecond) {
		offer("slow", api.Low)
		offer("fast", api.Critical)
		kept := tickets[:0]
		for _, ticket := range tickets {
			if ticket.state != stateGranted || now.Sub(ticket.granted) < took[ticket.Service] {
				kept = append(kept, ticket)
				continue
			}
			core.Release(now, ticket, true)
			if ticket.Urgency == api.Low {
				given += took[ticket.Service]
			}
		}
		tickets = kept
	}
	promised := capacity * length * floor / 100
	if share := given.Seconds() / promised.Seconds(); share < minFloorPut {
		t.Errorf("slow requests got %.3f of their floor, want at least %.2f", share, minFloorPut)
	}
}
