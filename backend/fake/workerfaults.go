package fake

import (
	"sync"
	"time"
)

// ResponseFaults configures the faults of the responses of one of the two listeners of a worker. A response is complete
// before the faults are applied to it.
type ResponseFaults struct {
	// Delay is how long each response waits before it is sent.
	Delay time.Duration `json:"delay,omitempty"`
	// Truncate is the number of next responses that are truncated after half of their body.
	Truncate int `json:"truncate,omitempty"`
	// Duplicate is the number of next responses that are sent a second time, in place of the response to the next
	// request on the same connection.
	Duplicate int `json:"duplicate,omitempty"`
}

// WorkerFaults configures the injected faults of a worker. The zero value injects none.
type WorkerFaults struct {
	// Frozen makes the worker accept connections without responding until it is set to false; then the worker processes
	// what it has received. Attempts keep running and attempt leases keep expiring in the meantime.
	Frozen bool `json:"frozen,omitempty"`
	// FailStarts makes every attempt fail immediately after its start.
	FailStarts bool `json:"failStarts,omitempty"`
	// IgnoreEpochs makes the worker accept commands and requests with any ownership epoch.
	IgnoreEpochs bool           `json:"ignoreEpochs,omitempty"`
	Control      ResponseFaults `json:"control,omitzero"`
	Endpoints    ResponseFaults `json:"endpoints,omitzero"`
}

// SetFaults replaces the injected faults of the worker.
func (w *Worker) SetFaults(f WorkerFaults) { w.faults.set(f) }

// SetLeaving sets the Leaving flag of the worker. A leaving worker refuses start commands; its running attempts
// continue.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	w.leaving = leaving
	description := w.description()
	w.mu.Unlock()
	w.config.Registered(description)
}

// faultState holds the injected faults of a worker and lets handlers wait while the worker is frozen.
type faultState struct {
	mu     sync.Mutex
	faults WorkerFaults
	// unfrozenSignal is closed while the worker is not frozen.
	unfrozenSignal chan struct{}
}

func newFaultState() *faultState {
	unfrozen := make(chan struct{})
	close(unfrozen)
	return &faultState{unfrozenSignal: unfrozen}
}

func (s *faultState) set(f WorkerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Frozen && !s.faults.Frozen {
		s.unfrozenSignal = make(chan struct{})
	}
	if !f.Frozen && s.faults.Frozen {
		close(s.unfrozenSignal)
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

// unfrozen returns a channel that is closed once the worker is not frozen.
func (s *faultState) unfrozen() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unfrozenSignal
}

// responseFault is the set of faults that apply to one response.
type responseFault struct {
	delay     time.Duration
	truncate  bool
	duplicate bool
}

// listenerFaults selects the faults of one listener.
type listenerFaults func(*WorkerFaults) *ResponseFaults

func controlFaults(f *WorkerFaults) *ResponseFaults { return &f.Control }

func endpointFaults(f *WorkerFaults) *ResponseFaults { return &f.Endpoints }

// nextResponse returns the faults of the next response of a listener and decrements the counters of the listener. A
// truncated response is not duplicated.
func (s *faultState) nextResponse(faultsOf listenerFaults) responseFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := faultsOf(&s.faults)
	fault := responseFault{delay: f.Delay}
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
