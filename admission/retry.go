package admission

import (
	"sync"
	"time"
)

// RetryConfig holds the parameters of a retry budget.
type RetryConfig struct {
	// Ratio is the number of retries deposited per request.
	Ratio float64
	// PerSecond is the number of retries added per second even without requests, so that rare requests can be retried.
	PerSecond float64
	// Burst is the largest balance of the budget.
	Burst float64
}

// DefaultRetryConfig allows retries for 10% of the requests. If all endpoints fail, retries then add at most 10% to the
// load, beyond the burst and the constant rate.
func DefaultRetryConfig() RetryConfig { return RetryConfig{Ratio: 0.1, PerSecond: 1, Burst: 20} }

// RetryBudget limits automatic retries with a token bucket that is filled by requests and at a constant rate. It is safe
// for concurrent use.
type RetryBudget struct {
	config RetryConfig

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

// NewRetryBudget returns a budget whose balance is the burst.
func NewRetryBudget(config RetryConfig, now time.Time) *RetryBudget {
	return &RetryBudget{config: config, tokens: config.Burst, lastRefill: now}
}

// Deposit deposits the tokens for one request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.config.Burst, b.tokens+b.config.Ratio)
}

// TryWithdraw withdraws one retry and reports whether the balance allowed it.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.tokens = min(b.config.Burst, b.tokens+b.config.PerSecond*elapsed.Seconds())
		b.lastRefill = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
