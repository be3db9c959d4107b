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

// ServiceName is the name of this service in the service manager (package kernel).
const ServiceName = "audit"

// Defaults of Options.
const (
	// DefaultWriteInterval is the minimum time between two writes of an instance.
	DefaultWriteInterval = 2 * time.Second
	// DefaultKeepRows is the maximum number of rows that an instance keeps in the table.
	DefaultKeepRows = 200
	// DefaultBuffer is the maximum number of events buffered in memory.
	DefaultBuffer = 4096
	// DefaultTableTimeout is the time-out of one call to the table.
	DefaultTableTimeout = time.Second
)

// stopTimeout limits the time for the last writes during a stop, so that an unavailable table leaves time for the other
// services to stop.
const stopTimeout = 5 * time.Second

// maxBatchEvents is the maximum number of events in one row.
const maxBatchEvents = 100

// Options are the dependencies and settings of a Trail. Zero numbers and durations are replaced by defaults.
type Options struct {
	Self   api.InstanceID
	Table  backend.Table
	Bus    *kernel.Bus
	Clock  clockwork.Clock
	Logger zerolog.Logger
	// Requires lists the services that have to be started before this one.
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

// Trail buffers audit events and writes them to the table. It implements kernel.Service.
type Trail struct {
	options Options
	writer  *writer

	mu      sync.Mutex
	pending []Event
	// droppedSinceBatch counts the events dropped since the last batch was formed; droppedTotal counts all
	// since the start.
	droppedSinceBatch uint64
	droppedTotal      uint64
	// newEvents signals the write loop that events were recorded.
	newEvents  chan struct{}
	cancel     context.CancelFunc
	writerDone chan struct{}
	// stopping is closed when the service stops and only the remaining events are still to be written.
	stopping chan struct{}
}

// New returns a trail that has not been started.
func New(options Options) *Trail {
	options.applyDefaults()
	return &Trail{
		options:    options,
		writer:     newWriter(options, rand.Text()),
		newEvents:  make(chan struct{}, 1),
		writerDone: make(chan struct{}),
		stopping:   make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (t *Trail) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (t *Trail) Requires() []string { return t.options.Requires }

// Start subscribes to the bus and starts the write loop.
func (t *Trail) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	if err := kernel.Subscribe(ctx, t.options.Bus, Topic, t.Record); err != nil {
		cancel()
		return err
	}
	t.cancel = cancel
	go t.writeLoop(ctx)
	return nil
}

// Stop writes the pending events. It fails if they are not written before ctx is done or stopTimeout has passed.
func (t *Trail) Stop(ctx context.Context) error {
	if t.cancel == nil {
		return nil
	}
	ctx, cancel := clockwork.WithTimeout(ctx, t.options.Clock, stopTimeout)
	defer cancel()
	defer t.cancel()
	close(t.stopping)
	select {
	case <-t.writerDone:
		return nil
	case <-ctx.Done():
		t.cancel()
		<-t.writerDone
		return fault.New(fault.CodeTimeout, "stop audit", "the last events were not written in time; %d more are pending after the unconfirmed batch", t.Pending())
	}
}

// Record buffers an event until it is written. It never blocks: if the buffer is full, the event is dropped and counted.
func (t *Trail) Record(event Event) {
	event.Instance = t.options.Self
	if event.Time.IsZero() {
		event.Time = t.options.Clock.Now()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) >= t.options.Buffer {
		t.droppedSinceBatch++
		t.droppedTotal++
		return
	}
	t.pending = append(t.pending, truncateTexts(event))
	select {
	case t.newEvents <- struct{}{}:
	default:
	}
}

// Pending returns the number of events that are not part of a batch yet.
func (t *Trail) Pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pending)
}

// Dropped returns the number of events that were dropped because the buffer was full.
func (t *Trail) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.droppedTotal
}

// nextBatch removes the events of the next batch from the buffer and returns them.
func (t *Trail) nextBatch() batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(len(t.pending), maxBatchEvents)
	b := batch{Events: t.pending[:n:n], Dropped: t.droppedSinceBatch}
	t.pending = t.pending[n:]
	t.droppedSinceBatch = 0
	return b
}

// writeLoop writes one batch at a time and retries each until it has been written. Attempts are at least one write
// interval apart.
func (t *Trail) writeLoop(ctx context.Context) {
	defer close(t.writerDone)
	tableDown := false
	for t.waitForEvents(ctx) {
		b := t.nextBatch()
		for {
			err := t.writer.write(ctx, b)
			tableDown = t.logTableState(tableDown, err)
			if !t.waitInterval(ctx) {
				return
			}
			if err == nil {
				break
			}
		}
	}
}

// waitForEvents waits until there are pending events. It returns false if ctx is done, or if the service stops and no
// events are pending.
func (t *Trail) waitForEvents(ctx context.Context) bool {
	for t.Pending() == 0 {
		select {
		case <-t.newEvents:
		case <-t.stopping:
			return t.Pending() > 0
		case <-ctx.Done():
			return false
		}
	}
	return ctx.Err() == nil
}

// waitInterval waits for one write interval. It returns false early if ctx is done, or if the service stops and all
// events are written.
func (t *Trail) waitInterval(ctx context.Context) bool {
	after := t.options.Clock.After(t.options.WriteInterval)
	for {
		stopping := t.stopping
		if t.isStopping() {
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

func (t *Trail) isStopping() bool {
	select {
	case <-t.stopping:
		return true
	default:
		return false
	}
}

func (t *Trail) logTableState(wasDown bool, err error) bool {
	if (err != nil) != wasDown {
		t.options.Logger.Warn().AnErr("cause", err).Bool("down", err != nil).Msg("state of the table for the audit trail changed")
	}
	return err != nil
}
