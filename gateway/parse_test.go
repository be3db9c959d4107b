package gateway

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzehook/api"
	"bronzehook/fault"
)

// FuzzParseControls guards against header values that exceed a bound, or are refused without a typed not-run failure.
func FuzzParseControls(f *testing.F) {
	config := DefaultConfig()
	f.Fuzz(func(t *testing.T, method, key, attempt, timeout, urgency, idempotent string) {
		header := http.Header{
			api.HeaderKey: {key}, api.HeaderAttempt: {attempt}, api.HeaderTimeout: {timeout},
			api.HeaderUrgency: {urgency}, api.HeaderIdempotent: {idempotent},
		}
		c, err := parseRequestOptions(config, method, header, api.High)
		if err != nil {
			if fault.OutcomeOf(err) != api.NotRun || !fault.Is(err, fault.CodeInvalid) {
				t.Errorf("failure %v, want invalid and not-run", err)
			}
			return
		}
		if c.timeout <= 0 || c.timeout > config.MaxTimeout {
			t.Errorf("timeout %v out of bounds", c.timeout)
		}
		if c.urgency > api.High {
			t.Errorf("urgency raised to %s", c.urgency)
		}
		if c.attempt < 1 || c.attempt > maxAttemptNumber || len(c.key) > maxKeyLength || strings.ContainsAny(c.key, " \r\n\x00") {
			t.Errorf("accepted attempt %d of key %q", c.attempt, c.key)
		}
		if c.idempotent && idempotent != "true" && method != http.MethodGet && method != http.MethodHead {
			t.Errorf("method %s with header %q treated as idempotent", method, idempotent)
		}
	})
}

func TestParseControls(t *testing.T) {
	config := DefaultConfig()
	cases := []struct {
		name   string
		method string
		header map[string]string
		want   requestOptions
	}{
		{"a missing timeout must not mean no timeout", "POST", nil,
			requestOptions{attempt: 1, timeout: 10 * time.Second, urgency: api.High}},
		{"a timeout must not exceed the maximum", "GET", map[string]string{api.HeaderTimeout: "999999999"},
			requestOptions{attempt: 1, timeout: time.Minute, urgency: api.High, idempotent: true}},
		{"a caller must not raise the urgency", "POST", map[string]string{api.HeaderUrgency: "critical"},
			requestOptions{attempt: 1, timeout: 10 * time.Second, urgency: api.High}},
		{"a caller may lower the urgency and declare idempotence", "POST",
			map[string]string{api.HeaderUrgency: "low", api.HeaderIdempotent: "true", api.HeaderKey: "r:k", api.HeaderAttempt: "3"},
			requestOptions{key: "r:k", attempt: 3, timeout: 10 * time.Second, urgency: api.Low, idempotent: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			header := http.Header{}
			for name, value := range tc.header {
				header.Set(name, value)
			}
			got, err := parseRequestOptions(config, tc.method, header, api.High)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got, cmp.AllowUnexported(requestOptions{})); diff != "" {
				t.Errorf("controls (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against hop-by-hop headers, or reserved headers forged by a caller, reaching an endpoint.
func TestEndToEndDropsHopAndReservedHeaders(t *testing.T) {
	in := http.Header{
		"Accept": {"a"}, "Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Transfer-Encoding": {"chunked"},
		"Bronzehook-Epoch": {"99"}, "Expect": {"100-continue"},
	}
	if diff := cmp.Diff(http.Header{"Accept": {"a"}}, endToEndHeaders(in)); diff != "" {
		t.Errorf("headers (-want +got):\n%s", diff)
	}
}

// Guards against an escaped slash or a query being lost or decoded before the request is sent to the endpoint.
func TestTargetKeepsEscapes(t *testing.T) {
	for in, want := range map[string]string{"/s": "/", "/s/": "/", "/s/a%2Fb?c=d%20e": "/a%2Fb?c=d%20e", "/s?q": "/?q"} {
		u, err := url.ParseRequestURI(in)
		if err != nil {
			t.Fatal(err)
		}
		if got := targetOf(&http.Request{URL: u}, "s"); got != want {
			t.Errorf("target of %q = %q, want %q", in, got, want)
		}
	}
}
