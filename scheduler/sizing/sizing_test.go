package sizing

import (
	"fmt"
	"testing"
	"time"

	"bronzehook/api"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func TestSize(t *testing.T) {
	spec := &api.Spec{Name: "w", Kind: api.KindService, Resources: api.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 2}}
	job := *spec
	job.Kind = api.KindJob
	disabled := DefaultOptions()
	disabled.CorrectSizes = false
	used := func(cpu, memory int64, reports int) func(*Model) {
		return func(m *Model) {
			for range reports {
				m.ObserveUsage(spec, api.Resources{MilliCPU: cpu, MemoryMB: memory}, start)
			}
		}
	}
	for _, tc := range []struct {
		name     string
		spec     *api.Spec
		opts     Options
		learn    func(*Model)
		floor    api.Resources
		min, max api.Resources
	}{
		{"without reports the declared size stays", spec, DefaultOptions(), used(1, 1, 0), api.Resources{}, spec.Resources, spec.Resources},
		{"with few reports the declared size stays", spec, DefaultOptions(), used(200, 200, 5), api.Resources{}, spec.Resources, spec.Resources},
		{"a size five times too large is reduced with a margin", spec, DefaultOptions(), used(200, 200, 50), api.Resources{},
			api.Resources{MilliCPU: 220, MemoryMB: 230, Accelerators: 2}, api.Resources{MilliCPU: 260, MemoryMB: 270, Accelerators: 2}},
		{"a size five times too small is increased with a margin", spec, DefaultOptions(), used(5000, 5000, 50), api.Resources{},
			api.Resources{MilliCPU: 5500, MemoryMB: 5750, Accelerators: 2}, api.Resources{MilliCPU: 6400, MemoryMB: 6700, Accelerators: 2}},
		{"a job gets the quantile of its processors without a margin", &job, DefaultOptions(), used(5000, 5000, 50), api.Resources{},
			api.Resources{MilliCPU: 5000, MemoryMB: 5750, Accelerators: 2}, api.Resources{MilliCPU: 5500, MemoryMB: 6700, Accelerators: 2}},
		{"the size is never below the usage of running tasks", spec, DefaultOptions(), used(200, 200, 50), api.Resources{MilliCPU: 700, MemoryMB: 800},
			api.Resources{MilliCPU: 700, MemoryMB: 800, Accelerators: 2}, api.Resources{MilliCPU: 700, MemoryMB: 800, Accelerators: 2}},
		{"if disabled, the declared size stays", spec, disabled, used(200, 200, 50), api.Resources{}, spec.Resources, spec.Resources},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := New(tc.opts)
			tc.learn(m)
			got := m.Size(tc.spec, tc.floor)
			if !tc.min.Fits(got) || !got.Fits(tc.max) {
				t.Errorf("size = %s, want from %s to %s", got, tc.min, tc.max)
			}
		})
	}
}

// Guards against sizes derived from average usage, which hides the peaks, and against old reports that never decay.
func TestSizeFollowsPeaksAndDecays(t *testing.T) {
	spec := &api.Spec{Name: "w", Resources: api.Resources{MilliCPU: 1000, MemoryMB: 1000}}
	m := New(DefaultOptions())
	for i := range 100 {
		cpu := int64(200)
		if i%10 == 0 {
			cpu = 900
		}
		m.ObserveUsage(spec, api.Resources{MilliCPU: cpu, MemoryMB: 500}, start)
	}
	if got := m.Size(spec, api.Resources{}).MilliCPU; got < 900 {
		t.Errorf("size = %dm, below the peaks of 900m", got)
	}
	later := start.Add(10 * 24 * time.Hour)
	for range 100 {
		m.ObserveUsage(spec, api.Resources{MilliCPU: 200, MemoryMB: 500}, later)
	}
	if got := m.Size(spec, api.Resources{}).MilliCPU; got > 300 {
		t.Errorf("size = %dm ten days after the peaks, want about 230m", got)
	}
}

func TestRunTime(t *testing.T) {
	declared := &api.Spec{Name: "declared", RunTime: 10 * time.Minute}
	undeclared := &api.Spec{Name: "undeclared"}
	m := New(DefaultOptions())
	if got := m.RunTime(declared); got != declared.RunTime {
		t.Errorf("run time = %s before any run, want the declared one", got)
	}
	for range 10 {
		m.ObserveRun(declared, 30*time.Minute, start)
		m.ObserveRun(undeclared, 30*time.Minute, start)
	}
	for _, spec := range []*api.Spec{declared, undeclared} {
		if got := m.RunTime(spec); got < 30*time.Minute || got > 40*time.Minute {
			t.Errorf("%s: run time = %s, want 30 min and a margin", spec.Name, got)
		}
	}
}

// Guards against memory that grows with every new job name.
func TestMemoryIsBounded(t *testing.T) {
	opts := DefaultOptions()
	opts.MaxWorkloads = 16
	m := New(opts)
	for i := range 1000 {
		m.ObserveUsage(&api.Spec{Name: fmt.Sprint("w", i)}, api.Resources{MilliCPU: 1}, start)
	}
	if len(m.histories) > opts.MaxWorkloads || len(m.indexByName) > opts.MaxWorkloads {
		t.Errorf("%d histories, %d names", len(m.histories), len(m.indexByName))
	}
}
