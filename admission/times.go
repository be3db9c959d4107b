package admission

import (
	"math"
	"time"
)

const (
	// targetQuantile is the fraction of requests whose service time the prediction covers.
	targetQuantile = 0.9
	// meanWeight is the weight of a new service time in the moving averages.
	meanWeight = 0.05
	// quantileStep is the step of the quantile estimate as a fraction of the mean.
	quantileStep = 0.1
	// initialServiceTime is the overall mean before any response; it is small, so that new services are not refused.
	initialServiceTime = 5 * time.Millisecond
	// probeInterval is the minimum time between probes: requests that are infeasible according to the estimate of their
	// service, but are let through to update it.
	probeInterval = time.Second
	// maxServices bounds the number of services for which estimates are kept.
	maxServices = 8192
)

// serviceTimeEstimate holds the estimates of one service, in seconds.
type serviceTimeEstimate struct {
	mean      float64
	quantile  float64
	updatedAt time.Time // time of the last response or probe
}

// serviceTimeEstimator estimates the mean and a quantile of the service time of each service from recent responses.
type serviceTimeEstimator struct {
	byService map[string]*serviceTimeEstimate
	overall   float64 // mean over all services, in seconds
}

func newServiceTimeEstimator() *serviceTimeEstimator {
	return &serviceTimeEstimator{byService: map[string]*serviceTimeEstimate{}, overall: initialServiceTime.Seconds()}
}

func (s *serviceTimeEstimator) observe(service string, now time.Time, duration time.Duration) {
	x := duration.Seconds()
	s.overall += meanWeight * (x - s.overall)
	e := s.byService[service]
	if e == nil {
		s.evictOldest()
		s.byService[service] = &serviceTimeEstimate{mean: x, quantile: x, updatedAt: now}
		return
	}
	e.updatedAt = now
	e.mean += meanWeight * (x - e.mean)
	step := quantileStep * e.mean
	if x > e.quantile {
		e.quantile += step * targetQuantile
	} else {
		e.quantile = max(e.quantile-step*(1-targetQuantile), 0)
	}
}

// evictOldest discards the estimate with the oldest update if there are maxServices of them.
func (s *serviceTimeEstimator) evictOldest() {
	if len(s.byService) < maxServices {
		return
	}
	oldest := ""
	for name, e := range s.byService {
		if oldest == "" || e.updatedAt.Before(s.byService[oldest].updatedAt) {
			oldest = name
		}
	}
	delete(s.byService, oldest)
}

func (s *serviceTimeEstimator) meanOf(service string) time.Duration {
	if e := s.byService[service]; e != nil {
		return secondsToDuration(e.mean)
	}
	return s.overallMean()
}

// quantileOf returns 0 for a service without responses, so that its requests are not refused as infeasible.
func (s *serviceTimeEstimator) quantileOf(service string) time.Duration {
	if e := s.byService[service]; e != nil {
		return secondsToDuration(e.quantile)
	}
	return 0
}

func (s *serviceTimeEstimator) overallMean() time.Duration { return secondsToDuration(s.overall) }

// probeDue reports whether an infeasible request may run as a probe. It returns true at most once per probeInterval.
func (s *serviceTimeEstimator) probeDue(service string, now time.Time) bool {
	e := s.byService[service]
	if e == nil || now.Sub(e.updatedAt) < probeInterval {
		return false
	}
	e.updatedAt = now
	return true
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// movingRate is an exponentially decaying rate of events.
type movingRate struct {
	count     float64
	updatedAt time.Time
}

func (r *movingRate) add(now time.Time) {
	r.count = r.decayedCount(now) + 1
	r.updatedAt = now
}

func (r *movingRate) perSecond(now time.Time) float64 {
	return r.decayedCount(now) / rateTimeConstant.Seconds()
}

func (r *movingRate) decayedCount(now time.Time) float64 {
	if r.count == 0 {
		return 0
	}
	return r.count * math.Exp(-float64(now.Sub(r.updatedAt))/float64(rateTimeConstant))
}
