package standin

import (
	"crypto/rand"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend"
)

// Worker stands in for one worker. Its methods are those of backend.Worker; over HTTP the same orders also pass the
// faults.
type Worker struct {
	config    WorkerConfig
	clock     clockwork.Clock
	started   time.Time
	boot      string
	journal   *Journal
	control   *server
	endpoints *server
	faults    *faultState
	// slots holds one value for each executing request.
	slots chan struct{}
	// closed is closed when the worker goes away.
	closed    chan struct{}
	closeOnce sync.Once

	mu          sync.Mutex
	epoch       api.Epoch
	leaving     bool
	attempts    map[attemptKey]*attempt
	lastAttempt map[api.TaskID]uint64
	reserved    api.Resources
	open        int
	random      *mathrand.Rand
	samples     []usageSample
	// alarm fires at the next end of a lease or of a job.
	alarm clockwork.Timer
}

var _ backend.Worker = (*Worker)(nil)

// NewWorker starts a worker with two listeners on 127.0.0.1: one for its control interface, which is the address in its
// description, and one for its services' tasks.
func NewWorker(config WorkerConfig) (*Worker, error) {
	config = config.withDefaults()
	w := &Worker{
		config:      config,
		clock:       config.Clock,
		started:     config.Clock.Now(),
		boot:        rand.Text(),
		journal:     config.Journal,
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
	go w.measure(w.clock.NewTicker(config.UsagePeriod))
	config.Registered(w.Description())
	return w, nil
}

func (w *Worker) listen() error {
	endpoints, err := startServer(w.endpointHandler())
	if err != nil {
		return err
	}
	w.endpoints = endpoints
	control, err := startServer(w.controlHandler())
	if err != nil {
		endpoints.close()
		return err
	}
	w.control = control
	w.config.Worker.Addr = control.addr
	return nil
}

// Description returns the worker as the directory lists it.
func (w *Worker) Description() api.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.describe()
}

// Journal returns the record of all that ran.
func (w *Worker) Journal() *Journal { return w.journal }

// Close makes the worker go away at once: its listeners and connections close, its attempts stop and its results are
// lost.
func (w *Worker) Close() {
	w.closeOnce.Do(func() {
		close(w.closed)
		w.control.close()
		w.endpoints.close()
		w.lock()
		defer w.unlock()
		for _, a := range w.attempts {
			w.end(a, api.SeenStopped, "the worker went away", w.clock.Now())
		}
	})
}

// lock is taken by every operation. It first brings leases and jobs up to date.
func (w *Worker) lock() {
	w.mu.Lock()
	w.settle()
}

// unlock recomputes the speed of the jobs and the time of the next event.
func (w *Worker) unlock() {
	w.schedule()
	w.mu.Unlock()
}

// reading returns the reading of the worker's clock, counted from its start.
func (w *Worker) reading() time.Duration { return w.clock.Since(w.started) }

func (w *Worker) describe() api.Worker {
	described := w.config.Worker
	described.Leaving = w.leaving
	return described
}
