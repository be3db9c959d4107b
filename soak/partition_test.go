package soak

import (
	"math/rand"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bronzehook/store"
)

// partitionedRestart is a fault: workers crash, start again under their IDs and are soon cut off for longer than their leases
// last.
type partitionedRestart struct {
	// workers holds the indexes of the workers.
	workers                 []int
	down, reachable, cutOff time.Duration
	// killLeader is set if the leading instance is killed while the workers are within reach.
	killLeader bool
}

// workerClockAge is the age of the workers' clocks at the start of a run: a lease expiry by the clock of an earlier incarnation
// is far ahead of the clock of a later one.
const workerClockAge = time.Hour

func newPartitionedRestart(random *rand.Rand, workers int) partitionedRestart {
	return partitionedRestart{
		workers: random.Perm(workers)[:1+random.Intn(workers/2)],
		down:    time.Duration(300+random.Intn(600)) * time.Millisecond,
		// The shorter times end before the leader notices the restart.
		reachable:  time.Duration(random.Intn(2500)) * time.Millisecond,
		cutOff:     maxLease() + time.Duration(random.Intn(2000))*time.Millisecond,
		killLeader: random.Intn(2) == 0,
	}
}

func (s *scenario) injectPartitionedRestart(r partitionedRestart) {
	workers := s.fleet.Workers()
	for _, n := range r.workers {
		workers[n].Crash()
	}
	time.Sleep(r.down)
	for _, n := range r.workers {
		workers[n].Restart()
	}
	time.Sleep(r.reachable / 2)
	if leader := s.leader(); r.killLeader && leader != nil {
		leader.restart(s.t, syscall.SIGKILL)
	}
	time.Sleep(r.reachable / 2)
	for _, n := range r.workers {
		workers[n].CutOff()
	}
	time.Sleep(r.cutOff)
	for _, n := range r.workers {
		workers[n].Reconnect()
	}
}

// leader returns the instance that holds the leadership lease, or nil.
func (s *scenario) leader() *instance {
	var lease []cbor.RawMessage
	var holder string
	if cbor.Unmarshal(s.store.Get(store.TableLeadership, "scheduler"), &lease) != nil || len(lease) == 0 ||
		cbor.Unmarshal(lease[0], &holder) != nil {
		return nil
	}
	for _, i := range s.instances {
		if i.name == holder {
			return i
		}
	}
	return nil
}
