// Package routing chooses an endpoint for a request. The choice is a function of an immutable snapshot, the load of the
// sampled endpoints and a random source. Endpoints in racks that this instance owns come first, then those in its data
// centre, then those in its region; within such a tier the less loaded of two sampled endpoints is chosen. Another region
// is used only if the saved waiting time outweighs the cost of the link.
package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"bronzehook/api"
	"bronzehook/routing/limit"
	"bronzehook/routing/outlier"
)

// latencyWeight is the weight of a new response in the moving average of an endpoint's latency.
const latencyWeight = 0.1

// initialLatency is assumed for an endpoint without responses, so that a new endpoint is neither avoided nor overloaded.
const initialLatency = 10 * time.Millisecond

// Load is the load of an endpoint, as observed by this instance or as published by the owner of its rack.
type Load struct {
	InFlight int           `cbor:"1,keyasint"`
	Latency  time.Duration `cbor:"2,keyasint"`
}

// EndpointKey identifies the endpoint of one attempt of a task, so that a restarted task starts with new statistics.
type EndpointKey struct {
	Task    api.TaskID
	Attempt uint64
}

// KeyOf returns the key of an endpoint.
func KeyOf(e api.Endpoint) EndpointKey { return EndpointKey{Task: e.Task, Attempt: e.Attempt} }

// Tracker holds the load, concurrency limit and health of one endpoint as observed by this instance. It is safe for
// concurrent use.
type Tracker struct {
	inFlight atomic.Int64
	latency  atomic.Int64
	limiter  *limit.Limiter
	health   *outlier.Detector
}

// NewTracker returns the tracker of a healthy endpoint without requests.
func NewTracker(bounds limit.Bounds, health outlier.Config) *Tracker {
	return &Tracker{limiter: limit.New(bounds), health: outlier.New(health)}
}

// Begin counts a request as in flight. It reports false, without counting it, if an ejection of the endpoint admits no
// request now.
func (t *Tracker) Begin(now time.Time) bool {
	if !t.health.TryAdmit(now) {
		return false
	}
	t.inFlight.Add(1)
	return true
}

// End records the latency and the result of a request that Begin admitted.
func (t *Tracker) End(now time.Time, latency time.Duration, result outlier.Result) {
	inFlight := int(t.inFlight.Add(-1)) + 1
	t.health.Record(now, result)
	if result == outlier.Neutral || result == outlier.ConnectionFailed {
		return
	}
	t.limiter.Observe(limit.Sample{Latency: latency, InFlight: inFlight, Dropped: result == outlier.Failed})
	if result == outlier.Success {
		t.observeLatency(latency)
	}
}

// observeLatency updates the moving average. Concurrent updates may lose a sample, which hardly changes the average.
func (t *Tracker) observeLatency(latency time.Duration) {
	old := t.latency.Load()
	if old == 0 {
		t.latency.Store(int64(latency))
		return
	}
	t.latency.Store(old + int64(latencyWeight*float64(int64(latency)-old)))
}

// Load returns the load of the endpoint as observed by this instance.
func (t *Tracker) Load() Load {
	return Load{InFlight: int(t.inFlight.Load()), Latency: time.Duration(t.latency.Load())}
}

// Limit returns the endpoint's concurrency limit.
func (t *Tracker) Limit() int { return t.limiter.Limit() }

// Trackers holds the trackers of all known endpoints and keeps them from one snapshot to the next.
type Trackers struct {
	health outlier.Config

	mu    sync.RWMutex
	byKey map[EndpointKey]*Tracker
}

// NewTrackers returns an empty set of trackers.
func NewTrackers(health outlier.Config) *Trackers {
	return &Trackers{health: health, byKey: map[EndpointKey]*Tracker{}}
}

// Lookup returns the tracker of an endpoint, or nil if the endpoint is unknown.
func (t *Trackers) Lookup(key EndpointKey) *Tracker {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byKey[key]
}

// getOrCreate returns the tracker of an endpoint and creates it on first use. The caller must hold mu.
func (t *Trackers) getOrCreate(e api.Endpoint, w api.Worker) *Tracker {
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

// retain discards the trackers of endpoints that are not in current. The caller must hold mu.
func (t *Trackers) retain(current map[EndpointKey]bool) {
	for key := range t.byKey {
		if !current[key] {
			delete(t.byKey, key)
		}
	}
}
