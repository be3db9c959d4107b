// Package soak runs scheduler instances as separate processes against fakes of the platform and injects faults from outside:
// signals, network faults in proxies between the processes, and failing store calls. The invariants are checked from what
// callers, workers and the store see.
package soak

import (
	"flag"
	"fmt"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

var (
	seedFlag      = flag.Int64("soak.seed", 0, "seed of a run; 0 runs the seeds of CI")
	countFlag     = flag.Int("soak.seeds", 1, "number of consecutive seeds to run, starting at soak.seed")
	sizeFlag      = flag.String("soak.size", "small", "small (3 instances), medium (12) or large (30, under as many callers as they sustain)")
	partitionFlag = flag.Bool("soak.partition", false, "add workers that start again with a clock of their own and are cut off soon after, under longer leases")
)

// size is the scale of a run.
type size struct {
	instances      int
	workers        int
	submitInterval time.Duration
	// scarceCPU is the capacity of each worker in runs with an even seed, in thousandths of a core, so that jobs wait for free
	// capacity. It suffices for all batch jobs beside the long-running tasks, unless faults keep most workers from work for long.
	scarceCPU int
	faultTime time.Duration
}

var sizes = map[string]size{
	"small":  {instances: 3, workers: 8, submitInterval: 90 * time.Millisecond, scarceCPU: 14_000, faultTime: 9 * time.Second},
	"medium": {instances: 12, workers: 16, submitInterval: 50 * time.Millisecond, scarceCPU: 14_000, faultTime: 14 * time.Second},
	"large":  {instances: 30, workers: 24, submitInterval: 12 * time.Millisecond, scarceCPU: 56_000, faultTime: 16 * time.Second},
}

// ciSeeds are the seeds that CI runs. Every seed that has ever failed is added with its cause, which also has a unit test: the
// faults of a seed change whenever kinds of faults are added.
var ciSeeds = []int64{
	1,
	// A poll meant for an earlier incarnation of a worker arrived late and acknowledged terminations of the later incarnation
	// that the leader had not seen. The worker discarded them, so that completed tasks ran again.
	108, 200,
	// A request that was accepted in the last second of a planned stop was cut off.
	6001,
	// Workers got no work after maintenance if the maintenance command was answered only after the registration of the
	// worker's next incarnation.
	6018, 6022,
	// Seeds with contended faults, of workers with ample and with scarce CPU.
	9007, 9022,
}

const (
	// completionLimit bounds the time from the end of the load until all accepted batch jobs have ended, without the time in which
	// the workers are busy, busyCompletionLimit with it.
	completionLimit     = 20 * time.Second
	busyCompletionLimit = 3 * time.Minute
	// cancelLimit bounds the time from the acknowledgement of a cancellation, or the end of the load if that is later, until
	// no task of the job runs.
	cancelLimit = 8 * time.Second
)

func TestSoak(t *testing.T) {
	seeds := ciSeeds
	if *seedFlag != 0 {
		seeds = nil
		for i := range *countFlag {
			seeds = append(seeds, *seedFlag+int64(i))
		}
	}
	binary := buildBinary(t)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, binary, seed)
		})
	}
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "bronzehook")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/bronzehook").CombinedOutput()
	if err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	return binary
}

// runSeed runs one seed: a phase of overlapping faults, the planned phase without faults, and then the checks of all invariants.
func runSeed(t *testing.T, binary string, seed int64) {
	s := newScenario(t, binary, seed)
	time.Sleep(1500 * time.Millisecond)
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Add(2)
	go func() { defer running.Done(); s.callers.submitUntil(stop) }()
	go func() { defer running.Done(); s.callers.queryUntil(stop) }()
	s.requestMaintenance(faultWave, 3)
	faultsEnded := make(chan struct{})
	if s.contention != nil {
		s.contention.start(faultsEnded)
	}
	version := s.injectFaults()
	s.faults.run(s.clearFaults)
	close(faultsEnded)
	if s.contention != nil {
		s.contention.drainAfterFaults()
	}
	s.runPlannedOperations(version)
	if s.contention != nil {
		s.contention.awaitResumption()
	}
	close(stop)
	running.Wait()
	loadStopped := time.Now()
	s.callers.awaitTerminal(completionLimit, busyCompletionLimit)
	time.Sleep(time.Until(loadStopped.Add(cancelLimit)))
	s.check()
	s.awaitMaintenance()
	s.checkLongRunning(loadStopped)
	s.checkMaintenance()
}
