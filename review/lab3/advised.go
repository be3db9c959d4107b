package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"bronzehook/platform/platformtest"
)

// Workers of two kinds serve a queue with advice. The few workers of kind b, which a watcher requires, are replaced one after the
// other. Rule LOST: a task that lasts runs again within 6 s and 3 s of its last run if there is capacity for it twice over.
const (
	advisedOld      = 4
	advisedOthers   = 40
	watchCount      = 4
	watchCPU        = 4000
	watchMemoryMB   = 4000
	releaseGap      = 1200 * time.Millisecond
	drainTime       = 2500 * time.Millisecond
	lingerTime      = 7 * time.Second
	decideTime      = 50 * time.Millisecond
	eachTime        = 2 * time.Millisecond
	ticketValid     = 3 * time.Second
	watchRestart    = 6 * time.Second
	calmBefore      = 4 * time.Second
	advisedWatch    = 70 * time.Second
	advisedSettle   = 10 * time.Second
	kindWatch       = 'c'
	labelA, labelB  = "a", "b"
	workerCapacity  = 32_000
	capacityRunsTwo = 2
)

// kindedWorker is a worker with the label of its kind.
type kindedWorker struct {
	*platformtest.Worker
	label string
	rack  string
	state string
}

// kindedFleet writes the registrations of workers with labels. The workers themselves write theirs to a store that nobody reads.
type kindedFleet struct {
	r       *rig
	shadow  *platformtest.Store
	fleet   *platformtest.Fleet
	mu      sync.Mutex
	workers []*kindedWorker
}

func newKindedFleet(r *rig, behaviour platformtest.Behaviour) *kindedFleet {
	shadow := platformtest.NewStore()
	k := &kindedFleet{r: r, shadow: shadow, fleet: platformtest.NewFleet(shadow, service, behaviour)}
	r.fleet = k.fleet
	go func() {
		for range time.Tick(heartbeat) {
			k.mu.Lock()
			all := append([]*kindedWorker(nil), k.workers...)
			k.mu.Unlock()
			for _, w := range all {
				k.register(w)
			}
		}
	}()
	return k
}

func (k *kindedFleet) add(label, rack string) (*kindedWorker, error) {
	inner, err := k.fleet.Add()
	if err != nil {
		return nil, err
	}
	w := &kindedWorker{Worker: inner, label: label, rack: rack, state: "ready"}
	k.mu.Lock()
	k.workers = append(k.workers, w)
	k.mu.Unlock()
	k.register(w)
	return w, nil
}

// register writes the registration of a worker with its label.
func (k *kindedFleet) register(w *kindedWorker) {
	k.mu.Lock()
	state := w.state
	k.mu.Unlock()
	if state == "gone" {
		return
	}
	w.Register()
	var row map[string]any
	if json.Unmarshal(k.shadow.Get("servers", w.ID), &row) != nil {
		return
	}
	row["labels"], row["state"] = []string{w.label, w.rack}, state
	if state == "draining" {
		row["remaining_ms"] = drainTime.Milliseconds()
	}
	k.r.store.Put("servers", w.ID, row)
}

func (k *kindedFleet) setState(w *kindedWorker, state string) {
	k.mu.Lock()
	w.state = state
	k.mu.Unlock()
	k.register(w)
}

// leave ends a worker for good.
func (k *kindedFleet) leave(w *kindedWorker) {
	k.setState(w, "gone")
	w.Crash()
	k.r.store.Delete("servers", w.ID)
	k.r.note("worker %s has left", w.ID)
}

// advisor is the service of advice. It handles one call at a time, and its policy allows all workers but one in ten.
type advisor struct {
	r  *rig
	mu sync.Mutex
}

func (a *advisor) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var body struct {
		Step    string
		Workers []string
	}
	if req.URL.Path != "/-/advise" || json.NewDecoder(req.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	time.Sleep(decideTime + time.Duration(len(body.Workers))*eachTime)
	good := make([][]string, 0, len(body.Workers))
	for _, id := range body.Workers {
		if !strings.HasSuffix(id, "9") {
			good = append(good, []string{id, "t-" + id})
		}
	}
	a.r.note("advice for %s: %d workers asked, first %s, last %s, %d good",
		body.Step, len(body.Workers), body.Workers[0], body.Workers[len(body.Workers)-1], len(good))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "valid_ms": ticketValid.Milliseconds()})
}

func playAdvisedRelease(r *rig, trouble bool) error {
	address, err := r.serve(r.limitedStore())
	if err != nil {
		return err
	}
	r.addresses["store"] = address
	if r.addresses["advice"], err = r.serve(&advisor{r: r}); err != nil {
		return err
	}
	k := newKindedFleet(r, platformtest.Behaviour{
		Duration: func(string) time.Duration { return 0 }, CPU: func(string) int { return watchCPU },
	})
	var old []*kindedWorker
	for range advisedOld {
		w, err := k.add(labelB, "r1-0")
		if err != nil {
			return err
		}
		old = append(old, w)
	}
	for i := range advisedOthers {
		if _, err := k.add(labelA, fmt.Sprintf("r1-%d", 1+i/8)); err != nil {
			return err
		}
	}
	queue := defaultRoute()
	queue["advice"] = map[string]any{"decide_ms": decideTime.Milliseconds(), "each_ms": eachTime.Milliseconds(), "valid_ms": ticketValid.Milliseconds()}
	r.putManifest(1, queue)
	if err := r.startInstances(3, nil); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	id := jobID(kindWatch, 1)
	accepted := r.submit(id, map[string]any{"spec": "watch", "steps": []map[string]any{{
		"count": watchCount, "cpu": watchCPU, "mem_mb": watchMemoryMB, "estimated_ms": 1000, "long_running": true, "requires": labelB,
	}}})
	if !accepted {
		return fmt.Errorf("the watcher was not accepted")
	}
	time.Sleep(advisedSettle)
	if running := k.runningOf(id); len(running) != watchCount {
		return fmt.Errorf("%d tasks of the watcher run before the release", len(running))
	}
	changed := time.Now()
	if trouble {
		if err := k.release(old); err != nil {
			return err
		}
		changed = time.Now()
	}
	k.judgeWatch(id, changed)
	return nil
}

// release replaces workers one after the other: the new one starts first, the old one drains and leaves.
func (k *kindedFleet) release(old []*kindedWorker) error {
	var leaving sync.WaitGroup
	for _, w := range old {
		replacement, err := k.add(w.label, w.rack)
		if err != nil {
			return err
		}
		k.setState(w, "draining")
		k.r.note("release: %s starts, %s drains", replacement.ID, w.ID)
		leaving.Go(func() {
			time.Sleep(drainTime + lingerTime)
			k.leave(w)
		})
		time.Sleep(releaseGap)
	}
	leaving.Wait()
	return nil
}

// runningOf returns the tasks of a job that run, and where.
func (k *kindedFleet) runningOf(id string) map[string]string {
	running := make(map[string]string)
	for _, w := range k.fleet.Workers() {
		for _, task := range w.RunningTasks() {
			if jobOf(task) == id {
				running[task] = w.ID
			}
		}
	}
	return running
}

// judgeWatch looks for tasks of the watcher that do not run, although the workers that it may use have capacity for two of them.
func (k *kindedFleet) judgeWatch(id string, changed time.Time) {
	lastRun := make(map[string]time.Time)
	found := make(map[string]bool)
	for i := range watchCount {
		lastRun[fmt.Sprintf("%s.0.0.%d", id, i)] = time.Now()
	}
	for begun := time.Now(); time.Since(begun) < advisedWatch-advisedSettle-12*time.Second; time.Sleep(judgeInterval) {
		running, now := k.runningOf(id), time.Now()
		places := k.placesFor()
		for task := range lastRun {
			if running[task] != "" {
				lastRun[task] = now
				continue
			}
			idle := now.Sub(lastRun[task])
			calm := now.Sub(changed) > calmBefore+idleLimit
			if idle > watchRestart+idleLimit && calm && places >= capacityRunsTwo && !found[task] {
				found[task] = true
				k.r.breakRule("LOST: task %s does not run for %.1f s, workers with label %s have room for %d of it; state %q",
					task, idle.Seconds(), labelB, places, k.r.state(id))
			}
		}
	}
	k.r.note("running at the end: %v", k.runningOf(id))
}

// placesFor returns how many tasks of the watcher fit on the ready workers with its label, by what runs there.
func (k *kindedFleet) placesFor() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	places := 0
	for _, w := range k.workers {
		if w.label == labelB && w.state == "ready" {
			places += (workerCapacity - w.Running()*watchCPU) / watchCPU
		}
	}
	return places
}
