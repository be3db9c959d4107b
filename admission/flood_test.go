package admission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bronzehook/api"
)

// The model: slots with exponential service times, Poisson arrivals per urgency and a deadline for each caller.
const (
	modelSlots    = 64
	modelService  = 10 * time.Millisecond
	modelDeadline = time.Second
	modelLength   = 8 * time.Second
	modelWarmUp   = 2 * time.Second
	modelSeed     = 7
)

// modelCapacity is the number of requests per second that the slots serve.
var modelCapacity = modelSlots / modelService.Seconds()

type event struct {
	at     time.Time
	ticket *Ticket
	ends   bool
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

// scheduler is what the model drives: the core or the baseline. grants returns the tickets granted since the last call.
type scheduler interface {
	offer(now time.Time, t *Ticket)
	release(now time.Time, t *Ticket)
	grants() []*Ticket
}

// fifo is the baseline: one bounded queue in order of arrival, no prediction. The bound is the core's for one urgency; an
// unbounded queue answers nothing in time in these floods.
type fifo struct {
	inUse   int
	waiting []*Ticket
	granted []*Ticket
}

func (f *fifo) offer(_ time.Time, t *Ticket) {
	if len(f.waiting) < DefaultConfig().MaxQueue {
		f.waiting = append(f.waiting, t)
	}
	f.settle()
}

func (f *fifo) release(time.Time, *Ticket) {
	f.inUse--
	f.settle()
}

func (f *fifo) settle() {
	for f.inUse < modelSlots && len(f.waiting) > 0 {
		f.granted = append(f.granted, f.waiting[0])
		f.waiting = f.waiting[1:]
		f.inUse++
	}
}

func (f *fifo) grants() []*Ticket {
	granted := f.granted
	f.granted = nil
	return granted
}

// coreScheduler drives the core and checks that no slot is idle while a ticket waits.
type coreScheduler struct {
	t       *testing.T
	core    *Core
	waiting [api.UrgencyCount][]*Ticket
	granted []*Ticket
}

func (s *coreScheduler) offer(now time.Time, ticket *Ticket) {
	s.core.Offer(now, ticket)
	switch ticket.state {
	case stateGranted:
		s.granted = append(s.granted, ticket)
	case stateWaiting:
		s.waiting[ticket.Urgency] = append(s.waiting[ticket.Urgency], ticket)
	}
}

func (s *coreScheduler) release(now time.Time, ticket *Ticket) { s.core.Release(now, ticket, true) }

func (s *coreScheduler) grants() []*Ticket {
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

// load is the offered load of each urgency as a part of the capacity.
type load [api.UrgencyCount]float64

func (l load) flood(u api.Urgency) load {
	l[u] *= 10
	return l
}

type figures struct {
	// share is the part of the capacity that was answered in time.
	share [api.UrgencyCount]float64
	p99   [api.UrgencyCount]time.Duration
}

func simulate(s scheduler, offered load) figures {
	random := rand.New(rand.NewPCG(modelSeed, 1))
	start := time.Unix(0, 0)
	var pending events
	for u, part := range offered {
		interval := 1 / (part * modelCapacity)
		for at := start; at.Sub(start) < modelLength; {
			at = at.Add(seconds(random.ExpFloat64() * interval))
			pending = append(pending, event{at: at, ticket: &Ticket{Urgency: api.Urgency(u), Service: "s", Deadline: at.Add(modelDeadline)}})
		}
	}
	heap.Init(&pending)
	arrivals := map[*Ticket]time.Time{}
	var answers [api.UrgencyCount][]time.Duration
	for pending.Len() > 0 {
		e := heap.Pop(&pending).(event)
		if e.ends {
			s.release(e.at, e.ticket)
			if e.at.Before(e.ticket.Deadline) && e.at.Sub(start) > modelWarmUp && e.at.Sub(start) < modelLength {
				answers[e.ticket.Urgency] = append(answers[e.ticket.Urgency], e.at.Sub(arrivals[e.ticket]))
			}
		} else {
			arrivals[e.ticket] = e.at
			s.offer(e.at, e.ticket)
		}
		for _, t := range s.grants() {
			heap.Push(&pending, event{at: e.at.Add(seconds(random.ExpFloat64() * modelService.Seconds())), ticket: t, ends: true})
		}
	}
	var f figures
	for u, times := range answers {
		slices.Sort(times)
		f.share[u] = float64(len(times)) / (modelCapacity * (modelLength - modelWarmUp).Seconds())
		if len(times) > 0 {
			f.p99[u] = times[len(times)*99/100]
		}
	}
	return f
}

var modelFloors = api.Floors{10, 15, 15, 30}

func withCore(t *testing.T, offered load) figures {
	return simulate(&coreScheduler{t: t, core: NewCore(DefaultConfig(), modelSlots, modelFloors)}, offered)
}

// Guards against a flood of the least urgent work slowing down or displacing the most urgent. The bounds are the
// page's aims: at least 95% of the unflooded throughput and at most 1.5 times the unflooded p99.
func TestLowFloodLeavesCritical(t *testing.T) {
	calm := load{0.3, 0.1, 0.1, 0.4}
	flooded := calm.flood(api.Low)
	before, after := withCore(t, calm), withCore(t, flooded)
	baseBefore, baseAfter := simulate(&fifo{}, calm), simulate(&fifo{}, flooded)
	throughput := after.share[api.Critical] / before.share[api.Critical]
	tail := float64(after.p99[api.Critical]) / float64(before.p99[api.Critical])
	t.Logf("admission: critical keeps %.1f%% of its throughput, p99 %v -> %v (%.2f times)",
		100*throughput, before.p99[api.Critical], after.p99[api.Critical], tail)
	t.Logf("first in, first out: critical keeps %.1f%% of its throughput, p99 %v -> %v",
		100*baseAfter.share[api.Critical]/baseBefore.share[api.Critical], baseBefore.p99[api.Critical], baseAfter.p99[api.Critical])
	if throughput < 0.95 {
		t.Errorf("critical keeps %.3f of its throughput, want at least 0.95", throughput)
	}
	if tail > 1.5 {
		t.Errorf("critical p99 grows %.2f times, want at most 1.5", tail)
	}
}

// Guards against a flood of the most urgent work taking the floors of the others. An urgency that asks for at least its
// floor gets it to within 2% of the capacity.
func TestCriticalFloodKeepsFloors(t *testing.T) {
	calm := load{0.2, 0.2, 0.2, 0.3}
	flooded := calm.flood(api.Critical)
	after, baseline := withCore(t, flooded), simulate(&fifo{}, flooded)
	total := 0.0
	for u := api.Low; u <= api.Critical; u++ {
		floor := modelFloors[u] / 100
		t.Logf("%s: floor %.1f%%, with admission %.1f%%, first in, first out %.1f%% of the capacity",
			u, 100*floor, 100*after.share[u], 100*baseline.share[u])
		if after.share[u] < floor-0.02 {
			t.Errorf("%s got %.3f of the capacity, its floor is %.3f", u, after.share[u], floor)
		}
		total += after.share[u]
	}
	if total < 0.95 {
		t.Errorf("only %.3f of the capacity answered in time, want at least 0.95", total)
	}
}
