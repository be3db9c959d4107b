package fake_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"bronzehook/backend"
	"bronzehook/backend/fake"
	"bronzehook/backend/httpbackend"
	"bronzehook/fault"
)

const tableKeys = 2

// tableState is the state of the sequential model of the table: the version and the value of each row. Version 0 means
// that the row is absent.
type tableState struct {
	versions [tableKeys]uint64
	values   [tableKeys]string
	commits  uint64
}

// tableInput is a read of the row key, or a commit that sets all rows to value if they have the given versions.
type tableInput struct {
	commit   bool
	key      int
	versions [tableKeys]uint64
	value    string
}

type tableOutput struct {
	version  uint64
	value    string
	conflict bool
}

var tableModel = porcupine.Model{
	Init: func() any { return tableState{} },
	Step: func(s, in, out any) (bool, any) {
		return stepTable(s.(tableState), in.(tableInput), out.(tableOutput))
	},
}

func stepTable(s tableState, in tableInput, out tableOutput) (bool, any) {
	if !in.commit {
		return out.version == s.versions[in.key] && out.value == s.values[in.key], s
	}
	if in.versions != s.versions {
		return out.conflict, s
	}
	s.commits++
	for key := range tableKeys {
		s.versions[key], s.values[key] = s.commits, in.value
	}
	return !out.conflict && out.version == s.commits, s
}

// recorder records the operations of concurrent clients.
type recorder struct {
	mu         sync.Mutex
	started    time.Time
	operations []porcupine.Operation
}

func (r *recorder) do(client int, in tableInput, call func() tableOutput) tableOutput {
	start := time.Since(r.started).Nanoseconds()
	out := call()
	end := time.Since(r.started).Nanoseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: start, Output: out, Return: end,
	})
	return out
}

// tableClient reads and commits through the HTTP client of the table and repeats operations whose reply was lost.
type tableClient struct {
	id       int
	table    backend.Table
	recorder *recorder
	// operation returns the operation id for a try of a commit.
	operation func(commit, try int) string
	failures  *failures
}

type failures struct {
	mu   sync.Mutex
	seen []error
}

func (f *failures) add(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = append(f.seen, err)
}

func (c *tableClient) get(key int) tableOutput {
	return c.recorder.do(c.id, tableInput{key: key}, func() tableOutput {
		row, err := c.table.Get(context.Background(), fmt.Sprintf("k%d", key))
		if err != nil && !fault.Is(err, fault.CodeNotFound) {
			c.failures.add(err)
		}
		return tableOutput{version: row.Version, value: string(row.Value)}
	})
}

func (c *tableClient) commit(number int, versions [tableKeys]uint64) {
	in := tableInput{commit: true, versions: versions, value: fmt.Sprintf("%d-%d", c.id, number)}
	c.recorder.do(c.id, in, func() tableOutput {
		for try := 0; ; try++ {
			result, err := c.table.Commit(context.Background(), in.txn(c.operation(number, try)))
			if fault.Is(err, fault.CodeStoreUnavailable) {
				continue
			}
			if err != nil && !fault.Is(err, fault.CodeConflict) {
				c.failures.add(err)
			}
			return tableOutput{version: result.Versions["k0"], conflict: err != nil}
		}
	})
}

func (in tableInput) txn(operation string) backend.Txn {
	txn := backend.Txn{OpID: operation}
	for key, version := range in.versions {
		name := fmt.Sprintf("k%d", key)
		txn.Conditions = append(txn.Conditions, backend.Condition{Key: name, Version: version})
		txn.Writes = append(txn.Writes, backend.Write{Key: name, Value: []byte(in.value)})
	}
	return txn
}

func (c *tableClient) run(operations int, random *rand.Rand) {
	for number := range operations {
		var versions [tableKeys]uint64
		for key := range tableKeys {
			versions[key] = c.get(key).version
		}
		if random.IntN(4) > 0 {
			c.commit(number, versions)
		}
	}
}

// runTable runs concurrent clients on a table that loses replies, and returns their operations and unexpected errors.
func runTable(
	seed uint64, clients int, operation func(client, commit, try int) string,
) ([]porcupine.Operation, []error) {
	p := fake.NewPlatform(clockwork.NewRealClock())
	p.SetTableFaults(fake.StoreFaults{LoseProbability: 0.4, Seed: seed})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	seen := &recorder{started: time.Now()}
	failed := &failures{}
	var group sync.WaitGroup
	for id := range clients {
		c := &tableClient{
			id: id, recorder: seen, failures: failed,
			table:     httpbackend.New(server.URL, nil, callTimeout).Table(),
			operation: func(commit, try int) string { return operation(id, commit, try) },
		}
		group.Go(func() { c.run(10, rand.New(rand.NewPCG(seed, uint64(id)))) })
	}
	group.Wait()
	return seen.operations, failed.seen
}

// Guards against a table that is not linearizable through the HTTP client: an operation that is repeated with the same
// operation id after a lost reply must take effect once, and a transaction on two rows must be atomic.
func TestTableIsLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		clients := rapid.IntRange(2, 5).Draw(t, "clients")
		operations, failed := runTable(seed, clients, func(client, commit, _ int) string {
			return fmt.Sprintf("%d-%d", client, commit)
		})
		if len(failed) > 0 {
			t.Fatalf("failures: %v", failed)
		}
		if result := porcupine.CheckOperationsTimeout(tableModel, operations, time.Minute); result != porcupine.Ok {
			t.Fatalf("%d operations of %d clients: %s", len(operations), clients, result)
		}
	})
}

// Guards against a linearizability check that cannot fail. With a new operation id for each try, a write that took
// effect is reported as a conflict, so that the history is not linearizable.
func TestFreshOperationIDsAreDetected(t *testing.T) {
	operations, _ := runTable(1, 4, func(client, commit, try int) string {
		return fmt.Sprintf("%d-%d-%d", client, commit, try)
	})
	if porcupine.CheckOperations(tableModel, operations) {
		t.Error("a history with a repeated write passed the check")
	}
}

// Guards against partial transactions, versions that repeat after a deletion, and a repeated operation that takes effect
// again or returns another result than the first time.
func TestTransactions(t *testing.T) {
	ctx := context.Background()
	table := fake.NewPlatform(clockwork.NewFakeClock()).Table()
	set := func(operation, key string, version uint64) (backend.CommitResult, error) {
		return table.Commit(ctx, backend.Txn{
			OpID:       operation,
			Conditions: []backend.Condition{{Key: "a", Version: version}},
			Writes:     []backend.Write{{Key: key, Value: []byte(operation)}},
		})
	}
	first, err := set("first", "a", 0)
	wantCode(t, err, "")
	_, err = set("absent", "b", 0)
	wantCode(t, err, fault.CodeConflict)
	_, err = set("", "b", first.Versions["a"])
	wantCode(t, err, fault.CodeInvalid)
	_, err = table.Commit(ctx, backend.Txn{OpID: "delete", Writes: []backend.Write{{Key: "a", Delete: true}}})
	wantCode(t, err, "")
	again, err := set("first", "a", 0)
	if diff := cmp.Diff(first, again); diff != "" || err != nil {
		t.Errorf("repeated operation: %v (-first +again):\n%s", err, diff)
	}
	_, err = table.Get(ctx, "a")
	wantCode(t, err, fault.CodeNotFound)
	second, err := set("second", "a", 0)
	if err != nil || second.Versions["a"] <= first.Versions["a"] {
		t.Errorf("version went from %v to %v: %v", first, second, err)
	}
	_, err = set("prefix", "aa", second.Versions["a"])
	wantCode(t, err, "")
	rows, err := table.List(ctx, "a")
	keys := make([]string, 0, len(rows))
	for _, row := range rows {
		keys = append(keys, row.Key+"="+row.OpID)
	}
	if got := strings.Join(keys, " "); got != "a=second aa=prefix" || err != nil {
		t.Errorf("rows = %s, %v", got, err)
	}
}
