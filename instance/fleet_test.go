package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend/fake"
	"bronzehook/backend/httpbackend"
	"bronzehook/config/rollout"
	"bronzehook/operator"
	"bronzehook/peer"
)

// Settings of a test fleet. Heartbeats and session row renewals keep their fixed intervals of 1 s and 2 s, and an
// instance lease of 1 s would expire between two of them; 3 s is the shortest that covers one late renewal.
const (
	testInstanceLease = 3 * time.Second
	testDriftMargin   = time.Second
	testAttemptLease  = 3 * time.Second
	readyTimeout      = 15 * time.Second
	stopTimeout       = 15 * time.Second
	pollInterval      = 20 * time.Millisecond
)

// fleetSlots bounds the number of fleets that run at the same time, so that they do not affect each other's timing.
var fleetSlots = make(chan struct{}, 3)

var testLocations = []api.Location{
	{Region: "cornwall", DataCentre: "montego"},
	{Region: "cornwall", DataCentre: "savanna"},
	{Region: "surrey", DataCentre: "kingston"},
}

// Indices of the instances in fleet.instances.
const (
	montego = iota
	savanna
	kingston
)

// testInstance is one instance of a fleet with its own platform clients and network link, in which faults can be
// injected.
type testInstance struct {
	*Instance
	self      api.Instance
	table     *fake.InstanceTable
	directory *fake.InstanceDirectory
	conn      *peer.FilterConn
	stopped   bool
}

// fleet is several instances in one process, with a fake platform and fake workers on loopback.
type fleet struct {
	t             *testing.T
	site          *fake.Cluster
	certAuthority *peer.DevAuthority
	instances     []*testInstance
	client        *http.Client
}

// newFleet starts one instance and two workers in each of the three data centres.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	site, err := fake.NewCluster(fake.ClusterConfig{
		DataCentres: testLocations, WorkersPerDataCentre: 2, WorkersPerRack: 2,
		Capacity: api.Resources{MilliCPU: 16_000, MemoryMB: 32 << 10}, Seed: 1,
	})
	must(t, err)
	t.Cleanup(site.Close)
	authority, err := peer.NewDevAuthority()
	must(t, err)
	f := &fleet{t: t, site: site, certAuthority: authority, client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(f.client.CloseIdleConnections)
	for _, location := range testLocations {
		f.add(location.DataCentre+"-1", location)
	}
	for _, n := range f.instances {
		f.start(n)
	}
	return f
}

// add prepares an instance without starting it and registers it in the directory.
func (f *fleet) add(id string, location api.Location) *testInstance {
	f.t.Helper()
	conn, err := peer.ListenFiltered("127.0.0.1:0")
	must(f.t, err)
	n := &testInstance{conn: conn, table: fake.NewInstanceTable(f.site.Platform.Table())}
	n.directory = fake.NewInstanceDirectory(f.site.Platform.Directory())
	n.self = api.Instance{ID: api.InstanceID(id), Addr: conn.LocalAddr().String(), Location: location}
	f.instances = append(f.instances, n)
	f.site.Platform.Directory().PutInstance(n.self)
	return n
}

func (f *fleet) start(n *testInstance) {
	f.t.Helper()
	tls, err := f.certAuthority.TLS(n.self.ID)
	must(f.t, err)
	conn := n.conn
	n.Instance = New(Options{
		Self: n.self, Regions: []string{"cornwall", "surrey"}, CallerAddr: "127.0.0.1:0", OperatorAddr: "127.0.0.1:0",
		PeerTLS: tls, Table: n.table, Objects: f.site.Platform.Objects(), Directory: n.directory,
		Workers: httpbackend.NewWorkers(nil, httpbackend.DefaultTimeout), Clock: clockwork.NewRealClock(),
		Logger: testLogger(n.self.ID), InstanceLeaseDuration: testInstanceLease, AttemptLeaseDuration: testAttemptLease, StopTimeout: stopTimeout,
		ListenPeer: func(string) (net.PacketConn, error) { return conn, nil },
	})
	n.stopped = false
	must(f.t, n.Start(context.Background()))
	f.t.Cleanup(func() { f.stop(n) })
}

// restart starts a stopped instance again with the same address and the same platform clients.
func (f *fleet) restart(index int) *testInstance {
	f.t.Helper()
	old := f.instances[index]
	conn, err := peer.ListenFiltered(old.self.Addr)
	must(f.t, err)
	n := &testInstance{conn: conn, table: old.table, directory: old.directory, self: old.self}
	f.instances[index] = n
	f.start(n)
	return n
}

// stop stops an instance gracefully; further calls do nothing.
func (f *fleet) stop(n *testInstance) {
	if n.stopped {
		return
	}
	n.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := n.Stop(ctx); err != nil {
		f.t.Logf("stop of %s: %v", n.self.ID, err)
	}
}

// testLogger writes to standard error if BRONZEHOOK_TEST_LOG names a level.
func testLogger(id api.InstanceID) zerolog.Logger {
	level, err := zerolog.ParseLevel(os.Getenv("BRONZEHOOK_TEST_LOG"))
	if err != nil || os.Getenv("BRONZEHOOK_TEST_LOG") == "" {
		return zerolog.Nop()
	}
	out := zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true, TimeFormat: "15:04:05.000"}
	return zerolog.New(out).Level(level).With().Timestamp().Str("instance", string(id)).Logger()
}

// dropLinks drops all packets between two instances until restoreLinks is called.
func (f *fleet) dropLinks(a, b *testInstance) {
	a.conn.DropLink(b.self.Addr)
	b.conn.DropLink(a.self.Addr)
}

func (f *fleet) restoreLinks(a, b *testInstance) {
	a.conn.RestoreLink(b.self.Addr)
	b.conn.RestoreLink(a.self.Addr)
}

// partitionRegion separates region surrey, which also loses the store.
func (f *fleet) partitionRegion() {
	f.dropLinks(f.instances[montego], f.instances[kingston])
	f.dropLinks(f.instances[savanna], f.instances[kingston])
	f.instances[kingston].table.Down.Store(true)
}

func (f *fleet) restoreRegion() {
	f.restoreLinks(f.instances[montego], f.instances[kingston])
	f.restoreLinks(f.instances[savanna], f.instances[kingston])
	f.instances[kingston].table.Down.Store(false)
}

func (f *fleet) storeDown(down bool) {
	for _, n := range f.instances {
		n.table.Down.Store(down)
	}
}

// apply records files through an instance and returns the revision.
func (f *fleet) apply(n *testInstance, files map[string]string) uint64 {
	f.t.Helper()
	request := operator.ApplyRequest{Author: "tester", OpID: rollout.NewOpID()}
	for name, content := range files {
		request.Edits = append(request.Edits, operator.FileEdit{File: name, Content: content, BaseVersion: f.versionOf(n, name)})
	}
	var response operator.RevisionResponse
	status := f.callOperator(n, http.MethodPost, "/v1/apply", request, &response)
	if status != http.StatusOK {
		f.t.Fatalf("apply through %s: status %d", n.self.ID, status)
	}
	return response.Revision
}

func (f *fleet) versionOf(n *testInstance, file string) uint64 {
	var files operator.FilesResponse
	f.callOperator(n, http.MethodGet, "/v1/files", nil, &files)
	for _, known := range files.Files {
		if known.Name == file {
			return known.Version
		}
	}
	return 0
}

// callOperator calls the operator interface of an instance and returns the status.
func (f *fleet) callOperator(n *testInstance, method, path string, body, result any) int {
	f.t.Helper()
	data, err := json.Marshal(body)
	must(f.t, err)
	request, err := http.NewRequest(method, "http://"+n.OperatorAddr()+path, bytes.NewReader(data))
	must(f.t, err)
	response, err := f.client.Do(request)
	must(f.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	must(f.t, err)
	if response.StatusCode != http.StatusOK {
		f.t.Logf("%s %s at %s: %d %s", method, path, n.self.ID, response.StatusCode, content)
		return response.StatusCode
	}
	must(f.t, json.Unmarshal(content, result))
	return response.StatusCode
}

// accepted reports whether an instance sees a revision as accepted.
func (f *fleet) accepted(n *testInstance, revision uint64) bool {
	ok, _ := n.rollout.Accepted(revision)
	return ok
}

// eventually polls until a condition holds and fails the test after limit. It returns the time that passed.
func (f *fleet) eventually(limit time.Duration, what string, holds func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > limit {
			f.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start)
}

// throughout repeats a check for a time and fails the test at the first violation.
func (f *fleet) throughout(span time.Duration, what string, holds func() bool) {
	f.t.Helper()
	for start := time.Now(); time.Since(start) < span; time.Sleep(pollInterval) {
		if !holds() {
			f.t.Fatalf("violated after %v: %s", time.Since(start), what)
		}
	}
}

func (f *fleet) allReady() bool {
	return !slices.ContainsFunc(f.instances, func(n *testInstance) bool { return !n.stopped && n.Ready() != nil })
}

// startedTasks counts the tasks of a workload that were started at least once.
func (f *fleet) startedTasks(work string) int {
	tasks := map[api.TaskID]bool{}
	for _, w := range f.site.Workers() {
		for _, r := range w.EventLog().Attempts() {
			if r.Work == work {
				tasks[r.Task] = true
			}
		}
	}
	return len(tasks)
}

// runningAttempts counts the running attempts of a workload in the workers' event logs.
func (f *fleet) runningAttempts(work string) int {
	count := 0
	for _, w := range f.site.Workers() {
		for _, r := range w.EventLog().Attempts() {
			if r.Work == work && r.End.IsZero() {
				count++
			}
		}
	}
	return count
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// addTeamRequest returns a request that adds a team.
func addTeamRequest(file string) operator.ApplyRequest {
	edit := operator.FileEdit{File: file, Content: "kind: team\nname: other\n"}
	return operator.ApplyRequest{Author: "tester", OpID: rollout.NewOpID(), Edits: []operator.FileEdit{edit}}
}
