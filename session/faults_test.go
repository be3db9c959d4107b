package session

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"bronzehook/api"
)

const (
	shopReplicas = 4
	feedReplicas = 3
	jobTasks     = 6
	// directoryLag is the time for which the directory still lists an instance that has died.
	directoryLag = 3 * time.Second
	// steadyTime is the time for which load runs before a fault and after recovery.
	steadyTime = 2 * time.Second
	// jobDeadline bounds jobs of 3 s whose tasks may have to be started again after an attempt lease and a takeover.
	jobDeadline = 40 * time.Second
)

// workloads returns the files that the tests with faults apply, by name.
func workloads(jobTime time.Duration) map[string]string {
	return map[string]string{
		"10-teams.yaml": "kind: team\nname: web\ncpu: 64\nmemory: 256GiB\n",
		"20-shop.yaml": fmt.Sprintf("kind: service\nname: shop\nteam: web\nurgency: critical\nreplicas: %d\ncpu: 500m\nmemory: 512MiB\n"+
			"command: [\"serve\", \"20ms\"]\n", shopReplicas),
		"30-feed.yaml":  fmt.Sprintf("kind: watcher\nname: feed\nteam: web\nurgency: high\nreplicas: %d\ncpu: 250m\nmemory: 256MiB\ncommand: [\"watch\"]\n", feedReplicas),
		"40-index.yaml": jobFile(jobTime),
	}
}

// jobFile returns the file of a job whose tasks run for runTime.
func jobFile(runTime time.Duration) string {
	return fmt.Sprintf("kind: job\nname: index\nteam: web\nurgency: low\nreplicas: %d\ncpu: 500m\nmemory: 512MiB\nrunTime: %s\n"+
		"deadline: 10m\ncommand: [\"run\", \"%s\"]\n", jobTasks, runTime, runTime)
}

// startWorkloads starts a fleet, applies the workloads and waits until the services answer and all tasks of services and
// watchers run.
func startWorkloads(t *testing.T, jobTime time.Duration) *fleet {
	t.Helper()
	f := startFleet(t)
	f.apply(f.instances[0], workloads(jobTime))
	f.awaitService("shop")
	f.eventually(recoveryLimit, "watchers and services run", func() bool {
		return len(f.runningAttempts("feed")) == feedReplicas && len(f.runningAttempts("shop")) == shopReplicas
	})
	return f
}

// killInstance kills an instance; the directory drops it after directoryLag.
func (f *fleet) killInstance(p *process) {
	f.t.Helper()
	p.kill(f.t)
	directory := f.cluster.Platform.Directory()
	timer := time.AfterFunc(directoryLag, func() { directory.DeleteInstance(api.InstanceID(p.id)) })
	f.t.Cleanup(func() { timer.Stop() })
}

// others returns all instances but one.
func (f *fleet) others(p *process) []*process {
	var others []*process
	for _, other := range f.instances {
		if other != p {
			others = append(others, other)
		}
	}
	return others
}

// Guards against requests that are executed twice or lost when the instance that owns their shard and its racks dies.
func TestOwnerOfShardsAndRacksKilled(t *testing.T) {
	t.Parallel()
	f := startWorkloads(t, time.Second)
	l := f.startLoad("shop")
	time.Sleep(steadyTime)
	victim := f.owner(api.RackUnit("montego", "r0"))
	f.killInstance(victim)
	t.Logf("answered again after %s", f.awaitAnswered("shop", recoveryLimit, f.others(victim)...))
	time.Sleep(steadyTime)
	l.finish()
	f.checkAll(t, l)
}

// Guards against tasks of a job that run on two workers at a time, twice or not at all when the coordinator dies.
func TestCoordinatorKilled(t *testing.T) {
	t.Parallel()
	f := startWorkloads(t, 3*time.Second)
	f.killInstance(f.owner(api.Coordinator))
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	f.checkAll(t, nil)
}

// Guards against an instance that acts without a valid instance lease after its process was paused for longer than the lease.
func TestOwnerPaused(t *testing.T) {
	t.Parallel()
	const pause = 12 * time.Second
	f := startWorkloads(t, 3*time.Second)
	l := f.startLoad("shop")
	time.Sleep(steadyTime)
	victim := f.owner(api.RackUnit("montego", "r0"))
	victim.signal(t, syscall.SIGSTOP)
	time.Sleep(pause)
	victim.signal(t, syscall.SIGCONT)
	t.Logf("answered again after %s", f.awaitAnswered("shop", recoveryLimit, f.instances...))
	time.Sleep(steadyTime)
	l.finish()
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	f.checkAll(t, l)
}
