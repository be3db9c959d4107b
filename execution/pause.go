package execution

import "time"

// renewRetryInterval is the minimum time between two attempts to renew an expired leadership lease.
const renewRetryInterval = 150 * time.Millisecond

// pauseUnlessLeading reports whether the term is paused because the leadership lease was not renewed in time. A paused
// term sends no commands and only tries to renew the lease. If that succeeds, no other instance has led in between, so
// that nothing needs to be read again. If another instance has, the renewal fails with a LostError.
func (t *Term) pauseUnlessLeading(now time.Duration) bool {
	if t.leader.Valid() {
		if t.paused {
			t.log.Info().Dur("paused", now-t.pausedAt).Msg("duty resumed")
			t.paused, t.scheduleDue = false, true
		}
		return false
	}
	if !t.paused {
		t.paused, t.pausedAt = true, now
		t.log.Warn().Dur("duty_age", t.leader.Age()).Msg("duty paused, not renewed in time")
	}
	if t.records.ready(now) {
		t.renewAt = 0
		t.commitRecords(now)
		t.records.nextCommit = now + renewRetryInterval
	}
	return true
}
