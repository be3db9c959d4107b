package operator

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"bronzehook/config"
	"bronzehook/config/rollout"
	"bronzehook/fault"
	"bronzehook/logging"
	"bronzehook/response"
)

const contentJSON = "application/json"

// handle adapts a function that returns a response value or an error to an HTTP handler.
func (s *Server) handle(serve func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := serve(r)
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		s.writeJSON(w, http.StatusOK, value)
	}
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", contentJSON)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		s.options.Logger.Debug().Err(err).Msg("operator response could not be written")
	}
}

// writeError sends an error response. The text of an internal error is only logged, not sent.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	d := fault.Describe(err)
	body := NewErrorResponse(err)
	if d.Code == fault.CodeInternal {
		s.options.Logger.Error().Err(err).Str("path", r.URL.Path).Str(logging.KeyReason, string(d.Code)).Msg("operator request failed")
		body.Message = "internal error; see the log of the instance"
	}
	if d.Code == fault.CodeOverloaded && d.RetryAfter == 0 {
		d.RetryAfter = response.DefaultRetryAfter
	}
	if d.RetryAfter > 0 {
		response.SetRetryAfter(w.Header(), d.RetryAfter)
	}
	s.writeJSON(w, d.Status, body)
}

// NewErrorResponse returns the response body for an error.
func NewErrorResponse(err error) ErrorResponse {
	return ErrorResponse{Code: fault.CodeOf(err), Message: err.Error(), Details: errorDetails(err)}
}

func errorDetails(err error) *Details {
	var conflict *rollout.ConflictError
	var invalid *config.InvalidError
	var unavailable *rollout.UnavailableError
	switch {
	case errors.As(err, &conflict):
		return &Details{Conflicts: conflict.Files}
	case errors.As(err, &invalid):
		return &Details{Problems: invalid.Problems}
	case errors.As(err, &unavailable) && unavailable.Uncertain:
		return &Details{OpID: unavailable.OpID}
	}
	return nil
}

// decodeBody decodes a request body, which has to be exactly one JSON value without unknown fields.
func decodeBody(r *http.Request, value any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.CodeTooLarge, "read body", "body has more than %d bytes", tooLarge.Limit)
	case err != nil:
		return fault.New(fault.CodeInvalid, "read body", "%s", err)
	case decoder.More():
		return fault.New(fault.CodeInvalid, "read body", "body has more than one JSON value")
	}
	return nil
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.writeError(w, r, fault.New(fault.CodeNotFound, r.Method+" "+r.URL.Path, "no such path or method"))
}

func (s *Server) live(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, http.StatusOK, struct {
		Live bool `json:"live"`
	}{true})
}

func (s *Server) ready(w http.ResponseWriter, r *http.Request) {
	if s.options.Ready != nil {
		if err := s.options.Ready(); err != nil {
			s.writeError(w, r, err)
			return
		}
	}
	s.writeJSON(w, http.StatusOK, struct {
		Ready bool `json:"ready"`
	}{true})
}
