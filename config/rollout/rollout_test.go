package rollout

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/config/rollout/tabletest"
	"bronzehook/fault"
	"bronzehook/kernel"
)

const (
	testPollInterval  = 5 * time.Millisecond
	testRecordTimeout = 300 * time.Millisecond
	testMaxWait       = 5 * time.Second
)

type fakePeers struct {
	mu     sync.Mutex
	bundle Bundle
	down   bool
}

func (p *fakePeers) set(b Bundle, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bundle, p.down = b, down
}

func (p *fakePeers) Fetch(context.Context, uint64) (Bundle, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return Bundle{}, fault.New(fault.CodeUnreachable, "fetch", "no peer")
	}
	return p.bundle, nil
}

type fakeInstances []InstanceStatus

func (f fakeInstances) Instances() []InstanceStatus { return f }

func newService(id string, table backend.Table, peers PeerSource) *Service {
	return New(Options{Self: api.InstanceID(id), Table: table, Peers: peers, Bus: kernel.NewBus(), Logger: zerolog.Nop(),
		PollInterval: testPollInterval, RecordTimeout: testRecordTimeout, TableTimeout: testRecordTimeout / 3})
}

func start(t *testing.T, s *Service) *Service {
	t.Helper()
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return s
}

func team(name string) []byte { return []byte("kind: team\nname: " + name + "\n") }

func edit(file, name string, base uint64) Edit {
	return Edit{File: file, Content: team(name), BaseVersion: base}
}

func change(author string, edits ...Edit) Change { return Change{Author: author, Edits: edits} }

func mustRecord(t *testing.T, s *Service, c Change) uint64 {
	t.Helper()
	revision, err := s.Record(t.Context(), c)
	if err != nil {
		t.Fatalf("record: %v", err)
	}
	return revision
}

func eventually(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testMaxWait); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen within %s", event, testMaxWait)
		}
	}
}

// Guards against a lost update. The second operator must see both edits, and no part of the refused change may be
// recorded.
func TestRaceOnOneFileShowsBothEdits(t *testing.T) {
	table := tabletest.New()
	a, b := start(t, newService("a", table, nil)), start(t, newService("b", table, nil))
	mustRecord(t, a, change("ann", edit("x.yaml", "first", 0)))
	mustRecord(t, a, change("ann", edit("x.yaml", "second", 1)))
	_, err := b.Record(t.Context(), change("bob", edit("x.yaml", "mine", 1), edit("y.yaml", "new", 0)))
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("record: %v, want a ConflictError", err)
	}
	want := []FileConflict{{File: "x.yaml", BaseVersion: 1, Mine: string(team("mine")), Theirs: string(team("second")),
		TheirsVersion: 2, TheirsAuthor: "ann"}}
	if diff := cmp.Diff(want, conflict.Files); diff != "" {
		t.Errorf("conflict (-want +got):\n%s", diff)
	}
	if rows, _ := table.List(t.Context(), FilePrefix); len(rows) != 1 {
		t.Errorf("%d files after a refused change, want 1", len(rows))
	}
}

// Guards against an edit that overwrites a file which was deleted and created again since the base version of the edit.
func TestRecreatedFileConflictsWithItsOldVersion(t *testing.T) {
	s := start(t, newService("a", tabletest.New(), nil))
	mustRecord(t, s, change("ann", edit("x.yaml", "first", 0)))
	mustRecord(t, s, change("ann", Edit{File: "x.yaml", Delete: true, BaseVersion: 1}))
	mustRecord(t, s, change("ann", edit("x.yaml", "other", 0)))
	if _, err := s.Record(t.Context(), change("bob", edit("x.yaml", "mine", 1))); !fault.Is(err, fault.CodeConflict) {
		t.Errorf("record over a recreated file: %v, want a conflict", err)
	}
}

// Guards against refusing changes of different files that are recorded at the same time.
func TestRaceOnDifferentFilesRecordsAll(t *testing.T) {
	table := tabletest.New()
	const operators = 6
	var wait sync.WaitGroup
	failures := make(chan error, operators)
	for i := range operators {
		s := newService(string(rune('a'+i)), table, nil)
		s.options.RecordTimeout = testMaxWait
		start(t, s)
		wait.Go(func() {
			name := string(rune('a' + i))
			_, err := s.Record(context.Background(), change(name, edit(name+".yaml", name, 0)))
			failures <- err
		})
	}
	wait.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			t.Errorf("record: %v", err)
		}
	}
	late := start(t, newService("late", table, nil))
	if got := len(late.Snapshot().Files()); got != operators || late.Snapshot().Revision != operators {
		t.Errorf("%d files at revision %d, want %d", got, late.Snapshot().Revision, operators)
	}
}

// Guards against recording a change twice, or reporting it as failed, when the reply to its write is lost.
func TestLostReplyIsRecognised(t *testing.T) {
	table := tabletest.New()
	s := start(t, newService("a", table, nil))
	table.SetFaults(tabletest.Faults{LostReplies: 1})
	if got := mustRecord(t, s, change("ann", edit("x.yaml", "first", 0))); got != 1 {
		t.Errorf("revision = %d, want 1", got)
	}
	if got := len(table.Log()); got != 1 {
		t.Errorf("%d transactions took effect, want 1", got)
	}
}

// Guards against recording a change twice when an operator repeats it through another instance.
func TestRepetitionThroughAnotherInstance(t *testing.T) {
	table := tabletest.New()
	a, b := start(t, newService("a", table, nil)), start(t, newService("b", table, nil))
	c := Change{Author: "ann", OpID: "op-1", Edits: []Edit{edit("x.yaml", "first", 0)}}
	mustRecord(t, a, c)
	mustRecord(t, a, change("bob", edit("x.yaml", "second", 1)))
	if got := mustRecord(t, b, c); got != 1 {
		t.Errorf("repeated change has revision %d, want its first one, 1", got)
	}
	c.Edits[0].Content = team("other")
	if _, err := b.Record(t.Context(), c); !fault.Is(err, fault.CodeInvalid) {
		t.Errorf("another change under the same operation id: %v, want it refused", err)
	}
}

func TestRecordFailures(t *testing.T) {
	cases := []struct {
		name   string
		faults tabletest.Faults
		change Change
		want   fault.Code
	}{
		{"a change must not be reported as recorded while the table is down", tabletest.Faults{Down: true}, change("ann", edit("x.yaml", "x", 0)), fault.CodeStoreUnavailable},
		{"a slow table must not delay the operator for longer than the limit", tabletest.Faults{Delay: time.Minute}, change("ann", edit("x.yaml", "x", 0)), fault.CodeStoreUnavailable},
		{"an invalid file must be refused before the table is written", tabletest.Faults{}, change("ann", Edit{File: "x.yaml", Content: []byte("kind: none")}), fault.CodeInvalid},
		{"a valid file must not be recorded together with an invalid one", tabletest.Faults{}, change("ann", edit("x.yaml", "x", 0), Edit{File: "y.yaml", Content: []byte("{")}), fault.CodeInvalid},
		{"two edits of one file must be refused, not applied in order", tabletest.Faults{}, change("ann", edit("x.yaml", "x", 0), edit("x.yaml", "y", 0)), fault.CodeInvalid},
		{"a change without an author must not be recorded", tabletest.Faults{}, change("", edit("x.yaml", "x", 0)), fault.CodeInvalid},
		{"deleting a file that somebody else deleted must be a conflict", tabletest.Faults{}, change("ann", Edit{File: "x.yaml", Delete: true, BaseVersion: 3}), fault.CodeConflict},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			table := tabletest.New()
			s := start(t, newService("a", table, nil))
			table.SetFaults(tc.faults)
			begin := time.Now()
			_, err := s.Record(t.Context(), tc.change)
			if !fault.Is(err, tc.want) {
				t.Errorf("record: %v, want %s", err, tc.want)
			}
			if took := time.Since(begin); took > testMaxWait {
				t.Errorf("record took %s", took)
			}
			if len(table.Log()) != 0 || s.Snapshot().Revision != 0 {
				t.Errorf("part of a refused change took effect")
			}
		})
	}
}

// Guards against reporting that nothing was recorded when a write was sent and its reply never arrived.
func TestUncertainRecordIsReported(t *testing.T) {
	table := tabletest.New()
	s := start(t, newService("a", &downAfterCommit{Table: table}, nil))
	table.SetFaults(tabletest.Faults{LostReplies: 1})
	_, err := s.Record(t.Context(), change("ann", edit("x.yaml", "x", 0)))
	if len(table.Log()) != 1 {
		t.Errorf("%d writes took effect, want 1: the test did not reach the lost reply", len(table.Log()))
	}
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) || !unavailable.Uncertain {
		t.Errorf("record: %v, want an uncertain UnavailableError", err)
	}
}

// Guards against a conflict of an operator with their own edit when the change is repeated after config/recent has
// dropped it.
func TestLateRepetition(t *testing.T) {
	s := start(t, newService("a", tabletest.New(), nil))
	c := Change{Author: "ann", OpID: "op-1", Edits: []Edit{edit("x.yaml", "first", 0)}}
	mustRecord(t, s, c)
	for i := range maxRecentRevisions + 1 {
		mustRecord(t, s, change("bob", edit("y.yaml", fmt.Sprintf("y%d", i), s.Snapshot().files["y.yaml"].Version)))
	}
	if got := mustRecord(t, s, c); got != 1 {
		t.Errorf("revision = %d, want 1", got)
	}
}

// downAfterCommit is a table that goes down after its first commit.
type downAfterCommit struct{ *tabletest.Table }

func (d *downAfterCommit) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	defer d.SetFaults(tabletest.Faults{Down: true})
	return d.Table.Commit(ctx, txn)
}

func TestStartWithTableDown(t *testing.T) {
	table := tabletest.New()
	source := start(t, newService("peer", table, nil))
	mustRecord(t, source, change("ann", edit("x.yaml", "first", 0)))
	mustRecord(t, source, change("ann", edit("y.yaml", "second", 0)))
	good, err := source.Bundle()
	if err != nil {
		t.Fatal(err)
	}
	behind, corrupted := good, good
	behind.HighestKnown = good.Revision + 1
	corrupted.Files = append([]File{}, good.Files...)
	corrupted.Files[0].Content = team("changed")
	cases := []struct {
		name   string
		bundle Bundle
		down   bool
		want   uint64
		ready  bool
	}{
		{"an instance must start from its peers while the table is down", good, false, 2, true},
		{"a corrupted bundle must not be activated", corrupted, false, 0, false},
		{"a bundle must not be activated if its sender knows of a later revision", behind, false, 0, false},
		{"an instance without a configuration must not become ready", Bundle{}, true, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			down := tabletest.New()
			down.SetFaults(tabletest.Faults{Down: true})
			peers := &fakePeers{bundle: tc.bundle, down: tc.down}
			s := start(t, newService("new", down, peers))
			if got := s.Snapshot().Revision; got != tc.want || (s.Ready() == nil) != tc.ready {
				t.Errorf("revision %d, ready: %v, want %d, %v", got, s.Ready(), tc.want, tc.ready)
			}
		})
	}
}

// Guards against activating an older revision of a peer, and against ignoring a newer one, while the table is down.
func TestPeersWhileTableIsDown(t *testing.T) {
	table, peers := tabletest.New(), &fakePeers{down: true}
	source := start(t, newService("peer", table, nil))
	s := start(t, newService("a", table, peers))
	mustRecord(t, source, change("ann", edit("x.yaml", "first", 0)))
	older, _ := source.Bundle()
	mustRecord(t, source, change("ann", edit("x.yaml", "second", 1)))
	newer, _ := source.Bundle()
	eventually(t, "revision 2", func() bool { return s.Snapshot().Revision == 2 })
	table.SetFaults(tabletest.Faults{Down: true})
	peers.set(older, false)
	s.Notify(3)
	time.Sleep(10 * testPollInterval)
	if got := s.Snapshot().Revision; got != 2 {
		t.Errorf("revision = %d after an older bundle, want 2", got)
	}
	files := append([]File{}, newer.Files...)
	files[0].Version, files[0].Content = 3, team("third")
	peers.set(Bundle{Revision: 3, HighestKnown: 3, Files: files, Digest: digestFiles(files)}, false)
	eventually(t, "revision 3", func() bool { return s.Snapshot().Revision == 3 })
}
