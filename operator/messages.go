package operator

import (
	"time"

	"bronzehook/api"
	"bronzehook/audit"
	"bronzehook/config"
	"bronzehook/config/rollout"
	"bronzehook/fault"
)

// FileEdit creates, replaces or deletes one configuration file.
type FileEdit struct {
	File        string `json:"file"`
	Content     string `json:"content,omitempty"`
	Delete      bool   `json:"delete,omitempty"`
	BaseVersion uint64 `json:"baseVersion"`
}

// EditRequest is the request body of validate and diff. If Whole is set, the edits are the complete folder; otherwise
// they are changes to the active files.
type EditRequest struct {
	Edits []FileEdit `json:"edits"`
	Whole bool       `json:"whole,omitempty"`
}

// ApplyRequest is the request body of apply.
type ApplyRequest struct {
	Edits  []FileEdit `json:"edits"`
	Author string     `json:"author"`
	// OpID is an operation ID that makes it safe to repeat the request, even through another instance.
	OpID string `json:"opId,omitempty"`
}

// ValidateResponse holds the numbers of workloads and teams in a valid folder.
type ValidateResponse struct {
	Work  int `json:"work"`
	Teams int `json:"teams"`
}

// DiffResponse lists the changes that edits make to the active revision.
type DiffResponse struct {
	Revision uint64          `json:"revision"`
	Changes  []config.Change `json:"changes"`
}

// RevisionResponse reports the rollout progress of a revision.
type RevisionResponse struct {
	Revision uint64 `json:"revision"`
	// Accepted is set if Waiting is empty: each instance has the revision or its instance lease has expired.
	Accepted bool `json:"accepted"`
	// Active lists the instances on which the revision or a later one is active.
	Active  []rollout.InstanceStatus `json:"inForce"`
	Waiting []rollout.InstanceStatus `json:"waiting"`
	// Expired lists the instances that do not have the revision and whose instance lease has expired. They accept no new
	// work and do not delay the rollout.
	Expired []rollout.InstanceStatus `json:"lapsed"`
}

// FileInfo describes a recorded file without its content. A recorded file is stored in the platform's table.
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
	// Confirmed is false if the table could not be read. A later revision may then exist.
	Confirmed bool       `json:"confirmed"`
	Files     []FileInfo `json:"files"`
}

// FileResponse is one recorded file with its content.
type FileResponse struct {
	FileInfo
	Content   string `json:"content"`
	Confirmed bool   `json:"confirmed"`
}

// DrainRequest is the request body of drain.
type DrainRequest struct {
	Worker api.WorkerID `json:"worker"`
	// Seconds is the time after which the drain expires.
	Seconds int    `json:"seconds"`
	Author  string `json:"author"`
	Reason  string `json:"reason,omitempty"`
}

// UndrainRequest is the request body of undrain.
type UndrainRequest struct {
	Worker api.WorkerID `json:"worker"`
	Author string       `json:"author"`
}

// DrainResponse confirms a drain or its removal. Expires is not set for a removal.
type DrainResponse struct {
	Worker  api.WorkerID `json:"worker"`
	Expires time.Time    `json:"expires,omitzero"`
}

// AuditResponse lists events of the audit log, oldest first.
type AuditResponse struct {
	Events []audit.Event `json:"events"`
}

// ErrorResponse is the response body of every failed request.
type ErrorResponse struct {
	Code    fault.Code `json:"code"`
	Message string     `json:"message"`
	Details *Details   `json:"details,omitempty"`
}

// Details holds the machine-readable details of a failure. At most one field is set.
type Details struct {
	Conflicts []rollout.FileConflict `json:"conflicts,omitempty"`
	Problems  []config.Problem       `json:"problems,omitempty"`
	// OpID is set if it is unknown whether the change was recorded. It is safe to repeat the change with this operation ID.
	OpID string `json:"opId,omitempty"`
}

func rolloutEdits(edits []FileEdit) []rollout.Edit {
	result := make([]rollout.Edit, len(edits))
	for i, e := range edits {
		result[i] = rollout.Edit{File: e.File, Content: []byte(e.Content), Delete: e.Delete, BaseVersion: e.BaseVersion}
	}
	return result
}

func fileInfo(f rollout.File) FileInfo {
	return FileInfo{Name: f.Name, Version: f.Version, Author: f.Author, Digest: rollout.Digest(f.Content)}
}
