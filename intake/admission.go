package intake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/jobadmission"
	"bronzehook/jobs"
	"bronzehook/store"
)

const (
	// forecastReadInterval is the least time between two reads of the forecast. They are made only while jobs are submitted.
	forecastReadInterval = time.Second
	// forecastReadTimeout bounds a read of the forecast, which no request waits for.
	forecastReadTimeout = time.Second
	// unknownOutcomeDelay is how long no job is refused after a commit with an unknown outcome. The store may carry out such a
	// commit after a read that does not find its job, and a refused job must not run.
	unknownOutcomeDelay = 5 * time.Second
	// stateReadTimeout bounds the read of a job's state before the job is refused. If it takes longer, the job is accepted.
	stateReadTimeout = 300 * time.Millisecond
)

// admission caches the forecast that the leader has published.
type admission struct {
	mu      sync.Mutex
	enabled bool
	// readAt is when the latest read was begun; reading is set until it has ended.
	readAt   time.Time
	reading  bool
	forecast *jobadmission.Forecast
	// unknownAt is when the outcome of the latest commit was found to be unknown.
	unknownAt time.Time
	// storing counts the submissions of each job that are being stored.
	storing map[jobs.ID]int
}

// EnableAdmission makes the service refuse jobs that would earn nothing by the leader's forecast. It is called before the service
// is used.
func (s *Service) EnableAdmission() { s.admission.enabled = true }

func (a *admission) noteUnknown(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unknownAt = at
}

// beginStoring notes that a job is being stored until the returned function is called.
func (a *admission) beginStoring(id jobs.ID) (end func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.storing == nil {
		a.storing = make(map[jobs.ID]int)
	}
	a.storing[id]++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.storing[id]--; a.storing[id] == 0 {
			delete(a.storing, id)
		}
	}
}

// mayBeStoredLater reports whether the store may yet store a job that a read of it does not find, because of an earlier
// submission at this instance.
func (a *admission) mayBeStoredLater(id jobs.ID, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.storing[id] > 0 || (!a.unknownAt.IsZero() && now.Sub(a.unknownAt) < unknownOutcomeDelay)
}

// latest returns the cached forecast, and whether a read of a newer one is due; the caller then has to make that read.
func (a *admission) latest(now time.Time) (forecast *jobadmission.Forecast, readDue bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.reading && now.Sub(a.readAt) >= forecastReadInterval {
		a.reading, a.readAt, readDue = true, now, true
	}
	return a.forecast, readDue
}

// set ends a read; the parameter is nil if it failed or there is no forecast.
func (a *admission) set(forecast *jobadmission.Forecast) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reading, a.forecast = false, forecast
}

// admitAndSubmit stores a job unless it is refused. It reports whether the job was already stored.
func (s *Service) admitAndSubmit(ctx context.Context, spec *jobs.Spec) (stored bool, err error) {
	if !s.admission.enabled || s.health.Down(outageThreshold) {
		return s.submit(ctx, spec)
	}
	decision := s.decide(spec)
	if decision.Admit {
		s.metrics.decided(outcomeAccepted, string(decision.Reason))
		return s.submit(ctx, spec)
	}
	if s.admission.mayBeStoredLater(spec.ID, time.Now()) {
		s.metrics.decided(outcomeAccepted, reasonUncertain)
		return s.submit(ctx, spec)
	}
	missing, stored := s.lookUp(ctx, spec.ID)
	switch {
	case stored:
		s.metrics.decided(outcomeAccepted, reasonStored)
		return true, nil
	case !missing:
		s.metrics.decided(outcomeAccepted, reasonUnreadable)
		return s.submit(ctx, spec)
	}
	s.metrics.decided(outcomeRefused, string(decision.Reason))
	return false, errors.WithStack(&jobadmission.RefusedError{
		Queue: spec.Queue, Wait: decision.Wait, RetryAfter: jobadmission.Spread(decision.RetryAfter, rand.Float64()),
	})
}

// decide decides on the admission of a job, and starts a read of the forecast if that is due.
func (s *Service) decide(spec *jobs.Spec) jobadmission.Decision {
	forecast, readDue := s.admission.latest(time.Now())
	if readDue {
		go s.readForecast()
	}
	return jobadmission.Decide(jobadmission.NewJob(spec), forecast, s.now())
}

// readForecast reads the forecast that the leader has published last.
func (s *Service) readForecast() {
	ctx, cancel := context.WithTimeout(context.Background(), forecastReadTimeout)
	defer cancel()
	var forecast *jobadmission.Forecast
	defer func() { s.admission.set(forecast) }()
	rows, err := store.ReadRow(ctx, s.table, store.CountsKey)
	if err != nil || len(rows.Rows) == 0 {
		return
	}
	// A row that can't be decoded is treated as missing.
	counts, err := jobs.Decode[jobs.Counts]("counts", rows.Rows[0].Value)
	if err == nil {
		forecast = &jobadmission.Forecast{Written: time.UnixMilli(counts.Written), Queues: counts.Forecasts}
	}
}

// lookUp reads whether a job is stored. Neither result is set if that cannot be read.
func (s *Service) lookUp(ctx context.Context, id jobs.ID) (missing, stored bool) {
	ctx, cancel := context.WithTimeout(ctx, stateReadTimeout)
	defer cancel()
	rows, err := store.ReadRow(ctx, s.table, store.StateKey(string(id)))
	if err != nil {
		return false, false
	}
	return len(rows.Rows) == 0, len(rows.Rows) > 0
}
