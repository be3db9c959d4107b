package fake

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend"
)

// maxDirectoryLag is the longest lag that can be injected; older snapshots are dropped.
const maxDirectoryLag = 10 * time.Minute

// DirectoryFaults configures how listings of the directory differ from the registered entries.
type DirectoryFaults struct {
	// Lag is the age of the listed snapshot, at most 10 minutes.
	Lag time.Duration `json:"lag,omitempty"`
	// Omit holds ids of instances and workers that are left out.
	Omit []string `json:"omit,omitempty"`
	// Add holds entries that are listed without being registered.
	Add []backend.Entry `json:"add,omitempty"`
}

// directorySnapshot holds the entries that were registered from since until the next snapshot.
type directorySnapshot struct {
	since   time.Time
	entries map[string]backend.Entry
}

// Directory is a fake of the platform's directory of instances and workers. It implements backend.Directory.
type Directory struct {
	clock clockwork.Clock
	mu    sync.Mutex
	// snapshots holds at least one snapshot, ordered from oldest to newest.
	snapshots []directorySnapshot
	faults    DirectoryFaults
}

func newDirectory(clock clockwork.Clock) *Directory {
	empty := directorySnapshot{since: clock.Now(), entries: map[string]backend.Entry{}}
	return &Directory{clock: clock, snapshots: []directorySnapshot{empty}}
}

// PutInstance registers an instance or replaces its entry.
func (d *Directory) PutInstance(i api.Instance) {
	d.update(func(entries map[string]backend.Entry) {
		entries[entryKey(backend.EntryInstance, string(i.ID))] =
			backend.Entry{Kind: backend.EntryInstance, Instance: &i}
	})
}

// DeleteInstance removes an instance.
func (d *Directory) DeleteInstance(id api.InstanceID) {
	d.update(func(entries map[string]backend.Entry) {
		delete(entries, entryKey(backend.EntryInstance, string(id)))
	})
}

// PutWorker registers a worker or replaces its entry.
func (d *Directory) PutWorker(w api.Worker) {
	d.update(func(entries map[string]backend.Entry) {
		entries[entryKey(backend.EntryWorker, string(w.ID))] = backend.Entry{Kind: backend.EntryWorker, Worker: &w}
	})
}

// DeleteWorker removes a worker.
func (d *Directory) DeleteWorker(id api.WorkerID) {
	d.update(func(entries map[string]backend.Entry) {
		delete(entries, entryKey(backend.EntryWorker, string(id)))
	})
}

// SetFaults replaces the injected faults.
func (d *Directory) SetFaults(f DirectoryFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
}

// List implements backend.Directory. Entries are ordered by kind and id.
func (d *Directory) List(context.Context) ([]backend.Entry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := maps.Clone(d.snapshotAt(d.clock.Now().Add(-d.faults.Lag)).entries)
	for _, id := range d.faults.Omit {
		delete(entries, entryKey(backend.EntryInstance, id))
		delete(entries, entryKey(backend.EntryWorker, id))
	}
	for _, added := range d.faults.Add {
		entries[entryKey(added.Kind, entryID(added))] = added
	}
	listed := make([]backend.Entry, 0, len(entries))
	for _, key := range slices.SortedFunc(maps.Keys(entries), strings.Compare) {
		listed = append(listed, entries[key])
	}
	return listed, nil
}

// update appends a snapshot with the change applied and drops the snapshots that no lag up to maxDirectoryLag needs.
func (d *Directory) update(apply func(map[string]backend.Entry)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	entries := maps.Clone(d.snapshots[len(d.snapshots)-1].entries)
	apply(entries)
	d.snapshots = append(d.snapshots, directorySnapshot{since: now, entries: entries})
	for len(d.snapshots) > 1 && now.Sub(d.snapshots[1].since) > maxDirectoryLag {
		d.snapshots = d.snapshots[1:]
	}
}

// snapshotAt returns the newest snapshot that was taken at or before the time at, or else the oldest one.
func (d *Directory) snapshotAt(at time.Time) directorySnapshot {
	for i := len(d.snapshots) - 1; i > 0; i-- {
		if !d.snapshots[i].since.After(at) {
			return d.snapshots[i]
		}
	}
	return d.snapshots[0]
}

func entryKey(kind backend.EntryKind, id string) string { return string(kind) + "/" + id }

func entryID(e backend.Entry) string {
	switch {
	case e.Instance != nil:
		return string(e.Instance.ID)
	case e.Worker != nil:
		return string(e.Worker.ID)
	default:
		return ""
	}
}
