// Package interference learns how much workloads slow each other down when they share a worker: per pair of workloads
// and load level, from usage reports that lag. The memory is bounded, and the model can be exported as bytes.
package interference

// Levels is the number of load levels that are learned apart.
const Levels = 4

// levelBounds are the shares of a worker's processors at which the next load level begins.
var levelBounds = [Levels - 1]float64{0.4, 0.65, 0.85}

// Options bounds and tunes the model.
type Options struct {
	// Enabled learns and predicts; without it every prediction is 0.
	Enabled bool
	// MaxPairs bounds the pairs that are kept.
	MaxPairs int
	// MaxWorks bounds the workloads whose names are kept.
	MaxWorks int
	// Rate is the share of a prediction error by which one report corrects the pairs involved.
	Rate float64
	// PriorWeight is the number of reports at which a pair's own estimate counts as much as the aggressor's average.
	PriorWeight float64
}

// DefaultOptions returns the options of a production site. 65,536 pairs take about 6 MB.
func DefaultOptions() Options {
	return Options{Enabled: true, MaxPairs: 1 << 16, MaxWorks: 1 << 13, Rate: 0.15, PriorWeight: 4}
}

// pair is what one task of an aggressor adds to the run time of a victim at each load level.
type pair struct {
	key     uint64
	extra   [Levels]float32
	reports [Levels]uint32
	used    bool
}

// work is a known workload. Its average is the mean over the pairs in which it is the aggressor.
type work struct {
	name    string
	id      int32
	used    bool
	extra   [Levels]float32
	reports [Levels]uint32
}

// Model holds what was learned. It is owned by one goroutine.
type Model struct {
	opts     Options
	pairs    []pair
	index    *table
	pairHand int
	works    []work
	ids      map[string]int32
	workHand int
}

// New returns a model that has learned nothing.
func New(opts Options) *Model {
	return &Model{opts: opts, index: newTable(), ids: map[string]int32{}}
}

// Pairs returns the number of pairs that are kept.
func (m *Model) Pairs() int { return len(m.pairs) }

// ID returns the model's identifier of a workload, or -1 if it has not been seen.
func (m *Model) ID(name string) int32 {
	if slot, ok := m.ids[name]; ok {
		return m.works[slot].id
	}
	return -1
}

// Extra returns the predicted extra run time of the victim, as a share of its run time alone, that one task of the
// aggressor causes at the given load. A pair without reports of its own is predicted from the aggressor's average.
func (m *Model) Extra(victim, aggressor int32, load float64) float64 {
	if !m.opts.Enabled || aggressor < 0 {
		return 0
	}
	level := levelOf(load)
	prior := 0.0
	if w := m.byID(aggressor); w != nil {
		prior = float64(w.extra[level])
	}
	if victim < 0 {
		return prior
	}
	slot := m.index.get(keyOf(victim, aggressor))
	if slot < 0 {
		return prior
	}
	p := &m.pairs[slot]
	own := float64(p.reports[level])
	return (own*float64(p.extra[level]) + m.opts.PriorWeight*prior) / (own + m.opts.PriorWeight)
}

// byID returns the workload with an identifier, or nil if it has been replaced by another one.
func (m *Model) byID(id int32) *work {
	slot := int(id)
	if slot >= m.opts.MaxWorks {
		slot %= m.opts.MaxWorks
	}
	if w := &m.works[slot]; w.id == id {
		return w
	}
	return nil
}

// Neighbour is a workload that shared the worker with a reported task.
type Neighbour struct {
	Work  string
	Count int
}

// Observe learns from one report: the victim's slowdown (run time over run time alone), its neighbours at the moment
// that the report describes, and the load of the worker at that moment. The prediction error is split over the
// neighbours by their number.
func (m *Model) Observe(victim string, slowdown float64, neighbours []Neighbour, load float64) {
	if !m.opts.Enabled || slowdown <= 0 || len(neighbours) == 0 {
		return
	}
	const maxSlowdown = 10
	level := levelOf(load)
	victimID := m.learnID(victim)
	slots := make([]int32, len(neighbours))
	predicted, weight := 0.0, 0.0
	for i, n := range neighbours {
		slots[i] = m.learnPair(victimID, m.learnID(n.Work))
		predicted += float64(m.estimate(slots[i], level)) * float64(n.Count)
		weight += float64(n.Count * n.Count)
	}
	correction := m.opts.Rate * (min(slowdown, maxSlowdown) - 1 - predicted) / weight
	for i, n := range neighbours {
		m.correct(slots[i], level, correction*float64(n.Count))
	}
}

// estimate returns the pair's own value, which begins at the aggressor's average.
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

func (m *Model) correct(slot int32, level int, by float64) {
	p := &m.pairs[slot]
	p.extra[level] = max(0, p.extra[level]+float32(by))
	p.reports[level]++
	_, aggressor := splitKey(p.key)
	w := m.byID(aggressor)
	if w == nil {
		return
	}
	// The average follows quickly at first and then over about 50 reports.
	const slowest = 50
	w.reports[level] = min(w.reports[level]+1, slowest)
	w.extra[level] += (p.extra[level] - w.extra[level]) / float32(w.reports[level])
}

// learnPair returns the slot of a pair. A full table replaces a pair that was not reported since the hand last passed.
func (m *Model) learnPair(victim, aggressor int32) int32 {
	key := keyOf(victim, aggressor)
	if slot := m.index.get(key); slot >= 0 {
		m.pairs[slot].used = true
		return slot
	}
	fresh := pair{key: key, used: true}
	if len(m.pairs) < m.opts.MaxPairs {
		m.pairs = append(m.pairs, fresh)
		m.index.put(key, int32(len(m.pairs)-1))
		return int32(len(m.pairs) - 1)
	}
	for m.pairs[m.pairHand].used {
		m.pairs[m.pairHand].used = false
		m.pairHand = (m.pairHand + 1) % len(m.pairs)
	}
	slot := int32(m.pairHand)
	m.pairHand = (m.pairHand + 1) % len(m.pairs)
	m.index.remove(m.pairs[slot].key)
	m.pairs[slot] = fresh
	m.index.put(key, slot)
	return slot
}

// learnID returns the identifier of a workload: its slot, plus a multiple of MaxWorks that grows when the slot gets
// another workload, so that pairs of a forgotten workload are never taken for those of another one.
func (m *Model) learnID(name string) int32 {
	if slot, ok := m.ids[name]; ok {
		m.works[slot].used = true
		return m.works[slot].id
	}
	if len(m.works) < m.opts.MaxWorks {
		slot := int32(len(m.works))
		m.works = append(m.works, work{name: name, id: slot, used: true})
		m.ids[name] = slot
		return slot
	}
	for m.works[m.workHand].used {
		m.works[m.workHand].used = false
		m.workHand = (m.workHand + 1) % len(m.works)
	}
	old := &m.works[m.workHand]
	delete(m.ids, old.name)
	*old = work{name: name, id: old.id + int32(m.opts.MaxWorks), used: true}
	m.ids[name] = int32(m.workHand)
	m.workHand = (m.workHand + 1) % len(m.works)
	return old.id
}

func levelOf(load float64) int {
	level := 0
	for level < len(levelBounds) && load >= levelBounds[level] {
		level++
	}
	return level
}

// A key holds the victim in the upper and the aggressor in the lower 32 bits, each plus 1, so that no key is 0.
func keyOf(victim, aggressor int32) uint64 {
	return uint64(victim+1)<<32 | uint64(aggressor+1)
}

func splitKey(key uint64) (victim, aggressor int32) {
	return int32(key>>32) - 1, int32(key&0xFFFFFFFF) - 1
}
