package rollout

import (
	"maps"
	"slices"

	"bronzehook/api"
	"bronzehook/config"
)

// Snapshot is the configuration at one revision. It is immutable.
type Snapshot struct {
	Revision uint64
	Digest   string
	Author   string
	Set      *config.Set
	// Workloads is the workload set at this revision. Its maps are read-only.
	Workloads api.WorkSet
	// files holds the files by name.
	files map[string]File
}

// emptySnapshot returns the snapshot that is active before any configuration was read or recorded.
func emptySnapshot() *Snapshot {
	s, err := newSnapshot(Head{Digest: digestFiles(nil)}, map[string]File{})
	if err != nil {
		panic(err)
	}
	return s
}

// newSnapshot builds the snapshot of recorded files. Files are validated before they are recorded, so it fails only for
// files that another version of the program recorded and this version does not accept.
func newSnapshot(head Head, files map[string]File) (*Snapshot, error) {
	set, err := config.Parse(fileContents(files))
	if err != nil {
		return nil, err
	}
	return snapshotFromSet(head, files, set), nil
}

func snapshotFromSet(head Head, files map[string]File, set *config.Set) *Snapshot {
	workloads := set.WorkSet()
	workloads.Revision = head.Revision
	return &Snapshot{Revision: head.Revision, Digest: head.Digest, Author: head.Author, Set: set, Workloads: workloads, files: files}
}

func fileContents(files map[string]File) map[string][]byte {
	result := make(map[string][]byte, len(files))
	for name, f := range files {
		result[name] = f.Content
	}
	return result
}

// Files returns the files sorted by name. Their contents are read-only.
func (s *Snapshot) Files() []File {
	return slices.SortedFunc(maps.Values(s.files), compareFiles)
}

// File returns the file with the given name and whether it exists.
func (s *Snapshot) File(name string) (File, bool) {
	f, ok := s.files[name]
	return f, ok
}

// Preview merges edits into the snapshot's files and validates the result. Nothing is recorded.
func (s *Snapshot) Preview(edits []Edit, options ...config.Option) (*config.Set, error) {
	merged := fileContents(s.files)
	for _, e := range edits {
		if e.Delete {
			delete(merged, e.File)
			continue
		}
		merged[e.File] = e.Content
	}
	return config.Parse(merged, options...)
}
