package audit

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/kernel"
)

// ServiceName is the service's name in the kernel.
const ServiceName = "audit"

// Defaults of Options.
const (
	// DefaultWriteInterval is the least time between two writes of an instance.
	DefaultWriteInterval = 2 * time.Second
	// DefaultKeepRows is the number of rows that an instance keeps in the table.
	DefaultKeepRows = 200
	// DefaultBuffer is the number of events kept in memory.
	DefaultBuffer = 4096
	// DefaultTableTimeout bounds one call to the table.
	DefaultTableTimeout = time.Second
)

// stopTimeout bounds the last writes, so that a table that is down leaves time for the other services to stop.
const stopTimeout = 5 * time.Second

// maxBatch is the number of events in one row.
const maxBatch = 100

// Options are the parts that a Trail is built from. Zero numbers and durations get defaults.
type Options struct {
	Self   api.InstanceID
	Table  backend.Table
	Bus    *kernel.Bus
	Clock  clockwork.Clock
	Logger zerolog.Logger
	// Requires names the services that have to run before this one.
	Requires []string

	WriteInterval time.Duration
	TableTimeout  time.Duration
	KeepRows      int
	Buffer        int
}

func (o *Options) applyDefaults() {
	setDefault(&o.WriteInterval, DefaultWriteInterval)
	setDefault(&o.TableTimeout, DefaultTableTimeout)
	setDefault(&o.KeepRows, DefaultKeepRows)
	setDefault(&o.Buffer, DefaultBuffer)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
}

func setDefault[T time.Duration | int](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Trail records events. It implements kernel.Service.
type Trail struct {
	options Options
	writer  *writer

	mu      sync.Mutex
	pending []Event
	// dropped counts events lost since the last batch was formed; lost counts all since the start.
	dropped uint64
	lost    uint64
	wake    chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
	// stopping is closed once the rest has to be written.
	stopping chan struct{}
}

// New returns a trail that does not write yet.
func New(options Options) *Trail {
	options.applyDefaults()
	return &Trail{
		options:  options,
		writer:   newWriter(options, rand.Text()),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		stopping: make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (t *Trail) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (t *Trail) Requires() []string { return t.options.Requires }

// Start subscribes to the bus and begins to write.
func (t *Trail) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	if err := kernel.Subscribe(ctx, t.options.Bus, Topic, t.Record); err != nil {
		cancel()
		return err
	}
	t.cancel = cancel
	go t.run(ctx)
	return nil
}

// Stop writes what is pending, as far as the context's time and the table allow.
func (t *Trail) Stop(ctx context.Context) error {
	if t.cancel == nil {
		return nil
	}
	ctx, cancel := clockwork.WithTimeout(ctx, t.options.Clock, stopTimeout)
	defer cancel()
	defer t.cancel()
	close(t.stopping)
	select {
	case <-t.done:
		return nil
	case <-ctx.Done():
		t.cancel()
		<-t.done
		return fault.New(fault.CodeTimeout, "stop audit", "the last events were not written; %d wait behind the unfinished batch", t.Pending())
	}
}

// Record keeps an event until it is written. It never blocks; if the memory is full, the event is dropped and counted.
func (t *Trail) Record(event Event) {
	event.Instance = t.options.Self
	if event.Time.IsZero() {
		event.Time = t.options.Clock.Now()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) >= t.options.Buffer {
		t.dropped++
		t.lost++
		return
	}
	t.pending = append(t.pending, bounded(event))
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Pending returns the number of events that no batch holds yet.
func (t *Trail) Pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pending)
}

// Dropped returns the number of events that were lost because the memory was full.
func (t *Trail) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// take removes the events of the next batch.
func (t *Trail) take() batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(len(t.pending), maxBatch)
	b := batch{Events: t.pending[:n:n], Dropped: t.dropped}
	t.pending = t.pending[n:]
	t.dropped = 0
	return b
}

// run writes one batch at a time, and a batch again until the table has it, with the interval between two tries.
func (t *Trail) run(ctx context.Context) {
	defer close(t.done)
	down := false
	for t.waitForEvents(ctx) {
		b := t.take()
		for {
			err := t.writer.write(ctx, b)
			down = t.logState(down, err)
			if !t.pause(ctx) {
				return
			}
			if err == nil {
				break
			}
		}
	}
}

// waitForEvents returns false once there is nothing left to do.
func (t *Trail) waitForEvents(ctx context.Context) bool {
	for t.Pending() == 0 {
		select {
		case <-t.wake:
		case <-t.stopping:
			return t.Pending() > 0
		case <-ctx.Done():
			return false
		}
	}
	return ctx.Err() == nil
}

// pause waits for the write interval. It returns false early if the trail stops and everything is written.
func (t *Trail) pause(ctx context.Context) bool {
	after := t.options.Clock.After(t.options.WriteInterval)
	for {
		stopping := t.stopping
		if t.stopped() {
			if t.Pending() == 0 && t.writer.idle() {
				return false
			}
			stopping = nil
		}
		select {
		case <-after:
			return true
		case <-stopping:
		case <-ctx.Done():
			return false
		}
	}
}

func (t *Trail) stopped() bool {
	select {
	case <-t.stopping:
		return true
	default:
		return false
	}
}

func (t *Trail) logState(down bool, err error) bool {
	if (err != nil) != down {
		t.options.Logger.Warn().AnErr("cause", err).Bool("down", err != nil).Msg("state of the table for the audit trail changed")
	}
	return err != nil
}
