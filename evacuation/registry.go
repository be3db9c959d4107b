// Package evacuation decides how work leaves a data centre that is being evacuated: which tasks are moved next and how
// fast, and how a data centre takes work again after the evacuation was withdrawn. The package does no I/O.
package evacuation

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Evacuation is the operator's request that nothing starts in a data centre and that the work there is moved away.
type Evacuation struct {
	DataCentre string
	// Version is the version of the operator's row.
	Version uint64
	// Since is when this instance first saw the request.
	Since time.Duration
}

// Reopening is the withdrawal of an evacuation.
type Reopening struct {
	DataCentre string
	// Since is when this instance saw the withdrawal.
	Since time.Duration
}

// Registry holds the evacuations that operators request. It is safe for concurrent use. A nil registry holds none.
type Registry struct {
	mu          sync.RWMutex
	evacuations map[string]Evacuation
	// reopened holds the data centres that are being filled again after an evacuation, with the time of its withdrawal.
	reopened    map[string]time.Duration
	confirmedAt time.Duration
}

// Put adds an evacuation, or notes a newer version of a known one, which keeps the time at which it was first seen. An older
// version than the known one has no effect.
func (r *Registry) Put(dataCentre string, version uint64, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evacuations == nil {
		r.evacuations = make(map[string]Evacuation)
	}
	e, known := r.evacuations[dataCentre]
	if !known {
		e = Evacuation{DataCentre: dataCentre, Since: now}
	}
	e.Version = max(e.Version, version)
	r.evacuations[dataCentre] = e
	delete(r.reopened, dataCentre)
}

// Remove removes an evacuation. The data centre is reopened from now on, if it was evacuated.
func (r *Registry) Remove(dataCentre string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.evacuations[dataCentre]; !known {
		return
	}
	delete(r.evacuations, dataCentre)
	if r.reopened == nil {
		r.reopened = make(map[string]time.Duration)
	}
	r.reopened[dataCentre] = now
}

// Contains reports whether a data centre is being evacuated.
func (r *Registry) Contains(dataCentre string) bool {
	if r == nil {
		return false
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, known := r.evacuations[dataCentre]
	return known
}

// Evacuations returns the evacuations in the order of their data centres.
func (r *Registry) Evacuations() []Evacuation {
	if r == nil {
		return nil
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	if len(r.evacuations) == 0 {
		return nil
	}
	all := make([]Evacuation, 0, len(r.evacuations))
	for _, e := range r.evacuations {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Evacuation) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return all
}

// Reopenings returns the withdrawals of the last RefillTime.
func (r *Registry) Reopenings(now time.Duration) []Reopening {
	if r == nil {
		return nil
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	var recent []Reopening
	for dataCentre, since := range r.reopened {
		if now-since < RefillTime {
			recent = append(recent, Reopening{DataCentre: dataCentre, Since: since})
		}
	}
	return recent
}

// Confirm notes that all changes of the operator's table before a time are applied. Times are those at which a read or a
// watch that was answered since had been sent.
func (r *Registry) Confirm(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = max(r.confirmedAt, at)
}

// ConfirmedAt returns the latest time of Confirm, 0 if there was none.
func (r *Registry) ConfirmedAt() time.Duration {
	if r == nil {
		return 0
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.confirmedAt
}
