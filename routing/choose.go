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
	// sampleTries is the number of random picks made to find two usable endpoints before all of a tier are scanned.
	sampleTries = 6
	// unusable is the waiting time of a tier in which no endpoint takes a request.
	unusable = time.Duration(math.MaxInt64)
)

// Source is the seeded random source of a choice. It need not be safe for concurrent use.
type Source interface {
	IntN(n int) int
	Float64() float64
}

// Query is one request as far as routing is concerned.
type Query struct {
	Service string
	// Bytes is the expected size of the request and its answer together.
	Bytes int
	// Exclude lists the tasks that already failed this request.
	Exclude []api.TaskID
	Now     time.Time
}

// Choice is the chosen endpoint.
type Choice struct {
	Endpoint api.Endpoint
	// Tracker takes the begin and end of the request.
	Tracker *Tracker
	// Own is set if this instance owns the endpoint's rack, so that no hop is needed.
	Own bool
	// CrossRegion is set if the request leaves the region.
	CrossRegion bool
	// Wait is the expected waiting time at the endpoint.
	Wait time.Duration
}

// NoEndpointError reports that no endpoint of the service takes a request.
type NoEndpointError struct {
	Service string
	// Saturated is set if there are endpoints, but all are at their limits.
	Saturated bool
	// Retry is the expected time until one takes requests again.
	Retry time.Duration
}

// Error names the service and why nothing was chosen.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("no endpoint of service %q takes a request (saturated: %t)", e.Service, e.Saturated)
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

// pick is the best endpoint of a tier with its expected waiting time.
type pick struct {
	candidate *candidate
	wait      time.Duration
	// full is set if the candidate is at its limit.
	full bool
}

// Choose returns the endpoint for a request. The failure is always a *NoEndpointError, and the request did not run.
func (s *Snapshot) Choose(q Query, random Source) (Choice, error) {
	view := s.services[q.Service]
	if view == nil {
		return Choice{}, &NoEndpointError{Service: q.Service, Retry: time.Second}
	}
	local, localTier := view.nearest(q, random)
	if local.candidate != nil && !local.full && local.wait <= s.costs.RegionRoundTrip {
		return choiceOf(local, localTier), nil
	}
	remote := view.sample(tierRemote, q, random)
	if s.worthSpill(local, remote, q.Bytes) {
		return choiceOf(remote, tierRemote), nil
	}
	if local.candidate != nil && !local.full {
		return choiceOf(local, localTier), nil
	}
	return Choice{}, saturation(q, local, remote)
}

func (s *Snapshot) worthSpill(local, remote pick, bytes int) bool {
	if remote.candidate == nil || remote.full {
		return false
	}
	if local.candidate == nil {
		return true
	}
	return local.wait-remote.wait > s.costs.of(bytes)
}

func saturation(q Query, local, remote pick) error {
	failure := &NoEndpointError{Service: q.Service, Retry: time.Second}
	for _, p := range []pick{local, remote} {
		if p.candidate != nil {
			failure.Saturated = true
			failure.Retry = min(failure.Retry, p.wait)
		}
	}
	return failure
}

// nearest returns the pick of the nearest tier of the region that has a free endpoint, or else the pick with the least
// waiting time.
func (v *serviceView) nearest(q Query, random Source) (pick, tier) {
	best, bestTier := pick{wait: unusable}, tierOwn
	for t := tierOwn; t < tierRemote; t++ {
		p := v.sample(t, q, random)
		if p.candidate == nil {
			continue
		}
		if !p.full {
			return p, t
		}
		if p.wait < best.wait {
			best, bestTier = p, t
		}
	}
	return best, bestTier
}

// sample returns the less loaded of two random usable endpoints of a tier. If random picks find none below its limit,
// the whole tier is scanned from a random place.
func (v *serviceView) sample(t tier, q Query, random Source) pick {
	candidates := v.tiers[t]
	if len(candidates) == 0 {
		return pick{wait: unusable}
	}
	best, found := pick{wait: unusable}, 0
	for try := 0; try < sampleTries && found < 2; try++ {
		p := candidates[random.IntN(len(candidates))].evaluate(q, random)
		if p.candidate == nil || p.full {
			continue
		}
		if p.candidate != best.candidate {
			found++
		}
		best = better(best, p)
	}
	if best.candidate != nil {
		return best
	}
	return scan(candidates, q, random)
}

func scan(candidates []candidate, q Query, random Source) pick {
	best := pick{wait: unusable}
	start := random.IntN(len(candidates))
	for i := range candidates {
		p := candidates[(start+i)%len(candidates)].evaluate(q, random)
		if p.candidate != nil && !p.full {
			return p
		}
		best = better(best, p)
	}
	return best
}

func better(a, b pick) pick {
	if b.candidate == nil {
		return a
	}
	if a.candidate == nil || b.score() < a.score() {
		return b
	}
	return a
}

// score orders picks by the time until an answer: requests ahead of this one, each taking the recent latency.
func (p pick) score() float64 {
	load := p.candidate.load()
	return float64(load.InFlight+1) * float64(load.Latency)
}

// load joins what the owner published with what this instance has open.
func (c *candidate) load() Load {
	seen := c.tracker.Load()
	seen.InFlight += c.published.InFlight
	if seen.Latency == 0 {
		seen.Latency = c.published.Latency
	}
	if seen.Latency == 0 {
		seen.Latency = initialLatency
	}
	return seen
}

// evaluate returns the pick for one endpoint, without a candidate if the endpoint is ejected or excluded. An endpoint
// that returns from an ejection is passed over at random in proportion to its missing weight, and its limit is scaled
// by the weight.
func (c *candidate) evaluate(q Query, random Source) pick {
	weight := c.tracker.health.Weight(q.Now)
	if weight == 0 || slices.Contains(q.Exclude, c.endpoint.Task) {
		return pick{wait: unusable}
	}
	if weight < 1 && random.Float64() >= weight {
		return pick{wait: unusable}
	}
	load := c.load()
	limit := max(1, int(float64(c.tracker.Limit())*weight))
	return pick{candidate: c, wait: c.waiting(load, limit), full: load.InFlight >= limit}
}

// waiting estimates how long a request waits until one of the endpoint's slots is free.
func (c *candidate) waiting(load Load, limit int) time.Duration {
	slots := max(1, min(limit, c.slots))
	queued := load.InFlight - slots + 1
	if queued <= 0 {
		return 0
	}
	return load.Latency * time.Duration(queued) / time.Duration(slots)
}

func choiceOf(p pick, t tier) Choice {
	return Choice{
		Endpoint:    p.candidate.endpoint,
		Tracker:     p.candidate.tracker,
		Own:         t == tierOwn,
		CrossRegion: t == tierRemote,
		Wait:        p.wait,
	}
}
