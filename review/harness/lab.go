// Package harness plays the users' platform for the cases of the review: store, workers, machine service and requesters,
// on loopback addresses and the real clock. It starts the project's own program with the command of the deploy file.
package harness

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"bronzehook/platform/platformtest"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit bounds a case; it is under the 120 seconds that a script may take.
const runLimit = 112 * time.Second

// Figures of a small deployment, as the pages state them for the site tentpole-sched.
const (
	storeDelay = 4 * time.Millisecond
	rowBytes   = 65536
	callBytes  = 1 << 20
	cpuShare   = "0.16"
	memoryMB   = "284"
	graceS     = "6"
	statusS    = "120"
	farX       = "3"
	leaseMS    = "3000"
	holdMaxMS  = 10000
	frontZone  = "z1"
	serverPool = "svc"
)

// Lab is one run of a case.
type Lab struct {
	// Trouble is false if the run is to leave out the disruption.
	Trouble   bool
	Store     *platformtest.Store
	Fleet     *Fleet
	Advice    *Advice
	Instances []*Instance

	startedAt time.Time
	scratch   string
	mu        sync.Mutex
	record    *os.File
}

// Main runs a case whose folder is the first argument, and ends the process with the exit code of the case. The function
// play returns whether the rule was broken; an error means that the case could not run.
func Main(play func(*Lab) (broken bool, err error)) {
	os.Exit(runCase(play))
}

func runCase(play func(*Lab) (bool, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	scratch, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(scratch)
	}
	l := &Lab{
		Trouble: os.Getenv("TROUBLE") != "0", Store: platformtest.NewStore(), startedAt: time.Now(), scratch: scratch, record: record,
	}
	l.Store.SetDelay(storeDelay)
	l.Fleet = newFleet(l)
	l.Advice = &Advice{lab: l, tickets: make(map[string]ticket)}
	defer l.stopAll()
	return l.play(play)
}

// play runs the case until it ends, a signal arrives, or runLimit is over.
func (l *Lab) play(play func(*Lab) (bool, error)) int {
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := play(l)
		ended <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var got outcome
	select {
	case got = <-ended:
	case <-signals:
		got.err = errors.New("stopped by a signal")
	case <-time.After(runLimit):
		got.err = errors.New("not over in time")
	}
	switch {
	case got.err != nil:
		for _, i := range l.Instances {
			l.Note("last lines of %s:\n%s", i.Name, i.lastLines())
		}
		l.Note("RESULT could not run: %v", got.err)
		return exitNotRun
	case got.broken:
		l.Note("RESULT the rule was broken")
		return exitBroken
	}
	l.Note("RESULT the rule held")
	return exitHeld
}

// Note writes a line to the record.
func (l *Lab) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.startedAt).Seconds()}, args...)...)
}

func (l *Lab) stopAll() {
	for _, i := range l.Instances {
		i.Signal(syscall.SIGCONT)
		i.Kill()
	}
}

// listen serves a handler on a free port of an address and returns the address with the port.
func listen(ip string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Start starts instances of the program, each on a loopback address of its own, and waits until all are ready and one
// of them leads.
func (l *Lab) Start(instances int) error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	template, err := os.ReadFile("deploy/entry.env")
	if err != nil {
		return err
	}
	machinesAddr, err := listen("127.0.0.1", &machines{lab: l})
	if err != nil {
		return err
	}
	advice, err := listen("127.0.0.1", l.Advice)
	if err != nil {
		return err
	}
	block := rand.IntN(200) + 20
	for n := range instances {
		i := &Instance{Name: fmt.Sprintf("front-%s-%d", frontZone, n+1), IP: fmt.Sprintf("127.%d.%d.%d", block, rand.IntN(250)+1, n+1), lab: l, command: command}
		i.Gate = &Gate{lab: l, name: i.Name, store: &storeServer{lab: l}}
		if err := i.prepare(template, machinesAddr, advice); err != nil {
			return err
		}
		l.Instances = append(l.Instances, i)
	}
	for _, i := range l.Instances {
		if err := i.Start(); err != nil {
			return err
		}
	}
	return l.Await(20*time.Second, "all instances are ready and one leads", func() bool {
		return l.Leader() != nil && !slices.ContainsFunc(l.Instances, func(i *Instance) bool { return !i.Ready() })
	})
}

// Await waits until a condition holds.
func (l *Lab) Await(limit time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// Leader returns the instance that last wrote to the store under a condition in the partition that holds the records of
// progress, as the platform sees it; nil if none has.
func (l *Lab) Leader() *Instance {
	var leader *Instance
	for _, i := range l.Instances {
		if at := i.Gate.lastControl(); !at.IsZero() && (leader == nil || at.After(leader.Gate.lastControl())) {
			leader = i
		}
	}
	return leader
}

// runCommand returns the command of the role in the deploy file.
func runCommand() ([]string, error) {
	file, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(file)
	if found == nil {
		return nil, errors.New("the deploy file names no command")
	}
	return strings.Fields(string(found[1])), nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)\}\}`)

// render fills a settings template in.
func render(template []byte, values map[string]string) []byte {
	return placeholder.ReplaceAllFunc(template, func(found []byte) []byte {
		return []byte(values[string(bytes.Trim(found, "{}"))])
	})
}
