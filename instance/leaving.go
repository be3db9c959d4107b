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
	// leavingRepeat is the time after which the owner of a rack is told again of a worker that leaves.
	leavingRepeat = 5 * time.Second
	// leavingValid is how long such a message counts; the directory has caught up by then, or the message is repeated.
	leavingValid = 15 * time.Second
)

// workersLeaving tells the owner of a rack which of its workers the sender's directory lists as leaving. The directory
// lags, and the owner, which alone sends to the workers, may read an older list.
type workersLeaving struct {
	Workers []api.WorkerID `cbor:"1,keyasint"`
}

// leavingNotices joins what the own directory and other instances say of leaving workers.
type leavingNotices struct {
	clock clockwork.Clock
	// changed is called after a message named a worker that was not known to leave.
	changed func()

	mu    sync.Mutex
	named map[api.WorkerID]time.Time
	told  map[api.WorkerID]time.Time
}

func newLeavingNotices(clock clockwork.Clock, changed func()) *leavingNotices {
	return &leavingNotices{
		clock: clock, changed: changed, named: map[api.WorkerID]time.Time{}, told: map[api.WorkerID]time.Time{},
	}
}

// heard takes a message of another instance.
func (l *leavingNotices) heard(workers []api.WorkerID) {
	l.mu.Lock()
	now := l.clock.Now()
	for _, id := range workers {
		l.named[id] = now
	}
	l.mu.Unlock()
	l.changed()
}

// join returns the workers with the leaving flags of both sources. It forgets messages that count no longer.
func (l *leavingNotices) join(workers []api.Worker) []api.Worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for id, at := range l.named {
		if now.Sub(at) > leavingValid {
			delete(l.named, id)
		}
	}
	if len(l.named) == 0 {
		return workers
	}
	joined := slices.Clone(workers)
	for index := range joined {
		if _, leaving := l.named[joined[index].ID]; leaving {
			joined[index].Leaving = true
		}
	}
	return joined
}

// due returns the leaving workers whose rack's owner has to be told, by owner, and counts them as told.
func (l *leavingNotices) due(workers []api.Worker, ownerOf func(api.Worker) api.InstanceID) map[api.InstanceID][]api.WorkerID {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	due := map[api.InstanceID][]api.WorkerID{}
	for _, w := range workers {
		if !w.Leaving {
			delete(l.told, w.ID)
			continue
		}
		owner := ownerOf(w)
		if at, told := l.told[w.ID]; owner == "" || told && now.Sub(at) < leavingRepeat {
			continue
		}
		l.told[w.ID] = now
		due[owner] = append(due[owner], w.ID)
	}
	return due
}

// tellOwners sends what the own directory says of workers in racks of other instances. It does not block.
func (i *Instance) tellOwners(workers []api.Worker) {
	units := i.owners.View().Units
	due := i.leaving.due(workers, func(w api.Worker) api.InstanceID {
		owner := units[w.RackUnit()].Instance
		if owner == i.options.Self.ID {
			return ""
		}
		return owner
	})
	for owner, ids := range due {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
			defer cancel()
			if _, err := call[empty](ctx, i, owner, peer.KindWorkersLeaving, workersLeaving{Workers: ids}); err != nil {
				i.log.Debug().Str("peer", string(owner)).Err(err).Msg("owner not told of leaving workers")
			}
		}()
	}
}
