package execution

import (
	"cmp"
	"slices"
	"time"

	"bronzehook/jobs"
	"bronzehook/locality"
	"bronzehook/placement"
)

// nearPlaces holds the places that waiting tasks name. The workers of each label are listed again only after a change of the
// active workers; the state of a place is computed at most once in a scheduling cycle, when a task first needs it.
type nearPlaces struct {
	// decide is locality.Decide; tests compare it with other rules.
	decide func(locality.Place, locality.Task) locality.Decision
	// byLabel holds the active workers by label, racks the names of the racks, as of a version of the list of workers.
	byLabel map[string][]*worker
	racks   []string
	version int
	// places holds the places of this cycle. changes counts the tasks added to their forecasts.
	places  map[placeKey]*nearPlace
	changes int
	// rackPlaces holds the places of all racks, by service.
	rackPlaces map[string][]*nearPlace
	// groups caches the earliest place for groups of a shape; groupForecasts counts the searches for one in this cycle.
	groups         map[groupShape]groupWait
	groupForecasts int
	// unplacedGroups holds the shapes of the groups of which no place took all in this cycle, up to maxUnplacedGroups.
	unplacedGroups []groupShape
	// backlog is, by service, the work of the tasks that rank higher and wait for any worker, in core-seconds.
	backlog map[string]float64
}

func newNearPlaces() nearPlaces {
	return nearPlaces{
		decide: locality.Decide, version: -1, places: make(map[placeKey]*nearPlace), groups: make(map[groupShape]groupWait),
		backlog: make(map[string]float64), rackPlaces: make(map[string][]*nearPlace),
	}
}

// placeKey identifies a place: the workers of a service with a label. The name of a rack is a label of its workers.
type placeKey struct{ service, label string }

// nearPlace is the state of a place in one scheduling cycle.
type nearPlace struct {
	key     placeKey
	workers []*worker
	// forecast is nil until it is needed. indices holds the position in it of each worker that takes tasks.
	forecast *locality.Forecast
	indices  map[*worker]int
	// free is the capacity that was free on all workers when it was first needed, largest the most on one of them, by resource.
	// Within a cycle they are upper bounds, by which most places are ruled out without a look at their workers.
	free, largest jobs.Resources
	freeKnown     bool
	// groupWaits caches, until changes, the waits of groups by their shapes.
	groupWaits map[groupShape]time.Duration
	// ahead counts the tasks that wait for the place and rank higher.
	ahead int
}

// beginCycle discards the state of the previous cycle.
func (n *nearPlaces) beginCycle() {
	clear(n.places)
	clear(n.rackPlaces)
	clear(n.groups)
	n.unplacedGroups = n.unplacedGroups[:0]
	clear(n.backlog)
	n.groupForecasts = 0
}

// nearPlaceOf returns the place of a service with a label.
func (t *Term) nearPlaceOf(service, label string) *nearPlace {
	key := placeKey{service, label}
	if p := t.near.places[key]; p != nil {
		return p
	}
	t.listNearWorkers()
	p := &nearPlace{key: key, workers: t.near.byLabel[label]}
	t.near.places[key] = p
	return p
}

// rackPlacesOf returns the places of all racks of a service.
func (t *Term) rackPlacesOf(service string) []*nearPlace {
	if places, ok := t.near.rackPlaces[service]; ok {
		return places
	}
	t.listNearWorkers()
	places := make([]*nearPlace, 0, len(t.near.racks))
	for _, rack := range t.near.racks {
		places = append(places, t.nearPlaceOf(service, rack))
	}
	t.near.rackPlaces[service] = places
	return places
}

// listNearWorkers lists the active workers by label.
func (t *Term) listNearWorkers() {
	if t.near.version == t.nodes.version {
		return
	}
	t.near.version, t.near.racks, t.near.byLabel = t.nodes.version, nil, make(map[string][]*worker)
	for _, w := range t.active {
		registration := &w.node.Registration
		for _, label := range registration.Labels {
			t.near.byLabel[label] = append(t.near.byLabel[label], w)
		}
		rack := registration.Rack
		if rack == "" {
			continue
		}
		if !slices.Contains(registration.Labels, rack) {
			t.near.byLabel[rack] = append(t.near.byLabel[rack], w)
		}
		if !slices.Contains(t.near.racks, rack) {
			t.near.racks = append(t.near.racks, rack)
		}
	}
	slices.Sort(t.near.racks)
}

// observeFree computes the bounds of the free capacity.
func (p *nearPlace) observeFree() {
	if p.freeKnown {
		return
	}
	p.freeKnown = true
	for _, w := range p.workers {
		if !w.node.Usable {
			continue
		}
		free := w.node.Free()
		p.free = p.free.Add(jobs.Resources{CPU: max(0, free.CPU), MemoryMB: max(0, free.MemoryMB), GPU: max(0, free.GPU)})
		p.largest = jobs.Resources{
			CPU: max(p.largest.CPU, free.CPU), MemoryMB: max(p.largest.MemoryMB, free.MemoryMB), GPU: max(p.largest.GPU, free.GPU),
		}
	}
}

// accepts reports whether a worker of the place takes a task now.
func (p *nearPlace) accepts(request placement.Request) bool {
	p.observeFree()
	if !request.Step.Reserved().Fits(p.largest) {
		return false
	}
	return slices.ContainsFunc(p.workers, func(w *worker) bool { return placement.Accepts(&w.node, request) })
}

// add notes that tasks wait for the place in the forecast.
func (n *nearPlaces) add(p *nearPlace, count int) {
	p.ahead += count
	n.forecastChanged(p)
}

// forecastChanged discards what was derived from the forecast of a place.
func (n *nearPlaces) forecastChanged(p *nearPlace) {
	clear(p.groupWaits)
	n.changes++
}

// forecastOf returns the forecast of a place, from the capacity that is free and the attempts that run there.
func (t *Term) forecastOf(p *nearPlace) *locality.Forecast {
	if p.forecast != nil {
		return p.forecast
	}
	p.forecast, p.indices = locality.NewForecast(t.scheduledAt), make(map[*worker]int, len(p.workers))
	for _, w := range p.workers {
		if !w.node.Usable || w.node.Degraded || w.node.Registration.Service != p.key.service {
			continue
		}
		p.indices[w] = len(p.indices)
		p.forecast.AddWorker(w.node.FreeForBatch(), t.releasesOn(w))
	}
	if pool := t.pools[p.key.service]; pool != nil && p.forecast.Empty() {
		t.activateWithLabel(pool, p.key.label)
	}
	return p.forecast
}

const (
	// stopTime is the assumed time until a stopped attempt has ended.
	stopTime = time.Second
	// maxReleasesAge is for how long what is expected of the attempts on a worker is kept while these are the same ones.
	maxReleasesAge = 300 * time.Millisecond
)

// releasesOn returns what the attempts on a worker will release, and when.
func (t *Term) releasesOn(w *worker) []locality.Release {
	now := t.scheduledAt
	overdue := len(w.releases) > 0 && w.releases[0].At <= now
	if w.releasesAt > 0 && now-w.releasesAt < maxReleasesAge && !overdue {
		return w.releases
	}
	// Forecasts of this cycle may hold the earlier slice.
	w.releases, w.releasesAt = make([]locality.Release, 0, len(w.attempts)), now
	for _, a := range w.attempts {
		left := locality.Never
		if !a.task.step.LongRunning {
			left = t.remaining(a)
		}
		if a.stopping {
			left = min(left, stopTime)
		}
		if left < locality.Never {
			w.releases = append(w.releases, locality.Release{At: now + left, Capacity: a.task.step.Reserved()})
		}
	}
	slices.SortFunc(w.releases, func(a, b locality.Release) int { return cmp.Compare(a.At, b.At) })
	return w.releases
}

// remaining returns for how long a batch attempt is expected to run.
func (t *Term) remaining(a *taskAttempt) time.Duration {
	step := a.task.step
	run := locality.Run{Estimate: step.Estimate, Progress: a.progress, Resumed: a.task.checkpoint != ""}
	if step.Affinity != "" && !a.worker.node.Registration.HasLabel(step.Affinity) {
		run.Estimate = time.Duration(max(1, t.opts.RemoteDataFactor) * float64(step.Estimate))
	}
	if a.startedAt > 0 {
		run.Ran, run.RanAtProgress = t.scheduledAt-a.startedAt, a.progressAt-a.startedAt
	}
	return run.Remaining()
}

// noteAssigned brings the forecasts of the places of a worker up to date with a task that was placed there.
func (n *nearPlaces) noteAssigned(w *worker, step *jobs.Step) {
	if len(n.places) == 0 {
		return
	}
	registration := &w.node.Registration
	for _, label := range registration.Labels {
		n.noteAssignedTo(placeKey{registration.Service, label}, w, step)
	}
	if !slices.Contains(registration.Labels, registration.Rack) {
		n.noteAssignedTo(placeKey{registration.Service, registration.Rack}, w, step)
	}
}

func (n *nearPlaces) noteAssignedTo(key placeKey, w *worker, step *jobs.Step) {
	p := n.places[key]
	if p == nil || p.forecast == nil {
		return
	}
	if i, ok := p.indices[w]; ok {
		runTime := step.Estimate
		if step.LongRunning {
			runTime = 0
		}
		p.forecast.Start(i, step.Reserved(), runTime)
		n.forecastChanged(p)
	}
}

// noteBacklog adds the tasks of a step that wait for any worker to the backlog of the tasks that rank lower. Best-effort tasks
// reserve no CPU; the others left out wait for particular workers or keep theirs, so that their work says nothing about the wait.
func (n *nearPlaces) noteBacklog(tasks []*task) {
	if len(tasks) == 0 {
		return
	}
	step, queue := tasks[0].step, &tasks[0].job.queue
	if step.BestEffort || step.LongRunning || step.Requires != "" || queue.Advice != nil {
		return
	}
	waiting := 0
	for _, task := range tasks {
		if task.current == nil && !task.done && !task.nearOutcome.Waits() {
			waiting++
		}
	}
	if waiting > 0 {
		n.backlog[queue.Service] += workOf(step, waiting)
	}
}

// backlogDelay is the time that a service needs for the backlog of tasks that rank higher and wait for any worker, which take near
// capacity as well.
func (t *Term) backlogDelay(service string) time.Duration {
	p, backlog := t.pools[service], t.near.backlog[service]
	if p == nil || p.capacity == 0 {
		return 0
	}
	return time.Duration(backlog * 1000 / float64(p.capacity) * float64(time.Second))
}
