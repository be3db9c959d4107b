// Package drain keeps the operators' drains of workers: durable records in the platform's table that keep new work off a
// worker and end by themselves at their expiry.
package drain

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
)

// ServiceName is the service's name in the kernel.
const ServiceName = "drain"

// Prefix is the prefix of the rows in the table.
const Prefix = "drain/"

const (
	// pollInterval is the time between two reads of the records. With it, a drain is in force everywhere within 2 s.
	pollInterval = 2 * time.Second
	// tableTimeout bounds one call to the table.
	tableTimeout = time.Second
)

// Record is one drain.
type Record struct {
	Worker  api.WorkerID `json:"worker" cbor:"1,keyasint"`
	Expires time.Time    `json:"expires" cbor:"2,keyasint"`
	Author  string       `json:"author" cbor:"3,keyasint"`
	Reason  string       `json:"reason,omitempty" cbor:"4,keyasint,omitempty"`
}

// Options are the parts that a Service is built from.
type Options struct {
	Table  backend.Table
	Clock  clockwork.Clock
	Logger zerolog.Logger
	// NewOpID returns a fresh operation id.
	NewOpID func() string
}

// Service records drains and keeps the current ones. While the table is down the last known ones stay in force until
// their expiry, and new ones are refused.
type Service struct {
	options Options
	current atomic.Pointer[[]Record]
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// New returns a service that knows no drains yet.
func New(options Options) *Service {
	s := &Service{options: options}
	s.current.Store(&[]Record{})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return nil }

// Start begins to read the records.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.poll(ctx) })
	return nil
}

// Stop ends the reading.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Current returns the drains that have not expired.
func (s *Service) Current() []Record {
	now := s.options.Clock.Now()
	var records []Record
	for _, r := range *s.current.Load() {
		if now.Before(r.Expires) {
			records = append(records, r)
		}
	}
	return records
}

// Workers returns the drained workers.
func (s *Service) Workers() map[api.WorkerID]bool {
	workers := map[api.WorkerID]bool{}
	for _, r := range s.Current() {
		workers[r.Worker] = true
	}
	return workers
}

// Drain records a drain, or replaces the one of the same worker.
func (s *Service) Drain(ctx context.Context, record Record) error {
	value, err := cbor.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode drain")
	}
	return s.write(ctx, backend.Write{Key: Prefix + string(record.Worker), Value: value})
}

// Undrain removes the drain of a worker.
func (s *Service) Undrain(ctx context.Context, worker api.WorkerID) error {
	return s.write(ctx, backend.Write{Key: Prefix + string(worker), Delete: true})
}

// write commits one unconditional write; the last operator wins, as both are in the audit trail. The operation id makes
// the second try of a write whose reply was lost harmless.
func (s *Service) write(ctx context.Context, write backend.Write) error {
	txn := backend.Txn{OpID: s.options.NewOpID(), Writes: []backend.Write{write}}
	_, err := s.options.Table.Commit(ctx, txn)
	if fault.Is(err, fault.CodeStoreUnavailable) {
		_, err = s.options.Table.Commit(ctx, txn)
	}
	if err != nil {
		return errors.Wrap(err, "record drain")
	}
	s.refresh(ctx)
	return nil
}

func (s *Service) poll(ctx context.Context) {
	ticker := s.options.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		s.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (s *Service) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := s.options.Table.List(ctx, Prefix)
	if err != nil {
		return
	}
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		var r Record
		if err := cbor.Unmarshal(row.Value, &r); err != nil {
			s.options.Logger.Error().Str("worker", strings.TrimPrefix(row.Key, Prefix)).Err(err).Msg("drain not readable")
			continue
		}
		records = append(records, r)
	}
	s.current.Store(&records)
}
