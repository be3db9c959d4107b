package tablefeed

import (
	"slices"
	"time"

	"bronzehook/leadership"
)

const (
	// instancesPerReader is the number of instances of a region for each reader. A reader sends a large row to that many peers at
	// once: 110 kB, a manifest of 1,425 routes compressed, takes a reader of 10 Mbit/s 1.4 s for 16 peers.
	instancesPerReader = 16
	// minReaders lets the others go on when one reader fails.
	minReaders = 2
	// substitutes is the number of instances that read the store as soon as no reader answers.
	substitutes = 2
	// minFollowers is the least number of instances of a region, besides the readers, that use readers. For fewer the link does not
	// matter.
	minFollowers = 4
)

// Fallback times: an instance reads the store itself once its copy has not been confirmed for fallbackAfter and, for each
// instance before it in the order of the region, fallbackStep more, at most maxFallbackStep. A copy that readers confirm is up to
// 1.4 s old: a reader waits ReaderWait for changes, and its latest answer is as old again; then come the wait of the peer (MaxWait)
// and the ways. The steps keep instances that lose all readers and substitutes at once from reading the store at once: those before
// them have the row by then, and any peer may be asked for it.
const (
	ReaderWait      = 400 * time.Millisecond
	fallbackAfter   = 2000 * time.Millisecond
	fallbackStep    = 30 * time.Millisecond
	maxFallbackStep = 800 * time.Millisecond
)

// Plan says from whom an instance gets the table.
type Plan struct {
	// Readers are the readers of the region, the one that this instance asks first at the beginning. Substitutes are the instances
	// that read the store if no reader answers, Others the other instances of the region, which may have a newer copy. All are empty
	// if this instance reads the store itself; a substitute asks readers only.
	Readers, Substitutes, Others []leadership.Member
	// Reads is set if this instance is a reader, so that others depend on how often it reads, IsSubstitute if it reads like one as long as no reader answers.
	Reads, IsSubstitute bool
	// Fallback is the age of the own copy from which on this instance reads the store itself.
	Fallback time.Duration
}

// FromPeers reports whether the instance gets the table from peers.
func (p *Plan) FromPeers() bool { return len(p.Readers) > 0 }

// NewPlan returns the plan of an instance. It reads the store itself if it is unknown, is near the store, belongs to a small
// region, or is one of its readers.
func NewPlan(members []leadership.Member, self string) Plan {
	own := slices.IndexFunc(members, func(m leadership.Member) bool { return m.Name == self })
	if own < 0 || members[own].Region == "" || members[own].Addr == "" || !members[own].StoreIsRemote() {
		return Plan{}
	}
	var region []leadership.Member
	for _, m := range members {
		if m.Region == members[own].Region && m.Addr != "" {
			region = append(region, m)
		}
	}
	readers := max(minReaders, (len(region)+instancesPerReader-1)/instancesPerReader)
	if len(region) < readers+minFollowers {
		return Plan{}
	}
	slices.SortFunc(region, func(a, b leadership.Member) int { return leadership.CompareFitness(&a, &b) })
	rank := slices.IndexFunc(region, func(m leadership.Member) bool { return m.Name == self })
	if rank < readers {
		return Plan{Reads: true}
	}
	first := rank % readers
	plan := Plan{
		Readers:  append(slices.Clone(region[first:readers]), region[:first]...),
		Fallback: fallbackAfter + min(maxFallbackStep, time.Duration(rank-readers)*fallbackStep),
	}
	if rank < readers+substitutes {
		plan.IsSubstitute = true
		return plan
	}
	plan.Substitutes = region[readers : readers+substitutes]
	plan.Others = append(slices.Clone(region[readers+substitutes:rank]), region[rank+1:]...)
	return plan
}
