package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"bronzehook/api"
	"bronzehook/backend/httpbackend"
	"bronzehook/fault"
)

// echoRequestID repeats the id of a request in its answer, so that a client can tell late answers from its own.
func echoRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(api.HeaderRequest); id != "" {
			w.Header().Set(api.HeaderRequest, id)
		}
		next.ServeHTTP(w, r)
	})
}

// answer writes value as JSON, or err with the status of its code. A lost reply cuts the connection.
func answer(w http.ResponseWriter, value any, err error) {
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

// writeBody writes a whole answer with its length.
func writeBody(w http.ResponseWriter, status int, contentType string, data []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A failed write means that the caller has gone; there is nobody to tell.
	_, _ = w.Write(data)
}

func bodyError(op string, err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(fault.CodeTooLarge, op, "the body exceeds %d bytes", tooLarge.Limit)
	}
	return fault.New(fault.CodeInvalid, op, "the body did not arrive whole: %v", err)
}
