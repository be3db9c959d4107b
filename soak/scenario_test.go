package soak

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/loopback"
	"bronzehook/platform/platformtest"
)

// The longest attempt leases that workers grant, in general and if they are partitioned. The latter exceeds the one that leaders
// grant.
const (
	workerLease            = 5 * time.Second
	partitionedWorkerLease = 10 * time.Second
)

// maxLease returns the longest attempt lease that workers grant in this run.
func maxLease() time.Duration {
	if *partitionFlag {
		return partitionedWorkerLease
	}
	return workerLease
}

// scenario holds the instances, the fakes of the platform and the callers of one run.
type scenario struct {
	t             *testing.T
	binary        string
	size          size
	random        *rand.Rand
	store         *platformtest.Store
	fleet         *platformtest.Fleet
	instances     []*instance
	workerProxies []*proxy
	callers       *callers
	// machines is the fake of the machine service; waves holds the maintenance waves that were requested, by number.
	machines  *platformtest.Machines
	waves     map[int]platformtest.Wave
	noCutoffs noCutoffs
	faults    faultTimes
	// contention is nil in runs without contended faults.
	contention *contention
}

func newScenario(t *testing.T, binary string, seed int64) *scenario {
	t.Helper()
	s := &scenario{t: t, binary: binary, size: sizes[*sizeFlag], random: rand.New(rand.NewSource(seed)), store: platformtest.NewStore()}
	if s.size.instances == 0 {
		t.Fatalf("unknown size %q", *sizeFlag)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	s.fleet = platformtest.NewFleet(s.store, "svc", behaviour(seed))
	s.fleet.MaxLease = maxLease()
	t.Cleanup(s.fleet.Close)
	if seed%2 == 0 {
		s.fleet.CPU = s.size.scarceCPU
	}
	if random := contendedRandom(seed); random != nil {
		s.contention = &contention{scenario: s, random: random}
	}
	for n := range s.size.workers {
		s.addWorker(n)
	}
	s.machines, s.waves = platformtest.NewMachines(s.fleet), make(map[int]platformtest.Wave)
	s.machines.DownFor = machineDownTime
	maintenance := httptest.NewServer(s.machines)
	t.Cleanup(maintenance.Close)
	s.store.Put("op", "config", manifest(1))
	logs := logDir(t, seed)
	for n := range s.size.instances {
		s.addInstance(n, listener.Addr().String(), strings.TrimPrefix(maintenance.URL, "http://"), logs)
	}
	s.callers = newCallers(s)
	return s
}

// addWorker adds worker n, which is reached through a proxy.
func (s *scenario) addWorker(n int) {
	s.t.Helper()
	w, err := s.fleet.Add()
	if err != nil {
		s.t.Fatal(err)
	}
	p, err := newProxy(w.Addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.close)
	w.Addr = p.addr()
	w.SetClockRate(1 - 0.02*s.random.Float64())
	if *partitionFlag {
		w.SetClockAge(workerClockAge)
	}
	if s.contention != nil {
		w.DataCentre = dataCentreOf(n)
	}
	w.Register()
	s.workerProxies = append(s.workerProxies, p)
}

// addInstance starts instance n, which reaches the store through a proxy.
func (s *scenario) addInstance(n int, storeAddr, machinesAddr, logs string) {
	s.t.Helper()
	p, err := newProxy(storeAddr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.close)
	log, err := os.Create(filepath.Join(logs, fmt.Sprintf("n%d.log", n)))
	if err != nil {
		s.t.Fatal(err)
	}
	i := &instance{
		name: fmt.Sprintf("n%d", n), binary: s.binary, log: log, storeProxy: p, machinesAddr: machinesAddr,
		callerAddr: loopback.Addr(), readyAddr: loopback.Addr(), peerAddr: loopback.Addr(),
		clockOffsetFile: filepath.Join(logs, fmt.Sprintf("n%d.offset", n)), noCutoffs: &s.noCutoffs,
	}
	i.start(s.t)
	s.t.Cleanup(func() { i.signal(syscall.SIGCONT); i.signal(syscall.SIGKILL) })
	s.instances = append(s.instances, i)
}

// runningTasks returns the names of the tasks that run on any worker.
func (s *scenario) runningTasks() []string {
	var names []string
	for _, w := range s.fleet.Workers() {
		names = append(names, w.RunningTasks()...)
	}
	return names
}

// fleetIsBusy reports whether batch tasks use at least half of the CPU that long-running tasks leave. A scheduler has to start
// what waits only if less than half is in use.
func (s *scenario) fleetIsBusy() bool {
	batch, left := 0, len(s.fleet.Workers())*s.fleet.CPU
	for _, task := range s.runningTasks() {
		if isLongRunning(jobOf(task)) {
			left -= cpuOf(task)
		} else {
			batch += cpuOf(task)
		}
	}
	return 2*batch >= left
}

// logDir returns a directory for the logs of a run; those of a failed run are kept.
func logDir(t *testing.T, seed int64) string {
	dir := t.TempDir()
	kept := filepath.Join(os.TempDir(), fmt.Sprintf("bronzehook-soak-%d", seed))
	t.Cleanup(func() {
		if t.Failed() {
			if err := errors.CombineErrors(os.RemoveAll(kept), os.CopyFS(kept, os.DirFS(dir))); err != nil {
				t.Logf("logs not kept: %v", err)
			}
			t.Logf("logs are in %s", kept)
		}
	})
	return dir
}
