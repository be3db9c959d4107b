// Package soak runs entry instances as separate processes against the stand-ins of the platform and brings faults about
// from outside: signals, proxies between the parts, and a store that misbehaves. The promises are checked from what
// callers, workers and the store see.
package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/platform/platformtest"
)

var (
	seedFlag  = flag.Int64("soak.seed", 0, "seed of a run; 0 plays the seeds of CI")
	countFlag = flag.Int("soak.seeds", 1, "number of seeds to play from soak.seed on")
)

// Seeds that CI plays. Every seed that ever failed is added with its cause.
var ciSeeds = []int64{
	1,
	// A look meant for an earlier life of a worker arrived late and let the later life forget ends unseen, so that done
	// tasks ran again.
	108, 200,
}

const (
	instances   = 3
	workerCount = 8
	faultTime   = 9 * time.Second
	settleTime  = 45 * time.Second
	jobEvery    = 90 * time.Millisecond
)

func TestSoak(t *testing.T) {
	seeds := ciSeeds
	if *seedFlag != 0 {
		seeds = nil
		for i := range *countFlag {
			seeds = append(seeds, *seedFlag+int64(i))
		}
	}
	binary := build(t)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { play(t, binary, seed) })
	}
}

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "bronzehook")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/bronzehook").CombinedOutput()
	if err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	return binary
}

// instance is one entry process with its proxy to the store.
type instance struct {
	name   string
	binary string
	addr   string
	ready  string
	store  *proxy
	log    *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (i *instance) start(t *testing.T) {
	t.Helper()
	i.mu.Lock()
	defer i.mu.Unlock()
	command := exec.Command(i.binary, "entry", "--id="+i.name, "--region=r", "--data-centre=d",
		"--caller-addr="+i.addr, "--ready-addr="+i.ready, "--store-addr="+i.store.addr(), "--lease-ms=5000",
		"--stop-timeout-s=3")
	command.Stdout, command.Stderr = i.log, i.log
	if err := command.Start(); err != nil {
		t.Errorf("starting %s: %v", i.name, err)
		return
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	i.command, i.exited = command, exited
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.command.Process.Signal(s)
}

// restart ends the process by a signal and starts another.
func (i *instance) restart(t *testing.T, s syscall.Signal) {
	i.signal(syscall.SIGCONT)
	i.signal(s)
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(10 * time.Second):
		t.Errorf("%s does not end after %v", i.name, s)
		i.signal(syscall.SIGKILL)
		<-exited
	}
	i.start(t)
}

// site is everything of one run.
type site struct {
	t         *testing.T
	random    *rand.Rand
	store     *platformtest.Store
	fleet     *platformtest.Fleet
	instances []*instance
	workers   []*proxy
	callers   *callers
}

func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func newSite(t *testing.T, binary string, seed int64) *site {
	t.Helper()
	random := rand.New(rand.NewSource(seed))
	s := &site{t: t, random: random, store: platformtest.NewStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	s.fleet = platformtest.NewFleet(s.store, "svc", behaviour(seed))
	t.Cleanup(s.fleet.Close)
	for range workerCount {
		w, err := s.fleet.Add()
		if err != nil {
			t.Fatal(err)
		}
		p, err := newProxy(w.Addr)
		if err != nil {
			t.Fatal(err)
		}
		w.Addr = p.addr()
		w.List()
		s.workers = append(s.workers, p)
		t.Cleanup(p.close)
	}
	s.store.Put("op", "config", manifest(1))
	logs := logDir(t, seed)
	for n := range instances {
		p, err := newProxy(listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.close)
		log, err := os.Create(filepath.Join(logs, fmt.Sprintf("n%d.log", n)))
		if err != nil {
			t.Fatal(err)
		}
		i := &instance{name: fmt.Sprintf("n%d", n), binary: binary, addr: freeAddr(t), ready: freeAddr(t), store: p, log: log}
		i.start(t)
		t.Cleanup(func() { i.signal(syscall.SIGCONT); i.signal(syscall.SIGKILL) })
		s.instances = append(s.instances, i)
	}
	s.callers = newCallers(s)
	return s
}

// logDir keeps the logs of a failed run.
func logDir(t *testing.T, seed int64) string {
	dir := t.TempDir()
	kept := filepath.Join(os.TempDir(), fmt.Sprintf("bronzehook-soak-%d", seed))
	t.Cleanup(func() {
		if t.Failed() {
			if err := errors.CombineErrors(os.RemoveAll(kept), os.CopyFS(kept, os.DirFS(dir))); err != nil {
				t.Logf("logs not kept: %v", err)
			}
			t.Logf("logs are in %s", kept)
		}
	})
	return dir
}

func behaviour(seed int64) platformtest.Behaviour {
	return platformtest.Behaviour{
		Duration: func(task string) time.Duration {
			return time.Duration(200+hash(seed, task)%700) * time.Millisecond
		},
		Fails: func(task string, run int) bool { return run == 1 && hash(seed, task)%11 == 0 },
	}
}

func hash(seed int64, text string) int {
	sum := uint32(seed)
	for _, c := range []byte(text) {
		sum = sum*16777619 ^ uint32(c)
	}
	return int(sum % 1_000_003)
}

func manifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "q", "host": "h.example", "path_prefix": "/q/", "kind": "unsafe", "service": "svc", "timeout_ms": 3000,
			"target_latency_ms": 400, "priority": 0, "max_attempts": 4, "stretch": 1.5,
		}},
		"services": []any{map[string]any{"name": "svc"}},
		"limits":   map[string]any{"max_body_bytes": 65536},
	}
}

// play runs a seed: faults overlap for a while, then everything is well and all promises have to be kept.
func play(t *testing.T, binary string, seed int64) {
	s := newSite(t, binary, seed)
	time.Sleep(1500 * time.Millisecond)
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Add(2)
	go func() { defer running.Done(); s.callers.submitUntil(stop) }()
	go func() { defer running.Done(); s.callers.askUntil(stop) }()
	s.faults()
	s.heal()
	time.Sleep(time.Second)
	close(stop)
	running.Wait()
	s.callers.settle(settleTime)
	s.check()
}

// faults brings about faults that overlap, each with an end of its own.
func (s *site) faults() {
	end := time.Now().Add(faultTime)
	var all sync.WaitGroup
	for version := 2; time.Now().Before(end); version++ {
		fault := s.pick(version)
		all.Add(1)
		go func() { defer all.Done(); fault() }()
		time.Sleep(time.Duration(200+s.random.Intn(1200)) * time.Millisecond)
	}
	all.Wait()
}

func (s *site) pick(version int) func() {
	i := s.instances[s.random.Intn(len(s.instances))]
	w := s.random.Intn(workerCount)
	worker, wire := s.fleet.Workers()[w], s.workers[w]
	m := mode(1 + s.random.Intn(int(modeCount)-1))
	lasts := time.Duration(300+s.random.Intn(4500)) * time.Millisecond
	kind := platformtest.Fault(1 + s.random.Intn(5))
	share := 2 + s.random.Intn(4)
	choices := []func(){
		func() { i.restart(s.t, syscall.SIGKILL) },
		func() { i.restart(s.t, syscall.SIGTERM) },
		func() { i.signal(syscall.SIGHUP) },
		func() { i.signal(syscall.SIGSTOP); time.Sleep(lasts); i.signal(syscall.SIGCONT) },
		func() { i.store.set(m); time.Sleep(lasts); i.store.set(modePass) },
		func() { wire.set(m); time.Sleep(lasts); wire.set(modePass) },
		func() { worker.Restart() },
		func() { s.store.SetFault(every(share, kind)); time.Sleep(lasts); s.store.SetFault(nil) },
		func() { s.store.SetDelay(150 * time.Millisecond); time.Sleep(lasts); s.store.SetDelay(0) },
		func() { s.store.Forget() },
		func() { worker.SetFault(every(share, kind)); time.Sleep(lasts); worker.SetFault(nil) },
		func() { worker.Unlist(); time.Sleep(lasts); worker.List() },
		func() { s.store.Put("op", "config", manifest(version)) },
	}
	return choices[s.random.Intn(len(choices))]
}

// every applies a fault to each n-th call.
func every(n int, kind platformtest.Fault) func(*http.Request) platformtest.Fault {
	var mu sync.Mutex
	count := 0
	return func(*http.Request) platformtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		count++
		if count%n == 0 {
			return kind
		}
		return platformtest.FaultNone
	}
}

// heal ends all faults.
func (s *site) heal() {
	s.store.SetFault(nil)
	s.store.SetDelay(0)
	for n, w := range s.fleet.Workers() {
		w.SetFault(nil)
		s.workers[n].set(modePass)
		w.List()
	}
	for _, i := range s.instances {
		i.signal(syscall.SIGCONT)
		i.store.set(modePass)
	}
}

// check compares what was promised with what was seen.
func (s *site) check() {
	for _, violation := range s.fleet.Violations() {
		s.t.Errorf("twice: %s", violation)
	}
	started := make(map[string]bool)
	done := make(map[string]map[string]bool)
	for _, f := range s.fleet.Finishes() {
		if f.How == "done" {
			id := strings.SplitN(f.Task, ".", 2)[0]
			if done[id] == nil {
				done[id] = make(map[string]bool)
			}
			done[id][f.Task] = true
		}
	}
	for _, start := range s.fleet.Starts() {
		started[strings.SplitN(start.Task, ".", 2)[0]] = true
	}
	s.checkOrder()
	s.callers.check(started, done)
}

// checkOrder requires that all tasks of the first step were done before one of the second started.
func (s *site) checkOrder() {
	last := make(map[string]time.Time)
	for _, f := range s.fleet.Finishes() {
		id := strings.SplitN(f.Task, ".", 2)[0]
		if f.How == "done" && platformtest.StepOf(f.Task) == 0 && last[id].IsZero() {
			last[id] = f.At
		}
	}
	for _, start := range s.fleet.Starts() {
		id := strings.SplitN(start.Task, ".", 2)[0]
		if platformtest.StepOf(start.Task) == 1 && (last[id].IsZero() || start.At.Before(last[id])) {
			s.t.Errorf("order: %s started before its first step was done", start.Task)
		}
	}
}

// callers submits jobs and remembers what they were told.
type callers struct {
	site   *site
	client *http.Client

	mu       sync.Mutex
	accepted []string
	refused  map[string]bool
	unsure   map[string]bool
	state    map[string]string
	next     int
}

func newCallers(s *site) *callers {
	return &callers{
		site: s, client: &http.Client{Timeout: 3 * time.Second},
		refused: make(map[string]bool), unsure: make(map[string]bool), state: make(map[string]string),
	}
}

const jobBody = `{"spec":"soak","steps":[{"count":3,"cpu":2000,"mem_mb":500,"estimated_ms":500,"checkpointing":true},` +
	`{"count":2,"cpu":3000,"mem_mb":500,"estimated_ms":500,"after":[0]}]}`

func (c *callers) call(n int, method, id, body string) (int, string, error) {
	i := c.site.instances[n%instances]
	request, err := http.NewRequest(method, "http://"+i.addr+"/q/"+id, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = "h.example"
	request.Header.Set("X-Deadline-Ms", "2500")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

func (c *callers) submitUntil(stop chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(jobEvery):
		}
		c.next++
		id, n := fmt.Sprintf("%016x", c.next), c.next
		all.Add(1)
		go func() { defer all.Done(); c.submit(id, n) }()
	}
}

// submit hands a job in, at up to three instances.
func (c *callers) submit(id string, n int) {
	sure := true
	for try := range 3 {
		status, _, err := c.call(n+try, http.MethodPost, id, jobBody)
		switch {
		case err == nil && status == http.StatusOK:
			c.mu.Lock()
			c.accepted = append(c.accepted, id)
			c.mu.Unlock()
			return
		case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		case err != nil && strings.Contains(err.Error(), "connection refused"):
		default:
			sure = false
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if sure {
		c.refused[id] = true
	} else {
		c.unsure[id] = true
	}
}

// askUntil asks for jobs at random.
func (c *callers) askUntil(stop chan struct{}) {
	random := rand.New(rand.NewSource(99))
	for {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		c.mu.Lock()
		known := append([]string(nil), c.accepted...)
		c.mu.Unlock()
		if len(known) > 0 {
			c.ask(random.Intn(instances), known[random.Intn(len(known))])
		}
	}
}

// ask notes the state of an accepted job. It may not be unknown, nor leave an end.
func (c *callers) ask(n int, id string) string {
	status, body, err := c.call(n, http.MethodGet, id, "")
	if err != nil {
		return ""
	}
	if status == http.StatusGone || status == http.StatusNotFound {
		c.site.t.Errorf("lost: accepted job %s is answered %d", id, status)
		return ""
	}
	if status != http.StatusOK {
		return ""
	}
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(body), &answer); err != nil {
		c.site.t.Errorf("state of %s: %q", id, body)
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.state[id]
	if (before == "succeeded" || before == "failed") && answer.State != before {
		c.site.t.Errorf("mixed: %s went from %s to %s", id, before, answer.State)
	}
	c.state[id] = answer.State
	return answer.State
}

// settle waits until all accepted jobs have ended.
func (c *callers) settle(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, id := range c.accepted {
		for n := 0; ; n++ {
			if state := c.ask(n, id); state == "succeeded" || state == "failed" {
				break
			}
			if time.Now().After(end) {
				c.site.t.Errorf("lost: accepted job %s has not ended", id)
				return
			}
			time.Sleep(40 * time.Millisecond)
		}
	}
}

const tasksPerJob = 5

func (c *callers) check(started map[string]bool, done map[string]map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.accepted) == 0 {
		c.site.t.Error("no job was accepted")
	}
	for id := range c.refused {
		if started[id] {
			c.site.t.Errorf("refused: job %s was refused by all and ran", id)
		}
	}
	for _, id := range c.accepted {
		switch c.state[id] {
		case "succeeded":
			if len(done[id]) != tasksPerJob {
				c.site.t.Errorf("mixed: %s is shown as succeeded with %d of %d tasks done", id, len(done[id]), tasksPerJob)
			}
		case "failed":
			c.site.t.Errorf("lost: %s is shown as failed without cause", id)
		}
	}
	c.site.t.Logf("accepted %d, refused %d, unsure %d", len(c.accepted), len(c.refused), len(c.unsure))
}
