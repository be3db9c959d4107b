package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/audit"
	"bronzehook/config/rollout"
	"bronzehook/config/rollout/tabletest"
	"bronzehook/fault"
	"bronzehook/kernel"
)

const (
	token    = "secret"
	teamFile = "kind: team\nname: web\n"
)

type fakeDependencies struct {
	drains []Drain
	events []audit.Event
	ready  error
}

func (f *fakeDependencies) Status(context.Context) (Status, error) { return Status{Instance: "a"}, nil }
func (f *fakeDependencies) Explain(_ context.Context, work string) (Explanation, error) {
	return Explanation{}, fault.New(fault.CodeNotFound, "explain", "%s is unknown", work)
}
func (f *fakeDependencies) Drain(_ context.Context, d Drain) error {
	f.drains = append(f.drains, d)
	return nil
}
func (f *fakeDependencies) Undrain(context.Context, api.WorkerID) error {
	return &rollout.UnavailableError{OpID: "op", Cause: io.EOF}
}
func (f *fakeDependencies) List(context.Context, audit.Query) ([]audit.Event, error) {
	return f.events, nil
}

type harness struct {
	fakes   *fakeDependencies
	table   *tabletest.Table
	handler http.Handler
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{fakes: &fakeDependencies{}, table: tabletest.New()}
	service := rollout.New(rollout.Options{Self: "a", Table: h.table, Bus: kernel.NewBus(), Logger: zerolog.Nop(), RecordTimeout: 50 * time.Millisecond})
	if err := service.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = service.Stop(context.Background()) })
	h.handler = New(Options{Token: token, Rollout: service, Status: h.fakes, Explain: h.fakes, Drains: h.fakes, Trail: h.fakes,
		Metrics: http.NotFoundHandler(), Clock: clockwork.NewFakeClockAt(time.Unix(0, 0).UTC()), Logger: zerolog.Nop(),
		Ready: func() error { return h.fakes.ready },
		Emit:  func(e audit.Event) { h.fakes.events = append(h.fakes.events, e) }}).Handler()
	return h
}

func (h *harness) call(method, path, bearer, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+bearer)
	response := httptest.NewRecorder()
	h.handler.ServeHTTP(response, request)
	return response
}

func applyBody(t *testing.T, author string, edits ...FileEdit) string {
	t.Helper()
	data, err := json.Marshal(ApplyRequest{Edits: edits, Author: author})
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against invalid or unauthenticated requests that are accepted, or rejected with the wrong status or fault code.
func TestRejectedRequests(t *testing.T) {
	cases := []struct {
		name, method, path, bearer, body string
		status                           int
		code                             fault.Code
	}{
		{"files cannot be read without the token", "GET", "/v1/files", "", "", 401, fault.CodeUnauthenticated},
		{"a token with a valid prefix is rejected", "GET", "/v1/status", token + "x", "", 401, fault.CodeUnauthenticated},
		{"metrics contain workload names and require the token", "GET", "/metrics", "", "", 401, fault.CodeUnauthenticated},
		{"a body that is not JSON", "POST", "/v1/apply", token, "{", 400, fault.CodeInvalid},
		{"a misspelt field is not ignored", "POST", "/v1/apply", token, `{"edits":[{"file":"a.yaml","content":"kind: team\nname: web\n"}],"author":"ann","opID2":"x"}`, 400, fault.CodeInvalid},
		{"an apply without edits", "POST", "/v1/apply", token, `{"edits":[],"author":"ann"}`, 400, fault.CodeInvalid},
		{"a body above the size limit", "POST", "/v1/validate", token, `{"edits":[{"file":"` + strings.Repeat("x", MaxBodyBytes) + `"}]}`, 413, fault.CodeTooLarge},
		{"an unknown file", "GET", "/v1/files/none.yaml", token, "", 404, fault.CodeNotFound},
		{"an unknown workload", "GET", "/v1/explain/none", token, "", 404, fault.CodeNotFound},
		{"an unknown path", "GET", "/v2/files", token, "", 404, fault.CodeNotFound},
		{"a revision that is not a number", "GET", "/v1/revision/x", token, "", 400, fault.CodeInvalid},
		{"a drain without a duration", "POST", "/v1/drain", token, `{"worker":"w1","author":"ann","seconds":0}`, 400, fault.CodeInvalid},
		{"a drain whose duration overflows", "POST", "/v1/drain", token, `{"worker":"w1","author":"ann","seconds":18446744074}`, 400, fault.CodeInvalid},
		{"an undrain while the table is unavailable", "POST", "/v1/undrain", token, `{"worker":"w1","author":"ann"}`, 503, fault.CodeStoreUnavailable},
		{"an audit limit above the maximum", "GET", "/v1/audit?limit=1000000", token, "", 400, fault.CodeInvalid},
	}
	h := newHarness(t)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			response := h.call(tc.method, tc.path, tc.bearer, tc.body)
			var got ErrorResponse
			if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
				t.Fatalf("response is not JSON: %v", err)
			}
			if response.Code != tc.status || got.Code != tc.code || got.Message == "" {
				t.Errorf("status %d, %+v; want %d, %s", response.Code, got, tc.status, tc.code)
			}
		})
	}
}

// Guards against an apply whose result is not returned by the files request or not recorded in the audit log, and
// against a conflict response that lacks one of the two conflicting edits.
func TestApplyAndConflict(t *testing.T) {
	h := newHarness(t)
	if response := h.call("POST", "/v1/apply", token, applyBody(t, "ann", FileEdit{File: "a.yaml", Content: teamFile})); response.Code != 200 {
		t.Fatalf("apply: %d %s", response.Code, response.Body)
	}
	file := h.call("GET", "/v1/files/a.yaml", token, "").Body.String()
	if !strings.Contains(file, `"version":1,"author":"ann"`) || !strings.Contains(file, `"confirmed":true`) {
		t.Errorf("file = %s", file)
	}
	response := h.call("POST", "/v1/apply", token, applyBody(t, "bob", FileEdit{File: "a.yaml", Content: teamFile + "cpu: 3\n"}))
	var got ErrorResponse
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	want := &Details{Conflicts: []rollout.FileConflict{{File: "a.yaml", Mine: teamFile + "cpu: 3\n", Theirs: teamFile, TheirsVersion: 1, TheirsAuthor: "ann"}}}
	if diff := cmp.Diff(want, got.Details); diff != "" || response.Code != 409 {
		t.Errorf("status %d, details (-want +got):\n%s", response.Code, diff)
	}
	results := []string{}
	for _, e := range h.fakes.events {
		results = append(results, e.Actor+" "+e.Action+" "+e.Subject+" "+e.From+">"+e.To+" "+e.Result)
	}
	if diff := cmp.Diff([]string{"ann apply a.yaml 0>1 ok", "bob apply a.yaml 1> conflict"}, results); diff != "" {
		t.Errorf("audit (-want +got):\n%s", diff)
	}
}

// Guards against files that are reported as confirmed, and an apply that reports success, while the table is down.
func TestTableDown(t *testing.T) {
	h := newHarness(t)
	h.call("POST", "/v1/apply", token, applyBody(t, "ann", FileEdit{File: "a.yaml", Content: teamFile}))
	h.table.SetFaults(tabletest.Faults{Down: true})
	if body := h.call("GET", "/v1/files", token, "").Body.String(); !strings.Contains(body, `"confirmed":false`) || !strings.Contains(body, "a.yaml") {
		t.Errorf("files = %s", body)
	}
	if response := h.call("POST", "/v1/apply", token, applyBody(t, "ann", FileEdit{File: "b.yaml", Content: "kind: team\nname: b\n"})); response.Code != 503 {
		t.Errorf("apply: %d %s", response.Code, response.Body)
	}
}

// Guards against a validate or diff request that records its edits, and against a whole folder that is merged with the
// recorded files instead of replacing them.
func TestValidateAndDiffRecordNothing(t *testing.T) {
	h := newHarness(t)
	h.call("POST", "/v1/apply", token, applyBody(t, "ann", FileEdit{File: "a.yaml", Content: teamFile}))
	if body := h.call("POST", "/v1/diff", token, `{"edits":[{"file":"b.yaml","content":"kind: team\nname: b\n"}],"whole":true}`).Body.String(); !strings.Contains(body, `"removed"`) || !strings.Contains(body, `"added"`) {
		t.Errorf("diff = %s", body)
	}
	if body := h.call("POST", "/v1/validate", token, `{"edits":[{"file":"b.yaml","content":"kind: none\nname: b\n"}]}`).Body.String(); !strings.Contains(body, `"line":1,"column":7`) {
		t.Errorf("validate = %s", body)
	}
	if got := len(h.table.Log()); got != 1 {
		t.Errorf("%d transactions, want 1", got)
	}
}

// Guards against health checks that require the token, and against a stopping instance that still reports ready.
func TestReadiness(t *testing.T) {
	h := newHarness(t)
	if got := h.call("GET", "/readyz", "", "").Code; got != 200 {
		t.Errorf("ready: %d", got)
	}
	h.fakes.ready = fault.New(fault.CodeStopping, "ready", "stopping")
	if got := h.call("GET", "/readyz", "", "").Code; got != 503 {
		t.Errorf("stopping: %d", got)
	}
	if got := h.call("GET", "/livez", "", "").Code; got != 200 {
		t.Errorf("live: %d", got)
	}
}
