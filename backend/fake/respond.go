package fake

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"bronzehook/api"
	"bronzehook/backend/httpbackend"
	"bronzehook/fault"
)

// echoRequestID copies the request id into the response headers, so that a client can detect a late response to another
// request.
func echoRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(api.HeaderRequest); id != "" {
			w.Header().Set(api.HeaderRequest, id)
		}
		next.ServeHTTP(w, r)
	})
}

// respond writes value as JSON, or err with the HTTP status of its code. For a LostReplyError it aborts the connection.
func respond(w http.ResponseWriter, value any, err error) {
	var lost *LostReplyError
	if errors.As(err, &lost) {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if err != nil {
		described := fault.Describe(err)
		status = described.Status
		value = httpbackend.ErrorBody{Code: described.Code, Detail: err.Error()}
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeBody(w, status, "application/json", data)
}

// writeBody writes a complete response with its content length.
func writeBody(w http.ResponseWriter, status int, contentType string, data []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A failed write means that the client has disconnected; the error cannot be reported to anybody.
	_, _ = w.Write(data)
}

// bodyError returns the fault for an error of reading a request body.
func bodyError(op string, err error) error {
	if fault.CodeOf(err) == fault.CodeTooLarge {
		return fault.New(fault.CodeTooLarge, op, "the request body exceeds the limit")
	}
	return fault.New(fault.CodeInvalid, op, "cannot read the complete request body: %v", err)
}
