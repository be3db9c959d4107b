package intake

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/jobs"
	"bronzehook/store"
)

// pendingCount is a cached count of the pending jobs of one queue.
type pendingCount struct {
	mu     sync.Mutex
	value  int
	readAt time.Time
}

// leaderCounts caches the row in which the leader counts the pending jobs of all queues.
type leaderCounts struct {
	mu     sync.Mutex
	readAt time.Time
	counts *jobs.Counts
}

// Pending returns the number of accepted jobs of a queue of which no task has started. The leader writes the counts of all queues
// into one row; if that row is too old, the queue's rows of pending jobs are counted instead.
func (s *Service) Pending(ctx context.Context, queue string) (int, error) {
	if s.health.Down(outageThreshold) {
		return 0, errors.WithStack(&OutageError{})
	}
	if counts, ok := s.readLeaderCounts(ctx); ok {
		return counts[queue], nil
	}
	s.mu.Lock()
	c, ok := s.pending[queue]
	if !ok {
		c = &pendingCount{}
		s.pending[queue] = c
	}
	s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.readAt) < maxPendingCountAge {
		return c.value, nil
	}
	started := time.Now()
	from, to := store.PendingRange(queue)
	rows, err := store.List(ctx, s.table, store.TablePending, from, to)
	if err != nil {
		return 0, err
	}
	c.value, c.readAt = len(rows.Rows), started
	return c.value, nil
}

// readLeaderCounts returns the counts that the leader wrote last, by queue. It reports false if they can't be read or are too old.
func (s *Service) readLeaderCounts(ctx context.Context) (map[string]int, bool) {
	latest := &s.leaderCounts
	latest.mu.Lock()
	defer latest.mu.Unlock()
	if time.Since(latest.readAt) >= maxPendingCountAge {
		started := time.Now()
		rows, err := store.ReadRow(ctx, s.table, store.CountsKey)
		if err != nil {
			return nil, false
		}
		latest.readAt, latest.counts = started, nil
		if len(rows.Rows) > 0 {
			// A row that can't be decoded is treated as missing.
			latest.counts, _ = jobs.Decode[jobs.Counts]("counts", rows.Rows[0].Value)
		}
	}
	if latest.counts == nil || s.now().Sub(time.UnixMilli(latest.counts.Written)).Abs() > maxLeaderCountsAge {
		return nil, false
	}
	return latest.counts.Pending, true
}
