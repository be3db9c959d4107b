package ctl

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/audit"
	"bronzehook/config/rollout"
	"bronzehook/config/rollout/tabletest"
	"bronzehook/fault"
	"bronzehook/kernel"
	"bronzehook/operator"
)

var testTime = time.Date(2026, 1, 2, 15, 4, 5, 0, time.UTC)

// fakeFleet stands in for the services that supply the operator API: instances, status, explanations and drains.
type fakeFleet struct {
	mu        sync.Mutex
	instances []rollout.InstanceStatus
	drains    map[api.WorkerID]operator.Drain
	table     *tabletest.Table
	trail     *audit.Trail
	server    *httptest.Server
}

func (f *fakeFleet) Instances() []rollout.InstanceStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]rollout.InstanceStatus{}, f.instances...)
}

func (f *fakeFleet) Status(context.Context) (operator.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := operator.Status{Instance: "a", Revision: 1, Store: operator.StoreState{Healthy: true},
		Instances: []operator.InstanceState{{ID: "a", Region: "cornwall", DataCentre: "montego", Revision: 1, State: "live"}},
		Workers: []operator.WorkerState{{ID: "worker-1", Location: api.Location{Region: "cornwall", DataCentre: "montego", Rack: "r1"},
			Capacity: api.Resources{MilliCPU: 30000, MemoryMB: 125000}, Used: api.Resources{MilliCPU: 2000, MemoryMB: 4096}, Tasks: 1, State: "live"}},
		Ownership: []operator.UnitState{{Unit: api.RackUnit("montego", "r1"), Owner: "a", Epoch: 3}},
		Floods:    []operator.FloodState{{Urgency: api.Low, Offered: 1000, Admitted: 200, Refused: 800}}}
	for _, d := range f.drains {
		s.Drains = append(s.Drains, d)
	}
	return s, nil
}

func (f *fakeFleet) Explain(_ context.Context, work string) (operator.Explanation, error) {
	if work != "nightly-index" {
		return operator.Explanation{}, fault.New(fault.CodeNotFound, "explain", "work %q is not recorded", work)
	}
	return operator.Explanation{Work: work, Waits: "1 task waits for memory", ExpectedStart: testTime.Add(time.Minute),
		Refusals: []operator.Refusal{{Where: "worker-1", Reason: "memory", Count: 50}},
		Tasks:    []operator.TaskExplanation{{Task: "nightly-index.0", Wanted: api.WantedPending, Reason: "no worker has 1024 MB left"}}}, nil
}

func (f *fakeFleet) Drain(_ context.Context, d operator.Drain) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drains[d.Worker] = d
	return nil
}

func (f *fakeFleet) Undrain(_ context.Context, worker api.WorkerID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, drained := f.drains[worker]; !drained {
		return fault.New(fault.CodeNotFound, "undrain", "%s is not drained", worker)
	}
	delete(f.drains, worker)
	return nil
}

// startFleet starts a rollout service, an audit trail and an operator server on a fake table.
func startFleet(cleanup func(func())) (*fakeFleet, error) {
	f := &fakeFleet{drains: map[api.WorkerID]operator.Drain{}, table: tabletest.New()}
	bus := kernel.NewBus()
	service := rollout.New(rollout.Options{Self: "a", Table: f.table, Instances: f, Bus: bus, Logger: zerolog.Nop(), RecordTimeout: 100 * time.Millisecond,
		Regions: func() []string { return []string{"cornwall", "surrey"} }})
	trail := audit.New(audit.Options{Self: "a", Table: f.table, Bus: bus, Logger: zerolog.Nop(), WriteInterval: time.Millisecond})
	f.trail = trail
	for _, s := range []kernel.Service{service, trail} {
		if err := s.Start(context.Background()); err != nil {
			return nil, err
		}
		cleanup(func() { _ = s.Stop(context.Background()) })
	}
	f.server = httptest.NewServer(operator.New(operator.Options{Token: "secret", Rollout: service, Status: f, Explain: f, Drains: f, Trail: trail,
		Clock: clockwork.NewFakeClockAt(testTime), Logger: zerolog.Nop(), Emit: trail.Record}).Handler())
	cleanup(f.server.Close)
	return f, nil
}

// runCtl implements the script command "ctl EXITCODE ARGUMENT...", which runs the command line in the script's folder.
func runCtl(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	f := ts.Value("fleet").(*fakeFleet)
	arguments := []string{"--operator-url=" + f.server.URL, "--operator-token=" + ts.Getenv("TOKEN"), "--author=" + ts.Getenv("AUTHOR")}
	if ts.Getenv("DEAD_FIRST") != "" {
		arguments = append([]string{"--operator-url=http://127.0.0.1:1"}, arguments...)
	}
	for _, text := range args[1:] {
		if _, err := os.Stat(ts.MkAbs(text)); err == nil {
			text = ts.MkAbs(text)
		}
		arguments = append(arguments, text)
	}
	var out, errOut bytes.Buffer
	app := &App{Out: &out, Err: &errOut}
	if ts.Getenv("MEASURER") != "" {
		app.Measurer = fakeMeasurer{}
	}
	got := app.Run(context.Background(), arguments)
	normalise := strings.NewReplacer(f.server.URL, "http://ADDRESS", strings.TrimPrefix(f.server.URL, "http://"), "ADDRESS")
	_, _ = io.WriteString(ts.Stdout(), normalise.Replace(out.String()))
	_, _ = io.WriteString(ts.Stderr(), normalise.Replace(errOut.String()))
	if got != want || neg {
		ts.Fatalf("exit code %d, want %d\n%s%s", got, want, out.String(), errOut.String())
	}
}

// fakeMeasurer returns a table that contains the requested site and seed; seed 13 fails.
type fakeMeasurer struct{}

func (fakeMeasurer) Measure(_ context.Context, site string, seed uint64) (MeasureTable, error) {
	const failingSeed = 13
	if seed == failingSeed {
		return MeasureTable{}, fault.New(fault.CodeInternal, "measure", "the trace is broken")
	}
	if site == "" {
		site = "all"
	}
	return MeasureTable{
		Columns: []string{"SITE", "TRACE", "MEASURE", "DECISION", "BASELINE"},
		Rows: [][]string{
			{site, "calm", "service p99 (ms)", strconv.FormatUint(seed, 10), "246.0"},
			{site, "noisy-waves", "evictions", "50", "2890"},
		},
	}, nil
}

// runTable implements the script command "table up|down|reply-lost", which sets a fault of the platform's table.
func runTable(ts *testscript.TestScript, _ bool, args []string) {
	faults := map[string]tabletest.Faults{"up": {}, "down": {Down: true}, "reply-lost": {LostReplies: 1}}
	ts.Value("fleet").(*fakeFleet).table.SetFaults(faults[args[0]])
}

// runAudited implements the script command "audited N", which waits until the audit trail holds N events.
func runAudited(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	f := ts.Value("fleet").(*fakeFleet)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		events, err := f.trail.List(context.Background(), audit.Query{})
		ts.Check(err)
		if len(events) == want {
			return
		}
	}
	ts.Fatalf("the audit trail does not contain %d events", want)
}

// runInstances implements the script command "instances NAME=REVISION|lapsed...", which sets the active revisions of
// other instances.
func runInstances(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value("fleet").(*fakeFleet)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = nil
	for _, arg := range args {
		name, text, _ := strings.Cut(arg, "=")
		revision, err := strconv.ParseUint(text, 10, 64)
		f.instances = append(f.instances, rollout.InstanceStatus{ID: api.InstanceID(name), Revision: revision, Expired: err != nil})
	}
}

// Guards against unnoticed changes of output, exit codes or effects in whole operator sessions.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/sessions",
		UpdateScripts: os.Getenv("UPDATE_SESSIONS") != "",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ctl": runCtl, "table": runTable, "instances": runInstances, "audited": runAudited,
		},
		Setup: func(env *testscript.Env) error {
			f, err := startFleet(env.Defer)
			if err != nil {
				return err
			}
			env.Values["fleet"] = f
			env.Setenv("TOKEN", "secret")
			env.Setenv("AUTHOR", "ann")
			if err := os.CopyFS(env.WorkDir+"/first", os.DirFS("../examples/first")); err != nil {
				return err
			}
			// Running the example by hand leaves its base versions in the folder; the sessions must start without one.
			return os.RemoveAll(filepath.Join(env.WorkDir, "first", baseFileName))
		},
	})
}

func TestHelpStatesExitCodesAndAnExample(t *testing.T) {
	for _, c := range (&App{}).subcommands() {
		var out bytes.Buffer
		app := &App{Out: &out, Err: io.Discard}
		if code := app.Run(t.Context(), []string{c.name, "--help"}); code != fault.ExitOK {
			t.Errorf("%s --help exits with %d", c.name, code)
		}
		if text := out.String(); !strings.Contains(text, "Example: bronzehookctl "+c.name) || !strings.Contains(text, "Exit codes: 0 success") {
			t.Errorf("help of %s lacks its example or the exit codes:\n%s", c.name, text)
		}
	}
}

// Guards against a long wait without progress on a terminal, and against control characters in a log file.
func TestProgress(t *testing.T) {
	for _, terminal := range []bool{true, false} {
		clock := clockwork.NewFakeClock()
		out := &syncBuffer{}
		app := &App{Err: out, Terminal: terminal, Clock: clock}
		p := app.startProgress("recording")
		if terminal {
			for _, step := range []time.Duration{progressDelay - time.Millisecond, time.Millisecond} {
				if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
					t.Fatal(err)
				}
				if out.String() != "" {
					t.Errorf("progress before %s: %q", progressDelay, out.String())
				}
				clock.Advance(step)
			}
			if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
		}
		p.stop()
		if shown := strings.Contains(out.String(), "recording, 2s"); shown != terminal || !terminal && out.String() != "" {
			t.Errorf("terminal %v: progress %q", terminal, out.String())
		}
	}
}

type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Guards against waiting for an instance that accepts connections but never responds, while another one could serve the
// request.
func TestUnresponsiveInstanceIsSkipped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var cleanups []func()
	f, err := startFleet(func(c func()) { cleanups = append(cleanups, c) })
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		for _, c := range cleanups {
			c()
		}
	}()
	var out bytes.Buffer
	app := &App{Out: &out, Err: io.Discard, HTTP: &http.Client{}}
	code := app.Run(t.Context(), []string{"--operator-url=http://" + listener.Addr().String(), "--operator-url=" + f.server.URL,
		"--operator-token=secret", "--timeout=200ms", "get"})
	if code != fault.ExitOK || !strings.Contains(out.String(), "revision 0") {
		t.Errorf("exit code %d, output %q", code, out.String())
	}
}

func TestPlan(t *testing.T) {
	baseOf := func(text string) base { return base{Version: 1, Digest: rollout.Digest([]byte(text))} }
	recorded := []operator.FileInfo{{Name: "x.yaml", Version: 2, Digest: rollout.Digest([]byte("theirs"))}}
	cases := []struct {
		name     string
		local    string
		known    bases
		options  planOptions
		base     uint64
		sent     bool
		outdated bool
	}{
		{"an edit made from an older version must keep that version as base", "mine", bases{"x.yaml": baseOf("old")}, planOptions{}, 1, true, false},
		{"a copy that was not edited must not undo another operator's edit", "old", bases{"x.yaml": baseOf("old")}, planOptions{}, 0, false, true},
		{"a new file must conflict with one that another operator added", "mine", bases{}, planOptions{}, 0, true, false},
		{"a folder without base versions takes the recorded version as base", "mine", nil, planOptions{}, 2, true, false},
		{"a rebase takes the recorded version as base", "mine", bases{"x.yaml": baseOf("old")}, planOptions{rebase: true}, 2, true, false},
		{"a file that equals the recorded one must not be sent", "theirs", bases{"x.yaml": baseOf("old")}, planOptions{}, 0, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := makePlan(map[string][]byte{"x.yaml": []byte(tc.local)}, tc.known, recorded, tc.options)
			if sent := len(p.edits) == 1; sent != tc.sent || sent && p.edits[0].BaseVersion != tc.base || (len(p.outdated) == 1) != tc.outdated {
				t.Errorf("plan = %+v", p)
			}
		})
	}
}
