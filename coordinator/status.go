package coordinator

import (
	"time"

	"bronzehook/api"
)

// WorkerState is the state of a worker as known to the coordinator.
type WorkerState struct {
	ID          api.WorkerID  `cbor:"1,keyasint"`
	Reachable   bool          `cbor:"2,keyasint"`
	Quarantined bool          `cbor:"3,keyasint,omitempty"`
	Tasks       int           `cbor:"4,keyasint,omitempty"`
	Used        api.Resources `cbor:"5,keyasint,omitzero"`
}

// WorkerStates returns the states of the reported workers; ok is false if this instance is not the active coordinator.
// It is called on the event loop.
func (c *Coordinator) WorkerStates() (states map[api.WorkerID]WorkerState, ok bool) {
	if !c.Active() {
		return nil, false
	}
	now := c.options.Clock.Now()
	states = make(map[api.WorkerID]WorkerState, len(c.term.workers))
	for id, report := range c.term.workers {
		states[id] = WorkerState{ID: id, Reachable: report.Reachable, Quarantined: c.options.Decider.Quarantined(id, now)}
	}
	for id, task := range c.term.tasks {
		if !task.running() {
			continue
		}
		state := states[task.row.Worker]
		state.ID = task.row.Worker
		state.Tasks++
		state.Used = state.Used.Add(c.options.Decider.Used(id))
		states[task.row.Worker] = state
	}
	return states, true
}

// Used implements Decider.
func (d *EngineDecider) Used(task api.TaskID) api.Resources { return d.usage[task].used }

// Quarantined implements Decider.
func (d *EngineDecider) Quarantined(worker api.WorkerID, now time.Time) bool {
	return d.engine.Quarantine.State(worker, now).Quarantined
}
