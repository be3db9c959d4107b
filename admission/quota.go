package admission

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bronzehook/api"
	"bronzehook/fault"
)

// quotaBurstDuration sets the burst of a team: the number of requests that its rate allows in this time.
const quotaBurstDuration = 500 * time.Millisecond

// QuotaError reports that a team exceeds its request rate.
type QuotaError struct {
	Team  string
	Retry time.Duration
}

// Error names the team.
func (e *QuotaError) Error() string {
	return fmt.Sprintf("team %q exceeds its request rate", e.Team)
}

// Code implements fault.Coded.
func (e *QuotaError) Code() fault.Code { return fault.CodeQuota }

// RetryDelay returns the time after which the team's rate allows another request.
func (e *QuotaError) RetryDelay() time.Duration { return e.Retry }

// Quotas enforces the request rates of teams on this instance. It is safe for concurrent use.
type Quotas struct {
	mu       sync.RWMutex
	limiters map[string]*rate.Limiter
}

// NewQuotas returns quotas without any team.
func NewQuotas() *Quotas { return &Quotas{limiters: map[string]*rate.Limiter{}} }

// Set applies the rates of the configured teams, each divided by the number of live instances. Limiters of known teams
// keep their tokens, so that a configuration change does not allow another burst.
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
			q.setRate(name, team.RequestsPerSecond/float64(max(1, liveInstances)))
		}
	}
}

func (q *Quotas) setRate(name string, perSecond float64) {
	burst := max(1, int(perSecond*quotaBurstDuration.Seconds()))
	limiter := q.limiters[name]
	if limiter == nil {
		q.limiters[name] = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(burst)
}

// Allow counts one request of a team, or returns an error with the outcome not-run if the team exceeds its rate. A team
// without a rate is not limited.
func (q *Quotas) Allow(team string, now time.Time) error {
	q.mu.RLock()
	limiter := q.limiters[team]
	q.mu.RUnlock()
	if limiter == nil || limiter.AllowN(now, 1) {
		return nil
	}
	missingTokens := 1 - limiter.TokensAt(now)
	retry := secondsToDuration(missingTokens / float64(limiter.Limit()))
	return fault.NotRun(&QuotaError{Team: team, Retry: retry})
}
