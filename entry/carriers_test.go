package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"bronzehook/loopback"
)

// Guards against work that is lost, or done twice, while other instances make the leader's calls to workers and then leave
// or come back.
func TestWorkGoesOnWhileCarriersChange(t *testing.T) {
	// Above the number of workers that a leader with a quarter of a core calls itself.
	const workers = 210
	s := newSite(t)
	for range workers {
		s.addWorker()
	}
	small := []string{"--cpu-share=0.25"}
	leaderMetrics := func() string { return s.readMetrics(s.metrics) }
	s.startInstance(append(small, "--peer-addr="+loopback.Addr())...)
	s.runJob()
	other := s.startNamed("n1", append(small, "--peer-addr="+loopback.Addr())...)
	carried := func() bool {
		s.runJob()
		return strings.Contains(leaderMetrics(), `bronzehook_carried_calls_total{result="answered"}`)
	}
	s.waitFor("calls are carried", carried)
	for range 3 {
		s.runJob()
	}
	other.drain(shutdownTimeout)
	for range 3 {
		s.runJob()
	}
	if err := other.kernel.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	for range 3 {
		s.runJob()
	}
	time.Sleep(100 * time.Millisecond)
	for _, violation := range s.fleet.Violations() {
		t.Error(violation)
	}
	s.checkNoPanic()
}
