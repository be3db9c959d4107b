package bodylimit

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/response"
)

// Handler returns a handler that reads the body of each request completely before it calls next, which finds a *Body there.
// options returns the bounds of the body, with a limit of 0 for a request that takes none.
func (b *Budget) Handler(options func(*http.Request) Options, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !HasBody(r) {
			next.ServeHTTP(w, r)
			return
		}
		bounds := options(r)
		if bounds.Limit <= 0 {
			WithoutBodies(next).ServeHTTP(w, r)
			return
		}
		body, err := b.Read(w, r, bounds)
		if err != nil {
			Refuse(w, err)
			return
		}
		defer body.Release()
		r.Body, r.ContentLength = body, int64(len(body.content))
		next.ServeHTTP(w, r)
	})
}

// WithoutBodies returns a handler that passes requests on without their bodies and closes the connection of one that has a
// body.
func WithoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if HasBody(r) {
			CloseAfterResponse(w)
			r.Body, r.ContentLength = http.NoBody, 0
		}
		next.ServeHTTP(w, r)
	})
}

// discardTimeout bounds how long net/http may read on for the rest of a small body, to keep the connection.
const discardTimeout = 2 * time.Second

// Leave prepares the response to a request whose body is not read: the connection is closed, unless the body is small and
// arrives soon.
func Leave(w http.ResponseWriter, r *http.Request) {
	if !HasBody(r) {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > smallBytes {
		CloseAfterResponse(w)
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
}

// Refuse responds to a request whose body was refused, and closes the connection.
func Refuse(w http.ResponseWriter, err error) {
	CloseAfterResponse(w)
	status := http.StatusBadRequest
	var refused *RefusedError
	if errors.As(err, &refused) {
		status = refused.Status()
	}
	if status == http.StatusServiceUnavailable {
		response.SetRetryAfter(w.Header(), response.DefaultRetryAfter)
	}
	w.WriteHeader(status)
}
