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
	"bronzehook/backend/httpbackend"
	"bronzehook/backend/standin"
	"bronzehook/config/rollout"
	"bronzehook/operator"
	"bronzehook/peer"
)

// Settings of a test fleet. Heartbeats and renewals keep their fixed periods of 1 s and 2 s, and a Hold of 1 s would end
// between two of them; 3 s is the shortest that covers one late renewal.
const (
	testHold      = 3 * time.Second
	testMargin    = time.Second
	testTaskLease = 3 * time.Second
	readyWithin   = 15 * time.Second
	stopWithin    = 15 * time.Second
	pollEvery     = 20 * time.Millisecond
)

// sessions bounds the number of fleets that run at a time, so that they do not disturb each other's times.
var sessions = make(chan struct{}, 3)

var testLocations = []api.Location{
	{Region: "cornwall", DataCentre: "montego"},
	{Region: "cornwall", DataCentre: "savanna"},
	{Region: "surrey", DataCentre: "kingston"},
}

// Positions of the instances in a fleet.
const (
	montego = iota
	savanna
	kingston
)

// node is one instance of a fleet with the switches of its surroundings.
type node struct {
	*Instance
	self      api.Instance
	table     *standin.ReaderTable
	directory *standin.ReaderDirectory
	conn      *peer.FilterConn
	done      bool
}

// fleet is several instances in one process with stand-ins on loopback.
type fleet struct {
	t         *testing.T
	site      *standin.Site
	authority *peer.DevAuthority
	nodes     []*node
	client    *http.Client
}

// newFleet starts one instance and two workers in each of the three data centres.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	t.Parallel()
	sessions <- struct{}{}
	t.Cleanup(func() { <-sessions })
	site, err := standin.NewSite(standin.SiteConfig{
		DataCentres: testLocations, WorkersPerDataCentre: 2, WorkersPerRack: 2,
		Capacity: api.Resources{MilliCPU: 16_000, MemoryMB: 32 << 10}, Seed: 1,
	})
	must(t, err)
	t.Cleanup(site.Close)
	authority, err := peer.NewDevAuthority()
	must(t, err)
	f := &fleet{t: t, site: site, authority: authority, client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(f.client.CloseIdleConnections)
	for _, location := range testLocations {
		f.add(location.DataCentre+"-1", location)
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

// add prepares an instance that is not started and registers it with the directory.
func (f *fleet) add(id string, location api.Location) *node {
	f.t.Helper()
	conn, err := peer.ListenFiltered("127.0.0.1:0")
	must(f.t, err)
	n := &node{conn: conn, table: standin.NewReaderTable(f.site.Platform.Table())}
	n.directory = standin.NewReaderDirectory(f.site.Platform.Directory())
	n.self = api.Instance{ID: api.InstanceID(id), Addr: conn.LocalAddr().String(), Location: location}
	f.nodes = append(f.nodes, n)
	f.site.Platform.Directory().PutInstance(n.self)
	return n
}

func (f *fleet) start(n *node) {
	f.t.Helper()
	tls, err := f.authority.TLS(n.self.ID)
	must(f.t, err)
	conn := n.conn
	n.Instance = New(Options{
		Self: n.self, Regions: []string{"cornwall", "surrey"}, CallerAddr: "127.0.0.1:0", OperatorAddr: "127.0.0.1:0",
		PeerTLS: tls, Table: n.table, Objects: f.site.Platform.Objects(), Directory: n.directory,
		Workers: httpbackend.NewWorkers(nil, httpbackend.DefaultTimeout), Clock: clockwork.NewRealClock(),
		Logger: testLogger(n.self.ID), Hold: testHold, TaskLease: testTaskLease, StopTimeout: stopWithin,
		ListenPeer: func(string) (net.PacketConn, error) { return conn, nil },
	})
	n.done = false
	must(f.t, n.Start(context.Background()))
	f.t.Cleanup(func() { f.stop(n) })
}

// restart starts a stopped instance again with the same address and the switches that it had.
func (f *fleet) restart(index int) *node {
	f.t.Helper()
	old := f.nodes[index]
	conn, err := peer.ListenFiltered(old.self.Addr)
	must(f.t, err)
	n := &node{conn: conn, table: old.table, directory: old.directory, self: old.self}
	f.nodes[index] = n
	f.start(n)
	return n
}

// stop is the planned stop; it may be called again.
func (f *fleet) stop(n *node) {
	if n.done {
		return
	}
	n.done = true
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
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

// cut drops all packets between two instances; restore ends it.
func (f *fleet) cut(a, b *node) {
	a.conn.CutLink(b.self.Addr)
	b.conn.CutLink(a.self.Addr)
}

func (f *fleet) restore(a, b *node) {
	a.conn.RestoreLink(b.self.Addr)
	b.conn.RestoreLink(a.self.Addr)
}

// cutRegion separates surrey, which also loses the store.
func (f *fleet) cutRegion() {
	f.cut(f.nodes[montego], f.nodes[kingston])
	f.cut(f.nodes[savanna], f.nodes[kingston])
	f.nodes[kingston].table.Down.Store(true)
}

func (f *fleet) restoreRegion() {
	f.restore(f.nodes[montego], f.nodes[kingston])
	f.restore(f.nodes[savanna], f.nodes[kingston])
	f.nodes[kingston].table.Down.Store(false)
}

func (f *fleet) storeDown(down bool) {
	for _, n := range f.nodes {
		n.table.Down.Store(down)
	}
}

// apply records files by way of an instance and returns the revision.
func (f *fleet) apply(n *node, files map[string]string) uint64 {
	f.t.Helper()
	request := operator.ApplyRequest{Author: "tester", OpID: rollout.NewOpID()}
	for name, content := range files {
		request.Edits = append(request.Edits, operator.FileEdit{File: name, Content: content, BaseVersion: f.versionOf(n, name)})
	}
	var answer operator.RevisionResponse
	status := f.operate(n, http.MethodPost, "/v1/apply", request, &answer)
	if status != http.StatusOK {
		f.t.Fatalf("apply through %s: status %d", n.self.ID, status)
	}
	return answer.Revision
}

func (f *fleet) versionOf(n *node, file string) uint64 {
	var files operator.FilesResponse
	f.operate(n, http.MethodGet, "/v1/files", nil, &files)
	for _, known := range files.Files {
		if known.Name == file {
			return known.Version
		}
	}
	return 0
}

// operate calls the operator interface of an instance and returns the status.
func (f *fleet) operate(n *node, method, path string, body, answer any) int {
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
	must(f.t, json.Unmarshal(content, answer))
	return response.StatusCode
}

// accepted reports whether a revision is accepted as an instance sees it.
func (f *fleet) accepted(n *node, revision uint64) bool {
	ok, _ := n.rollout.Accepted(revision)
	return ok
}

// within polls until a condition holds and fails the test after limit. It returns the time that passed.
func (f *fleet) within(limit time.Duration, what string, holds func() bool) time.Duration {
	f.t.Helper()
	begun := time.Now()
	for !holds() {
		if time.Since(begun) > limit {
			f.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(pollEvery)
	}
	return time.Since(begun)
}

// during runs a check again and again for a time; it fails the test at the first violation.
func (f *fleet) during(span time.Duration, what string, holds func() bool) {
	f.t.Helper()
	for begun := time.Now(); time.Since(begun) < span; time.Sleep(pollEvery) {
		if !holds() {
			f.t.Fatalf("violated after %v: %s", time.Since(begun), what)
		}
	}
}

func (f *fleet) allReady() bool {
	return !slices.ContainsFunc(f.nodes, func(n *node) bool { return !n.done && n.Ready() != nil })
}

// startedOf counts the tasks of a work item that were started at least once.
func (f *fleet) startedOf(work string) int {
	tasks := map[api.TaskID]bool{}
	for _, w := range f.site.Workers() {
		for _, r := range w.Journal().Runs() {
			if r.Work == work {
				tasks[r.Task] = true
			}
		}
	}
	return len(tasks)
}

// runningOf counts the running attempts of a work item in the journals.
func (f *fleet) runningOf(work string) int {
	count := 0
	for _, w := range f.site.Workers() {
		for _, r := range w.Journal().Runs() {
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

// applyOf is a change that adds a team.
func applyOf(file string) operator.ApplyRequest {
	edit := operator.FileEdit{File: file, Content: "kind: team\nname: other\n"}
	return operator.ApplyRequest{Author: "tester", OpID: rollout.NewOpID(), Edits: []operator.FileEdit{edit}}
}
