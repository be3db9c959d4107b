package rollout

import (
	"fmt"
	"slices"
	"strings"

	"bronzehook/config"
	"bronzehook/fault"
)

// Edit sets or deletes one file.
type Edit struct {
	File    string
	Content []byte
	Delete  bool
	// BaseVersion is the file's version that the author worked from; 0 means that the file was absent.
	BaseVersion uint64
}

// Change is what an operator wants to record, all of it or nothing.
type Change struct {
	Edits  []Edit
	Author string
	// OpID identifies the change across repetitions, also by way of another instance. Record makes one if it is empty.
	OpID string
}

// maxAuthorBytes bounds the author's name.
const maxAuthorBytes = 128

const opRecord = "record change"

// check refuses a change that could not be recorded whatever the table holds.
func (c Change) check() error {
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

func (c Change) names() []string {
	names := make([]string, len(c.Edits))
	for i, e := range c.Edits {
		names[i] = e.File
	}
	slices.Sort(names)
	return names
}

// digest tells the change from others that use the same operation id.
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

// FileConflict shows both edits of one file.
type FileConflict struct {
	File string `json:"file"`
	// BaseVersion is the version that the refused edit was made from.
	BaseVersion uint64 `json:"baseVersion"`
	Mine        string `json:"mine"`
	MineDeletes bool   `json:"mineDeletes,omitempty"`
	// Theirs is what is recorded; TheirsVersion is 0 if the file is absent.
	Theirs        string `json:"theirs"`
	TheirsVersion uint64 `json:"theirsVersion"`
	TheirsAuthor  string `json:"theirsAuthor,omitempty"`
}

// ConflictError reports edits whose files were changed by somebody else since their base versions. Nothing of the
// change was recorded.
type ConflictError struct{ Files []FileConflict }

// Error names the files and versions.
func (e *ConflictError) Error() string {
	texts := make([]string, len(e.Files))
	for i, f := range e.Files {
		texts[i] = fmt.Sprintf("%s is at version %d, the edit was made from version %d", f.File, f.TheirsVersion, f.BaseVersion)
	}
	return "conflict: " + strings.Join(texts, "; ")
}

// Code implements fault.Coded.
func (e *ConflictError) Code() fault.Code { return fault.CodeConflict }

// UnavailableError reports that the table could not be reached, so that the change is not known to be recorded.
type UnavailableError struct {
	OpID string
	// Uncertain is set if the write was sent and may have taken effect. Recording the same change again under the same
	// operation id is safe and tells which.
	Uncertain bool
	Cause     error
}

// Error says whether the change may have been recorded.
func (e *UnavailableError) Error() string {
	state := "nothing was recorded"
	if e.Uncertain {
		state = "the change may have been recorded; repeat it under operation id " + e.OpID
	}
	return fmt.Sprintf("the table cannot be reached; %s: %s", state, e.Cause)
}

// Code implements fault.Coded.
func (e *UnavailableError) Code() fault.Code { return fault.CodeStoreUnavailable }

// Unwrap returns the failure of the table.
func (e *UnavailableError) Unwrap() error { return e.Cause }
