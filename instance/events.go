package instance

import (
	"context"
	"sync"

	"bronzehook/audit"
	"bronzehook/kernel"
)

// eventQueueCapacity is the number of events that may wait for the bus. A takeover of all units of an instance produces
// about 60.
const eventQueueCapacity = 1024

// eventPublisher publishes audit events on the kernel's bus, in the order in which they were emitted, without blocking
// those who emit them.
type eventPublisher struct {
	bus    *kernel.Bus
	trail  *audit.Trail
	queue  chan audit.Event
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newEventPublisher(bus *kernel.Bus, trail *audit.Trail) *eventPublisher {
	return &eventPublisher{bus: bus, trail: trail, queue: make(chan audit.Event, eventQueueCapacity)}
}

// Name implements kernel.Service.
func (s *eventPublisher) Name() string { return "events" }

// Requires implements kernel.Service.
func (s *eventPublisher) Requires() []string { return []string{audit.ServiceName} }

// Start starts publishing.
func (s *eventPublisher) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// Stop stops publishing and records the events still queued directly in the audit log.
func (s *eventPublisher) Stop(context.Context) error {
	s.cancel()
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

func (s *eventPublisher) run(ctx context.Context) {
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

// emit queues an event and never blocks. If the queue is full, it records the event directly in the audit log.
func (s *eventPublisher) emit(event audit.Event) {
	select {
	case s.queue <- event:
	default:
		s.trail.Record(event)
	}
}
