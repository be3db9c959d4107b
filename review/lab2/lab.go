package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Names of the deployment, and its far_x.
const (
	serviceName = "planner"
	queueName   = "plans"
	queueHost   = "plans.example"
	queuePrefix = "/plans/"
	// lastingQueue is a second queue, for tasks that keep workers busy.
	lastingQueue  = "watches"
	lastingPrefix = "/watches/"
	// batchQueue is a queue of lower priority.
	batchQueue  = "batches"
	batchPrefix = "/batches/"

	farFactor = 2
	// workerCPU and workerMemMB are the capacity of a worker, in thousandths of a core and MB.
	workerCPU, workerMemMB = 64_000, 256_000
)

// Lab is a small deployment: stand-ins of the platform in this process, and scheduler instances as processes.
type Lab struct {
	record *Record
	ledger *Ledger
	store  *Store
	// trouble is unset to leave the disruption of a case out.
	trouble   bool
	storeAddr string
	cloudAddr string
	workers   []*Worker
	instances []*Instance
	// network is the second and third byte of the loopback addresses of this run.
	network string
	folder  string
	client  *http.Client
}

// Instance is one scheduler instance.
type Instance struct {
	Name, IP string
	// callerAddr is the address for clients.
	callerAddr string
	lab        *Lab
	command    *exec.Cmd
	exited     chan struct{}
	settings   string
}

// setupError ends a case that cannot run.
type setupError struct{ cause error }

func (e setupError) Error() string { return "the case could not run: " + e.cause.Error() }

// must ends the case if a step of its preparation failed.
func (l *Lab) must(err error) {
	if err != nil {
		panic(setupError{err})
	}
}

// host returns a loopback address of this run.
func (l *Lab) host(last int) string { return fmt.Sprintf("127.%s.%d", l.network, last) }

// NewLab starts the store and writes the manifest.
func NewLab(record *Record) *Lab {
	l := &Lab{
		record: record, ledger: &Ledger{record: record}, store: NewStore(), trouble: os.Getenv("TROUBLE") != "0",
		network: fmt.Sprintf("%d.%d", 64+rand.IntN(128), 1+rand.IntN(254)),
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	folder, err := os.MkdirTemp("", "review-lab-")
	l.must(err)
	l.folder = folder
	l.storeAddr = l.serve(l.host(250), l.store)
	l.record.Note("disruption: %v", l.trouble)
	return l
}

// serve starts a server on a free port of an address.
func (l *Lab) serve(ip string, handler http.Handler) string {
	listener, err := net.Listen("tcp", ip+":0")
	l.must(err)
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String()
}

// WriteManifest writes the first manifest, with a queue for jobs and one for lasting ones.
func (l *Lab) WriteManifest() {
	queue := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": queueHost, "path_prefix": prefix, "service": serviceName, "timeout_ms": 3000,
			"target_latency_ms": 400, "priority": priority, "max_attempts": 3, "stretch": 1.5,
		}
	}
	l.store.Put("op", "config", map[string]any{
		"version":  1,
		"routes":   []any{queue(queueName, queuePrefix, 0), queue(lastingQueue, lastingPrefix, 0), queue(batchQueue, batchPrefix, 2)},
		"services": []any{map[string]any{"name": serviceName, "admission_check": false}},
		"limits":   map[string]any{},
	})
}

// freePort returns a port of an address that is free now.
func (l *Lab) freePort(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	l.must(err)
	defer func() { _ = listener.Close() }()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	l.must(err)
	return port
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// StartInstance renders the settings template of the deploy file and starts an instance with its command.
func (l *Lab) StartInstance(name string, last int) *Instance {
	i := &Instance{Name: name, IP: l.host(last), lab: l}
	i.callerAddr = net.JoinHostPort(i.IP, l.freePort(i.IP))
	template, err := os.ReadFile("deploy/entry.env")
	l.must(err)
	values := map[string]string{
		"node": name, "region": "r1", "zone": "z1", "ip": i.IP, "advice": "", "cloud.address": l.cloudAddr,
		"listen.front": i.callerAddr, "listen.ready": net.JoinHostPort(i.IP, l.freePort(i.IP)),
		"port_range.0": l.freePort(i.IP), "platform.address": l.storeAddr, "bounds.lease_ms": "3000",
		"limits.cpu_share": "0.4", "limits.memory_mb": "284", "bounds.hold_max_ms": fmt.Sprint(holdMax),
		"bounds.grace_s": "6", "bounds.status_s": "120", "bounds.far_x": fmt.Sprint(farFactor),
	}
	rendered := placeholder.ReplaceAllStringFunc(string(template), func(match string) string {
		return values[strings.Trim(match, "{}")]
	})
	i.settings = filepath.Join(l.folder, name+".env")
	l.must(os.WriteFile(i.settings, []byte(rendered), 0o600))
	i.Start()
	l.instances = append(l.instances, i)
	return i
}

// Start starts the process of the instance.
func (i *Instance) Start() {
	log, err := os.OpenFile(filepath.Join(i.lab.folder, i.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	i.lab.must(err)
	i.command = exec.Command("target/bronzehook", "entry")
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "BRONZEHOOK_CONFIG=" + i.settings}
	i.command.Stdout, i.command.Stderr = log, log
	i.lab.must(i.command.Start())
	i.lab.record.Note("instance %s starts", i.Name)
	command, exited := i.command, make(chan struct{})
	i.exited = exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
}

// Signal sends a signal to the instance.
func (i *Instance) Signal(s syscall.Signal) {
	i.lab.record.Note("instance %s gets signal %v", i.Name, s)
	_ = i.command.Process.Signal(s)
}

// Close ends all processes and removes the temporary folder. KEEP_LOGS names a folder for the logs of the instances.
func (l *Lab) Close() {
	for _, i := range l.instances {
		_ = i.command.Process.Kill()
		<-i.exited
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, i := range l.instances {
			content, _ := os.ReadFile(filepath.Join(l.folder, i.Name+".log"))
			_ = os.WriteFile(filepath.Join(keep, i.Name+".log"), content, 0o600)
		}
	}
	_ = os.RemoveAll(l.folder)
}

// errTimeout reports a condition that did not come about in time.
var errTimeout = errors.New("a condition of the preparation did not come about in time")

// waitFor waits for a condition.
func (l *Lab) waitFor(limit time.Duration, what string, holds func() bool) {
	for end := time.Now().Add(limit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			l.must(fmt.Errorf("%w: %s", errTimeout, what))
		}
	}
	l.record.Note("now: %s", what)
}

// call sends a client's request to an instance; status is 0 without an answer.
func (i *Instance) call(method, path string, body any) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	encoded, err := json.Marshal(body)
	i.lab.must(err)
	if body == nil {
		encoded = nil
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.callerAddr+path, bytes.NewReader(encoded))
	i.lab.must(err)
	request.Host = queueHost
	request.Header.Set("X-Deadline-Ms", "3000")
	response, err := i.lab.client.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		content, _ := io.ReadAll(response.Body)
		status, answer = response.StatusCode, strings.TrimSpace(string(content))
	}
	i.lab.record.Note("client to %s: %s %s %s -> %d %s", i.Name, method, path, encoded, status, answer)
	return status, answer
}

// step is one step of a job.
type step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu"`
	MemMB    int    `json:"mem_mb"`
	Estimate int    `json:"estimated_ms,omitempty"`
	Requires string `json:"requires,omitempty"`
	Affinity string `json:"affinity,omitempty"`
	Lasts    bool   `json:"long_running,omitempty"`
}

// newID returns an id for a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Submit hands a job in at an instance and returns its id. Requests without an answer are repeated.
func (i *Instance) Submit(prefix string, millis int, steps ...step) string {
	id := newID()
	i.submitAs(prefix, id, millis, steps...)
	return id
}

// submitAs hands a job in under an id.
func (i *Instance) submitAs(prefix, id string, millis int, steps ...step) {
	spec, err := json.Marshal(taskSpec{Millis: millis})
	i.lab.must(err)
	i.lab.waitFor(10*time.Second, "job "+id+" is accepted", func() bool {
		status, _ := i.call(http.MethodPost, prefix+id, map[string]any{"spec": string(spec), "steps": steps})
		return status == http.StatusOK
	})
}

// State returns the state of a job as an instance shows it; empty without an answer.
func (i *Instance) State(prefix, id string) string {
	status, answer := i.call(http.MethodGet, prefix+id, nil)
	var shown struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &shown) != nil {
		return ""
	}
	return shown.State
}

// Pending returns pending_jobs of a queue as an instance shows it; -1 without an answer.
func (i *Instance) Pending(prefix string) int {
	status, answer := i.call(http.MethodGet, prefix, nil)
	shown := struct {
		Pending int `json:"pending_jobs"`
	}{}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &shown) != nil {
		return -1
	}
	return shown.Pending
}

// running returns on which worker a task of a job runs now; nil if none does.
func (l *Lab) running(prefix string) *Worker {
	for _, r := range l.ledger.Runs(prefix) {
		if !r.end.IsZero() {
			continue
		}
		for _, w := range l.workers {
			if w.ID == r.worker {
				return w
			}
		}
	}
	return nil
}

// settles waits until a job is shown as succeeded, and reports whether it was in time. The rule is judged in either case.
func (l *Lab) settles(limit time.Duration, at *Instance, prefix, id string) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if at.State(prefix, id) == "succeeded" {
			l.record.Note("now: job %s has succeeded", id)
			return true
		}
	}
	l.record.Note("job %s has not succeeded within %s", id, limit)
	return false
}

// Restart stops an instance in order and starts it again once it has ended, as the platform does.
func (i *Instance) Restart() {
	i.Signal(syscall.SIGTERM)
	<-i.exited
	time.Sleep(restartDelay)
	i.Start()
}

// ready waits until a job that is handed in at the first instance runs to its end.
func (l *Lab) ready() {
	first := l.instances[0]
	l.waitFor(20*time.Second, "an instance accepts requests", func() bool { return first.Pending(queuePrefix) >= 0 })
	id := first.Submit(queuePrefix, 50, step{Count: 1, CPU: 100, MemMB: 10})
	l.waitFor(20*time.Second, "the first job is done", func() bool { return first.State(queuePrefix, id) == "succeeded" })
}

// leader returns the instance that leads, by the leadership row in the store.
func (l *Lab) leader() *Instance {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	row := l.store.rows[rowKey{"duty", "control", "scheduler"}]
	for _, i := range l.instances {
		if bytes.Contains(row.Value, []byte(i.Name)) {
			return i
		}
	}
	return nil
}
