package admission

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bronzehook/api"
	"bronzehook/fault"
)

// quotaBurst is the time whose worth of requests a team may send at once.
const quotaBurst = 500 * time.Millisecond

// QuotaError reports a team that exceeds its rate.
type QuotaError struct {
	Team  string
	Retry time.Duration
}

// Error names the team.
func (e *QuotaError) Error() string {
	return fmt.Sprintf("team %q exceeds its rate of requests", e.Team)
}

// Code implements fault.Coded.
func (e *QuotaError) Code() fault.Code { return fault.CodeQuota }

// RetryDelay returns the time after which the team's rate allows a request.
func (e *QuotaError) RetryDelay() time.Duration { return e.Retry }

// Quotas holds the teams' rates on this instance.
type Quotas struct {
	mu       sync.RWMutex
	limiters map[string]*rate.Limiter
}

// NewQuotas returns quotas without teams.
func NewQuotas() *Quotas { return &Quotas{limiters: map[string]*rate.Limiter{}} }

// Set applies the configured teams, each rate divided over the live instances. Limiters of known teams keep their
// tokens, so that a change of configuration grants no burst.
func (q *Quotas) Set(teams map[string]api.Team, liveInstances int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name := range q.limiters {
		if teams[name].RequestsPerSecond <= 0 {
			delete(q.limiters, name)
		}
	}
	for name, team := range teams {
		if team.RequestsPerSecond > 0 {
			q.apply(name, team.RequestsPerSecond/float64(max(1, liveInstances)))
		}
	}
}

func (q *Quotas) apply(name string, perSecond float64) {
	burst := max(1, int(perSecond*quotaBurst.Seconds()))
	limiter := q.limiters[name]
	if limiter == nil {
		q.limiters[name] = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(burst)
}

// Take counts one request of a team, or refuses it as not-run. A team without a rate is not bounded.
func (q *Quotas) Take(team string, now time.Time) error {
	q.mu.RLock()
	limiter := q.limiters[team]
	q.mu.RUnlock()
	if limiter == nil || limiter.AllowN(now, 1) {
		return nil
	}
	missing := 1 - limiter.TokensAt(now)
	retry := seconds(missing / float64(limiter.Limit()))
	return fault.NotRun(&QuotaError{Team: team, Retry: retry})
}
