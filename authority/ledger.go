package authority

import (
	"time"

	"bronzehook/api"
)

// Ledger records when this instance last received a heartbeat from each other instance. Its reports to other instances
// are based on it.
type Ledger struct {
	startedAt time.Duration
	lastHeard map[api.InstanceID]time.Duration
}

// NewLedger returns an empty tracker for an instance that was started at startedAt.
func NewLedger(startedAt time.Duration) *Ledger {
	return &Ledger{startedAt: startedAt, lastHeard: map[api.InstanceID]time.Duration{}}
}

// Heard records that a heartbeat of an instance was received at time at.
func (t *Ledger) Heard(id api.InstanceID, at time.Duration) { t.lastHeard[id] = at }

// Age returns the time since the last heartbeat of an instance. If none was received it is the time since the start: a
// restarted instance does not know which heartbeats it had received before, so for the expiry delay it must not report
// any instance as unresponsive.
func (t *Ledger) Age(id api.InstanceID, now time.Duration) time.Duration {
	at, ok := t.lastHeard[id]
	if !ok {
		at = t.startedAt
	}
	return now - at
}

// LastHeard returns when the last heartbeat of an instance was received.
func (t *Ledger) LastHeard(id api.InstanceID) (time.Duration, bool) {
	at, ok := t.lastHeard[id]
	return at, ok
}
