package execution

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"bronzehook/evacuation"
	"bronzehook/invalid"
	"bronzehook/leadership"
	"bronzehook/maintenance"
	"bronzehook/manifest"
	"bronzehook/mitigation"
	"bronzehook/recovery"
	"bronzehook/startgate"
	"bronzehook/store"
	"bronzehook/workers"
)

// Options configures leadership terms.
type Options struct {
	Table   store.Table
	Workers workers.Client
	// Carriers is nil if the leader makes all calls to workers itself.
	Carriers Carriers
	// Advisor is nil if no queue uses the advice service.
	Advisor  workers.Advisor
	Manifest *manifest.Provider
	// WorkersTable is the table of worker registrations, one row for each worker. ParseRegistration decodes a row.
	WorkersTable      string
	ParseRegistration func(store.Row) (workers.Registration, error)
	// Invalid reports values of other processes that are left out. Guard recovers from panics.
	Invalid *invalid.Reporter
	Guard   *recovery.Guard
	Clock   leadership.Clock
	// Now returns the wall-clock time; Clock is monotonic.
	Now    func() time.Time
	Logger zerolog.Logger
	// DetailSampler says whether the log has room for lines on single attempts; nil if it always has. On a busy fleet it
	// saves the cost of lines that would be dropped.
	DetailSampler zerolog.Sampler
	// AttemptLeaseDuration is how long a worker keeps running attempts without contact to the leader.
	AttemptLeaseDuration time.Duration
	// WorkerLeaseLimit is the longest lease that a worker grants; a longer one is shortened to it. 0 means
	// AttemptLeaseDuration.
	WorkerLeaseLimit time.Duration
	// RemoteDataFactor is how many times as long a task takes when its data is not local; 0 if unknown.
	RemoteDataFactor float64
	// FenceOverdueStarts lets the leader raise the fencing token for a worker as soon as the response to a start is overdue.
	FenceOverdueStarts bool
	// Retention is the minimum time for which the public state of an ended job can be read.
	Retention time.Duration
	Metrics   *Metrics
	// JobAdmission is set if jobs that cannot earn are refused at submission, and deferred while there is a backlog.
	JobAdmission bool
	// Machines is nil if there is no machine service. Waves holds the maintenance waves that operators have requested;
	// WaveStatus returns the row that stores the status of a wave.
	Machines   maintenance.Client
	Waves      *maintenance.Registry
	WaveStatus func(wave int, finished bool) store.Put
	// RefreshEvacuations brings Evacuations up to date by a read of its own, apart from the watch of the operator's table. It may
	// be nil.
	RefreshEvacuations func(ctx context.Context) error
	// StartBounds are the times for which starts are still allowed after a request that forbids them was acknowledged.
	StartBounds startgate.Bounds
	// Evacuations holds the evacuations that operators have requested; nil means none. ReadEvacuations brings it up to date.
	Evacuations     *evacuation.Registry
	ReadEvacuations ReadEvacuations
	// EvacuationBoard takes the reports of evacuations for operators; nil if there is none.
	EvacuationBoard *evacuation.Board
	// InterferenceBoard takes what is learned of the interference of images, for operators; nil if there is none.
	InterferenceBoard *mitigation.Board
	// MachineHandoverDelay is the minimum time between the commands of two successive leaders for one machine.
	MachineHandoverDelay time.Duration
	// RunDelay returns the mean time that goroutines have waited for a processor since its last call. Overloaded is
	// called every overloadCheckInterval while that delay is long; it must not block. Both are nil if overload is not
	// monitored.
	RunDelay   func() time.Duration
	Overloaded func(delay time.Duration)
}
