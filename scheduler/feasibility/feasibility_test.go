package feasibility

import (
	"strings"
	"testing"

	"bronzehook/api"
	"bronzehook/fault"
)

// TestInfeasibleTasksAreReported checks which tasks are reported as infeasible, and with which reason.
func TestInfeasibleTasksAreReported(t *testing.T) {
	fleet := NewFleet(DefaultOptions())
	fleet.Add("cornwall", api.Resources{MilliCPU: 30000, MemoryMB: 125000})
	fleet.Add("cornwall", api.Resources{MilliCPU: 30000, MemoryMB: 64000})
	fleet.Add("surrey", api.Resources{MilliCPU: 16000, MemoryMB: 64000, Accelerators: 4})
	for _, tc := range []struct {
		name    string
		size    api.Resources
		quota   api.Resources
		regions []string
		reason  string
	}{
		{"a task that fits the largest worker is feasible", api.Resources{MilliCPU: 30000, MemoryMB: 125000}, api.Resources{}, nil, ""},
		{"a task larger than every worker is reported", api.Resources{MilliCPU: 30001}, api.Resources{}, nil, "no worker in any region"},
		{"a task that fits only in another region is reported", api.Resources{MilliCPU: 20000}, api.Resources{}, []string{"surrey"}, "no worker in regions surrey"},
		{"a task is reported if each component fits some worker but no worker fits both", api.Resources{MilliCPU: 20000, Accelerators: 1}, api.Resources{}, nil, "no worker in any region"},
		{"a region without workers is reported", api.Resources{MilliCPU: 1}, api.Resources{}, []string{"devon"}, "there is no worker in regions devon"},
		{"a task larger than the quota is reported", api.Resources{MilliCPU: 2000}, api.Resources{MilliCPU: 1000}, nil, "more than the quota of team red"},
		{"a zero component of the quota is no limit", api.Resources{MilliCPU: 2000}, api.Resources{MemoryMB: 1}, nil, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := fleet.Check(&api.Spec{Name: "w", Team: "red", Regions: tc.regions}, tc.size, tc.quota)
			switch {
			case tc.reason == "" && got != nil:
				t.Errorf("reported as infeasible: %v", got)
			case tc.reason != "" && got == nil:
				t.Errorf("not reported, want %q", tc.reason)
			case got != nil && !strings.Contains(got.Reason, tc.reason):
				t.Errorf("reason %q, want %q in it", got.Reason, tc.reason)
			case got != nil && !fault.Is(got, fault.CodeInfeasible):
				t.Errorf("code %s", fault.CodeOf(got))
			}
		})
	}
}
