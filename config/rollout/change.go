package rollout

import (
	"fmt"
	"slices"
	"strings"

	"bronzehook/config"
	"bronzehook/fault"
)

// Edit writes or deletes one file.
type Edit struct {
	File    string
	Content []byte
	Delete  bool
	// BaseVersion is the version of the file that the author edited; 0 means that the file did not exist.
	BaseVersion uint64
}

// Change is a set of edits by an operator that is recorded atomically.
type Change struct {
	Edits  []Edit
	Author string
	// OpID identifies the change when it is repeated, also through another instance. Record generates one if it is empty.
	OpID string
}

// maxAuthorBytes is the longest name of an author.
const maxAuthorBytes = 128

const opRecord = "record change"

// validate refuses changes that are invalid regardless of the state of the table.
func (c Change) validate() error {
	if len(c.Edits) == 0 {
		return fault.New(fault.CodeInvalid, opRecord, "the change has no edits")
	}
	if c.Author == "" || len(c.Author) > maxAuthorBytes {
		return fault.New(fault.CodeInvalid, opRecord, "author must have 1 to %d bytes", maxAuthorBytes)
	}
	seen := map[string]bool{}
	for _, e := range c.Edits {
		if reason := config.CheckFileName(e.File); reason != "" {
			return fault.New(fault.CodeInvalid, opRecord, "%q: %s", e.File, reason)
		}
		if seen[e.File] {
			return fault.New(fault.CodeInvalid, opRecord, "%s has two edits", e.File)
		}
		seen[e.File] = true
	}
	return nil
}

func (c Change) fileNames() []string {
	names := make([]string, len(c.Edits))
	for i, e := range c.Edits {
		names[i] = e.File
	}
	slices.Sort(names)
	return names
}

// digest returns a digest of the edits. It distinguishes a repeated change from another one with the same operation id.
func (c Change) digest() string {
	files := make([]File, len(c.Edits))
	for i, e := range c.Edits {
		files[i] = File{Name: e.File, Version: e.BaseVersion, Content: e.Content}
		if e.Delete {
			files[i].Name += " deleted"
		}
	}
	return digestFiles(files)
}

// FileConflict holds the refused edit (mine) and the recorded state (theirs) of one file.
type FileConflict struct {
	File string `json:"file"`
	// BaseVersion is the version that the refused edit is based on.
	BaseVersion uint64 `json:"baseVersion"`
	Mine        string `json:"mine"`
	MineDeletes bool   `json:"mineDeletes,omitempty"`
	// Theirs is the recorded content; TheirsVersion is 0 if the file does not exist.
	Theirs        string `json:"theirs"`
	TheirsVersion uint64 `json:"theirsVersion"`
	TheirsAuthor  string `json:"theirsAuthor,omitempty"`
}

// ConflictError reports edits of files that others have changed since the base versions of the edits. No part of the
// change was recorded.
type ConflictError struct{ Files []FileConflict }

// Error lists the files with their versions.
func (e *ConflictError) Error() string {
	texts := make([]string, len(e.Files))
	for i, f := range e.Files {
		texts[i] = fmt.Sprintf("%s is at version %d, the edit was made from version %d", f.File, f.TheirsVersion, f.BaseVersion)
	}
	return "conflict: " + strings.Join(texts, "; ")
}

// Code implements fault.Coded.
func (e *ConflictError) Code() fault.Code { return fault.CodeConflict }

// UnavailableError reports that the table was unreachable, so that the change is not known to be recorded.
type UnavailableError struct {
	OpID string
	// Uncertain is set if the write was sent and may have taken effect. Recording the same change again under the same
	// operation id is safe and resolves the uncertainty.
	Uncertain bool
	Cause     error
}

// Error reports whether the change may have been recorded.
func (e *UnavailableError) Error() string {
	state := "nothing was recorded"
	if e.Uncertain {
		state = "the change may have been recorded; repeat it under operation id " + e.OpID
	}
	return fmt.Sprintf("the table cannot be reached; %s: %s", state, e.Cause)
}

// Code implements fault.Coded.
func (e *UnavailableError) Code() fault.Code { return fault.CodeStoreUnavailable }

// Unwrap returns the error of the table.
func (e *UnavailableError) Unwrap() error { return e.Cause }
