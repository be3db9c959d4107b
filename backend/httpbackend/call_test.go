package httpbackend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
)

const (
	testTimeout = 10 * time.Second
	// shortTimeout is the time-out of calls in cases without a complete response.
	shortTimeout = 50 * time.Millisecond
)

// respondWith returns a handler that responds as the platform does: with the ID of the request.
func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderRequest, r.Header.Get(api.HeaderRequest))
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// respondWithCode returns a handler that responds with a failure code.
func respondWithCode(status int, code fault.Code) http.HandlerFunc {
	return respondWith(status, fmt.Sprintf(`{"code":%q,"detail":"d"}`, code))
}

// raw returns a handler that writes text to the connection and closes it. %s in text is replaced by the ID of the
// request.
func raw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer connection.Close()
		_, _ = fmt.Fprintf(connection, text, r.Header.Get(api.HeaderRequest))
	}
}

// noResponse never responds. It reads the request first, because a server detects that its client has disconnected only
// after it has read the body.
func noResponse(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// slowBody sends the response headers but never the body.
func slowBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "100")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// Guards against a failure without a code, against a lost or truncated response that is taken for a success or a
// refusal, and against a store failure that is taken as proof that nothing was written.
func TestFailuresHaveCodes(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\n"
	const otherHead = "HTTP/1.1 200 OK\r\nBronzehook-Request: x%s\r\n"
	tooLong := strings.Repeat("a", maxHeaderBytes)
	const (
		unavailable = fault.CodeStoreUnavailable
		unreachable = fault.CodeUnreachable
		truncated   = fault.CodeTruncated
		invalid     = fault.CodeInvalid
	)
	redirect := http.RedirectHandler("/elsewhere", http.StatusTemporaryRedirect).ServeHTTP
	cases := map[string]struct {
		handler http.HandlerFunc
		store   fault.Code
		worker  fault.Code
	}{
		"complete response":           {respondWith(200, `{}`), "", ""},
		"complete chunked response":   {raw(head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"), "", ""},
		"conflict":                    {respondWithCode(409, fault.CodeConflict), fault.CodeConflict, fault.CodeConflict},
		"not found":                   {respondWithCode(404, fault.CodeNotFound), fault.CodeNotFound, fault.CodeNotFound},
		"no capacity":                 {respondWithCode(503, fault.CodeNoCapacity), unavailable, fault.CodeNoCapacity},
		"expired":                     {respondWithCode(503, fault.CodeExpired), unavailable, fault.CodeExpired},
		"bare 404":                    {respondWith(404, "404 page not found"), invalid, invalid},
		"unknown code":                {respondWithCode(404, "gone-fishing"), invalid, invalid},
		"bare 429":                    {respondWith(429, ""), unavailable, unreachable},
		"bare 500":                    {respondWith(500, ""), unavailable, unreachable},
		"bare 503":                    {respondWith(503, ""), unavailable, unreachable},
		"redirect":                    {redirect, unavailable, unreachable},
		"no response":                 {noResponse, unavailable, unreachable},
		"response body never ends":    {slowBody, unavailable, truncated},
		"connection closed":           {raw(""), unavailable, unreachable},
		"truncated header":            {raw("HTTP/1.1 200 OK\r\nBronzehook-Requ%.0s"), unavailable, unreachable},
		"truncated body":              {raw(head + "Content-Length: 3\r\n\r\n{}"), unavailable, truncated},
		"truncated chunk":             {raw(head + "Transfer-Encoding: chunked\r\n\r\n9\r\n{}"), unavailable, truncated},
		"truncated between chunks":    {raw(head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"), unavailable, truncated},
		"no length":                   {raw(head + "\r\n{}"), unavailable, truncated},
		"truncated JSON":              {respondWith(200, `{"versions":`), unavailable, truncated},
		"response to another request": {raw(otherHead + "Content-Length: 2\r\n\r\n{}"), unavailable, unreachable},
		"header too large":            {raw(head + "A: " + tooLong + "\r\n\r\n"), unavailable, unreachable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(c.handler)
			defer server.Close()
			timeout := testTimeout
			if name == "no response" || name == "response body never ends" {
				timeout = shortTimeout
			}
			_, err := New(server.URL, nil, timeout).Table().Commit(context.Background(), backend.Txn{OpID: "a"})
			wantCode(t, err, c.store)
			_, err = NewWorkers(nil, timeout).Worker(api.Worker{Addr: server.URL}).Fence(context.Background(), 1)
			wantCode(t, err, c.worker)
		})
	}
}

func wantCode(t *testing.T, err error, want fault.Code) {
	t.Helper()
	if want == "" && err != nil || want != "" && !fault.Is(err, want) {
		t.Errorf("failure = %v, want code %q", err, want)
	}
	var typed *CallError
	if err != nil && !errors.As(err, &typed) {
		t.Errorf("failure %v is not a CallError", err)
	}
}

// Guards against errors without a code if the port is closed or the context of the caller ends.
func TestCallsWithoutResponseHaveCodes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	listener.Close()
	_, err = New(closed, nil, testTimeout).Table().Get(context.Background(), "k")
	wantCode(t, err, fault.CodeStoreUnavailable)
	_, err = NewWorkers(nil, testTimeout).Worker(api.Worker{Addr: closed}).Inventory(context.Background())
	wantCode(t, err, fault.CodeUnreachable)
	server := httptest.NewServer(http.HandlerFunc(noResponse))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	_, err = New(server.URL, nil, testTimeout).Table().Commit(ctx, backend.Txn{OpID: "a"})
	wantCode(t, err, fault.CodeStoreUnavailable)
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("failure %v does not wrap context.DeadlineExceeded", err)
	}
	_, err = New("http://bad host/", nil, testTimeout).Table().Get(context.Background(), "k")
	wantCode(t, err, fault.CodeInvalid)
}

// Guards against bodies that exceed the memory of the process.
func TestBodiesAreBounded(t *testing.T) {
	server := httptest.NewServer(respondWith(200, strings.Repeat("x", 101)))
	defer server.Close()
	c := newRPCClient(nil, testTimeout, storeFailures)
	for limit, want := range map[int64]fault.Code{100: fault.CodeTooLarge, 101: ""} {
		_, err := c.do(context.Background(), call{op: "test", method: http.MethodGet, url: server.URL, limit: limit})
		wantCode(t, err, want)
	}
	err := New(server.URL, nil, testTimeout).Objects().Put(context.Background(), "n", make([]byte, MaxObjectBytes+1))
	wantCode(t, err, fault.CodeTooLarge)
}

// Guards against a new connection for each call, also after calls that were refused.
func TestConnectionsAreReused(t *testing.T) {
	server := httptest.NewServer(respondWithCode(404, fault.CodeNotFound))
	defer server.Close()
	opened := 0
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if !info.Reused {
				opened++
			}
		},
	})
	table := New(server.URL, nil, testTimeout).Table()
	for range 10 {
		_, err := table.Get(ctx, "k")
		wantCode(t, err, fault.CodeNotFound)
	}
	if opened != 1 {
		t.Errorf("10 calls opened %d connections", opened)
	}
}
