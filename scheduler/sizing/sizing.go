// Package sizing corrects declared sizes and run times by what was seen. Use is kept per workload as decaying histograms
// of the ratio to what was declared; a high quantile with a margin becomes the size of the next attempt.
package sizing

import (
	"math"
	"time"

	"bronzehook/api"
)

// Options tunes the corrections; each can be off alone.
type Options struct {
	// Sizes corrects processors and memory.
	Sizes bool
	// RunTimes corrects run times.
	RunTimes bool
	// CPUQuantile and CPUMargin give the processors: the quantile of the use seen, times the margin.
	CPUQuantile, CPUMargin float64
	// JobCPUMargin replaces CPUMargin for jobs. A job that lacks processors for a moment is late by that moment only, so
	// the quantile is enough.
	JobCPUMargin float64
	// MemoryQuantile and MemoryMargin give the memory. They are higher, because memory that is missing ends a task.
	MemoryQuantile, MemoryMargin float64
	// RunTimeQuantile and RunTimeMargin give the run time.
	RunTimeQuantile, RunTimeMargin float64
	// MinReports is the number of usage reports of a workload from which its size is corrected.
	MinReports int
	// MinRuns is the number of finished runs from which a run time is corrected.
	MinRuns int
	// HalfLife is the age at which a report counts half.
	HalfLife time.Duration
	// MaxWorks bounds the workloads that are kept.
	MaxWorks int
	// ReclaimMargin is the share of a worker that batch work leaves free beyond the predicted use.
	ReclaimMargin float64
}

// DefaultOptions returns the options of a production site. 4,096 workloads take about 4 MB.
func DefaultOptions() Options {
	return Options{
		Sizes: true, RunTimes: true,
		CPUQuantile: 0.95, CPUMargin: 1.15, JobCPUMargin: 1,
		MemoryQuantile: 0.99, MemoryMargin: 1.2,
		RunTimeQuantile: 0.7, RunTimeMargin: 1.1,
		MinReports: 6, MinRuns: 2, HalfLife: 24 * time.Hour, MaxWorks: 1 << 12, ReclaimMargin: 0.1,
	}
}

// Smallest size that is ever predicted, so that an idle task keeps enough to wake up.
const (
	minMilliCPU = 100
	minMemoryMB = 64
)

// undeclaredRunTime is the unit of run times of jobs that declare none.
const undeclaredRunTime = time.Minute

type history struct {
	name                  string
	cpu, memory, runTimes histogram
	used                  bool
}

// Model holds what was seen. It is owned by one goroutine.
type Model struct {
	opts      Options
	histories []*history
	index     map[string]int
	hand      int
	origin    time.Time
}

// New returns a model that has seen nothing.
func New(opts Options) *Model { return &Model{opts: opts, index: map[string]int{}} }

// ObserveUse learns from the measured use of one task of the work.
func (m *Model) ObserveUse(spec *api.Spec, used api.Resources, now time.Time) {
	h := m.history(spec.Name)
	weight := m.weight(now)
	h.cpu.add(ratio(used.MilliCPU, spec.Resources.MilliCPU), weight)
	h.memory.add(ratio(used.MemoryMB, spec.Resources.MemoryMB), weight)
}

// ObserveRun learns from a finished run of one task of the work.
func (m *Model) ObserveRun(spec *api.Spec, took time.Duration, now time.Time) {
	declared := spec.RunTime
	if declared <= 0 {
		declared = undeclaredRunTime
	}
	m.history(spec.Name).runTimes.add(float64(took)/float64(declared), m.weight(now))
}

// Size returns the amount to reserve for the next attempt of a task. It is never below floor, which is the largest use
// of the work's running tasks, in processors and memory. Accelerators are as declared.
func (m *Model) Size(spec *api.Spec, floor api.Resources) api.Resources {
	size := spec.Resources
	if h := m.known(spec.Name); h != nil && m.opts.Sizes && h.cpu.count >= m.opts.MinReports {
		margin := m.opts.CPUMargin
		if spec.Kind == api.KindJob {
			margin = m.opts.JobCPUMargin
		}
		cpu := h.cpu.quantile(m.opts.CPUQuantile) * margin
		memory := h.memory.quantile(m.opts.MemoryQuantile) * m.opts.MemoryMargin
		size.MilliCPU = max(minMilliCPU, scale(spec.Resources.MilliCPU, cpu))
		size.MemoryMB = max(minMemoryMB, scale(spec.Resources.MemoryMB, memory))
	}
	if m.opts.Sizes {
		size.MilliCPU = max(size.MilliCPU, floor.MilliCPU)
		size.MemoryMB = max(size.MemoryMB, floor.MemoryMB)
	}
	return size
}

// ExpectedUse returns the use that is predicted for a task: the typical use of a job, and close to the peak use of the
// other kinds, whose load shifts.
func (m *Model) ExpectedUse(spec *api.Spec) api.Resources {
	use := spec.Resources
	if h := m.known(spec.Name); h != nil && m.opts.Sizes && h.cpu.count >= m.opts.MinReports {
		const typicalOfJob, peakOfOthers = 0.6, 0.9
		typical := peakOfOthers
		if spec.Kind == api.KindJob {
			typical = typicalOfJob
		}
		use.MilliCPU = scale(spec.Resources.MilliCPU, h.cpu.quantile(typical))
		use.MemoryMB = scale(spec.Resources.MemoryMB, h.memory.quantile(m.opts.MemoryQuantile))
	}
	return use
}

// RunTime returns the predicted run time of one task of a job from its start; 0 if nothing is declared or known.
func (m *Model) RunTime(spec *api.Spec) time.Duration {
	h := m.known(spec.Name)
	if h == nil || !m.opts.RunTimes || h.runTimes.count < m.opts.MinRuns {
		return spec.RunTime
	}
	declared := spec.RunTime
	if declared <= 0 {
		declared = undeclaredRunTime
	}
	return time.Duration(float64(declared) * h.runTimes.quantile(m.opts.RunTimeQuantile) * m.opts.RunTimeMargin)
}

// Reclaimable returns what batch work may use on a worker: its capacity without the predicted use and the margin.
func (o Options) Reclaimable(capacity, predicted api.Resources) api.Resources {
	usable := api.Resources{
		MilliCPU:     scale(capacity.MilliCPU, 1-o.ReclaimMargin),
		MemoryMB:     scale(capacity.MemoryMB, 1-o.ReclaimMargin),
		Accelerators: capacity.Accelerators,
	}
	left := usable.Sub(predicted)
	return api.Resources{
		MilliCPU: max(0, left.MilliCPU), MemoryMB: max(0, left.MemoryMB), Accelerators: max(0, left.Accelerators),
	}
}

func (m *Model) known(name string) *history {
	if i, ok := m.index[name]; ok {
		return m.histories[i]
	}
	return nil
}

// history returns the history of a workload. A full model replaces one that was not reported since the hand last passed.
func (m *Model) history(name string) *history {
	if h := m.known(name); h != nil {
		h.used = true
		return h
	}
	fresh := &history{name: name, used: true}
	if len(m.histories) < m.opts.MaxWorks {
		m.index[name] = len(m.histories)
		m.histories = append(m.histories, fresh)
		return fresh
	}
	for m.histories[m.hand].used {
		m.histories[m.hand].used = false
		m.hand = (m.hand + 1) % len(m.histories)
	}
	delete(m.index, m.histories[m.hand].name)
	m.histories[m.hand] = fresh
	m.index[name] = m.hand
	m.hand = (m.hand + 1) % len(m.histories)
	return fresh
}

// weight returns the weight of a report at the given time. Later reports weigh more, which is the same as decaying the
// earlier ones.
func (m *Model) weight(now time.Time) float64 {
	if m.origin.IsZero() {
		m.origin = now
	}
	const maxHalfLives = 40
	age := float64(now.Sub(m.origin)) / float64(m.opts.HalfLife)
	if age > maxHalfLives {
		m.rebase(now, math.Exp2(-age))
		age = 0
	}
	return math.Exp2(age)
}

func (m *Model) rebase(now time.Time, factor float64) {
	m.origin = now
	for _, h := range m.histories {
		h.cpu.scale(factor)
		h.memory.scale(factor)
		h.runTimes.scale(factor)
	}
}

func ratio(used, declared int64) float64 {
	return float64(used) / float64(max(1, declared))
}

func scale(amount int64, by float64) int64 {
	return int64(math.Ceil(float64(amount) * by))
}
