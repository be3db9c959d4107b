package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"bronzehook/backend"
	"bronzehook/config/rollout/tabletest"
	"bronzehook/fault"
)

// checker checks invariants of the revisions. It observes only the active configurations and the committed transactions.
type checker struct {
	seen    map[string]uint64
	digests map[uint64]string
	logged  int
}

func (c *checker) observe(t *rapid.T, id string, s *Service) {
	if s.Ready() != nil {
		return
	}
	snapshot := s.Snapshot()
	if snapshot.Revision < c.seen[id] {
		t.Fatalf("%s went from revision %d to %d", id, c.seen[id], snapshot.Revision)
	}
	c.seen[id] = snapshot.Revision
	c.content(t, snapshot.Revision, digestFiles(snapshot.Files()))
}

func (c *checker) content(t *rapid.T, revision uint64, digest string) {
	if earlier, known := c.digests[revision]; known && earlier != digest {
		t.Fatalf("revision %d has two contents, %s and %s", revision, earlier, digest)
	}
	c.digests[revision] = digest
}

// observeTable replays the transactions committed since the last call and checks their revisions and digests.
func (c *checker) observeTable(t *rapid.T, log []backend.Txn, files map[string]File) {
	for _, txn := range log[c.logged:] {
		var head Head
		for _, w := range txn.Writes {
			row := backend.Row{Key: w.Key, Value: w.Value, Version: 1}
			switch {
			case w.Key == KeyHead:
				if err := decode(row, &head); err != nil {
					t.Fatal(err)
				}
			case w.Delete:
				row.Version = 0
				fallthrough
			case w.Key != KeyRecent:
				if _, err := applyRows(files, []backend.Row{row}); err != nil {
					t.Fatal(err)
				}
			}
		}
		c.logged++
		if head.Revision != uint64(c.logged) {
			t.Fatalf("transaction %d recorded revision %d", c.logged, head.Revision)
		}
		all := []File{}
		for _, f := range files {
			all = append(all, f)
		}
		c.content(t, head.Revision, digestFiles(all))
	}
}

// bestPeer fetches from the other instance with the highest revision.
type bestPeer struct {
	fleet *[]*Service
	self  int
}

func (p bestPeer) Fetch(context.Context, uint64) (Bundle, error) {
	best, err := Bundle{}, fault.New(fault.CodeUnreachable, "fetch", "no peer is ready")
	for i, s := range *p.fleet {
		if b, failure := s.Bundle(); failure == nil && i != p.self && (err != nil || b.Revision > best.Revision) {
			best, err = b, nil
		}
	}
	return best, err
}

// Guards against an active revision that decreases, and against one revision with two contents, under random outages of
// the table, lost replies, restarts and conflicting changes.
func TestRandomSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 3
		ctx := context.Background()
		table, files := tabletest.New(), map[string]File{}
		check := &checker{seen: map[string]uint64{}, digests: map[uint64]string{}}
		fleet := make([]*Service, size)
		restart := func(i int) {
			fleet[i] = newService(fmt.Sprint(i), table, bestPeer{&fleet, i})
			fleet[i].options.RecordTimeout = 5 * time.Millisecond
			fleet[i].refresh(ctx)
		}
		for i := range fleet {
			fleet[i] = newService(fmt.Sprint(i), table, nil)
		}
		for i := range fleet {
			restart(i)
		}
		instance := rapid.IntRange(0, size-1)
		after := func() {
			for i, s := range fleet {
				check.observe(t, fmt.Sprint(i), s)
				for _, peer := range fleet {
					peer.Notify(s.Snapshot().Revision)
				}
			}
			check.observeTable(t, table.Log(), files)
		}
		record := func(t *rapid.T) {
			name := rapid.SampledFrom([]string{"x.yaml", "y.yaml", "z.yaml"}).Draw(t, "file")
			s := fleet[instance.Draw(t, "instance")]
			base, _ := s.Snapshot().File(name)
			e := Edit{File: name, Content: team(fmt.Sprintf("t%d", rapid.IntRange(0, 1000).Draw(t, "content"))), BaseVersion: base.Version}
			e.Delete = rapid.IntRange(0, 4).Draw(t, "delete") == 0
			_, err := s.Record(ctx, change("ann", e))
			if err != nil && !fault.Is(err, fault.CodeConflict) && !fault.Is(err, fault.CodeStoreUnavailable) && !fault.Is(err, fault.CodeInvalid) {
				t.Fatalf("record: %v", err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { after() },
			"record":  record,
			"record2": record,
			"poll":    func(t *rapid.T) { fleet[instance.Draw(t, "instance")].refresh(ctx) },
			"restart": func(t *rapid.T) { restart(instance.Draw(t, "instance")) },
			"faults": func(t *rapid.T) {
				table.SetFaults(tabletest.Faults{Down: rapid.Bool().Draw(t, "down"), LostReplies: rapid.IntRange(0, 1).Draw(t, "lost")})
			},
		})
	})
}

type fileOp struct {
	file    string
	record  bool
	base    uint64
	content string
}

type fileResult struct {
	outcome string
	version uint64
	content string
}

type fileState struct {
	version uint64
	content string
}

// fileModel models each file as a compare-and-set register. The versions of a file have gaps, because all files share one
// sequence of revisions.
var fileModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byFile := map[string][]porcupine.Operation{}
		for _, op := range history {
			file := op.Input.(fileOp).file
			byFile[file] = append(byFile[file], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byFile {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return fileState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(fileState), input.(fileOp), output.(fileResult)
		switch {
		case !in.record && out.version == s.version && out.content == s.content:
			return true, s
		case out.outcome == "recorded" && in.base == s.version && out.version > s.version:
			return true, fileState{out.version, in.content}
		case out.outcome == "conflict" && in.base != s.version && out.version == s.version && out.content == s.content:
			return true, s
		}
		return false, s
	},
}

// Guards against stale reads and lost edits when operators use different instances and replies are lost.
func TestRecordAndReadAreLinearizable(t *testing.T) {
	table := tabletest.New()
	const instances, clients, operations = 3, 6, 25
	var fleet []*Service
	for i := range instances {
		s := newService(fmt.Sprint(i), table, nil)
		s.options.RecordTimeout, s.table.timeout = testMaxWait, testMaxWait
		fleet = append(fleet, start(t, s))
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	var wait sync.WaitGroup
	begin := time.Now()
	for client := range clients {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(client)))
			versions := map[string]uint64{}
			for n := range operations {
				op := fileOp{file: fmt.Sprintf("f%d.yaml", random.IntN(2)), record: random.IntN(2) == 0}
				op.base, op.content = versions[op.file], string(team(fmt.Sprintf("c%d-%d", client, n)))
				if random.IntN(5) == 0 {
					table.SetFaults(tabletest.Faults{LostReplies: 1, Delay: time.Millisecond})
				}
				call := time.Since(begin)
				out := runFileOp(t, fleet[random.IntN(instances)], op)
				versions[op.file] = out.version
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: op, Call: int64(call), Output: out, Return: int64(time.Since(begin))})
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	if result := porcupine.CheckOperationsTimeout(fileModel, history, time.Minute); result != porcupine.Ok {
		t.Errorf("history of %d operations is not linearizable: %s", len(history), result)
	}
}

// runFileOp executes one operation. Its outcome is always known, because the table stays reachable and Record retries
// until a reply arrives.
func runFileOp(t *testing.T, s *Service, op fileOp) fileResult {
	if !op.record {
		latest, err := s.Latest(context.Background())
		if err != nil {
			t.Errorf("latest: %v", err)
			return fileResult{}
		}
		f, _ := latest.File(op.file)
		return fileResult{outcome: "read", version: f.Version, content: string(f.Content)}
	}
	revision, err := s.Record(context.Background(), change("ann", Edit{File: op.file, Content: []byte(op.content), BaseVersion: op.base}))
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return fileResult{outcome: "conflict", version: conflict.Files[0].TheirsVersion, content: conflict.Files[0].Theirs}
	}
	if err != nil {
		t.Errorf("record: %v", err)
	}
	return fileResult{outcome: "recorded", version: revision}
}
