package httpbackend_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
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

// Guards against one odd entry of another writer that makes the whole directory unreadable, or whose capacity overflows
// sums over the fleet.
func TestInvalidEntriesAreLeftOutAlone(t *testing.T) {
	const valid = `{"kind":"worker","worker":{"id":"w1","addr":"127.0.0.1:80","capacity":{"milliCPU":1000,"memoryMB":10,"accelerators":0}}}`
	for name, odd := range map[string]string{
		"another type":           `7`,
		"id of another type":     `{"kind":"worker","worker":{"id":7}}`,
		"nested deeply":          strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000),
		"number beyond integers": `{"kind":"worker","worker":{"id":"w2","slots":1e300}}`,
		"largest integer":        `{"kind":"worker","worker":{"id":"w2","capacity":{"milliCPU":9223372036854775807}}}`,
		"negative slots":         `{"kind":"worker","worker":{"id":"w2","slots":-1}}`,
		"port out of range":      `{"kind":"worker","worker":{"id":"w2","addr":"127.0.0.1:99999"}}`,
		"no address":             `{"kind":"worker","worker":{"id":"w2","addr":"%%%"}}`,
		"no id":                  `{"kind":"instance","instance":{"addr":"127.0.0.1:80"}}`,
		"nothing":                `{"kind":"worker"}`,
	} {
		t.Run(name, func(t *testing.T) {
			body := "[" + odd + "," + valid + "," + odd + "]"
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(api.HeaderRequest, r.Header.Get(api.HeaderRequest))
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			entries, err := httpbackend.New(server.URL, nil, 0).Directory().List(t.Context())
			if err != nil || len(entries) != 1 || entries[0].Worker.ID != "w1" {
				t.Errorf("%d entries, %v", len(entries), err)
			}
		})
	}
}
