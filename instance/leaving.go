package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/peer"
)

const (
	// leavingResendInterval is the time after which the owner of a rack is notified again of a worker that is leaving.
	leavingResendInterval = 5 * time.Second
	// leavingNoticeTTL is how long a received notice counts; by then the directory has caught up or the notice was
	// resent.
	leavingNoticeTTL = 15 * time.Second
)

// workersLeaving notifies the owner of a rack of its workers that the sender has read as leaving from the directory.
// The directory is eventually consistent: the owner, the only instance that sends to these workers, may read an older
// state.
type workersLeaving struct {
	Workers []api.WorkerID `cbor:"1,keyasint"`
}

// leavingNotices combines the leaving flags that this instance reads from the directory with notices of other
// instances.
type leavingNotices struct {
	clock clockwork.Clock
	// changed is called after a notice of another instance was recorded.
	changed func()

	mu         sync.Mutex
	reportedAt map[api.WorkerID]time.Time
	sent       map[api.WorkerID]sentNotice
}

// sentNotice is the last notice about a worker and the owner of the rack that it was sent to.
type sentNotice struct {
	owner api.InstanceID
	at    time.Time
}

func newLeavingNotices(clock clockwork.Clock, changed func()) *leavingNotices {
	return &leavingNotices{
		clock: clock, changed: changed, reportedAt: map[api.WorkerID]time.Time{}, sent: map[api.WorkerID]sentNotice{},
	}
}

// record stores a notice of another instance.
func (l *leavingNotices) record(workers []api.WorkerID) {
	l.mu.Lock()
	now := l.clock.Now()
	for _, id := range workers {
		l.reportedAt[id] = now
	}
	l.mu.Unlock()
	l.changed()
}

// markLeaving returns the workers with the leaving flags of both sources. It removes expired notices.
func (l *leavingNotices) markLeaving(workers []api.Worker) []api.Worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for id, at := range l.reportedAt {
		if now.Sub(at) > leavingNoticeTTL {
			delete(l.reportedAt, id)
		}
	}
	if len(l.reportedAt) == 0 {
		return workers
	}
	marked := slices.Clone(workers)
	for index := range marked {
		if _, leaving := l.reportedAt[marked[index].ID]; leaving {
			marked[index].Leaving = true
		}
	}
	return marked
}

// dueNotices returns the leaving workers of which the owner of their rack has to be notified, by owner, and marks them
// as notified. A new owner is notified at once: what the former one was told may be lost with it.
func (l *leavingNotices) dueNotices(workers []api.Worker, ownerOf func(api.Worker) api.InstanceID) map[api.InstanceID][]api.WorkerID {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	due := map[api.InstanceID][]api.WorkerID{}
	for _, w := range workers {
		if !w.Leaving {
			delete(l.sent, w.ID)
			continue
		}
		owner := ownerOf(w)
		last := l.sent[w.ID]
		if owner == "" || last.owner == owner && now.Sub(last.at) < leavingResendInterval {
			continue
		}
		l.sent[w.ID] = sentNotice{owner, now}
		due[owner] = append(due[owner], w.ID)
	}
	return due
}

// notifyRackOwners notifies other instances of the workers in their racks that are leaving. It does not block.
func (i *Instance) notifyRackOwners(workers []api.Worker) {
	units := i.owners.View().Units
	due := i.leavingWorkers.dueNotices(workers, func(w api.Worker) api.InstanceID {
		owner := units[w.RackUnit()].Instance
		if owner == i.options.Self.ID {
			return ""
		}
		return owner
	})
	for owner, ids := range due {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
			defer cancel()
			if _, err := call[empty](ctx, i, owner, peer.KindWorkersLeaving, workersLeaving{Workers: ids}); err != nil {
				i.log.Debug().Str("peer", string(owner)).Err(err).Msg("rack owner not notified of leaving workers")
			}
		}()
	}
}
