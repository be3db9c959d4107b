package execution

import (
	"math"
	"slices"
	"time"

	"bronzehook/jobs"
	"bronzehook/locality"
	"bronzehook/placement"
	"bronzehook/workers"
)

// Limits of the work for groups in one scheduling cycle, so that many waiting groups do not delay the leader.
const (
	// maxGroupForecasts bounds the searches for the earliest place of a group, each of which covers all racks. Further groups wait
	// only for as long as without a forecast.
	maxGroupForecasts = 16
	// maxUnplacedGroups bounds the shapes that are remembered as not taken by any place.
	maxUnplacedGroups = 8
)

// groupShape is what the wait of a group depends on.
type groupShape struct {
	service          string
	need             jobs.Resources
	count, perWorker int
	// label is the label that the group's workers must have; empty for any rack.
	label string
	// headroom, longRunning, bestEffort, allowStarved, requires and image decide which free capacity the group may use.
	headroom                              int
	longRunning, bestEffort, allowStarved bool
	requires, image                       string
}

// needsAsMuch reports whether a group needs at least as much as another one that may use the same capacity.
func (g groupShape) needsAsMuch(other groupShape) bool {
	if !other.need.Fits(g.need) || g.count < other.count {
		return false
	}
	g.need, g.count = other.need, other.count
	return g == other
}

// groupWait is the earliest place with capacity for a group, valid for a number of changes of the forecasts.
type groupWait struct {
	place   *nearPlace
	wait    time.Duration
	known   bool
	changes int
}

// groupWaits decides for a group, a gang or a rack-sensitive step of which nothing runs, where it is placed as a whole. It
// reports whether the group waits for such a place; otherwise the search names a place with capacity for all now, if there is
// one.
func (t *Term) groupWaits(s *nearSearch, tasks []*task, advice func(workers.ID) placement.Advice) bool {
	step := tasks[0].step
	if s == nil || !(step.Gang || s.onRack) || (s.onRack && s.place != nil) {
		return false
	}
	first, waiting := firstWaiting(tasks)
	if first == nil || (s.onRack && waiting < 2) || isRunning(tasks) || t.starved(first, t.scheduledAt) {
		return false
	}
	request := t.groupRequest(first, advice)
	candidates := t.groupPlaces(s)
	if len(candidates) == 0 {
		return false
	}
	shape := shapeOf(&request, waiting)
	if s.place = t.placeForAll(candidates, request, shape); s.place != nil {
		return t.decideNear(s, first, locality.Place{FreeNow: true}).Waits()
	}
	if t.groupWaitPays(s, shape, candidates, tasks) {
		t.noteWaitNear(s.job.queue.Service, step)
		return true
	}
	if !s.onRack && step.RackSensitive {
		// Far from the data, the group is still faster on one rack.
		s.onRack = true
		shape.label = ""
		s.place = t.placeForAll(t.groupPlaces(s), request, shape)
	}
	return false
}

// groupRequest returns a request for any one task of a group.
func (t *Term) groupRequest(first *task, advice func(workers.ID) placement.Advice) placement.Request {
	request := placement.Request{
		Step: first.step, Service: first.job.queue.Service, Interference: t.interference, Advice: advice,
		OnNode: func(workers.ID) int { return 0 }, AllowStarved: t.bestEffortStarved(first.job, first),
	}
	request.UseHeld = request.AllowStarved || t.starved(first, t.scheduledAt)
	if !first.step.Gang {
		request.Headroom = t.headroom(first, t.scheduledAt)
	}
	return request
}

// shapeOf returns the shape of a group with a number of waiting tasks.
func shapeOf(request *placement.Request, waiting int) groupShape {
	step := request.Step
	shape := groupShape{
		service: request.Service, need: step.Reserved(), count: waiting, perWorker: step.AntiAffinity, label: step.Affinity,
		headroom: request.Headroom, longRunning: step.LongRunning, bestEffort: step.BestEffort, allowStarved: request.AllowStarved,
		requires: step.Requires,
	}
	if step.BestEffort {
		shape.image = step.Image
	}
	return shape
}

// groupWaitPays decides whether a group waits for a place that has no capacity for all of it now.
func (t *Term) groupWaitPays(s *nearSearch, shape groupShape, candidates []*nearPlace, tasks []*task) bool {
	first, _ := firstWaiting(tasks)
	place := locality.Place{Closed: shape.label != "" && t.onlyEvacuated(shape.label)}
	var earliest groupWait
	if !shape.longRunning {
		earliest = t.earliestFor(shape, candidates)
		place.Wait, place.Known = earliest.wait, earliest.known
	}
	if earliest.place != nil {
		// The backlog grows within a cycle, so that it is no part of what is cached.
		place.Wait += t.backlogDelay(shape.service)
	}
	s.place = earliest.place
	decision := t.decideNear(s, first, place)
	if decision.Outcome == locality.OutcomeWait && earliest.place != nil {
		t.forecastOf(earliest.place).AddGroup(shape.need, shape.count, shape.perWorker, first.step.Estimate)
		t.near.add(earliest.place, shape.count)
	}
	s.place = nil
	spreadOutcome(tasks, decision.Outcome)
	return decision.Waits()
}

// spreadOutcome notes the decision for a group at all of its waiting tasks.
func spreadOutcome(tasks []*task, outcome locality.Outcome) {
	for _, task := range tasks {
		if task.current == nil && !task.done {
			task.nearOutcome = outcome
		}
	}
}

// firstWaiting returns the first waiting task and the number of waiting tasks.
func firstWaiting(tasks []*task) (first *task, count int) {
	for _, task := range tasks {
		if task.current != nil || task.done {
			continue
		}
		if first == nil {
			first = task
		}
		count++
	}
	return first, count
}

// isRunning reports whether one of the tasks may be running.
func isRunning(tasks []*task) bool {
	return slices.ContainsFunc(tasks, func(task *task) bool { return task.current != nil })
}

// groupPlaces returns the places on which a group can run as a whole without loss: near its data, or on any rack.
func (t *Term) groupPlaces(s *nearSearch) []*nearPlace {
	if !s.onRack {
		return []*nearPlace{s.place}
	}
	return t.rackPlacesOf(s.job.queue.Service)
}

// placeForAll returns the place with the least free capacity that is enough for all tasks of a group, so that larger ones are
// left for larger groups; nil if there is none.
func (t *Term) placeForAll(places []*nearPlace, request placement.Request, shape groupShape) *nearPlace {
	// Advice differs between steps of the same shape.
	if request.Advice == nil && slices.ContainsFunc(t.near.unplacedGroups, shape.needsAsMuch) {
		return nil
	}
	var best *nearPlace
	least := math.MaxInt
	for _, p := range places {
		if fitting := p.fitting(request, shape); fitting >= shape.count && fitting < least {
			best, least = p, fitting
		}
	}
	if best == nil && request.Advice == nil && len(t.near.unplacedGroups) < maxUnplacedGroups {
		t.near.unplacedGroups = append(t.near.unplacedGroups, shape)
	}
	return best
}

// fitting returns how many tasks of a group fit on a place, 0 if that is certainly less than all of them.
func (p *nearPlace) fitting(request placement.Request, shape groupShape) int {
	p.observeFree()
	if !shape.need.Fits(p.largest) || shape.count*shape.need.CPU > p.free.CPU || shape.count*shape.need.MemoryMB > p.free.MemoryMB {
		return 0
	}
	fitting := 0
	for _, w := range p.workers {
		if placement.Accepts(&w.node, request) {
			fitting += fittingOn(&w.node, request.Step, request.Headroom)
		}
	}
	return fitting
}

// fittingOn returns how many tasks of a step fit on a worker that accepts one.
func fittingOn(node *placement.Node, step *jobs.Step, headroom int) int {
	free, need, count := node.FreeForBatch(), step.Reserved(), 0
	if step.LongRunning {
		free = node.Free()
	}
	if !step.BestEffort {
		free.CPU -= headroom
	}
	for need.Fits(free) && (step.AntiAffinity == 0 || count < step.AntiAffinity) && count < maxGroupOnWorker {
		free = free.Sub(need)
		count++
	}
	return count
}

// maxGroupOnWorker bounds the tasks of a group that are counted on one worker: best-effort tasks may need next to nothing.
const maxGroupOnWorker = 1024

// earliestFor returns the place that has capacity for a group first.
func (t *Term) earliestFor(shape groupShape, places []*nearPlace) groupWait {
	if cached, ok := t.near.groups[shape]; ok && cached.changes == t.near.changes {
		return cached
	}
	if t.near.groupForecasts >= maxGroupForecasts {
		return groupWait{}
	}
	t.near.groupForecasts++
	earliest := groupWait{wait: locality.Never, changes: t.near.changes}
	for _, p := range places {
		wait := t.groupWaitAt(p, shape)
		if wait == 0 {
			// No worker there is usable, or the group may not use the free capacity for a reason that the forecast does not cover.
			continue
		}
		earliest.known = true
		if wait < earliest.wait {
			earliest.wait, earliest.place = wait, p
		}
	}
	t.near.groups[shape] = earliest
	return earliest
}

// groupWaitAt returns the wait of a group for a place; 0 if it is unknown.
func (t *Term) groupWaitAt(p *nearPlace, shape groupShape) time.Duration {
	if wait, ok := p.groupWaits[shape]; ok {
		return wait
	}
	var wait time.Duration
	if forecast := t.forecastOf(p); !forecast.Empty() {
		wait = forecast.WaitGroup(shape.need, shape.count, shape.perWorker)
	}
	if p.groupWaits == nil {
		p.groupWaits = make(map[groupShape]time.Duration)
	}
	p.groupWaits[shape] = wait
	return wait
}

// restrictGroup restricts the request of a gang to the place that has capacity for all of it, if there is one.
func (s *nearSearch) restrictGroup(request *placement.Request) bool {
	if s == nil || s.place == nil {
		return false
	}
	request.LocalOnly, request.RackOnly = !s.onRack, s.onRack
	if s.onRack {
		request.RackInUse = s.place.key.label
	}
	return true
}

// onlyRackOf returns the rack on which tasks of a step run, and whether all of those that run are there.
func (t *Term) onlyRackOf(tasks []*task) (rack string, one bool) {
	for _, task := range tasks {
		if task.current == nil || t.isEvacuated(task.current.worker) {
			continue
		}
		on := task.current.worker.node.Registration.Rack
		if rack != "" && on != rack {
			return rack, false
		}
		rack = on
	}
	return rack, rack != ""
}
