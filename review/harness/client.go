package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Route is a queue of the manifest.
type Route struct {
	Name        string
	MaxAttempts int
	Priority    int
	// Advised gives the queue advice.
	Advised bool
}

// Host is the host of all routes.
const Host = "desk.example"

// deadline is the time limit of the requesters of the sites.
const deadline = 3 * time.Second

// Prefix returns the path prefix of a route.
func (r Route) Prefix() string { return "/" + r.Name + "/" }

// PutManifest stores a version of the manifest, as the operator does.
func (l *Lab) PutManifest(version int, routes ...Route) {
	rows := []any{}
	for _, r := range routes {
		row := map[string]any{
			"name": r.Name, "host": Host, "path_prefix": r.Prefix(), "kind": "unsafe", "service": serverPool, "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": r.Priority, "max_attempts": r.MaxAttempts, "stretch": 2.0,
		}
		if r.Advised {
			row["advice"] = map[string]int{"decide_ms": decideMS, "each_ms": eachMS, "valid_ms": validMS}
		}
		rows = append(rows, row)
	}
	l.Store.Put("op", "config", map[string]any{
		"version": version, "routes": rows, "services": []any{map[string]any{"name": serverPool, "admission_check": false}},
		"limits": map[string]any{"max_body_bytes": 262144},
	})
	l.Note("manifest version %d is confirmed, %d routes", version, len(routes))
}

// Step is a step of a job, with the names of the wire.
type Step map[string]any

// Job returns the body of a submission.
func Job(steps ...Step) map[string]any {
	return map[string]any{"spec": "review", "steps": steps}
}

// call sends one request on a connection of its own and notes both the request and its answer. The status is 0 if no answer
// came within the time limit.
func (l *Lab) call(i *Instance, method, path string, body any) (int, []byte) {
	l.Note("%s %s at %s", method, path, i.Name)
	status, content := send(i, method, path, body)
	l.Note("%s %s at %s: %d %s", method, path, i.Name, status, bytes.TrimSpace(content))
	return status, content
}

func send(i *Instance, method, path string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.Front+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil
	}
	request.Host, request.Close = Host, true
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

// Submit hands a job in at one instance and returns the status of the answer.
func (l *Lab) Submit(i *Instance, route Route, id string, job map[string]any) int {
	status, _ := l.call(i, http.MethodPost, route.Prefix()+id, job)
	return status
}

// State asks an instance for the state of a job. The state is empty if the answer has none.
func (l *Lab) State(i *Instance, route Route, id string) (status int, state string) {
	status, body := l.call(i, http.MethodGet, route.Prefix()+id, nil)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &answer)
	return status, answer.State
}

// Pending asks an instance for the pending jobs of a route. The count has a meaning only if the status is 200.
func (l *Lab) Pending(i *Instance, route Route) (status, count int) {
	status, body := l.call(i, http.MethodGet, route.Prefix(), nil)
	var answer struct {
		Pending int `json:"pending_jobs"`
	}
	_ = json.Unmarshal(body, &answer)
	return status, answer.Pending
}
