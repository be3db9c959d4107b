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

// Keys and key prefixes of the table's rows.
const (
	KeyHead    = "config/head"
	KeyRecent  = "config/recent"
	FilePrefix = "config/file/"
)

// Limits of the row config/recent. An instance whose revision is older than the entries of this row reads all files.
const (
	maxRecentRevisions = 64
	maxRecentFiles     = 1024
)

// Head is the value of the row config/head.
type Head struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Digest is the digest of all files at this revision.
	Digest string `cbor:"2,keyasint"`
	Author string `cbor:"3,keyasint"`
}

// recentChange is one entry of the list in the row config/recent.
type recentChange struct {
	Revision uint64 `cbor:"1,keyasint"`
	OpID     string `cbor:"2,keyasint"`
	// Edits is the digest of the edits. It distinguishes a repeated operation from another one with the same id.
	Edits string `cbor:"3,keyasint"`
	// Files lists the names of the changed files. If there are too many, it is empty and All is set.
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

// Digest returns the digest of a file's content as it is shown by GET /v1/files.
func Digest(content []byte) string { return strconv.FormatUint(xxhash.Sum64(content), 16) }

// digestFiles returns the digest of a set of files. It sorts them by name and hashes the length of each text, so that
// content cannot be mistaken for the name of another file.
func digestFiles(files []File) string {
	sorted := slices.SortedFunc(slices.Values(files), compareFiles)
	h := xxhash.New()
	for _, f := range sorted {
		writeLengthPrefixed(h, f.Name)
		writeLengthPrefixed(h, strconv.FormatUint(f.Version, 10))
		writeLengthPrefixed(h, string(f.Content))
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// writeLengthPrefixed writes the length of a text and the text to the hash. Writes to the hash never fail.
func writeLengthPrefixed(h *xxhash.Digest, text string) {
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

// decode decodes the value of a row. If the row does not exist, value is left unchanged.
func decode(row backend.Row, value any) error {
	if row.Version == 0 {
		return nil
	}
	if err := cbor.Unmarshal(row.Value, value); err != nil {
		return fault.New(fault.CodeInternal, "read "+row.Key, "row cannot be decoded: %s", err)
	}
	return nil
}
