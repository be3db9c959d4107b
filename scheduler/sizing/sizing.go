// Package sizing corrects declared sizes and run times by observed ones. For each workload it keeps decaying histograms
// of the ratio of observed to declared amounts; a high quantile plus a margin becomes the size of the next attempt.
package sizing

import (
	"math"
	"time"

	"bronzehook/api"
)

// Options configures the corrections; sizes and run times can be disabled independently.
type Options struct {
	// CorrectSizes enables the correction of processors and memory.
	CorrectSizes bool
	// CorrectRunTimes enables the correction of run times.
	CorrectRunTimes bool
	// CPUQuantile and CPUMargin determine the processors: the quantile of the observed usage times the margin.
	CPUQuantile, CPUMargin float64
	// JobCPUMargin replaces CPUMargin for jobs. A short lack of processors delays a job only by about its duration, so
	// jobs need no margin.
	JobCPUMargin float64
	// MemoryQuantile and MemoryMargin determine the memory. They are higher, because a task that exceeds its memory is
	// terminated.
	MemoryQuantile, MemoryMargin float64
	// RunTimeQuantile and RunTimeMargin determine the run time.
	RunTimeQuantile, RunTimeMargin float64
	// MinReports is the minimum number of usage reports of a workload before its size is corrected.
	MinReports int
	// MinRuns is the minimum number of finished runs of a workload before its run time is corrected.
	MinRuns int
	// HalfLife is the age at which the weight of a report has halved.
	HalfLife time.Duration
	// MaxWorkloads bounds the number of workloads in the model.
	MaxWorkloads int
	// ReclaimMargin is the share of a worker's capacity that batch tasks leave free in addition to the predicted usage.
	ReclaimMargin float64
}

// DefaultOptions returns the options for production. 4,096 workloads take about 4 MB.
func DefaultOptions() Options {
	return Options{
		CorrectSizes: true, CorrectRunTimes: true,
		CPUQuantile: 0.95, CPUMargin: 1.15, JobCPUMargin: 1,
		MemoryQuantile: 0.99, MemoryMargin: 1.2,
		RunTimeQuantile: 0.7, RunTimeMargin: 1.1,
		MinReports: 6, MinRuns: 2, HalfLife: 24 * time.Hour, MaxWorkloads: 1 << 12, ReclaimMargin: 0.1,
	}
}

// Lower bounds of a corrected size, so that an idle task keeps enough capacity to resume work.
const (
	minMilliCPU = 100
	minMemoryMB = 64
)

// defaultRunTime stands in for the declared run time of jobs that declare none.
const defaultRunTime = time.Minute

// history holds the histograms of one workload. referenced is the reference bit of the CLOCK replacement.
type history struct {
	name                  string
	cpu, memory, runTimes histogram
	referenced            bool
}

// Model holds the histories of the workloads. It must be used by one goroutine only. If MaxWorkloads is reached, histories
// are replaced by the CLOCK algorithm.
type Model struct {
	opts          Options
	histories     []*history
	indexByName   map[string]int
	clockHand     int
	referenceTime time.Time
}

// New returns a model without observations.
func New(opts Options) *Model { return &Model{opts: opts, indexByName: map[string]int{}} }

// ObserveUsage adds the measured usage of one task of the workload.
func (m *Model) ObserveUsage(spec *api.Spec, used api.Resources, now time.Time) {
	h := m.ensureHistory(spec.Name)
	weight := m.reportWeight(now)
	h.cpu.add(ratio(used.MilliCPU, spec.Resources.MilliCPU), weight)
	h.memory.add(ratio(used.MemoryMB, spec.Resources.MemoryMB), weight)
}

// ObserveRun adds the run time of a finished run of one task of the workload.
func (m *Model) ObserveRun(spec *api.Spec, runTime time.Duration, now time.Time) {
	declared := spec.RunTime
	if declared <= 0 {
		declared = defaultRunTime
	}
	m.ensureHistory(spec.Name).runTimes.add(float64(runTime)/float64(declared), m.reportWeight(now))
}

// Size returns the resources to reserve for the next attempt of a task. If Options.Sizes is set, processors and memory
// are never below floor, the largest usage of the workload's running tasks. Accelerators are always as declared.
func (m *Model) Size(spec *api.Spec, floor api.Resources) api.Resources {
	size := spec.Resources
	if h := m.lookup(spec.Name); h != nil && m.opts.CorrectSizes && h.cpu.count >= m.opts.MinReports {
		margin := m.opts.CPUMargin
		if spec.Kind == api.KindJob {
			margin = m.opts.JobCPUMargin
		}
		cpu := h.cpu.quantile(m.opts.CPUQuantile) * margin
		memory := h.memory.quantile(m.opts.MemoryQuantile) * m.opts.MemoryMargin
		size.MilliCPU = max(minMilliCPU, scale(spec.Resources.MilliCPU, cpu))
		size.MemoryMB = max(minMemoryMB, scale(spec.Resources.MemoryMB, memory))
	}
	if m.opts.CorrectSizes {
		size.MilliCPU = max(size.MilliCPU, floor.MilliCPU)
		size.MemoryMB = max(size.MemoryMB, floor.MemoryMB)
	}
	return size
}

// ExpectedUsage returns the predicted usage of a task: the typical processor usage of a job and almost the peak processor
// usage of services and watchers, whose load varies. Memory is predicted by MemoryQuantile.
func (m *Model) ExpectedUsage(spec *api.Spec) api.Resources {
	use := spec.Resources
	if h := m.lookup(spec.Name); h != nil && m.opts.CorrectSizes && h.cpu.count >= m.opts.MinReports {
		const jobUsageQuantile, otherUsageQuantile = 0.6, 0.9
		usageQuantile := otherUsageQuantile
		if spec.Kind == api.KindJob {
			usageQuantile = jobUsageQuantile
		}
		use.MilliCPU = scale(spec.Resources.MilliCPU, h.cpu.quantile(usageQuantile))
		use.MemoryMB = scale(spec.Resources.MemoryMB, h.memory.quantile(m.opts.MemoryQuantile))
	}
	return use
}

// RunTime returns the predicted run time of one task of a job from its start. Without enough observed runs it returns
// the declared run time, which is 0 if none is declared.
func (m *Model) RunTime(spec *api.Spec) time.Duration {
	h := m.lookup(spec.Name)
	if h == nil || !m.opts.CorrectRunTimes || h.runTimes.count < m.opts.MinRuns {
		return spec.RunTime
	}
	declared := spec.RunTime
	if declared <= 0 {
		declared = defaultRunTime
	}
	return time.Duration(float64(declared) * h.runTimes.quantile(m.opts.RunTimeQuantile) * m.opts.RunTimeMargin)
}

// Reclaimable returns the capacity that batch tasks may use on a worker: its capacity minus the predicted usage and
// ReclaimMargin.
func (o Options) Reclaimable(capacity, predicted api.Resources) api.Resources {
	usable := api.Resources{
		MilliCPU:     scale(capacity.MilliCPU, 1-o.ReclaimMargin),
		MemoryMB:     scale(capacity.MemoryMB, 1-o.ReclaimMargin),
		Accelerators: capacity.Accelerators,
	}
	free := usable.Sub(predicted)
	return api.Resources{
		MilliCPU: max(0, free.MilliCPU), MemoryMB: max(0, free.MemoryMB), Accelerators: max(0, free.Accelerators),
	}
}

func (m *Model) lookup(name string) *history {
	if i, ok := m.indexByName[name]; ok {
		return m.histories[i]
	}
	return nil
}

// ensureHistory returns the history of a workload, adding it if it is missing. If MaxWorkloads is reached, it replaces a
// history that was not updated since the CLOCK hand last passed it.
func (m *Model) ensureHistory(name string) *history {
	if h := m.lookup(name); h != nil {
		h.referenced = true
		return h
	}
	created := &history{name: name, referenced: true}
	if len(m.histories) < m.opts.MaxWorkloads {
		m.indexByName[name] = len(m.histories)
		m.histories = append(m.histories, created)
		return created
	}
	for m.histories[m.clockHand].referenced {
		m.histories[m.clockHand].referenced = false
		m.clockHand = (m.clockHand + 1) % len(m.histories)
	}
	delete(m.indexByName, m.histories[m.clockHand].name)
	m.histories[m.clockHand] = created
	m.indexByName[name] = m.clockHand
	m.clockHand = (m.clockHand + 1) % len(m.histories)
	return created
}

// reportWeight returns the weight of a report at the given time. Giving later reports a larger weight has the same
// effect as decaying the earlier ones.
func (m *Model) reportWeight(now time.Time) float64 {
	if m.referenceTime.IsZero() {
		m.referenceTime = now
	}
	const maxHalfLives = 40
	age := float64(now.Sub(m.referenceTime)) / float64(m.opts.HalfLife)
	if age > maxHalfLives {
		m.rescale(now, math.Exp2(-age))
		age = 0
	}
	return math.Exp2(age)
}

// rescale makes now the new reference time and multiplies all weights by the factor, so that the weights stay bounded.
func (m *Model) rescale(now time.Time, factor float64) {
	m.referenceTime = now
	for _, h := range m.histories {
		h.cpu.scale(factor)
		h.memory.scale(factor)
		h.runTimes.scale(factor)
	}
}

func ratio(used, declared int64) float64 {
	return float64(used) / float64(max(1, declared))
}

func scale(amount int64, factor float64) int64 {
	return int64(math.Ceil(float64(amount) * factor))
}
