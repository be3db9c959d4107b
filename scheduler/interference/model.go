// Package interference estimates how much workloads slow each other down when they are colocated on a worker. It learns
// an estimate for each pair of workloads and load level from usage reports, which arrive with a delay. The memory of
// the model is bounded, and the model can be exported and imported as bytes.
package interference

// LoadLevels is the number of load levels with separate estimates.
const LoadLevels = 4

// loadLevelBounds are the used shares of a worker's processors at which the next load level begins.
var loadLevelBounds = [LoadLevels - 1]float64{0.4, 0.65, 0.85}

// Options configures the model.
type Options struct {
	// Enabled enables the model; a disabled model ignores reports and predicts 0.
	Enabled bool
	// MaxPairs bounds the number of pairs in the model.
	MaxPairs int
	// MaxWorkloads bounds the number of workloads in the model.
	MaxWorkloads int
	// LearningRate is the learning rate: the share of the prediction error by which one report corrects the pairs involved.
	LearningRate float64
	// PriorWeight is the weight of the aggressor's average in a prediction, in reports: a pair with this number of
	// reports weighs its own estimate and the average equally.
	PriorWeight float64
}

// DefaultOptions returns the options for production. 65,536 pairs take about 6 MB.
func DefaultOptions() Options {
	return Options{Enabled: true, MaxPairs: 1 << 16, MaxWorkloads: 1 << 13, LearningRate: 0.15, PriorWeight: 4}
}

// pair is the estimate for one victim and aggressor: the extra run time of the victim that one task of the aggressor
// causes at each load level, as a share of the victim's run time alone. referenced is the reference bit of the CLOCK
// replacement.
type pair struct {
	key        uint64
	extra      [LoadLevels]float32
	reports    [LoadLevels]uint32
	referenced bool
}

// workload is a workload with a name and an identifier. extra is the average over the pairs in which the workload is
// the aggressor, for each load level.
type workload struct {
	name       string
	id         int32
	referenced bool
	extra      [LoadLevels]float32
	reports    [LoadLevels]uint32
}

// Model holds the estimates. It must be used by one goroutine only. If the pairs or the workloads reach their bound,
// entries are replaced by the CLOCK algorithm.
type Model struct {
	opts              Options
	pairs             []pair
	pairSlots         *table
	pairClockHand     int
	workloads         []workload
	slotByName        map[string]int32
	workloadClockHand int
}

// New returns an untrained model.
func New(opts Options) *Model {
	return &Model{opts: opts, pairSlots: newTable(), slotByName: map[string]int32{}}
}

// PairCount returns the number of pairs in the model.
func (m *Model) PairCount() int { return len(m.pairs) }

// ID returns the identifier of a workload, or -1 if the model does not contain it.
func (m *Model) ID(name string) int32 {
	if slot, ok := m.slotByName[name]; ok {
		return m.workloads[slot].id
	}
	return -1
}

// ExtraRunTime returns the predicted extra run time of the victim, as a share of its run time alone, that one task of the
// aggressor causes at the given load. A pair without reports is predicted from the aggressor's average.
func (m *Model) ExtraRunTime(victim, aggressor int32, load float64) float64 {
	if !m.opts.Enabled || aggressor < 0 {
		return 0
	}
	level := loadLevelOf(load)
	prior := 0.0
	if w := m.byID(aggressor); w != nil {
		prior = float64(w.extra[level])
	}
	if victim < 0 {
		return prior
	}
	slot := m.pairSlots.get(keyOf(victim, aggressor))
	if slot < 0 {
		return prior
	}
	p := &m.pairs[slot]
	own := float64(p.reports[level])
	return (own*float64(p.extra[level]) + m.opts.PriorWeight*prior) / (own + m.opts.PriorWeight)
}

// byID returns the workload with an identifier, or nil if it has been replaced.
func (m *Model) byID(id int32) *workload {
	slot := int(id)
	if slot >= m.opts.MaxWorkloads {
		slot %= m.opts.MaxWorkloads
	}
	if w := &m.workloads[slot]; w.id == id {
		return w
	}
	return nil
}

// Neighbour is a workload that was colocated with a reported task, with its number of tasks.
type Neighbour struct {
	Workload string
	Count    int
}

// Observe updates the model from one report. slowdown is the victim's run time divided by its run time alone;
// neighbours and load describe the worker at the time of the report. The prediction error is distributed over the
// neighbours in proportion to their number of tasks.
func (m *Model) Observe(victim string, slowdown float64, neighbours []Neighbour, load float64) {
	if !m.opts.Enabled || slowdown <= 0 || len(neighbours) == 0 {
		return
	}
	const maxSlowdown = 10
	level := loadLevelOf(load)
	victimID := m.ensureWorkload(victim)
	slots := make([]int32, len(neighbours))
	predicted, weight := 0.0, 0.0
	for i, n := range neighbours {
		slots[i] = m.ensurePair(victimID, m.ensureWorkload(n.Workload))
		predicted += float64(m.estimate(slots[i], level)) * float64(n.Count)
		weight += float64(n.Count * n.Count)
	}
	correction := m.opts.LearningRate * (min(slowdown, maxSlowdown) - 1 - predicted) / weight
	for i, n := range neighbours {
		m.applyCorrection(slots[i], level, correction*float64(n.Count))
	}
}

// estimate returns the estimate of a pair. A pair without reports at this level is initialised with the aggressor's
// average.
func (m *Model) estimate(slot int32, level int) float32 {
	p := &m.pairs[slot]
	if p.reports[level] == 0 {
		_, aggressor := splitKey(p.key)
		if w := m.byID(aggressor); w != nil {
			p.extra[level] = w.extra[level]
		}
	}
	return p.extra[level]
}

func (m *Model) applyCorrection(slot int32, level int, correction float64) {
	p := &m.pairs[slot]
	p.extra[level] = max(0, p.extra[level]+float32(correction))
	p.reports[level]++
	_, aggressor := splitKey(p.key)
	w := m.byID(aggressor)
	if w == nil {
		return
	}
	// The average adapts quickly at first and then over about maxAverageReports reports.
	const maxAverageReports = 50
	w.reports[level] = min(w.reports[level]+1, maxAverageReports)
	w.extra[level] += (p.extra[level] - w.extra[level]) / float32(w.reports[level])
}

// ensurePair returns the slot of a pair, adding it if it is missing. If MaxPairs is reached, it replaces a pair that
// was not reported since the CLOCK hand last passed it.
func (m *Model) ensurePair(victim, aggressor int32) int32 {
	key := keyOf(victim, aggressor)
	if slot := m.pairSlots.get(key); slot >= 0 {
		m.pairs[slot].referenced = true
		return slot
	}
	created := pair{key: key, referenced: true}
	if len(m.pairs) < m.opts.MaxPairs {
		m.pairs = append(m.pairs, created)
		m.pairSlots.put(key, int32(len(m.pairs)-1))
		return int32(len(m.pairs) - 1)
	}
	for m.pairs[m.pairClockHand].referenced {
		m.pairs[m.pairClockHand].referenced = false
		m.pairClockHand = (m.pairClockHand + 1) % len(m.pairs)
	}
	slot := int32(m.pairClockHand)
	m.pairClockHand = (m.pairClockHand + 1) % len(m.pairs)
	m.pairSlots.remove(m.pairs[slot].key)
	m.pairs[slot] = created
	m.pairSlots.put(key, slot)
	return slot
}

// ensureWorkload returns the identifier of a workload, adding the workload if it is missing. The identifier is the slot
// plus a multiple of MaxWorkloads that grows each time the slot is reused, so that pairs of a replaced workload are not
// attributed to its successor.
func (m *Model) ensureWorkload(name string) int32 {
	if slot, ok := m.slotByName[name]; ok {
		m.workloads[slot].referenced = true
		return m.workloads[slot].id
	}
	if len(m.workloads) < m.opts.MaxWorkloads {
		slot := int32(len(m.workloads))
		m.workloads = append(m.workloads, workload{name: name, id: slot, referenced: true})
		m.slotByName[name] = slot
		return slot
	}
	for m.workloads[m.workloadClockHand].referenced {
		m.workloads[m.workloadClockHand].referenced = false
		m.workloadClockHand = (m.workloadClockHand + 1) % len(m.workloads)
	}
	replaced := &m.workloads[m.workloadClockHand]
	delete(m.slotByName, replaced.name)
	*replaced = workload{name: name, id: replaced.id + int32(m.opts.MaxWorkloads), referenced: true}
	m.slotByName[name] = int32(m.workloadClockHand)
	m.workloadClockHand = (m.workloadClockHand + 1) % len(m.workloads)
	return replaced.id
}

func loadLevelOf(load float64) int {
	level := 0
	for level < len(loadLevelBounds) && load >= loadLevelBounds[level] {
		level++
	}
	return level
}

// keyOf returns the key of a pair: the victim in the upper and the aggressor in the lower 32 bits, each plus 1, so that
// no key is 0.
func keyOf(victim, aggressor int32) uint64 {
	return uint64(victim+1)<<32 | uint64(aggressor+1)
}

func splitKey(key uint64) (victim, aggressor int32) {
	return int32(key>>32) - 1, int32(key&0xFFFFFFFF) - 1
}
