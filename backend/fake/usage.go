package fake

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/backend"
	"bronzehook/fault"
)

// usageSample is the usage of the worker at one time.
type usageSample struct {
	at    time.Time
	usage backend.Usage
}

// Usage implements backend.Worker. It reports the newest sample that is at least as old as the configured lag.
func (w *Worker) Usage(context.Context) (backend.Usage, error) {
	w.lock()
	defer w.unlock()
	now := w.clock.Now()
	for i := len(w.samples) - 1; i >= 0; i-- {
		sample := w.samples[i]
		if age := now.Sub(sample.at); age >= w.config.UsageLag {
			sample.usage.Age = age
			return sample.usage, nil
		}
	}
	return backend.Usage{}, fault.New(fault.CodeNotReady, "worker usage",
		"no usage sample is as old as the configured lag yet")
}

// sampleUsage takes a sample at each tick until the worker is closed.
func (w *Worker) sampleUsage(ticker clockwork.Ticker) {
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			w.takeSample()
		case <-w.closed:
			return
		}
	}
}

func (w *Worker) takeSample() {
	w.lock()
	defer w.unlock()
	usage := backend.Usage{Worker: w.config.Worker.ID}
	for _, a := range w.sortedAttempts() {
		if !a.running() {
			continue
		}
		task := backend.TaskUsage{
			Task: a.spec.Task, Attempt: a.spec.Attempt, Used: w.config.Use(a.load()), Slowdown: w.slowdown(a),
		}
		usage.Used = usage.Used.Add(task.Used)
		usage.Tasks = append(usage.Tasks, task)
	}
	w.samples = append(w.samples, usageSample{at: w.clock.Now(), usage: usage})
	// Keep one sample more than the lag spans.
	if excess := len(w.samples) - int(w.config.UsageLag/w.config.UsagePeriod) - 2; excess > 0 {
		w.samples = w.samples[excess:]
	}
}
