package admission

import (
	"sync"
	"time"
)

// RetryConfig holds the bounds of a retry budget.
type RetryConfig struct {
	// Ratio is the number of retries earned by one request.
	Ratio float64
	// PerSecond is earned without requests, so that rare requests may be retried.
	PerSecond float64
	// Burst is the largest number of retries saved up.
	Burst float64
}

// DefaultRetryConfig allows retries for 10% of the requests, so that a failure of all endpoints adds 10% load at most.
func DefaultRetryConfig() RetryConfig { return RetryConfig{Ratio: 0.1, PerSecond: 1, Burst: 20} }

// RetryBudget bounds automatic retries by a token bucket that requests fill.
type RetryBudget struct {
	config RetryConfig

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(config RetryConfig, now time.Time) *RetryBudget {
	return &RetryBudget{config: config, tokens: config.Burst, last: now}
}

// Earn counts one request.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.config.Burst, b.tokens+b.config.Ratio)
}

// Take reports whether one retry is within the budget, and counts it.
func (b *RetryBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if passed := now.Sub(b.last); passed > 0 {
		b.tokens = min(b.config.Burst, b.tokens+b.config.PerSecond*passed.Seconds())
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
