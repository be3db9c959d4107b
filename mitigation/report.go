package mitigation

import (
	"sync/atomic"
	"time"

	"bronzehook/placement"
)

// ReportPath is the path at an instance's metrics address under which it serves its Report as JSON.
const ReportPath = "/interference"

// Report is what the leader has learned of the interference of images.
type Report struct {
	// Leading is set if the instance leads. Only a leader knows the effects.
	Leading   bool  `json:"leading"`
	AgeMillis int64 `json:"age_ms"`
	// Pairs holds the pairs of images that have been measured together or run together now, the largest effects first.
	Pairs []placement.PairReport `json:"pairs"`
}

// Board holds the latest report of the leader, nil while this instance does not lead. A nil board takes none.
type Board struct{ latest atomic.Pointer[published] }

type published struct {
	pairs []placement.PairReport
	at    time.Duration
}

// Publish replaces the pairs, which must not be changed afterwards.
func (b *Board) Publish(pairs []placement.PairReport, at time.Duration) {
	if b != nil {
		b.latest.Store(&published{pairs, at})
	}
}

// Clear removes the report at the end of a term.
func (b *Board) Clear() {
	if b != nil {
		b.latest.Store(nil)
	}
}

// Report returns the report of the instance.
func (b *Board) Report(now time.Duration) Report {
	latest := b.latest.Load()
	if latest == nil {
		return Report{}
	}
	return Report{Leading: true, AgeMillis: (now - latest.at).Milliseconds(), Pairs: latest.pairs}
}
