package standin

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

// directoryHistory is the longest lag that the directory can show.
const directoryHistory = 10 * time.Minute

// DirectoryFaults says how the directory deviates from what is registered.
type DirectoryFaults struct {
	// Lag is the age of what the directory shows, at most 10 minutes.
	Lag time.Duration `json:"lag,omitempty"`
	// Omit lists ids of instances and workers that are not shown.
	Omit []string `json:"omit,omitempty"`
	// Add lists entries that are shown without being registered.
	Add []backend.Entry `json:"add,omitempty"`
}

// directoryView is what was registered from a moment on.
type directoryView struct {
	since   time.Time
	entries map[string]backend.Entry
}

// Directory is the platform's list of instances and workers.
type Directory struct {
	clock clockwork.Clock
	mu    sync.Mutex
	// views holds at least one view, from oldest to newest.
	views  []directoryView
	faults DirectoryFaults
}

func newDirectory(clock clockwork.Clock) *Directory {
	empty := directoryView{since: clock.Now(), entries: map[string]backend.Entry{}}
	return &Directory{clock: clock, views: []directoryView{empty}}
}

// PutInstance registers an instance or replaces its entry.
func (d *Directory) PutInstance(i api.Instance) {
	d.change(func(entries map[string]backend.Entry) {
		entries[entryKey(backend.EntryInstance, string(i.ID))] =
			backend.Entry{Kind: backend.EntryInstance, Instance: &i}
	})
}

// DeleteInstance removes an instance.
func (d *Directory) DeleteInstance(id api.InstanceID) {
	d.change(func(entries map[string]backend.Entry) {
		delete(entries, entryKey(backend.EntryInstance, string(id)))
	})
}

// PutWorker registers a worker or replaces its entry.
func (d *Directory) PutWorker(w api.Worker) {
	d.change(func(entries map[string]backend.Entry) {
		entries[entryKey(backend.EntryWorker, string(w.ID))] = backend.Entry{Kind: backend.EntryWorker, Worker: &w}
	})
}

// DeleteWorker removes a worker.
func (d *Directory) DeleteWorker(id api.WorkerID) {
	d.change(func(entries map[string]backend.Entry) {
		delete(entries, entryKey(backend.EntryWorker, string(id)))
	})
}

// SetFaults replaces the faults.
func (d *Directory) SetFaults(f DirectoryFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
}

// List implements backend.Directory. Entries are ordered by kind and id.
func (d *Directory) List(context.Context) ([]backend.Entry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := maps.Clone(d.viewAt(d.clock.Now().Add(-d.faults.Lag)).entries)
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

func (d *Directory) change(apply func(map[string]backend.Entry)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	entries := maps.Clone(d.views[len(d.views)-1].entries)
	apply(entries)
	d.views = append(d.views, directoryView{since: now, entries: entries})
	for len(d.views) > 1 && now.Sub(d.views[1].since) > directoryHistory {
		d.views = d.views[1:]
	}
}

// viewAt returns the newest view that is not younger than at, or the oldest one.
func (d *Directory) viewAt(at time.Time) directoryView {
	for i := len(d.views) - 1; i > 0; i-- {
		if !d.views[i].since.After(at) {
			return d.views[i]
		}
	}
	return d.views[0]
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
