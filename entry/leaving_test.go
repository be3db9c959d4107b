package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/recovery"
)

// Guards against a request without a response because the process exits during its call to a slow store (soak seed 6001).
func TestRequestsAreAnsweredBeforeProcessExit(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		w.WriteHeader(http.StatusAccepted)
	})
	for path, want := range map[string]int{"/quick": http.StatusAccepted, "/slow": http.StatusGatewayTimeout} {
		// Each request has its own process, since the slow one takes until responseDeadline.
		n := &process{guard: recovery.NewGuard(prometheus.NewRegistry(), zerolog.Nop())}
		n.responseDeadline.Store(time.Now().Add(100 * time.Millisecond).UnixNano())
		n.leaving.Store(true)
		got := httptest.NewRecorder()
		done := make(chan struct{})
		go func() {
			defer close(done)
			n.drainHandler(handler).ServeHTTP(got, httptest.NewRequest(http.MethodDelete, path, nil))
		}()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: not answered", path)
		}
		if got.Code != want || got.Header().Get("Connection") != "close" {
			t.Errorf("%s: status %d, connection %q", path, got.Code, got.Header().Get("Connection"))
		}
	}
}

// Guards against a panic in a request during a planned stop, which runs in a goroutine of its own and would end the
// process with all other requests.
func TestPanicWhileLeavingIsOneUnknownOutcome(t *testing.T) {
	n := &process{guard: recovery.NewGuard(prometheus.NewRegistry(), zerolog.Nop())}
	n.responseDeadline.Store(time.Now().Add(5 * time.Second).UnixNano())
	n.leaving.Store(true)
	got := httptest.NewRecorder()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("half"))
		panic("odd")
	})
	n.serve("callers", handler).ServeHTTP(got, httptest.NewRequest(http.MethodPost, "/", nil))
	if got.Code != http.StatusGatewayTimeout || got.Body.Len() != 0 {
		t.Errorf("status %d, body %q", got.Code, got.Body)
	}
}
