package operator

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"bronzehook/audit"
	"bronzehook/config"
	"bronzehook/config/rollout"
	"bronzehook/fault"
)

// Actions that are recorded in the audit log.
const (
	ActionApply   = "apply"
	ActionDrain   = "drain"
	ActionUndrain = "undrain"
)

// maxAuditLimit is the largest number of events that one audit request may ask for.
const maxAuditLimit = 5000

// preview returns the configuration that the edits would result in, without recording them. If the request holds the
// whole folder, active files that are missing from it count as deleted.
func (s *Server) preview(request EditRequest) (*config.Set, error) {
	if !request.Whole {
		return s.options.Rollout.Preview(rolloutEdits(request.Edits))
	}
	edits := rolloutEdits(request.Edits)
	edited := map[string]bool{}
	for _, e := range edits {
		edited[e.File] = true
	}
	for _, f := range s.options.Rollout.Snapshot().Files() {
		if !edited[f.Name] {
			edits = append(edits, rollout.Edit{File: f.Name, Delete: true})
		}
	}
	return s.options.Rollout.Preview(edits)
}

func (s *Server) validate(r *http.Request) (any, error) {
	var request EditRequest
	if err := decodeBody(r, &request); err != nil {
		return nil, err
	}
	set, err := s.preview(request)
	if err != nil {
		return nil, err
	}
	work := set.WorkSet()
	return ValidateResponse{Work: len(work.Specs), Teams: len(work.Teams)}, nil
}

func (s *Server) diff(r *http.Request) (any, error) {
	var request EditRequest
	if err := decodeBody(r, &request); err != nil {
		return nil, err
	}
	active := s.options.Rollout.Snapshot()
	set, err := s.preview(request)
	if err != nil {
		return nil, err
	}
	changes := config.Diff(active.Set, set)
	return DiffResponse{Revision: active.Revision, Changes: append([]config.Change{}, changes...)}, nil
}

func (s *Server) apply(r *http.Request) (any, error) {
	var request ApplyRequest
	if err := decodeBody(r, &request); err != nil {
		return nil, err
	}
	before := s.options.Rollout.Snapshot().Revision
	change := rollout.Change{Edits: rolloutEdits(request.Edits), Author: request.Author, OpID: request.OpID}
	revision, err := s.options.Rollout.Record(r.Context(), change)
	event := audit.Event{Actor: request.Author, Action: ActionApply, Subject: auditSubject(request.Edits), From: formatRevision(before)}
	if err == nil {
		event.To = formatRevision(revision)
	}
	s.recordAudit(event, err)
	if err != nil {
		return nil, err
	}
	return s.revisionState(revision), nil
}

func auditSubject(edits []FileEdit) string {
	names := make([]string, len(edits))
	for i, e := range edits {
		names[i] = e.File
	}
	return strings.Join(names, " ")
}

func formatRevision(revision uint64) string { return strconv.FormatUint(revision, 10) }

func (s *Server) recordAudit(event audit.Event, err error) {
	if s.options.Emit == nil {
		return
	}
	event.Time = s.options.Clock.Now()
	event.Result = audit.ResultOK
	if err != nil {
		event.Result = string(fault.CodeOf(err))
		event.Reason = err.Error()
	}
	s.options.Emit(event)
}

// latestFiles returns the recorded files and true. If the table cannot be read, it returns the active files and false.
func (s *Server) latestFiles(ctx context.Context) (snapshot *rollout.Snapshot, confirmed bool) {
	ctx, cancel := context.WithTimeout(ctx, latestFilesTimeout)
	defer cancel()
	if latest, err := s.options.Rollout.Latest(ctx); err == nil {
		return latest, true
	}
	return s.options.Rollout.Snapshot(), false
}

func (s *Server) files(r *http.Request) (any, error) {
	snapshot, confirmed := s.latestFiles(r.Context())
	response := FilesResponse{Revision: snapshot.Revision, Confirmed: confirmed, Files: []FileInfo{}}
	for _, f := range snapshot.Files() {
		response.Files = append(response.Files, fileInfo(f))
	}
	return response, nil
}

func (s *Server) file(r *http.Request) (any, error) {
	name := chi.URLParam(r, "name")
	snapshot, confirmed := s.latestFiles(r.Context())
	f, found := snapshot.File(name)
	if !found {
		return nil, fault.New(fault.CodeNotFound, "get file", "%q is not recorded", name)
	}
	return FileResponse{FileInfo: fileInfo(f), Content: string(f.Content), Confirmed: confirmed}, nil
}

func (s *Server) revision(r *http.Request) (any, error) {
	text := chi.URLParam(r, "n")
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, fault.New(fault.CodeInvalid, "get revision", "%q is not a revision number", text)
	}
	return s.revisionState(revision), nil
}

func (s *Server) revisionState(revision uint64) RevisionResponse {
	response := RevisionResponse{Revision: revision, Active: []rollout.InstanceStatus{}, Expired: []rollout.InstanceStatus{}}
	accepted, waiting := s.options.Rollout.Accepted(revision)
	response.Accepted = accepted
	response.Waiting = append([]rollout.InstanceStatus{}, waiting...)
	for _, i := range s.options.Rollout.Statuses() {
		if i.Revision >= revision {
			response.Active = append(response.Active, i)
		} else if i.Expired {
			response.Expired = append(response.Expired, i)
		}
	}
	return response
}

func (s *Server) status(r *http.Request) (any, error) { return s.options.Status.Status(r.Context()) }

func (s *Server) explain(r *http.Request) (any, error) {
	return s.options.Explain.Explain(r.Context(), chi.URLParam(r, "work"))
}

func (s *Server) drain(r *http.Request) (any, error) {
	var request DrainRequest
	if err := decodeBody(r, &request); err != nil {
		return nil, err
	}
	if request.Worker == "" || request.Author == "" || request.Seconds <= 0 || request.Seconds > int(MaxDrain/time.Second) {
		return nil, fault.New(fault.CodeInvalid, "drain", "worker, author and a duration from 1 s to %s are required", MaxDrain)
	}
	expires := s.options.Clock.Now().Add(time.Duration(request.Seconds) * time.Second)
	drain := Drain{Worker: request.Worker, Expires: expires, Author: request.Author, Reason: request.Reason}
	err := s.options.Drains.Drain(r.Context(), drain)
	s.recordAudit(audit.Event{Actor: drain.Author, Action: ActionDrain, Subject: string(drain.Worker), To: drain.Expires.UTC().Format(time.RFC3339), Reason: drain.Reason}, err)
	return DrainResponse{Worker: drain.Worker, Expires: drain.Expires}, err
}

func (s *Server) undrain(r *http.Request) (any, error) {
	var request UndrainRequest
	if err := decodeBody(r, &request); err != nil {
		return nil, err
	}
	if request.Worker == "" || request.Author == "" {
		return nil, fault.New(fault.CodeInvalid, "undrain", "worker and author are required")
	}
	err := s.options.Drains.Undrain(r.Context(), request.Worker)
	s.recordAudit(audit.Event{Actor: request.Author, Action: ActionUndrain, Subject: string(request.Worker)}, err)
	return DrainResponse{Worker: request.Worker}, err
}

// audit serves the audit log. It accepts the query parameters since (RFC 3339), subject and limit.
func (s *Server) audit(r *http.Request) (any, error) {
	query, err := auditQuery(r)
	if err != nil {
		return nil, err
	}
	events, err := s.options.Trail.List(r.Context(), query)
	return AuditResponse{Events: events}, err
}

func auditQuery(r *http.Request) (audit.Query, error) {
	parameters := r.URL.Query()
	query := audit.Query{Subject: parameters.Get("subject")}
	if text := parameters.Get("since"); text != "" {
		since, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return query, fault.New(fault.CodeInvalid, "list audit", "since=%q is not a time such as 2026-01-02T15:04:05Z", text)
		}
		query.Since = since
	}
	limit, err := strconv.Atoi(cmp.Or(parameters.Get("limit"), strconv.Itoa(audit.DefaultLimit)))
	if err != nil || limit < 1 || limit > maxAuditLimit {
		return query, fault.New(fault.CodeInvalid, "list audit", "limit must be from 1 to %d", maxAuditLimit)
	}
	query.Limit = limit
	return query, nil
}
