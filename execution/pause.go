package execution

import "time"

// renewPause is the pause between attempts to renew a duty that has lapsed.
const renewPause = 150 * time.Millisecond

// pauseUnlessLeading gives no orders while the duty has not been renewed in time, and only tries to renew it. Nothing needs to
// be read again if that succeeds: no other instance has held the duty in between. If one has, the renewal says so.
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
		t.records.next = now + renewPause
	}
	return true
}
