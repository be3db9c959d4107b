package recovery

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
)

// Guards against a panic that ends the process, or that leaves no trace for operators.
func TestPanicBecomesError(t *testing.T) {
	var log bytes.Buffer
	g := NewGuard(prometheus.NewRegistry(), zerolog.New(&log))
	err := g.Do("here", func() { panic("odd") })
	var panicked *PanicError
	if !errors.As(err, &panicked) || panicked.Place != "here" || panicked.Value != "odd" {
		t.Errorf("error %v", err)
	}
	if n := testutil.ToFloat64(g.total.WithLabelValues("here")); n != 1 {
		t.Errorf("%v panics counted", n)
	}
	if text := log.String(); !strings.Contains(text, "panic recovered") || !strings.Contains(text, "recovery_test.go") {
		t.Errorf("log without the stack: %s", text)
	}
	if err := g.Do("here", func() {}); err != nil {
		t.Errorf("error without a panic: %v", err)
	}
}

// Guards against a caller that is told after a panic that its request had no effect, or that takes a cut response for a
// whole one.
func TestRequestWithPanicHasUnknownOutcome(t *testing.T) {
	g := NewGuard(prometheus.NewRegistry(), zerolog.Nop())
	server := httptest.NewServer(g.Handler("callers", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/half" {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
		}
		panic("odd")
	})))
	defer server.Close()
	response, err := http.Get(server.URL + "/before")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d", response.StatusCode)
	}
	response, err = http.Get(server.URL + "/half")
	if err != nil {
		return
	}
	defer response.Body.Close()
	if _, err = io.ReadAll(response.Body); err == nil {
		t.Error("a cut response was read without an error")
	}
}
