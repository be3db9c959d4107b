package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bronzehook/jobs"
	"bronzehook/platform"
	"bronzehook/platform/platformtest"
	"bronzehook/store"
)

// registration returns a valid registration with one field replaced by JSON.
func registration(field, value string) []byte {
	fields := map[string]json.RawMessage{
		"service": json.RawMessage(`"svc"`), "address": json.RawMessage(`"127.0.0.1:9"`), "state": json.RawMessage(`"ready"`),
		"born": json.RawMessage("1700000000000"), "capacity": json.RawMessage(`{"cpu":32000,"mem_mb":64000}`), "labels": json.RawMessage(`["a","r1"]`),
	}
	fields[field] = json.RawMessage(value)
	encoded, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Guards against one entry of another writer in the list of workers that ends the process, or keeps it from following the
// list. Other operators have reported both.
func TestListOfWorkersIsFollowedBesideInvalidEntries(t *testing.T) {
	const huge = "9223372036854775807"
	entries := map[string][]byte{
		"nested deeply":          []byte(strings.Repeat(`{"a":`, 9_000) + "1" + strings.Repeat("}", 9_000)),
		"nested without an end":  []byte(strings.Repeat("[", 60_000)),
		"labels nested deeply":   registration("labels", strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000)),
		"not base64":             []byte(platformtest.NotBase64),
		"no JSON":                {0xff, 0x00, '{'},
		"number beyond integers": registration("capacity", `{"cpu":1e300,"mem_mb":1}`),
		"largest integer":        registration("capacity", `{"cpu":`+huge+`,"mem_mb":`+huge+`}`),
		"negative capacity":      registration("capacity", `{"cpu":-5,"mem_mb":1}`),
		"time beyond integers":   registration("born", huge),
		"remaining time":         registration("remaining_ms", "1e300"),
		"port out of range":      registration("address", `"127.0.0.1:99999"`),
		"port 0":                 registration("address", `"127.0.0.1:0"`),
		"no address":             registration("address", `"%%%"`),
		"address of no host":     registration("address", `"0.0.0.0:80"`),
		"other service":          registration("service", `"unheard-of"`),
		"other state":            registration("state", `"asleep"`),
	}
	s := newSite(t)
	n := 0
	put := func(value []byte) {
		n++
		s.store.PutBytes(platform.WorkersTable, fmt.Sprintf("odd-%02d", n), value)
	}
	half := 0
	for _, value := range entries {
		if half++; half%2 == 0 {
			put(value)
		}
	}
	s.startInstance()
	s.runJob()
	for _, value := range entries {
		put(value)
	}
	s.runJob()
	// The list is still followed: work moves to a new worker once the others are gone.
	old := s.fleet.Workers()
	added := s.addWorker()
	for _, w := range old {
		w.Deregister()
	}
	// The list is read every 250 ms.
	time.Sleep(time.Second)
	s.runJob()
	for _, start := range s.fleet.Starts() {
		if strings.HasPrefix(start.Task, jobID(s.jobs)) && start.Worker != added.ID {
			t.Errorf("task %s started on %s, which is not listed any more", start.Task, start.Worker)
		}
	}
	s.checkNoPanic()
}

// Guards against a submission whose numbers overflow sums, and so ends each leader in turn once it is accepted.
func TestImpossibleSubmissionIsRejected(t *testing.T) {
	s := newSite(t)
	s.startInstance()
	for name, body := range map[string]string{
		"counts whose sum overflows":   `{"spec":"x","steps":[{"count":9223372036854775807},{"count":9223372036854775807}]}`,
		"resources that overflow":      `{"spec":"x","steps":[{"count":4,"cpu":9223372036854775807}]}`,
		"duration that overflows":      `{"spec":"x","steps":[{"count":1,"estimated_ms":1e300}]}`,
		"due times that overflow":      `{"spec":"x","steps":[{"count":1}],"repeat_count":3,"first_run_ms":9223372036854775807,"interval_ms":1e15}`,
		"too many tasks at due times":  `{"spec":"x","steps":[{"count":10000}],"repeat_count":1000,"interval_ms":0}`,
		"dependency on itself":         `{"spec":"x","steps":[{"count":1,"after":[0]}]}`,
		"steps nested deeply":          `{"spec":"x","steps":` + strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000) + `}`,
		"negative limit for each node": `{"spec":"x","steps":[{"count":1,"anti_affinity":-1}]}`,
	} {
		if status := s.call(http.MethodPost, "00000000000000ff", []byte(body)); status != http.StatusBadRequest {
			t.Errorf("%s: status %d", name, status)
		}
	}
	s.runJob()
	s.checkNoPanic()
}

// Guards against rows of jobs that another writer has spoilt and that end each leader as it reads them. Jobs whose progress
// cannot be read must not start: their tasks may have run.
func TestSpoiltRowsOfJobsAreSetAside(t *testing.T) {
	s := newSite(t)
	spec := func(id string, steps ...jobs.Step) []byte {
		return jobs.Encode(&jobs.Spec{ID: jobs.ID(id), Queue: "q", Steps: steps, QueuePolicy: jobs.QueuePolicy{Service: "svc", MaxAttempts: 3}})
	}
	one := jobs.Step{Count: 2, Resources: jobs.Resources{CPU: 100, MemoryMB: 1}}
	overflowing := jobs.Step{Count: 1 << 62}
	rows := map[string]struct{ spec, progress []byte }{
		"aaaaaaaaaaaaaaa0": {spec: []byte("?")},
		"aaaaaaaaaaaaaaa1": {spec: spec("aaaaaaaaaaaaaaa1", overflowing, overflowing)},
		"aaaaaaaaaaaaaaa2": {spec: spec("someone-else", one)},
		"aaaaaaaaaaaaaaa3": {spec: spec("aaaaaaaaaaaaaaa3", jobs.Step{Count: 1, After: []int{7}})},
		"aaaaaaaaaaaaaaa4": {spec("aaaaaaaaaaaaaaa4", one), []byte("?")},
		"aaaaaaaaaaaaaaa5": {spec("aaaaaaaaaaaaaaa5", one), jobs.Encode(&jobs.Record{Tasks: []jobs.TaskRecord{{Index: -1, Attempt: 1}}})},
		"aaaaaaaaaaaaaaa6": {spec("aaaaaaaaaaaaaaa6", one), jobs.Encode(&jobs.Record{Tasks: []jobs.TaskRecord{{Done: true}, {Done: true}}})},
		"aaaaaaaaaaaaaaa7": {spec("aaaaaaaaaaaaaaa7", one), bytes.Repeat([]byte{0x81}, 30_000)},
		"aaaaaaaaaaaaaaa8": {spec("aaaaaaaaaaaaaaa8", one), mustCBOR(t, []any{[]any{[]any{0, 0, 0, false, 0, 1 << 62, 0, "", 0, ""}}})},
	}
	table := platform.NewStore(s.storeAddr)
	for id, row := range rows {
		state := jobs.PublicState{State: jobs.StateQueued, Queue: "q"}
		txn := store.Txn{Puts: []store.Put{{Key: store.StateKey(id), Value: jobs.Encode(&state)}, {Key: store.JobKey(id), Value: row.spec}}}
		if _, err := table.Commit(t.Context(), txn); err != nil {
			t.Fatal(err)
		}
		if row.progress == nil {
			continue
		}
		if _, err := table.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: store.ProgressKey(id), Value: row.progress}}}); err != nil {
			t.Fatal(err)
		}
	}
	s.startInstance()
	s.runJob()
	for _, start := range s.fleet.Starts() {
		if strings.HasPrefix(start.Task, "aaaa") {
			t.Errorf("task %s of a spoilt job started", start.Task)
		}
	}
	if status := s.call(http.MethodDelete, "aaaaaaaaaaaaaaa4", nil); status != http.StatusOK {
		t.Errorf("a job that is set aside cannot be cancelled: status %d", status)
	}
	s.checkNoPanic()
}

func mustCBOR(t *testing.T, value any) []byte {
	t.Helper()
	encoded, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}
