package instance

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"bronzehook/api"
)

// Guards against a worker that has begun to leave and is in use again after the instance that owned its rack was
// restarted: the next owner may read an older state of the directory, and has to be notified at once.
func TestNewOwnerIsNotifiedOfLeavingWorkers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	notices := newLeavingNotices(clock, func() {})
	workers := []api.Worker{{ID: "w", Leaving: true}}
	due := func(owner api.InstanceID) map[api.InstanceID][]api.WorkerID {
		return notices.dueNotices(workers, func(api.Worker) api.InstanceID { return owner })
	}
	none := map[api.InstanceID][]api.WorkerID{}
	for i, c := range []struct {
		after time.Duration
		owner api.InstanceID
		want  map[api.InstanceID][]api.WorkerID
	}{
		{0, "a", map[api.InstanceID][]api.WorkerID{"a": {"w"}}},
		{time.Second, "a", none},
		{time.Second, "b", map[api.InstanceID][]api.WorkerID{"b": {"w"}}},
		{time.Second, "", none},
		{time.Second, "b", none},
		{leavingResendInterval, "b", map[api.InstanceID][]api.WorkerID{"b": {"w"}}},
	} {
		clock.Advance(c.after)
		if diff := cmp.Diff(c.want, due(c.owner)); diff != "" {
			t.Errorf("step %d (-want +got):\n%s", i, diff)
		}
	}
}
