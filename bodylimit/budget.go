package bodylimit

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// collectInterval is the least time between two garbage collections that a budget requests. On the smallest instance one
// takes some tens of milliseconds of processor time.
const collectInterval = 2 * time.Second

// Collector tells and advances the cycles of the garbage collector.
type Collector interface {
	// Cycles returns the number of completed cycles.
	Cycles() uint64
	// Collect runs a cycle and returns after it.
	Collect()
}

// goCollector is the garbage collector of the Go runtime.
type goCollector struct{}

// Cycles implements Collector.
func (goCollector) Cycles() uint64 {
	sample := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Collect implements Collector.
func (goCollector) Collect() { runtime.GC() }

// Budget counts the memory of the bodies of a group of listeners. Released memory stays counted until the garbage collector
// can have freed it. It is safe for concurrent use.
type Budget struct {
	limits    Limits
	collector Collector
	now       func() time.Time
	stats     *budgetStats
	logger    zerolog.Logger

	mu sync.Mutex
	// claimed is held by bodies; freed was released and may not be collected yet.
	claimed int64
	freed   []release
	// round counts the requested collections, so that a release is known to be older than one.
	round       uint64
	collecting  bool
	collectedAt time.Time
	receiving   map[*incoming]struct{}
}

// release is memory that was released between two cycles of the garbage collector.
type release struct {
	cycle, round uint64
	bytes        int64
}

// NewBudget returns an empty budget, named for its metrics and log lines. Without metrics it counts none.
func NewBudget(name string, limits Limits, m *Metrics, logger zerolog.Logger) *Budget {
	b := newBudget(limits, goCollector{}, time.Now)
	b.stats = m.budget(name, b)
	b.logger = logger.With().Str("bodies", name).Logger().Sample(&zerolog.BurstSampler{Burst: 1, Period: time.Second})
	return b
}

func newBudget(limits Limits, collector Collector, now func() time.Time) *Budget {
	return &Budget{limits: limits, collector: collector, now: now, logger: zerolog.Nop(), receiving: make(map[*incoming]struct{})}
}

// Bytes returns the memory that is counted.
func (b *Budget) Bytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropCollected()
	return b.claimed + b.freedBytes()
}

// claim counts bytes for a body that then holds held bytes in all, and reports false if there is no room. limit is the
// greatest size of such a body.
func (b *Budget) claim(bytes, held, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	room := b.roomFor(held, limit)
	if b.claimed+b.freedBytes()+bytes > room {
		b.dropCollected()
	}
	if b.claimed+b.freedBytes()+bytes > room {
		return false
	}
	b.claimed += bytes
	return true
}

// roomFor returns the bound of the sum for a body that holds held bytes.
func (b *Budget) roomFor(held, limit int64) int64 {
	total := b.limits.Total
	// While its buffer grows, a body takes twice its size, besides its copies.
	need := (2+b.limits.WorkCopies)*limit + b.limits.Reserve
	total = max(total, min(need, b.limits.Ceiling))
	if held > b.limits.SmallBytes {
		total -= b.limits.Reserve
	}
	return total
}

// release gives memory back. It counts until a cycle that began after the release is complete; that is certain once two
// more are.
func (b *Budget) release(bytes int64) {
	if bytes == 0 {
		return
	}
	cycle := b.collector.Cycles()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.claimed -= bytes
	if last := len(b.freed) - 1; last >= 0 && b.freed[last].cycle == cycle && b.freed[last].round == b.round {
		b.freed[last].bytes += bytes
		return
	}
	b.freed = append(b.freed, release{cycle: cycle, round: b.round, bytes: bytes})
}

func (b *Budget) freedBytes() int64 {
	sum := int64(0)
	for _, r := range b.freed {
		sum += r.bytes
	}
	return sum
}

// dropCollected drops the releases that two complete cycles have followed.
func (b *Budget) dropCollected() {
	cycles := b.collector.Cycles()
	for len(b.freed) > 0 && b.freed[0].cycle+2 <= cycles {
		b.freed = b.freed[1:]
	}
}

// relieve makes room: it ends bodies that make no progress and collects what was released.
func (b *Budget) relieve() {
	now := b.now()
	b.mu.Lock()
	for body := range b.receiving {
		if now.Sub(body.progressAt()) >= pressureStallTimeout {
			body.evict()
			delete(b.receiving, body)
		}
	}
	due := len(b.freed) > 0 && !b.collecting && now.Sub(b.collectedAt) >= collectInterval
	if due {
		b.collecting = true
		b.round++
	}
	round := b.round
	b.mu.Unlock()
	if due {
		b.collector.Collect()
		b.collected(round)
	}
}

// collected drops the releases from before a requested collection.
func (b *Budget) collected(round uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.freed) > 0 && b.freed[0].round < round {
		b.freed = b.freed[1:]
	}
	b.collecting, b.collectedAt = false, b.now()
}

func (b *Budget) addReceiving(body *incoming) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receiving[body] = struct{}{}
}

func (b *Budget) removeReceiving(body *incoming) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receiving, body)
}
