package routing

import (
	"fmt"
	"math"
	"slices"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

const (
	// maxSampleAttempts bounds the random picks made to find two usable endpoints of a tier before the tier is scanned.
	maxSampleAttempts = 6
	// infiniteWait is the expected waiting time in a tier without a usable endpoint.
	infiniteWait = time.Duration(math.MaxInt64)
)

// Source is the seeded source of random numbers for a choice. It need not be safe for concurrent use.
type Source interface {
	IntN(n int) int
	Float64() float64
}

// Query holds the properties of a request that routing depends on.
type Query struct {
	Service string
	// Bytes is the expected size of the request and its response together.
	Bytes int
	// Exclude lists the tasks whose endpoints already failed this request.
	Exclude []api.TaskID
	Now     time.Time
}

// Choice is the chosen endpoint.
type Choice struct {
	Endpoint api.Endpoint
	// Tracker records the start and the end of the request.
	Tracker *Tracker
	// Local is set if the endpoint is local: this instance owns its rack, so that no hop to another instance is needed.
	Local bool
	// CrossRegion is set if the endpoint is in another region.
	CrossRegion bool
	// Wait is the expected waiting time at the endpoint.
	Wait time.Duration
}

// NoEndpointError reports that no endpoint of the service accepts requests.
type NoEndpointError struct {
	Service string
	// Saturated is set if there are usable endpoints, but all are at their concurrency limits.
	Saturated bool
	// Retry is the expected time until one accepts requests again.
	Retry time.Duration
}

// Error names the service and whether its endpoints are saturated.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("no endpoint of service %q accepts requests (saturated: %t)", e.Service, e.Saturated)
}

// Code implements fault.Coded.
func (e *NoEndpointError) Code() fault.Code {
	if e.Saturated {
		return fault.CodeNoCapacity
	}
	return fault.CodeNoEndpoint
}

// RetryDelay returns the time after which a retry may succeed.
func (e *NoEndpointError) RetryDelay() time.Duration { return e.Retry }

// pick is a candidate with its expected waiting time. A pick without a candidate means that none is usable.
type pick struct {
	candidate *candidate
	wait      time.Duration
	// atLimit is set if the candidate is at its concurrency limit.
	atLimit bool
}

// Choose returns the endpoint for a request. The error is always a *NoEndpointError; the request has not run then.
func (s *Snapshot) Choose(q Query, random Source) (Choice, error) {
	view := s.services[q.Service]
	if view == nil {
		return Choice{}, &NoEndpointError{Service: q.Service, Retry: time.Second}
	}
	regional, regionalTier := view.pickInRegion(q, random)
	if regional.candidate != nil && !regional.atLimit && regional.wait <= s.costs.RegionRoundTrip {
		return newChoice(regional, regionalTier), nil
	}
	remote := view.sample(tierRemote, q, random)
	if s.preferRemote(regional, remote, q.Bytes) {
		return newChoice(remote, tierRemote), nil
	}
	if regional.candidate != nil && !regional.atLimit {
		return newChoice(regional, regionalTier), nil
	}
	return Choice{}, newNoEndpointError(q, regional, remote)
}

// preferRemote reports whether the remote pick saves more waiting time than sending the request to its region costs.
func (s *Snapshot) preferRemote(regional, remote pick, bytes int) bool {
	if remote.candidate == nil || remote.atLimit {
		return false
	}
	if regional.candidate == nil {
		return true
	}
	return regional.wait-remote.wait > s.costs.minSavedWait(bytes)
}

func newNoEndpointError(q Query, regional, remote pick) error {
	err := &NoEndpointError{Service: q.Service, Retry: time.Second}
	for _, p := range []pick{regional, remote} {
		if p.candidate != nil {
			err.Saturated = true
			err.Retry = min(err.Retry, p.wait)
		}
	}
	return err
}

// pickInRegion returns the pick of the nearest tier within the region that has an endpoint below its limit, or else the
// pick with the shortest expected wait.
func (v *serviceView) pickInRegion(q Query, random Source) (pick, tier) {
	best, bestTier := pick{wait: infiniteWait}, tierLocal
	for t := tierLocal; t < tierRemote; t++ {
		p := v.sample(t, q, random)
		if p.candidate == nil {
			continue
		}
		if !p.atLimit {
			return p, t
		}
		if p.wait < best.wait {
			best, bestTier = p, t
		}
	}
	return best, bestTier
}

// sample returns the less loaded of two random usable endpoints of a tier. If the random picks find no endpoint below its
// limit, the whole tier is scanned from a random offset.
func (v *serviceView) sample(t tier, q Query, random Source) pick {
	candidates := v.tiers[t]
	if len(candidates) == 0 {
		return pick{wait: infiniteWait}
	}
	best, samples := pick{wait: infiniteWait}, 0
	for attempt := 0; attempt < maxSampleAttempts && samples < 2; attempt++ {
		p := candidates[random.IntN(len(candidates))].evaluate(q, random)
		if p.candidate == nil || p.atLimit {
			continue
		}
		if p.candidate != best.candidate {
			samples++
		}
		best = lessLoaded(best, p)
	}
	if best.candidate != nil {
		return best
	}
	return scan(candidates, q, random)
}

// scan returns the first endpoint after a random offset that is below its limit, or else the least loaded of all.
func scan(candidates []candidate, q Query, random Source) pick {
	best := pick{wait: infiniteWait}
	offset := random.IntN(len(candidates))
	for i := range candidates {
		p := candidates[(offset+i)%len(candidates)].evaluate(q, random)
		if p.candidate != nil && !p.atLimit {
			return p
		}
		best = lessLoaded(best, p)
	}
	return best
}

func lessLoaded(a, b pick) pick {
	if b.candidate == nil {
		return a
	}
	if a.candidate == nil || b.score() < a.score() {
		return b
	}
	return a
}

// score orders picks by the expected time until the response: the number of requests in flight, including this one,
// times the recent latency.
func (p pick) score() float64 {
	load := p.candidate.load()
	return float64(load.InFlight+1) * float64(load.Latency)
}

// load adds the load that the owner published to the requests that this instance has in flight.
func (c *candidate) load() Load {
	load := c.tracker.Load()
	load.InFlight += c.published.InFlight
	if load.Latency == 0 {
		load.Latency = c.published.Latency
	}
	if load.Latency == 0 {
		load.Latency = initialLatency
	}
	return load
}

// evaluate returns the pick for one endpoint, without a candidate if the endpoint is ejected or excluded. While an
// endpoint ramps up after an ejection, it is skipped at random with a probability of one minus its weight, and its limit
// is scaled by the weight.
func (c *candidate) evaluate(q Query, random Source) pick {
	weight := c.tracker.health.Weight(q.Now)
	if weight == 0 || slices.Contains(q.Exclude, c.endpoint.Task) {
		return pick{wait: infiniteWait}
	}
	if weight < 1 && random.Float64() >= weight {
		return pick{wait: infiniteWait}
	}
	load := c.load()
	limit := max(1, int(float64(c.tracker.Limit())*weight))
	return pick{candidate: c, wait: c.expectedWait(load, limit), atLimit: load.InFlight >= limit}
}

// expectedWait estimates the time until one of the endpoint's slots is free for a new request.
func (c *candidate) expectedWait(load Load, limit int) time.Duration {
	slots := max(1, min(limit, c.slots))
	queued := load.InFlight - slots + 1
	if queued <= 0 {
		return 0
	}
	return load.Latency * time.Duration(queued) / time.Duration(slots)
}

func newChoice(p pick, t tier) Choice {
	return Choice{
		Endpoint:    p.candidate.endpoint,
		Tracker:     p.candidate.tracker,
		Local:       t == tierLocal,
		CrossRegion: t == tierRemote,
		Wait:        p.wait,
	}
}
