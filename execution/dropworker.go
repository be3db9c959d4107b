package execution

import "slices"

// dropWorker removes an active worker from the local view. Responses to its polls in flight are ignored: if the worker is added
// again, it refuses these polls because of their stale token.
func (t *Term) dropWorker(w *worker) {
	delete(t.workers, w.id())
	delete(t.workersWithAcks, w)
	t.firstIncarnation = max(t.firstIncarnation, w.incarnation+1)
	w.pollRound++
	w.lateRound = 0
	w.node.Usable = false
	t.releaseCarrier(w)
	t.active = slices.DeleteFunc(t.active, func(other *worker) bool { return other == w })
	t.nodes.remove(&w.node)
}
