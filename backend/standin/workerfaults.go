package standin

import (
	"sync"
	"time"
)

// AnswerFaults says how one of a worker's two listeners spoils its answers, each of which was made in full before.
type AnswerFaults struct {
	// Delay passes before each answer is sent.
	Delay time.Duration `json:"delay,omitempty"`
	// Truncate is the number of next answers that are cut after half of their body.
	Truncate int `json:"truncate,omitempty"`
	// Duplicate is the number of next answers that are sent a second time, in place of the answer to the next request on
	// the same connection.
	Duplicate int `json:"duplicate,omitempty"`
}

// WorkerFaults says how a worker fails. The zero value is a worker without faults.
type WorkerFaults struct {
	// Frozen makes the worker accept connections and answer nothing until it is set to false; then it goes on with what
	// it had received. Its attempts and its leases go on meanwhile.
	Frozen bool `json:"frozen,omitempty"`
	// FailStarts makes every attempt fail as soon as it was started.
	FailStarts bool `json:"failStarts,omitempty"`
	// IgnoreEpochs makes the worker accept orders and requests of any epoch.
	IgnoreEpochs bool         `json:"ignoreEpochs,omitempty"`
	Control      AnswerFaults `json:"control,omitzero"`
	Endpoints    AnswerFaults `json:"endpoints,omitzero"`
}

// SetFaults replaces the faults of the worker.
func (w *Worker) SetFaults(f WorkerFaults) { w.faults.set(f) }

// SetLeaving sets the worker's Leaving flag. A leaving worker refuses to start attempts and goes on with the rest.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	w.leaving = leaving
	described := w.describe()
	w.mu.Unlock()
	w.config.Registered(described)
}

// faultState holds the faults of a worker and lets handlers wait while it is frozen.
type faultState struct {
	mu     sync.Mutex
	faults WorkerFaults
	// thawed is closed while the worker is not frozen.
	thawed chan struct{}
}

func newFaultState() *faultState {
	thawed := make(chan struct{})
	close(thawed)
	return &faultState{thawed: thawed}
}

func (s *faultState) set(f WorkerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Frozen && !s.faults.Frozen {
		s.thawed = make(chan struct{})
	}
	if !f.Frozen && s.faults.Frozen {
		close(s.thawed)
	}
	s.faults = f
}

func (s *faultState) current() WorkerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *faultState) ignoresEpochs() bool { return s.current().IgnoreEpochs }

func (s *faultState) failsStarts() bool { return s.current().FailStarts }

func (s *faultState) thaw() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.thawed
}

// answerFault is what happens to one answer.
type answerFault struct {
	delay     time.Duration
	truncate  bool
	duplicate bool
}

// listenerFaults selects the faults of one listener.
type listenerFaults func(*WorkerFaults) *AnswerFaults

func controlFaults(f *WorkerFaults) *AnswerFaults { return &f.Control }

func endpointFaults(f *WorkerFaults) *AnswerFaults { return &f.Endpoints }

// next returns what happens to the next answer of a listener, and counts it.
func (s *faultState) next(of listenerFaults) answerFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := of(&s.faults)
	fault := answerFault{delay: f.Delay}
	if f.Truncate > 0 {
		f.Truncate--
		fault.truncate = true
		return fault
	}
	if f.Duplicate > 0 {
		f.Duplicate--
		fault.duplicate = true
	}
	return fault
}
