package fake

import (
	"crypto/rand"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend"
)

// Worker is a fake of one worker. It implements backend.Worker; the same calls over HTTP are also subject to the
// injected WorkerFaults.
type Worker struct {
	config      WorkerConfig
	clock       clockwork.Clock
	startTime   time.Time
	incarnation string
	eventLog    *EventLog
	control     *server
	endpoints   *server
	faults      *faultState
	// slots is a semaphore that holds one value for each executing request.
	slots chan struct{}
	// closed is closed when the worker is closed or crashes.
	closed    chan struct{}
	closeOnce sync.Once

	mu           sync.Mutex
	epoch        api.Epoch
	leaving      bool
	attempts     map[attemptKey]*attempt
	lastAttempt  map[api.TaskID]uint64
	reserved     api.Resources
	openRequests int
	random       *mathrand.Rand
	samples      []usageSample
	// timer fires at the next job completion or attempt lease expiry.
	timer clockwork.Timer
}

var _ backend.Worker = (*Worker)(nil)

// NewWorker starts a worker with two listeners on 127.0.0.1: one for the control interface, whose address is in the
// description, and one for requests to the tasks of services.
func NewWorker(config WorkerConfig) (*Worker, error) {
	config = config.withDefaults()
	w := &Worker{
		config:      config,
		clock:       config.Clock,
		startTime:   config.Clock.Now(),
		incarnation: rand.Text(),
		eventLog:    config.EventLog,
		faults:      newFaultState(),
		slots:       make(chan struct{}, config.Worker.Slots),
		closed:      make(chan struct{}),
		attempts:    map[attemptKey]*attempt{},
		lastAttempt: map[api.TaskID]uint64{},
		random:      mathrand.New(mathrand.NewPCG(config.Seed, config.Seed)),
	}
	if err := w.listen(); err != nil {
		return nil, err
	}
	w.takeSample()
	go w.sampleUsage(w.clock.NewTicker(config.UsagePeriod))
	config.Registered(w.Description())
	return w, nil
}

func (w *Worker) listen() error {
	endpoints, err := startServer(w.endpointHandler(), w.config.Bounds)
	if err != nil {
		return err
	}
	w.endpoints = endpoints
	control, err := startServer(w.controlHandler(), w.config.Bounds)
	if err != nil {
		endpoints.close()
		return err
	}
	w.control = control
	w.config.Worker.Addr = control.addr
	return nil
}

// Description returns the worker as listed in the directory.
func (w *Worker) Description() api.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.description()
}

// EventLog returns the event log of the worker.
func (w *Worker) EventLog() *EventLog { return w.eventLog }

// Close stops the worker immediately, as in a crash: its listeners and connections are closed, its attempts are stopped
// and their results are lost.
func (w *Worker) Close() {
	w.closeOnce.Do(func() {
		close(w.closed)
		w.control.close()
		w.endpoints.close()
		w.lock()
		defer w.unlock()
		for _, a := range w.attempts {
			w.terminate(a, api.SeenStopped, "the worker crashed", w.clock.Now())
		}
	})
}

// lock takes the lock for an operation on the attempts and applies the completions and attempt lease expiries until now.
func (w *Worker) lock() {
	w.mu.Lock()
	w.updateAttempts()
}

// unlock recomputes the speed of the jobs, sets the timer to the next event and releases the lock.
func (w *Worker) unlock() {
	w.scheduleNextEvent()
	w.mu.Unlock()
}

// clockReading returns the time on the worker's clock, which counts from the start of its incarnation.
func (w *Worker) clockReading() time.Duration { return w.clock.Since(w.startTime) }

// description returns the description; the caller holds the lock.
func (w *Worker) description() api.Worker {
	description := w.config.Worker
	description.Leaving = w.leaving
	return description
}
