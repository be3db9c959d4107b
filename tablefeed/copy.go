// Package tablefeed distributes one table of the store within a region. A few instances of a region, the readers, watch the table
// in the store; the others get its rows from a reader, and from the store only if no peer has them. So a large row crosses the link
// to the region of the store once for each reader and not once for each instance.
//
// A Copy says until when it is known to be complete (confirmed). That time is passed on with the rows, so that an instance never
// takes what a peer says for newer than the peer's own read of the store.
package tablefeed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"bronzehook/store"
)

// maxTombstones bounds the deleted rows that a copy remembers. Beyond it they are forgotten, and instances with older knowledge get
// all rows.
const maxTombstones = 1000

// Delta is what has changed in a table after a version, or all of it.
type Delta struct {
	Rows    []store.Row
	Version uint64
	// Full is set if Rows are all rows of the table; what is missing has been deleted.
	Full bool
	// Age is the time since the send time of the read of the store that confirmed the copy.
	Age time.Duration
}

// Copy is an instance's copy of one table. It is safe for concurrent use.
type Copy struct {
	mu sync.Mutex
	// rows holds the rows by name, deleted ones included: a deletion is passed on like a change.
	rows       map[string]store.Row
	tombstones int
	// version is that of the latest read. Deletions before base are not known; base is 0 before the first full read.
	version, base uint64
	confirmedAt   time.Duration
	packed        map[string]packedValue
	changed       chan struct{}
}

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{rows: make(map[string]store.Row), packed: make(map[string]packedValue), changed: make(chan struct{})}
}

// Replace applies a full read of the table that was sent at sentAt.
func (c *Copy) Replace(rows []store.Row, version uint64, sentAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Name] = true
		c.put(row)
	}
	for name, row := range c.rows {
		if !present[name] && !row.Deleted {
			c.put(store.Row{Key: row.Key, Version: version, Deleted: true})
		}
	}
	if c.base == 0 {
		c.base = version
	}
	c.confirm(version, sentAt)
}

// Apply applies the changes since the previous version. They come from a read that was sent at sentAt.
func (c *Copy) Apply(rows []store.Row, version uint64, sentAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range rows {
		c.put(row)
	}
	c.confirm(version, sentAt)
}

// put keeps a row unless a newer one is known. The caller holds c.mu.
func (c *Copy) put(row store.Row) {
	known, exists := c.rows[row.Name]
	if exists && known.Version >= row.Version {
		return
	}
	c.rows[row.Name] = row
	delete(c.packed, row.Name)
	if exists && known.Deleted {
		c.tombstones--
	}
	if row.Deleted {
		c.tombstones++
	}
}

// confirm notes a read and wakes those that wait for changes. The caller holds c.mu.
func (c *Copy) confirm(version uint64, sentAt time.Duration) {
	c.version, c.confirmedAt = max(c.version, version), max(c.confirmedAt, sentAt)
	if c.tombstones > maxTombstones {
		for name, row := range c.rows {
			if row.Deleted {
				delete(c.rows, name)
			}
		}
		c.tombstones, c.base = 0, c.version
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// ConfirmedAt returns the send time of the latest read of the store that the copy reflects.
func (c *Copy) ConfirmedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt
}

// Version returns the version of the latest read, 0 if there was none.
func (c *Copy) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Since returns the changes after a version, or all rows if not all deletions after it are known. It reports false before the
// first full read.
func (c *Copy) Since(after uint64, now time.Duration) (Delta, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.base == 0 {
		return Delta{}, false
	}
	delta := Delta{Version: c.version, Full: after < c.base, Age: now - c.confirmedAt}
	for _, row := range c.rows {
		if delta.Full && !row.Deleted || !delta.Full && row.Version > after {
			delta.Rows = append(delta.Rows, row)
		}
	}
	slices.SortFunc(delta.Rows, func(a, b store.Row) int { return cmp.Compare(a.Name, b.Name) })
	return delta, true
}

// WaitSince is like Since, but waits for the first change, at most for wait.
func (c *Copy) WaitSince(ctx context.Context, after uint64, wait time.Duration, clock func() time.Duration) (Delta, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		delta, ok := c.Since(after, clock())
		if !ok || delta.Full || len(delta.Rows) > 0 {
			return delta, ok
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.Since(after, clock())
		case <-ctx.Done():
			return delta, ok
		}
	}
}
