package admission

import (
	"math"
	"time"
)

const (
	// quantile is the part of requests whose service time the prediction covers.
	quantile = 0.9
	// meanWeight is the weight of a new service time in the moving averages.
	meanWeight = 0.05
	// quantileStep is the step of the quantile estimate as a part of the mean.
	quantileStep = 0.1
	// initialService is assumed for a service without answers; it is small, so that new services are not refused.
	initialService = 5 * time.Millisecond
	// probeInterval is the time between requests let through to a service whose estimate says infeasible.
	probeInterval = time.Second
	// maxServices bounds the number of services with estimates.
	maxServices = 8192
)

// serviceTime holds the estimates of one service.
type serviceTime struct {
	mean     float64
	quantile float64
	last     time.Time
}

// serviceTimes estimates the mean and a quantile of the service time per service from recent answers.
type serviceTimes struct {
	byService map[string]*serviceTime
	overall   float64
}

func newServiceTimes() *serviceTimes {
	return &serviceTimes{byService: map[string]*serviceTime{}, overall: initialService.Seconds()}
}

func (s *serviceTimes) observe(service string, now time.Time, took time.Duration) {
	x := took.Seconds()
	s.overall += meanWeight * (x - s.overall)
	e := s.byService[service]
	if e == nil {
		s.makeRoom()
		s.byService[service] = &serviceTime{mean: x, quantile: x, last: now}
		return
	}
	e.last = now
	e.mean += meanWeight * (x - e.mean)
	step := quantileStep * e.mean
	if x > e.quantile {
		e.quantile += step * quantile
	} else {
		e.quantile = max(e.quantile-step*(1-quantile), 0)
	}
}

// makeRoom forgets the service that was answered the longest time ago.
func (s *serviceTimes) makeRoom() {
	if len(s.byService) < maxServices {
		return
	}
	oldest := ""
	for name, e := range s.byService {
		if oldest == "" || e.last.Before(s.byService[oldest].last) {
			oldest = name
		}
	}
	delete(s.byService, oldest)
}

func (s *serviceTimes) meanOf(service string) time.Duration {
	if e := s.byService[service]; e != nil {
		return seconds(e.mean)
	}
	return s.overallMean()
}

func (s *serviceTimes) quantileOf(service string) time.Duration {
	if e := s.byService[service]; e != nil {
		return seconds(e.quantile)
	}
	return 0
}

func (s *serviceTimes) overallMean() time.Duration { return seconds(s.overall) }

// probeDue reports whether a request may test an estimate that says infeasible, at most once per probeInterval.
func (s *serviceTimes) probeDue(service string, now time.Time) bool {
	e := s.byService[service]
	if e == nil || now.Sub(e.last) < probeInterval {
		return false
	}
	e.last = now
	return true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// movingRate is an exponentially decaying rate of events.
type movingRate struct {
	weight float64
	at     time.Time
}

func (r *movingRate) add(now time.Time) {
	r.weight = r.decayed(now) + 1
	r.at = now
}

func (r *movingRate) perSecond(now time.Time) float64 { return r.decayed(now) / rateWindow.Seconds() }

func (r *movingRate) decayed(now time.Time) float64 {
	if r.weight == 0 {
		return 0
	}
	return r.weight * math.Exp(-float64(now.Sub(r.at))/float64(rateWindow))
}
