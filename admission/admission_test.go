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

func newTicket(u api.Urgency, deadline time.Duration) *Ticket {
	return &Ticket{Urgency: u, Service: "s", Deadline: now.Add(deadline)}
}

// newCoreWithServiceTime returns a core whose estimate for service "s" is the given service time.
func newCoreWithServiceTime(capacity int, service time.Duration) *Core {
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
		{"a request must not run if its service time exceeds the time to its deadline", 0, 50 * time.Millisecond, fault.CodeInfeasible},
		{"a request must not wait if the queue wait alone exceeds the time to its deadline", 4, 450 * time.Millisecond, fault.CodeInfeasible},
		{"a queue must not grow beyond its maximum wait, even if deadlines are far away", 20, time.Minute, fault.CodeOverloaded},
		{"a feasible request must not be refused", 4, time.Second, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCoreWithServiceTime(1, 100*time.Millisecond)
			if tc.queued > 0 {
				c.Submit(now, newTicket(api.Normal, time.Minute))
			}
			for range tc.queued {
				if refusal := c.Submit(now, newTicket(api.Normal, time.Minute)); refusal != nil {
					t.Fatal(refusal)
				}
			}
			last := newTicket(api.Normal, tc.deadline)
			refusal := c.Submit(now, last)
			switch {
			case tc.want == "" && refusal != nil:
				t.Errorf("refused: %v", refusal)
			case tc.want != "" && (refusal == nil || refusal.FailureCode != tc.want || refusal.Retry <= 0):
				t.Errorf("refusal = %v, want code %s with a retry delay", refusal, tc.want)
			}
		})
	}
}

// Guards against a service being refused for ever after one slow period, because a refused request yields no new
// estimate.
func TestInfeasibleServiceIsProbed(t *testing.T) {
	c := newCoreWithServiceTime(1, time.Second)
	if c.Submit(now, newTicket(api.High, 100*time.Millisecond)) == nil {
		t.Fatal("an infeasible request was granted")
	}
	later := now.Add(probeInterval)
	probe := &Ticket{Urgency: api.High, Service: "s", Deadline: later.Add(100 * time.Millisecond)}
	if refusal := c.Submit(later, probe); refusal != nil {
		t.Fatalf("probe refused: %v", refusal)
	}
	c.Release(later, probe, true)
	second := &Ticket{Urgency: api.High, Service: "s", Deadline: later.Add(100 * time.Millisecond)}
	if c.Submit(later, second) == nil {
		t.Error("a second probe was granted within the interval")
	}
}

// Guards against a slot that leaks or is granted twice when callers give up while they wait.
func TestControllerUnderCancellation(t *testing.T) {
	const capacity = 4
	c := NewController(clockwork.NewRealClock(), DefaultConfig(), capacity, api.Floors{})
	var running, maxRunning int
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 400 {
		wg.Go(func() {
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
			maxRunning = max(maxRunning, running)
			mu.Unlock()
			time.Sleep(100 * time.Microsecond)
			mu.Lock()
			running--
			mu.Unlock()
			grant.Done(true)
		})
	}
	wg.Wait()
	if maxRunning > capacity {
		t.Errorf("%d requests ran concurrently, capacity is %d", maxRunning, capacity)
	}
	if inUse := c.core.InUse(); inUse != 0 {
		t.Errorf("%d slots leaked", inUse)
	}
}

// Guards against a team being allowed its full rate on each of several instances.
func TestQuotaIsDividedOverInstances(t *testing.T) {
	q := NewQuotas()
	q.Set(map[string]api.Team{"a": {Name: "a", RequestsPerSecond: 100}}, 4)
	allowed := 0
	var last error
	for i := range 1000 {
		if err := q.Allow("a", now.Add(time.Duration(i)*10*time.Millisecond)); err == nil {
			allowed++
		} else {
			last = err
		}
	}
	if allowed < 245 || allowed > 265 {
		t.Errorf("%d requests allowed in 10 s, want 25 per second and the burst", allowed)
	}
	if !fault.Is(last, fault.CodeQuota) || fault.OutcomeOf(last) != api.NotRun || fault.Describe(last).RetryAfter <= 0 {
		t.Errorf("error %v, want a quota error with the outcome not-run and a retry delay", last)
	}
	if q.Allow("unbounded", now) != nil {
		t.Error("a team without a rate was refused")
	}
}

// Guards against retries that add more than a tenth to the load when every request fails.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	config := DefaultRetryConfig()
	b := NewRetryBudget(config, now)
	retries := 0
	for range 1000 {
		b.Deposit()
		for range 3 {
			if b.TryWithdraw(now) {
				retries++
			}
		}
	}
	if limit := int(config.Burst + 1000*config.Ratio); retries > limit || retries < limit-2 {
		t.Errorf("%d retries for 1000 requests, want %d", retries, limit)
	}
}

// Guards against an urgency that starves in a flood of more urgent requests because its own requests take several times
// as long as those.
func TestGuaranteedShareOfSlowRequests(t *testing.T) {
	const (
		capacity          = 8
		guaranteedPercent = 10
		fastServiceTime   = 10 * time.Millisecond
		slowFactor        = 4
		duration          = 10 * time.Second
		maxWaiting        = 2 * capacity
		minShareRatio     = 0.98
	)
	config := DefaultConfig()
	core := NewCore(config, capacity, api.Floors{api.Low: guaranteedPercent})
	now := time.Unix(0, 0)
	end := now.Add(duration)
	deadline := end.Add(time.Hour)
	serviceTimes := map[string]time.Duration{"fast": fastServiceTime, "slow": slowFactor * fastServiceTime}
	var tickets []*Ticket
	offer := func(service string, u api.Urgency) {
		for core.Waiting(u) < maxWaiting {
			ticket := &Ticket{Urgency: u, Service: service, Deadline: deadline}
			if core.Submit(now, ticket) != nil {
				return
			}
			tickets = append(tickets, ticket)
		}
	}
	servedTime := time.Duration(0)
	for ; now.Before(end); now = now.Add(time.Millisecond) {
		offer("slow", api.Low)
		offer("fast", api.Critical)
		remaining := tickets[:0]
		for _, ticket := range tickets {
			if ticket.state != stateGranted || now.Sub(ticket.granted) < serviceTimes[ticket.Service] {
				remaining = append(remaining, ticket)
				continue
			}
			core.Release(now, ticket, true)
			if ticket.Urgency == api.Low {
				servedTime += serviceTimes[ticket.Service]
			}
		}
		tickets = remaining
	}
	guaranteedTime := capacity * duration * guaranteedPercent / 100
	if ratio := servedTime.Seconds() / guaranteedTime.Seconds(); ratio < minShareRatio {
		t.Errorf("slow requests got %.3f of their guaranteed share, want at least %.2f", ratio, minShareRatio)
	}
}
