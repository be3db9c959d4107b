package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bronzehook/loopback"
	"bronzehook/platform/platformtest"
)

// site is one scheduler instance on a fake of the platform.
type site struct {
	t     *testing.T
	store *platformtest.Store
	// storeAddr is the address of the fake store.
	storeAddr string
	fleet     *platformtest.Fleet
	callers   string
	metrics   string
	jobs      int
}

const (
	testHost = "scheduler.example"
	testPath = "/jobs/"
	// testLease is the longest attempt lease that workers grant, unless a test sets another one for them and the instances.
	testLease = 3 * time.Second
	// pollInterval is the time between two checks of a condition that a test waits for.
	pollInterval = 20 * time.Millisecond
)

// newSite starts the platform with two workers, without a scheduler instance.
func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, store: platformtest.NewStore(), callers: loopback.Addr(), metrics: loopback.Addr()}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.storeAddr = strings.TrimPrefix(server.URL, "http://")
	s.fleet = platformtest.NewFleet(s.store, "svc", platformtest.Behaviour{
		Duration: func(string) time.Duration { return 50 * time.Millisecond },
	})
	s.fleet.MaxLease = testLease
	t.Cleanup(s.fleet.Close)
	s.addWorker()
	s.addWorker()
	s.store.Put("op", "config", map[string]any{
		"version": 1, "services": []map[string]any{{"name": "svc"}},
		"routes": []map[string]any{{
			"name": "q", "host": testHost, "path_prefix": testPath, "service": "svc", "max_attempts": 3, "stretch": 2.0,
		}},
	})
	return s
}

func (s *site) addWorker() *platformtest.Worker {
	s.t.Helper()
	w, err := s.fleet.Add()
	if err != nil {
		s.t.Fatal(err)
	}
	w.Register()
	return w
}

// leaseArgument returns the argument that tells an instance the longest attempt lease that workers grant.
func leaseArgument(limit time.Duration) string {
	return fmt.Sprintf("--lease-ms=%d", limit.Milliseconds())
}

// startInstance starts the scheduler instance that the site's calls go to and waits until it serves.
func (s *site) startInstance(more ...string) *process {
	s.t.Helper()
	p := s.startNamed("n0", append(more, "--caller-addr="+s.callers, "--metrics-addr="+s.metrics)...)
	s.waitFor("the instance serves", func() bool { return s.call(http.MethodGet, "", nil) == http.StatusOK })
	return p
}

// startNamed starts a scheduler instance.
func (s *site) startNamed(name string, more ...string) *process {
	s.t.Helper()
	settings, err := ParseSettings(append([]string{
		"--id=" + name, "--region=r", "--data-centre=d", "--caller-addr=" + loopback.Addr(), "--ready-addr=" + loopback.Addr(),
		"--store-addr=" + s.storeAddr, leaseArgument(testLease),
	}, more...))
	if err != nil {
		s.t.Fatal(err)
	}
	p := assemble(settings, zerolog.New(zerolog.NewTestWriter(s.t)).Level(zerolog.WarnLevel), nil)
	if err := p.kernel.Start(context.Background()); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = p.kernel.Stop(context.Background()) })
	return p
}

// call sends a request of a caller and returns the status.
func (s *site) call(method, path string, body []byte) int {
	status, _ := s.exchange(method, path, body)
	return status
}

func (s *site) exchange(method, path string, body []byte) (int, string) {
	s.t.Helper()
	request, err := http.NewRequest(method, "http://"+s.callers+testPath+path, bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = testHost
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

func (s *site) waitFor(what string, condition func() bool) {
	s.t.Helper()
	s.waitAtMost(15*time.Second, what, condition)
}

func (s *site) waitAtMost(limit time.Duration, what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("not within %v: %s", limit, what)
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// runJob submits a job of two steps and waits until it has succeeded.
func (s *site) runJob() {
	s.t.Helper()
	s.jobs++
	id := jobID(s.jobs)
	body := []byte(`{"spec":"x","steps":[{"count":3,"cpu":100,"mem_mb":1},{"count":2,"cpu":100,"mem_mb":1,"after":[0]}]}`)
	s.waitFor("the job is accepted", func() bool { return s.call(http.MethodPost, id, body) == http.StatusOK })
	s.waitFor("the job succeeds", func() bool { return s.succeeded(id) })
}

// succeeded reports whether a job is shown as succeeded.
func (s *site) succeeded(id string) bool {
	s.t.Helper()
	_, text := s.exchange(http.MethodGet, id, nil)
	return strings.Contains(text, "succeeded")
}

// checkNoPanic fails the test if the instance has recovered from a panic.
func (s *site) checkNoPanic() {
	s.t.Helper()
	if strings.Contains(s.readMetrics(s.metrics), "bronzehook_panics_total{") {
		s.t.Error("the instance has recovered from a panic")
	}
}

func (s *site) readMetrics(addr string) string {
	s.t.Helper()
	response, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(text)
}
