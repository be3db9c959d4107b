package authority

import (
	"time"

	"bronzehook/api"
)

// Ledger keeps when this instance last heard each other one, for its reports.
type Ledger struct {
	started time.Duration
	heard   map[api.InstanceID]time.Duration
}

// NewLedger returns the ledger of an instance that was started at a time.
func NewLedger(started time.Duration) *Ledger {
	return &Ledger{started: started, heard: map[api.InstanceID]time.Duration{}}
}

// Heard records that an instance was heard.
func (l *Ledger) Heard(id api.InstanceID, at time.Duration) { l.heard[id] = at }

// Age returns for how long an instance has not been heard. An instance that was never heard counts as heard at the
// start: a restarted instance does not know what it had heard before, so it stays silent for Hold and margin.
func (l *Ledger) Age(id api.InstanceID, now time.Duration) time.Duration {
	at, ok := l.heard[id]
	if !ok {
		at = l.started
	}
	return now - at
}

// LastHeard returns when an instance was last heard.
func (l *Ledger) LastHeard(id api.InstanceID) (time.Duration, bool) {
	at, ok := l.heard[id]
	return at, ok
}
