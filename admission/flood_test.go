package admission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bronzehook/api"
)

// The model has a fixed number of slots, exponentially distributed service times, Poisson arrivals per urgency and the
// same time to the deadline for each request.
const (
	modelSlots           = 64
	modelMeanServiceTime = 10 * time.Millisecond
	modelDeadline        = time.Second
	modelDuration        = 8 * time.Second
	modelWarmUp          = 2 * time.Second
	modelSeed            = 7
)

// modelRequestRate is the capacity: the number of requests per second that the slots can serve.
var modelRequestRate = modelSlots / modelMeanServiceTime.Seconds()

type event struct {
	at         time.Time
	ticket     *Ticket
	completion bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelAdmitter is implemented by the core and the baseline. takeGrants returns the tickets granted since its last call.
type modelAdmitter interface {
	offer(now time.Time, t *Ticket)
	release(now time.Time, t *Ticket)
	takeGrants() []*Ticket
}

// fifoAdmitter is the baseline: one first-in-first-out queue without predictions. Its bound is that of one urgency's queue
// in the core, because no request would be answered in time in these floods if the queue were unbounded.
type fifoAdmitter struct {
	inUse   int
	waiting []*Ticket
	granted []*Ticket
}

func (f *fifoAdmitter) offer(_ time.Time, t *Ticket) {
	if len(f.waiting) < DefaultConfig().MaxQueue {
		f.waiting = append(f.waiting, t)
	}
	f.grantWaiting()
}

func (f *fifoAdmitter) release(time.Time, *Ticket) {
	f.inUse--
	f.grantWaiting()
}

func (f *fifoAdmitter) grantWaiting() {
	for f.inUse < modelSlots && len(f.waiting) > 0 {
		f.granted = append(f.granted, f.waiting[0])
		f.waiting = f.waiting[1:]
		f.inUse++
	}
}

func (f *fifoAdmitter) takeGrants() []*Ticket {
	granted := f.granted
	f.granted = nil
	return granted
}

// coreAdmitter passes calls to the core and checks that no slot is idle while a ticket waits.
type coreAdmitter struct {
	t       *testing.T
	core    *Core
	waiting [api.UrgencyCount][]*Ticket
	granted []*Ticket
}

func (s *coreAdmitter) offer(now time.Time, ticket *Ticket) {
	s.core.Submit(now, ticket)
	switch ticket.state {
	case stateGranted:
		s.granted = append(s.granted, ticket)
	case stateWaiting:
		s.waiting[ticket.Urgency] = append(s.waiting[ticket.Urgency], ticket)
	}
}

func (s *coreAdmitter) release(now time.Time, ticket *Ticket) { s.core.Release(now, ticket, true) }

func (s *coreAdmitter) takeGrants() []*Ticket {
	granted := s.granted
	s.granted = nil
	for u, waiting := range s.waiting {
		for len(waiting) > 0 && waiting[0].state != stateWaiting {
			if waiting[0].state == stateGranted {
				granted = append(granted, waiting[0])
			}
			waiting = waiting[1:]
		}
		s.waiting[u] = waiting
		if s.core.InUse() < modelSlots && len(waiting) > 0 {
			s.t.Error("a slot is idle while a request waits")
		}
	}
	return granted
}

// offeredLoad is the offered load of each urgency as a fraction of the capacity.
type offeredLoad [api.UrgencyCount]float64

// withFloodOf returns the load with ten times as many requests of one urgency.
func (l offeredLoad) withFloodOf(u api.Urgency) offeredLoad {
	l[u] *= 10
	return l
}

type results struct {
	// inTimeShare is the number of requests answered before their deadlines as a fraction of the capacity.
	inTimeShare [api.UrgencyCount]float64
	p99         [api.UrgencyCount]time.Duration
}

func simulate(s modelAdmitter, offered offeredLoad) results {
	random := rand.New(rand.NewPCG(modelSeed, 1))
	start := time.Unix(0, 0)
	var pending events
	for u, fraction := range offered {
		interval := 1 / (fraction * modelRequestRate)
		for at := start; at.Sub(start) < modelDuration; {
			at = at.Add(secondsToDuration(random.ExpFloat64() * interval))
			pending = append(pending, event{at: at, ticket: &Ticket{Urgency: api.Urgency(u), Service: "s", Deadline: at.Add(modelDeadline)}})
		}
	}
	heap.Init(&pending)
	arrivals := map[*Ticket]time.Time{}
	var latencies [api.UrgencyCount][]time.Duration
	for pending.Len() > 0 {
		e := heap.Pop(&pending).(event)
		if e.completion {
			s.release(e.at, e.ticket)
			if e.at.Before(e.ticket.Deadline) && e.at.Sub(start) > modelWarmUp && e.at.Sub(start) < modelDuration {
				latencies[e.ticket.Urgency] = append(latencies[e.ticket.Urgency], e.at.Sub(arrivals[e.ticket]))
			}
		} else {
			arrivals[e.ticket] = e.at
			s.offer(e.at, e.ticket)
		}
		for _, t := range s.takeGrants() {
			heap.Push(&pending, event{at: e.at.Add(secondsToDuration(random.ExpFloat64() * modelMeanServiceTime.Seconds())), ticket: t, completion: true})
		}
	}
	var r results
	for u, samples := range latencies {
		slices.Sort(samples)
		r.inTimeShare[u] = float64(len(samples)) / (modelRequestRate * (modelDuration - modelWarmUp).Seconds())
		if len(samples) > 0 {
			r.p99[u] = samples[len(samples)*99/100]
		}
	}
	return r
}

var modelGuaranteedShares = api.Floors{10, 15, 15, 30}

func simulateCore(t *testing.T, offered offeredLoad) results {
	return simulate(&coreAdmitter{t: t, core: NewCore(DefaultConfig(), modelSlots, modelGuaranteedShares)}, offered)
}

// Guards against a flood of low-urgency requests that slows down or displaces critical ones. The bounds are the project's
// targets: at least 95% of the throughput and at most 1.5 times the p99 latency without the flood.
func TestLowFloodDoesNotSlowCritical(t *testing.T) {
	unflooded := offeredLoad{0.3, 0.1, 0.1, 0.4}
	flooded := unflooded.withFloodOf(api.Low)
	before, after := simulateCore(t, unflooded), simulateCore(t, flooded)
	fifoBefore, fifoAfter := simulate(&fifoAdmitter{}, unflooded), simulate(&fifoAdmitter{}, flooded)
	throughput := after.inTimeShare[api.Critical] / before.inTimeShare[api.Critical]
	p99Growth := float64(after.p99[api.Critical]) / float64(before.p99[api.Critical])
	t.Logf("admission: critical keeps %.1f%% of its throughput, p99 %v -> %v (%.2f times)",
		100*throughput, before.p99[api.Critical], after.p99[api.Critical], p99Growth)
	t.Logf("first in, first out: critical keeps %.1f%% of its throughput, p99 %v -> %v",
		100*fifoAfter.inTimeShare[api.Critical]/fifoBefore.inTimeShare[api.Critical], fifoBefore.p99[api.Critical], fifoAfter.p99[api.Critical])
	if throughput < 0.95 {
		t.Errorf("critical keeps %.3f of its throughput, want at least 0.95", throughput)
	}
	if p99Growth > 1.5 {
		t.Errorf("critical p99 grows %.2f times, want at most 1.5", p99Growth)
	}
}

// Guards against a flood of critical requests that takes the guaranteed shares of the other urgencies. An urgency whose
// load is at least its guaranteed share must get that share to within 2% of the capacity.
func TestCriticalFloodKeepsGuaranteedShares(t *testing.T) {
	unflooded := offeredLoad{0.2, 0.2, 0.2, 0.3}
	flooded := unflooded.withFloodOf(api.Critical)
	after, fifo := simulateCore(t, flooded), simulate(&fifoAdmitter{}, flooded)
	total := 0.0
	for u := api.Low; u <= api.Critical; u++ {
		guaranteed := modelGuaranteedShares[u] / 100
		t.Logf("%s: guaranteed share %.1f%%, with admission %.1f%%, first in, first out %.1f%% of the capacity",
			u, 100*guaranteed, 100*after.inTimeShare[u], 100*fifo.inTimeShare[u])
		if after.inTimeShare[u] < guaranteed-0.02 {
			t.Errorf("%s got %.3f of the capacity, its guaranteed share is %.3f", u, after.inTimeShare[u], guaranteed)
		}
		total += after.inTimeShare[u]
	}
	if total < 0.95 {
		t.Errorf("only %.3f of the capacity answered in time, want at least 0.95", total)
	}
}
