// Package routing chooses an endpoint for a request. The choice is a function of an immutable snapshot, the load of the
// sampled endpoints and a random source: racks owned by this instance first, then the nearest data centre, then the less
// loaded of two sampled endpoints. Another region is used only where the saved waiting time is worth the link.
package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"bronzehook/api"
	"bronzehook/routing/limit"
	"bronzehook/routing/outlier"
)

// latencyWeight is the weight of a new answer in the moving average of an endpoint's latency.
const latencyWeight = 0.1

// initialLatency is assumed for an endpoint without answers, so that a new endpoint is neither shunned nor flooded.
const initialLatency = 10 * time.Millisecond

// Load is what an owner publishes about an endpoint of its racks.
type Load struct {
	InFlight int           `cbor:"1,keyasint"`
	Latency  time.Duration `cbor:"2,keyasint"`
}

// EndpointKey identifies one attempt of a task; a restarted task begins with fresh statistics.
type EndpointKey struct {
	Task    api.TaskID
	Attempt uint64
}

// KeyOf returns the key of an endpoint.
func KeyOf(e api.Endpoint) EndpointKey { return EndpointKey{Task: e.Task, Attempt: e.Attempt} }

// Tracker holds what this instance has seen of one endpoint. It is safe for concurrent use.
type Tracker struct {
	inFlight atomic.Int64
	latency  atomic.Int64
	limiter  *limit.Limiter
	health   *outlier.Detector
}

// NewTracker returns the tracker of an endpoint without requests.
func NewTracker(bounds limit.Bounds, health outlier.Config) *Tracker {
	return &Tracker{limiter: limit.New(bounds), health: outlier.New(health)}
}

// Begin counts a request towards the endpoint. It reports false if the endpoint admits no request now.
func (t *Tracker) Begin(now time.Time) bool {
	if !t.health.Claim(now) {
		return false
	}
	t.inFlight.Add(1)
	return true
}

// End records the end of a request that Begin admitted.
func (t *Tracker) End(now time.Time, latency time.Duration, result outlier.Result) {
	open := int(t.inFlight.Add(-1)) + 1
	t.health.Record(now, result)
	if result == outlier.Neutral || result == outlier.ConnectionFailed {
		return
	}
	t.limiter.Observe(limit.Sample{Latency: latency, InFlight: open, Dropped: result == outlier.Failed})
	if result == outlier.Success {
		t.observeLatency(latency)
	}
}

// observeLatency updates the moving average. Two concurrent updates may lose one sample, which the average tolerates.
func (t *Tracker) observeLatency(latency time.Duration) {
	old := t.latency.Load()
	if old == 0 {
		t.latency.Store(int64(latency))
		return
	}
	t.latency.Store(old + int64(latencyWeight*float64(int64(latency)-old)))
}

// Load returns what an owner publishes about the endpoint.
func (t *Tracker) Load() Load {
	return Load{InFlight: int(t.inFlight.Load()), Latency: time.Duration(t.latency.Load())}
}

// Limit returns the endpoint's concurrency limit.
func (t *Tracker) Limit() int { return t.limiter.Limit() }

// Trackers keeps the trackers of all known endpoints across snapshots.
type Trackers struct {
	health outlier.Config

	mu    sync.RWMutex
	byKey map[EndpointKey]*Tracker
}

// NewTrackers returns an empty set of trackers.
func NewTrackers(health outlier.Config) *Trackers {
	return &Trackers{health: health, byKey: map[EndpointKey]*Tracker{}}
}

// Lookup returns the tracker of an endpoint, or nil if no snapshot listed the endpoint.
func (t *Trackers) Lookup(key EndpointKey) *Tracker {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byKey[key]
}

// of returns the tracker of an endpoint, made on first use.
func (t *Trackers) of(e api.Endpoint, w api.Worker) *Tracker {
	bounds := limit.BoundsOf(w.Slots, w.Connections)
	key := KeyOf(e)
	if tracker, ok := t.byKey[key]; ok {
		tracker.limiter.SetBounds(bounds)
		return tracker
	}
	tracker := NewTracker(bounds, t.health)
	t.byKey[key] = tracker
	return tracker
}

// retain forgets endpoints that are no longer listed.
func (t *Trackers) retain(listed map[EndpointKey]bool) {
	for key := range t.byKey {
		if !listed[key] {
			delete(t.byKey, key)
		}
	}
}
