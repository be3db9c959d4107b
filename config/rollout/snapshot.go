package rollout

import (
	"maps"
	"slices"

	"bronzehook/api"
	"bronzehook/config"
)

// Snapshot is the configuration in force. It is immutable.
type Snapshot struct {
	Revision uint64
	Digest   string
	Author   string
	Set      *config.Set
	// Work is the set at the revision. Its maps are read-only.
	Work api.WorkSet
	// files is keyed by name.
	files map[string]File
}

// emptySnapshot is what is in force before anything was read or recorded.
func emptySnapshot() *Snapshot {
	s, err := newSnapshot(Head{Digest: digestFiles(nil)}, map[string]File{})
	if err != nil {
		panic(err)
	}
	return s
}

// newSnapshot builds the snapshot of recorded files. Files were validated when they were recorded, so a failure means
// that another version of the program recorded what this one does not accept.
func newSnapshot(head Head, files map[string]File) (*Snapshot, error) {
	set, err := config.Parse(contents(files))
	if err != nil {
		return nil, err
	}
	return snapshotOf(head, files, set), nil
}

func snapshotOf(head Head, files map[string]File, set *config.Set) *Snapshot {
	work := set.WorkSet()
	work.Revision = head.Revision
	return &Snapshot{Revision: head.Revision, Digest: head.Digest, Author: head.Author, Set: set, Work: work, files: files}
}

func contents(files map[string]File) map[string][]byte {
	result := make(map[string][]byte, len(files))
	for name, f := range files {
		result[name] = f.Content
	}
	return result
}

// Files returns the files in the order of their names. Their contents are read-only.
func (s *Snapshot) Files() []File {
	return slices.SortedFunc(maps.Values(s.files), compareFiles)
}

// File returns one file.
func (s *Snapshot) File(name string) (File, bool) {
	f, ok := s.files[name]
	return f, ok
}

// Preview merges edits into the snapshot's files and validates the result. Nothing is recorded.
func (s *Snapshot) Preview(edits []Edit, options ...config.Option) (*config.Set, error) {
	merged := contents(s.files)
	for _, e := range edits {
		if e.Delete {
			delete(merged, e.File)
			continue
		}
		merged[e.File] = e.Content
	}
	return config.Parse(merged, options...)
}
