package execution

import (
	"bronzehook/placement"
	"bronzehook/workers"
)

// placeGang places all tasks of a gang under one attempt number, or none of them.
func (t *Term) placeGang(j *job, o *occurrence, number int) {
	tasks := o.steps[number]
	for _, task := range tasks {
		if task.current != nil {
			return
		}
	}
	defer t.near.noteBacklog(tasks)
	advice := t.adviceLookup(j, o, number)
	near := t.newNearSearch(j, o, number)
	if t.groupWaits(near, tasks, advice) {
		t.wantAdvice(tasks[0])
		return
	}
	request := t.groupRequest(tasks[0], advice)
	if near.restrictGroup(&request) && t.placeGangBy(tasks, request) {
		return
	}
	request.LocalOnly, request.RackOnly, request.RackInUse = false, false, ""
	t.placeGangBy(tasks, request)
}

// placeGangBy places all tasks of a gang by a request, and reports whether there is capacity for all.
func (t *Term) placeGangBy(tasks []*task, request placement.Request) bool {
	step, attempt := request.Step, 0
	chosen := make([]*placement.Node, 0, len(tasks))
	onNode := make(map[workers.ID]int)
	request.OnNode = func(id workers.ID) int { return onNode[id] }
	search := t.nodeIndex.NewSearch()
	for _, task := range tasks {
		attempt = max(attempt, task.attempt)
		node, reason := search.Choose(request)
		if node == nil {
			if search.Unadvised() {
				t.wantAdvice(task)
			}
			t.noteRefusal(request.Service, step, reason)
			t.opts.Metrics.placementFailed(reason.String())
			t.noteUnplaceable(tasks[0], reason)
			break
		}
		node.Reserve(step)
		onNode[node.Registration.ID]++
		request.RackInUse = node.Registration.Rack
		chosen = append(chosen, node)
	}
	for _, node := range chosen {
		node.Release(step)
	}
	if len(chosen) < len(tasks) {
		return false
	}
	for i, task := range tasks {
		t.assign(task.job, task, t.nodes.workers[chosen[i]], attempt+1)
	}
	return true
}
