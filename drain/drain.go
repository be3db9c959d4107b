// Package drain manages the drains of workers that operators request. A drain is a persistent record in the platform's
// table. No new tasks are placed on the worker until the drain is removed or expires.
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

// ServiceName is the name of this service in the service manager (package kernel).
const ServiceName = "drain"

// Prefix is the key prefix of drain rows in the table.
const Prefix = "drain/"

const (
	// pollInterval is the time between two reads of the records; a new drain is active on all instances within 2 s.
	pollInterval = 2 * time.Second
	// tableTimeout is the time-out of one read of the records.
	tableTimeout = time.Second
)

// Record is the drain of one worker.
type Record struct {
	Worker  api.WorkerID `json:"worker" cbor:"1,keyasint"`
	Expires time.Time    `json:"expires" cbor:"2,keyasint"`
	Author  string       `json:"author" cbor:"3,keyasint"`
	Reason  string       `json:"reason,omitempty" cbor:"4,keyasint,omitempty"`
}

// Options are the dependencies of a Service.
type Options struct {
	Table  backend.Table
	Clock  clockwork.Clock
	Logger zerolog.Logger
	// NewOpID returns a unique operation ID.
	NewOpID func() string
}

// Service writes drains to the table and caches the current ones. While the table is unavailable, the cached drains stay
// active until they expire, and changes fail.
type Service struct {
	options  Options
	records  atomic.Pointer[[]Record]
	cancel   context.CancelFunc
	pollDone sync.WaitGroup
}

// New returns a service that has not been started and has no drains.
func New(options Options) *Service {
	s := &Service{options: options}
	s.records.Store(&[]Record{})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return nil }

// Start starts polling the records.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.pollDone.Go(func() { s.pollLoop(ctx) })
	return nil
}

// Stop stops polling and waits for the last poll to end.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.pollDone.Wait()
	return nil
}

// Current returns the drains that have not expired.
func (s *Service) Current() []Record {
	now := s.options.Clock.Now()
	var records []Record
	for _, r := range *s.records.Load() {
		if now.Before(r.Expires) {
			records = append(records, r)
		}
	}
	return records
}

// Workers returns the set of drained workers.
func (s *Service) Workers() map[api.WorkerID]bool {
	workers := map[api.WorkerID]bool{}
	for _, r := range s.Current() {
		workers[r.Worker] = true
	}
	return workers
}

// Drain stores a drain. It replaces an earlier drain of the same worker.
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

// write commits one unconditional write: of two concurrent changes the last one wins, which is acceptable because both
// are in the audit log. If the table is unavailable, it retries once; the operation ID makes the retry harmless if the
// first attempt took effect and only its reply was lost.
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

func (s *Service) pollLoop(ctx context.Context) {
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
			s.options.Logger.Error().Str("worker", strings.TrimPrefix(row.Key, Prefix)).Err(err).Msg("drain cannot be decoded")
			continue
		}
		records = append(records, r)
	}
	s.records.Store(&records)
}
