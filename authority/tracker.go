package authority

import (
	"time"

	"bronzehook/api"
)

// HeartbeatTracker records when this instance last received a heartbeat from each other instance. Its reports to other instances
// are based on it.
type HeartbeatTracker struct {
	startedAt     time.Duration
	lastHeartbeat map[api.InstanceID]time.Duration
}

// NewHeartbeatTracker returns an empty tracker for an instance that was started at startedAt.
func NewHeartbeatTracker(startedAt time.Duration) *HeartbeatTracker {
	return &HeartbeatTracker{startedAt: startedAt, lastHeartbeat: map[api.InstanceID]time.Duration{}}
}

// RecordHeartbeat records that a heartbeat of an instance was received at time at.
func (t *HeartbeatTracker) RecordHeartbeat(id api.InstanceID, at time.Duration) {
	t.lastHeartbeat[id] = at
}

// Age returns the time since the last heartbeat of an instance. If none was received it is the time since the start: a
// restarted instance does not know which heartbeats it had received before, so for the expiry delay it must not report
// any instance as unresponsive.
func (t *HeartbeatTracker) Age(id api.InstanceID, now time.Duration) time.Duration {
	at, ok := t.lastHeartbeat[id]
	if !ok {
		at = t.startedAt
	}
	return now - at
}

// LastHeartbeat returns when the last heartbeat of an instance was received.
func (t *HeartbeatTracker) LastHeartbeat(id api.InstanceID) (time.Duration, bool) {
	at, ok := t.lastHeartbeat[id]
	return at, ok
}
