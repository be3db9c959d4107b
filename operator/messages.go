package operator

import (
	"time"

	"bronzehook/api"
	"bronzehook/audit"
	"bronzehook/config"
	"bronzehook/config/rollout"
	"bronzehook/fault"
)

// FileEdit sets or deletes one file.
type FileEdit struct {
	File        string `json:"file"`
	Content     string `json:"content,omitempty"`
	Delete      bool   `json:"delete,omitempty"`
	BaseVersion uint64 `json:"baseVersion"`
}

// EditRequest is the body of validate and diff. Whole means that the edits are the complete folder instead of changes to
// the files in force.
type EditRequest struct {
	Edits []FileEdit `json:"edits"`
	Whole bool       `json:"whole,omitempty"`
}

// ApplyRequest is the body of apply.
type ApplyRequest struct {
	Edits  []FileEdit `json:"edits"`
	Author string     `json:"author"`
	// OpID makes a repetition of the request safe, also through another instance.
	OpID string `json:"opId,omitempty"`
}

// ValidateResponse counts what a valid folder states.
type ValidateResponse struct {
	Work  int `json:"work"`
	Teams int `json:"teams"`
}

// DiffResponse lists what edits change in comparison with the revision in force.
type DiffResponse struct {
	Revision uint64          `json:"revision"`
	Changes  []config.Change `json:"changes"`
}

// RevisionResponse tells how far a revision has come.
type RevisionResponse struct {
	Revision uint64 `json:"revision"`
	Accepted bool   `json:"accepted"`
	// InForce names the instances that have the revision or a later one.
	InForce []rollout.InstanceStatus `json:"inForce"`
	Waiting []rollout.InstanceStatus `json:"waiting"`
	// Lapsed instances take no new work; they neither have the revision nor hold it up.
	Lapsed []rollout.InstanceStatus `json:"lapsed"`
}

// FileInfo describes a recorded file without its content.
type FileInfo struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	// Digest is rollout.Digest of the content.
	Digest string `json:"digest"`
}

// FilesResponse lists the recorded files.
type FilesResponse struct {
	Revision uint64 `json:"revision"`
	// Confirmed is false if the table could not be read, so that a later revision may exist.
	Confirmed bool       `json:"confirmed"`
	Files     []FileInfo `json:"files"`
}

// FileResponse is one recorded file.
type FileResponse struct {
	FileInfo
	Content   string `json:"content"`
	Confirmed bool   `json:"confirmed"`
}

// DrainRequest is the body of drain.
type DrainRequest struct {
	Worker api.WorkerID `json:"worker"`
	// Seconds is the time until the drain ends by itself.
	Seconds int    `json:"seconds"`
	Author  string `json:"author"`
	Reason  string `json:"reason,omitempty"`
}

// UndrainRequest is the body of undrain.
type UndrainRequest struct {
	Worker api.WorkerID `json:"worker"`
	Author string       `json:"author"`
}

// DrainResponse confirms a drain.
type DrainResponse struct {
	Worker  api.WorkerID `json:"worker"`
	Expires time.Time    `json:"expires,omitzero"`
}

// AuditResponse lists events of the trail, oldest first.
type AuditResponse struct {
	Events []audit.Event `json:"events"`
}

// ErrorResponse is the body of every failure.
type ErrorResponse struct {
	Code    fault.Code `json:"code"`
	Message string     `json:"message"`
	Details *Details   `json:"details,omitempty"`
}

// Details carries what a program may need of a failure. At most one field is set.
type Details struct {
	Conflicts []rollout.FileConflict `json:"conflicts,omitempty"`
	Problems  []config.Problem       `json:"problems,omitempty"`
	// OpID is set if the change may have been recorded; repeating it under this id is safe.
	OpID string `json:"opId,omitempty"`
}

func toEdits(edits []FileEdit) []rollout.Edit {
	result := make([]rollout.Edit, len(edits))
	for i, e := range edits {
		result[i] = rollout.Edit{File: e.File, Content: []byte(e.Content), Delete: e.Delete, BaseVersion: e.BaseVersion}
	}
	return result
}

func fileInfo(f rollout.File) FileInfo {
	return FileInfo{Name: f.Name, Version: f.Version, Author: f.Author, Digest: rollout.Digest(f.Content)}
}
