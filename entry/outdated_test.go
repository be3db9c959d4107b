package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bronzehook/loopback"
)

// storeGate is one instance's access to the store, which can be denied.
type storeGate struct {
	denied atomic.Bool
	addr   string
}

// newStoreGate returns an access to the store of the site.
func (s *site) newStoreGate() *storeGate {
	gate := &storeGate{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if gate.denied.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.store.ServeHTTP(w, r)
	}))
	s.t.Cleanup(server.Close)
	gate.addr = strings.TrimPrefix(server.URL, "http://")
	return gate
}

// putManifest writes a manifest with a queue for each path.
func (s *site) putManifest(version int, paths ...string) {
	var routes []map[string]any
	for _, path := range paths {
		routes = append(routes, map[string]any{
			"name": "q" + path, "host": testHost, "path_prefix": path, "service": "svc", "max_attempts": 3, "stretch": 2.0,
		})
	}
	s.store.Put("op", "config", map[string]any{
		"version": version, "services": []map[string]any{{"name": "svc"}}, "routes": routes,
	})
}

// pendingStatus asks for the number of pending jobs of a queue and returns the status.
func (s *site) pendingStatus(addr, path string) int {
	s.t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = testHost
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// waitUntilRelayed waits until an instance relays requests while the store rejects it. It reads the list of the others only
// from time to time, and not while it is rejected.
func (s *site) waitUntilRelayed(addr, path string, gate *storeGate) {
	s.t.Helper()
	const (
		// An instance refuses requests without a call to the store once that has been unavailable for a while.
		rejected = 1500 * time.Millisecond
		accepted = time.Second
		tries    = 20
	)
	for range tries {
		gate.denied.Store(true)
		time.Sleep(rejected)
		relayed := s.pendingStatus(addr, path) == http.StatusOK
		gate.denied.Store(false)
		if relayed {
			return
		}
		time.Sleep(accepted)
	}
	s.t.Fatal("requests are not relayed")
}

// Guards against an instance that answers 404 for a queue that it has served, because it relays the request to one that
// has not learned of the queue, as the store rejects it (review/5); and against an instance without a newer
// manifest than another has named that goes on by its own.
func TestNoInstanceAnswersByAnOlderManifestThanItHasShown(t *testing.T) {
	const (
		newPath = "/new/"
		// watched is how long the callers ask while no instance reaches the store.
		watched = 2 * time.Second
	)
	s := newSite(t)
	s.putManifest(2, testPath)
	// The leader does not follow the list of instances, so that callers ask another one.
	leader, asked, outdated := s.newStoreGate(), s.newStoreGate(), s.newStoreGate()
	askedAddr, outdatedAddr := loopback.Addr(), loopback.Addr()
	s.startInstance("--store-addr="+leader.addr, "--peer-addr="+loopback.Addr())
	s.startNamed("n1", "--store-addr="+asked.addr, "--peer-addr="+loopback.Addr(), "--caller-addr="+askedAddr)
	s.startNamed("n2", "--store-addr="+outdated.addr, "--peer-addr="+loopback.Addr(), "--caller-addr="+outdatedAddr)
	serves := func(addr, path string) bool { return s.pendingStatus(addr, path) == http.StatusOK }
	s.waitFor("all serve", func() bool { return serves(askedAddr, testPath) && serves(outdatedAddr, testPath) })
	s.waitUntilRelayed(askedAddr, testPath, asked)
	s.waitUntilRelayed(outdatedAddr, testPath, outdated)

	outdated.denied.Store(true)
	s.putManifest(3, testPath, newPath)
	s.waitFor("the new queue is served", func() bool { return serves(askedAddr, newPath) })
	leader.denied.Store(true)
	asked.denied.Store(true)
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.pendingStatus(askedAddr, newPath) == http.StatusNotFound {
			t.Fatal("404 for a queue that was served")
		}
	}
	if status := s.pendingStatus(outdatedAddr, newPath); status != http.StatusServiceUnavailable {
		t.Errorf("the instance that knows of a newer manifest answers %d by its own", status)
	}
	for _, gate := range []*storeGate{leader, asked, outdated} {
		gate.denied.Store(false)
	}
	s.waitFor("all serve the new queue", func() bool { return serves(askedAddr, newPath) && serves(outdatedAddr, newPath) })
}
