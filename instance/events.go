package instance

import (
	"context"
	"sync"

	"bronzehook/audit"
	"bronzehook/kernel"
)

// eventBuffer is the number of events that may wait for the bus. A take-over of all units of an instance makes about 60.
const eventBuffer = 1024

// eventSource publishes events for the audit trail on the kernel's bus, in their order, without holding up those who
// report them.
type eventSource struct {
	bus   *kernel.Bus
	trail *audit.Trail
	queue chan audit.Event
	stop  context.CancelFunc
	done  sync.WaitGroup
}

func newEventSource(bus *kernel.Bus, trail *audit.Trail) *eventSource {
	return &eventSource{bus: bus, trail: trail, queue: make(chan audit.Event, eventBuffer)}
}

// Name implements kernel.Service.
func (s *eventSource) Name() string { return "events" }

// Requires implements kernel.Service.
func (s *eventSource) Requires() []string { return []string{audit.ServiceName} }

// Start begins to publish.
func (s *eventSource) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// Stop hands what still waits to the trail.
func (s *eventSource) Stop(context.Context) error {
	s.stop()
	s.done.Wait()
	for {
		select {
		case event := <-s.queue:
			s.trail.Record(event)
		default:
			return nil
		}
	}
}

func (s *eventSource) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-s.queue:
			if err := audit.Publish(s.bus, event); err != nil {
				s.trail.Record(event)
			}
		}
	}
}

// emit never blocks. If the bus is far behind, the trail takes the event at once.
func (s *eventSource) emit(event audit.Event) {
	select {
	case s.queue <- event:
	default:
		s.trail.Record(event)
	}
}
