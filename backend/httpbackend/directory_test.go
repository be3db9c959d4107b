package httpbackend_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend/fake"
	"bronzehook/backend/httpbackend"
)

// Guards against a directory that is transferred in full although it is unchanged, and against a change that the reader
// misses.
func TestUnchangedDirectoryIsNotSentAgain(t *testing.T) {
	p := fake.NewPlatform(clockwork.NewRealClock())
	statuses := []int{}
	handler := p.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		statuses = append(statuses, recorder.Code)
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	directory := httpbackend.New(server.URL, nil, 0).Directory()
	read := func(want int) {
		t.Helper()
		entries, err := directory.List(t.Context())
		if err != nil || len(entries) != want {
			t.Fatalf("%d entries, %v; want %d", len(entries), err, want)
		}
		clear(entries)
	}
	p.Directory().PutWorker(api.Worker{ID: "w1"})
	read(1)
	read(1)
	p.Directory().PutWorker(api.Worker{ID: "w2"})
	read(2)
	if diff := cmp.Diff([]int{200, 304, 200}, statuses); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}
