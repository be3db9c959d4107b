package soak

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// instance is one scheduler instance, run as a process, with its proxy to the store.
type instance struct {
	name       string
	binary     string
	callerAddr string
	readyAddr  string
	// peerAddr is the address for requests that other instances relay.
	peerAddr string
	// machinesAddr is the address of the machine service, which carries out maintenance.
	machinesAddr string
	storeProxy   *proxy
	log          *os.File
	// clockOffsetFile holds the offset of the instance's wall-clock time.
	clockOffsetFile string
	// noCutoffs is enabled while a planned stop has to end with status 0.
	noCutoffs *noCutoffs

	// restarting serialises restarts: a process that is started while another one has its addresses fails, and the soak would
	// lose track of the other one.
	restarting sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// stopping is set once the process was sent a signal that ends it.
	stopping *atomic.Bool
}

func (i *instance) start(t *testing.T) {
	t.Helper()
	i.mu.Lock()
	defer i.mu.Unlock()
	command := exec.Command(i.binary, "entry", "--id="+i.name, "--region=r", "--data-centre=d",
		"--caller-addr="+i.callerAddr, "--ready-addr="+i.readyAddr, "--store-addr="+i.storeProxy.addr(), fmt.Sprintf("--lease-ms=%d", maxLease().Milliseconds()),
		"--peer-addr="+i.peerAddr, "--machines-addr="+i.machinesAddr, "--machine-turn-ms=1000",
		"--stop-timeout-s=3", "--time-offset-file="+i.clockOffsetFile)
	command.Stdout, command.Stderr = i.log, i.log
	if err := command.Start(); err != nil {
		t.Errorf("starting %s: %v", i.name, err)
		return
	}
	exited, stopping := make(chan struct{}), new(atomic.Bool)
	go func() {
		switch err := command.Wait(); {
		case !stopping.Load():
			t.Errorf("process of %s has exited by itself: %v", i.name, err)
		case command.ProcessState.ExitCode() > 0 && i.noCutoffs.enabled.Load():
			t.Errorf("process of %s has not stopped cleanly in the planned phase: %v", i.name, err)
		case command.ProcessState.ExitCode() > 0:
			t.Logf("process of %s has not stopped cleanly: %v", i.name, err)
		}
		close(exited)
	}()
	i.command, i.exited, i.stopping = command, exited, stopping
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		i.stopping.Store(true)
	}
	_ = i.command.Process.Signal(s)
}

// shiftClock sets the offset of the instance's wall-clock time.
func (i *instance) shiftClock(t *testing.T, by time.Duration) {
	if err := os.WriteFile(i.clockOffsetFile, []byte(strconv.FormatInt(by.Milliseconds(), 10)), 0o600); err != nil {
		t.Error(err)
	}
}

// Durations for which a process that is slowed down is stopped and runs in turn: it gets a fifth of its processor time.
const (
	slowStopTime = 120 * time.Millisecond
	slowRunTime  = 30 * time.Millisecond
)

// slowDown slows the process down for a time, as on a machine without unused CPU.
func (i *instance) slowDown(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		i.signal(syscall.SIGSTOP)
		time.Sleep(slowStopTime)
		i.signal(syscall.SIGCONT)
		time.Sleep(slowRunTime)
	}
}

// restart ends the process by a signal and starts it again.
func (i *instance) restart(t *testing.T, s syscall.Signal) {
	i.restarting.Lock()
	defer i.restarting.Unlock()
	i.signal(syscall.SIGCONT)
	i.signal(s)
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(10 * time.Second):
		t.Errorf("%s does not exit after %v", i.name, s)
		i.signal(syscall.SIGKILL)
		<-exited
	}
	i.start(t)
}
