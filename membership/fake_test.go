package membership

import (
	"context"
	"slices"
	"strings"
	"sync"

	"bronzehook/fault"
	"bronzehook/platform"
)

// fakeTable is a table in memory with the faults down and reply-lost.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	results map[string]platform.CommitResult
	down    bool
	// loseReplies is the number of commits that take effect without an answer.
	loseReplies int
	reads       int
	commits     int
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, results: map[string]platform.CommitResult{}}
}

func (f *fakeTable) unavailable() error {
	return fault.New(fault.CodeStoreUnavailable, "fake table", "down or reply lost")
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return platform.Row{}, f.unavailable()
	}
	row, ok := f.rows[key]
	if !ok {
		return row, fault.New(fault.CodeNotFound, "fake table", "%s", key)
	}
	return row, nil
}

func (f *fakeTable) List(_ context.Context, prefix string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return nil, f.unavailable()
	}
	var rows []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (platform.CommitResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	if f.down {
		return platform.CommitResult{}, f.unavailable()
	}
	if result, ok := f.results[txn.OpID]; ok {
		return result, nil
	}
	for _, c := range txn.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return platform.CommitResult{}, fault.New(fault.CodeConflict, "fake table", "%s", c.Key)
		}
	}
	result := platform.CommitResult{Versions: map[string]uint64{}}
	for _, w := range txn.Writes {
		version := f.rows[w.Key].Version + 1
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: version, OpID: txn.OpID}
		result.Versions[w.Key] = version
		if w.Delete {
			delete(f.rows, w.Key)
			result.Versions[w.Key] = 0
		}
	}
	f.results[txn.OpID] = result
	if f.loseReplies > 0 {
		f.loseReplies--
		return platform.CommitResult{}, f.unavailable()
	}
	return result, nil
}

// fakeDirectory lists what the test says.
type fakeDirectory struct {
	mu      sync.Mutex
	entries []platform.Entry
}

func (f *fakeDirectory) List(context.Context) ([]platform.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.entries), nil
}
