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
	// directoryLag is how long the directory goes on listing an instance that has died.
	directoryLag = 3 * time.Second
	// steady is the time that load runs before a fault and after recovery.
	steady = 2 * time.Second
	// jobDeadline bounds jobs of 3 s that may have to be started a second time after a lease and a takeover.
	jobDeadline = 40 * time.Second
)

// work is the folder that the sessions with faults apply.
func work(jobTime time.Duration) map[string]string {
	return map[string]string{
		"10-teams.yaml": "kind: team\nname: web\ncpu: 64\nmemory: 256GiB\n",
		"20-shop.yaml": fmt.Sprintf("kind: service\nname: shop\nteam: web\nurgency: critical\nreplicas: %d\ncpu: 500m\nmemory: 512MiB\n"+
			"command: [\"serve\", \"20ms\"]\n", shopReplicas),
		"30-feed.yaml":  fmt.Sprintf("kind: watcher\nname: feed\nteam: web\nurgency: high\nreplicas: %d\ncpu: 250m\nmemory: 256MiB\ncommand: [\"watch\"]\n", feedReplicas),
		"40-index.yaml": jobFile(jobTime),
	}
}

func jobFile(runTime time.Duration) string {
	return fmt.Sprintf("kind: job\nname: index\nteam: web\nurgency: low\nreplicas: %d\ncpu: 500m\nmemory: 512MiB\nrunTime: %s\n"+
		"deadline: 10m\ncommand: [\"run\", \"%s\"]\n", jobTasks, runTime, runTime)
}

// startWork starts a fleet, applies the work and waits until services answer and watchers run.
func startWork(t *testing.T, jobTime time.Duration) *fleet {
	t.Helper()
	f := startFleet(t)
	f.apply(f.instances[0], work(jobTime))
	f.awaitService("shop")
	f.eventually(answerAgain, "watchers and services run", func() bool {
		return len(f.running("feed")) == feedReplicas && len(f.running("shop")) == shopReplicas
	})
	return f
}

// kill kills an instance; the directory drops it later.
func (f *fleet) kill(p *process) {
	f.t.Helper()
	p.kill(f.t)
	directory := f.site.Platform.Directory()
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

// Guards against requests that run twice or are lost when the owner of their shard and of racks dies.
func TestKillOfTheOwnerOfShardsAndRacks(t *testing.T) {
	t.Parallel()
	f := startWork(t, time.Second)
	l := f.startLoad("shop")
	time.Sleep(steady)
	victim := f.owner(api.RackUnit("montego", "r0"))
	f.kill(victim)
	t.Logf("answered again after %s", f.awaitAnswers("shop", answerAgain, f.others(victim)...))
	time.Sleep(steady)
	l.end()
	f.checkAll(t, l)
}

// Guards against jobs that run in two places, twice or not at all when the coordinator dies.
func TestKillOfTheCoordinator(t *testing.T) {
	t.Parallel()
	f := startWork(t, 3*time.Second)
	f.kill(f.owner(api.Coordinator))
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	f.checkAll(t, nil)
}

// Guards against an instance that acts on lapsed authority after a pause.
func TestPauseOfAnOwner(t *testing.T) {
	t.Parallel()
	const pause = 12 * time.Second
	f := startWork(t, 3*time.Second)
	l := f.startLoad("shop")
	time.Sleep(steady)
	victim := f.owner(api.RackUnit("montego", "r0"))
	victim.signal(t, syscall.SIGSTOP)
	time.Sleep(pause)
	victim.signal(t, syscall.SIGCONT)
	t.Logf("answered again after %s", f.awaitAnswers("shop", answerAgain, f.instances...))
	time.Sleep(steady)
	l.end()
	f.checkJobDone(t, "index", jobTasks, jobDeadline)
	f.checkAll(t, l)
}
