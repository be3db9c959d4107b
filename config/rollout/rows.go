package rollout

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/backend"
	"bronzehook/fault"
)

// Keys of the table.
const (
	KeyHead    = "config/head"
	KeyRecent  = "config/recent"
	FilePrefix = "config/file/"
)

// Bounds of the row config/recent. An instance that is further behind reads all files.
const (
	maxRecentRevisions = 64
	maxRecentFiles     = 1024
)

// Head is the row config/head.
type Head struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Digest is the digest of all files at the revision.
	Digest string `cbor:"2,keyasint"`
	Author string `cbor:"3,keyasint"`
}

// recentChange is one entry of the row config/recent.
type recentChange struct {
	Revision uint64 `cbor:"1,keyasint"`
	OpID     string `cbor:"2,keyasint"`
	// Edits is the digest of the edits; it tells a repeated operation from another one under the same id.
	Edits string `cbor:"3,keyasint"`
	// Files names the changed files. All is set instead if there are too many of them.
	Files []string `cbor:"4,keyasint"`
	All   bool     `cbor:"5,keyasint,omitempty"`
}

// fileRow is the value of a row config/file/<name>.
type fileRow struct {
	Revision uint64 `cbor:"1,keyasint"`
	Author   string `cbor:"2,keyasint"`
	Content  []byte `cbor:"3,keyasint"`
}

// File is one recorded file.
type File struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Version is the revision that recorded the content.
	Version uint64 `json:"version" cbor:"2,keyasint"`
	Author  string `json:"author" cbor:"3,keyasint"`
	Content []byte `json:"content" cbor:"4,keyasint"`
}

// Digest returns the digest of a file's content, as GET /v1/files lists it.
func Digest(content []byte) string { return strconv.FormatUint(xxhash.Sum64(content), 16) }

// digestFiles returns the digest of files in the order of their names. Lengths are included, so that content cannot
// pass for the name of a further file.
func digestFiles(files []File) string {
	sorted := slices.SortedFunc(slices.Values(files), compareFiles)
	h := xxhash.New()
	for _, f := range sorted {
		writeSized(h, f.Name)
		writeSized(h, strconv.FormatUint(f.Version, 10))
		writeSized(h, string(f.Content))
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// writeSized feeds a text with its length into a hash, which never fails.
func writeSized(h *xxhash.Digest, text string) {
	_, _ = h.WriteString(strconv.Itoa(len(text)))
	_, _ = h.WriteString(":")
	_, _ = h.WriteString(text)
}

func compareFiles(a, b File) int {
	if a.Name < b.Name {
		return -1
	}
	if a.Name > b.Name {
		return 1
	}
	return 0
}

func encode(op string, value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	return data, errors.Wrapf(err, "encode %s", op)
}

// decode reads a row's value. An absent row leaves the value as it is.
func decode(row backend.Row, value any) error {
	if row.Version == 0 {
		return nil
	}
	if err := cbor.Unmarshal(row.Value, value); err != nil {
		return fault.New(fault.CodeInternal, "read "+row.Key, "row cannot be decoded: %s", err)
	}
	return nil
}
