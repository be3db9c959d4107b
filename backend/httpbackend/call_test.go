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
	// shortTimeout ends the cases in which no answer comes.
	shortTimeout = 50 * time.Millisecond
)

// answering returns a handler that answers as the platform does.
func answering(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderRequest, r.Header.Get(api.HeaderRequest))
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func refusing(status int, code fault.Code) http.HandlerFunc {
	return answering(status, fmt.Sprintf(`{"code":%q,"detail":"d"}`, code))
}

// raw returns a handler that writes bytes to the connection and closes it. %s stands for the id of the request.
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

// silent reads the request first, because a server notices that its client left only after the body.
func silent(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func slowBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "100")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// Guards against a failure without a code, against a lost or cut answer that passes for a success or for a refusal, and
// against a store failure that passes for a proof that nothing was written.
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
		"whole answer":         {answering(200, `{}`), "", ""},
		"whole chunked answer": {raw(head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"), "", ""},
		"conflict":             {refusing(409, fault.CodeConflict), fault.CodeConflict, fault.CodeConflict},
		"not found":            {refusing(404, fault.CodeNotFound), fault.CodeNotFound, fault.CodeNotFound},
		"no capacity":          {refusing(503, fault.CodeNoCapacity), unavailable, fault.CodeNoCapacity},
		"expired":              {refusing(503, fault.CodeExpired), unavailable, fault.CodeExpired},
		"bare 404":             {answering(404, "404 page not found"), invalid, invalid},
		"unknown code":         {refusing(404, "gone-fishing"), invalid, invalid},
		"bare 429":             {answering(429, ""), unavailable, unreachable},
		"bare 500":             {answering(500, ""), unavailable, unreachable},
		"bare 503":             {answering(503, ""), unavailable, unreachable},
		"redirect":             {redirect, unavailable, unreachable},
		"no answer":            {silent, unavailable, unreachable},
		"no end of the answer": {slowBody, unavailable, truncated},
		"connection cut":       {raw(""), unavailable, unreachable},
		"cut in the header":    {raw("HTTP/1.1 200 OK\r\nBronzehook-Requ%.0s"), unavailable, unreachable},
		"cut in the body":      {raw(head + "Content-Length: 3\r\n\r\n{}"), unavailable, truncated},
		"cut in a chunk":       {raw(head + "Transfer-Encoding: chunked\r\n\r\n9\r\n{}"), unavailable, truncated},
		"cut between chunks":   {raw(head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"), unavailable, truncated},
		"no length":            {raw(head + "\r\n{}"), unavailable, truncated},
		"half of the JSON":     {answering(200, `{"versions":`), unavailable, truncated},
		"answer to another":    {raw(otherHead + "Content-Length: 2\r\n\r\n{}"), unavailable, unreachable},
		"header too large":     {raw(head + "A: " + tooLong + "\r\n\r\n"), unavailable, unreachable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(c.handler)
			defer server.Close()
			timeout := testTimeout
			if name == "no answer" || name == "no end of the answer" {
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
		t.Errorf("failure %v is no CallError", err)
	}
}

// Guards against a closed port or a caller that gave up being reported without a code.
func TestUnansweredCallsHaveCodes(t *testing.T) {
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
	server := httptest.NewServer(http.HandlerFunc(silent))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	_, err = New(server.URL, nil, testTimeout).Table().Commit(ctx, backend.Txn{OpID: "a"})
	wantCode(t, err, fault.CodeStoreUnavailable)
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("failure %v hides the end of the context", err)
	}
	_, err = New("http://bad host/", nil, testTimeout).Table().Get(context.Background(), "k")
	wantCode(t, err, fault.CodeInvalid)
}

// Guards against bodies that are larger than the process can hold.
func TestBodiesAreBounded(t *testing.T) {
	server := httptest.NewServer(answering(200, strings.Repeat("x", 101)))
	defer server.Close()
	c := newCaller(nil, testTimeout, storeParty)
	for limit, want := range map[int64]fault.Code{100: fault.CodeTooLarge, 101: ""} {
		_, err := c.do(context.Background(), call{op: "test", method: http.MethodGet, url: server.URL, limit: limit})
		wantCode(t, err, want)
	}
	err := New(server.URL, nil, testTimeout).Objects().Put(context.Background(), "n", make([]byte, MaxObjectBytes+1))
	wantCode(t, err, fault.CodeTooLarge)
}

// Guards against a new connection for each call, also after refusals.
func TestConnectionsAreReused(t *testing.T) {
	server := httptest.NewServer(refusing(404, fault.CodeNotFound))
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
