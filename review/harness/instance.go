package harness

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Instance is one process of the program.
type Instance struct {
	Name  string
	IP    string
	Front string
	Gate  *Gate

	lab      *Lab
	command  []string
	ready    string
	settings string
	log      string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// metricsPort is the port of the deploy file's metrics.
const metricsPort = 9464

// prepare chooses ports and writes the settings file.
func (i *Instance) prepare(template []byte, machines, advice string) error {
	storeAddr, err := listen(i.IP, i.Gate)
	if err != nil {
		return err
	}
	ports, err := freePorts(i.IP, 3)
	if err != nil {
		return err
	}
	probe, err := net.Listen("tcp", net.JoinHostPort(i.IP, strconv.Itoa(metricsPort)))
	if err != nil {
		return err
	}
	_ = probe.Close()
	i.Front, i.ready = net.JoinHostPort(i.IP, ports[0]), net.JoinHostPort(i.IP, ports[1])
	i.settings = filepath.Join(i.lab.scratch, i.Name+".env")
	i.log = filepath.Join(i.lab.scratch, i.Name+".log")
	return os.WriteFile(i.settings, render(template, map[string]string{
		"node": i.Name, "region": "r1", "zone": frontZone, "listen.front": i.Front, "listen.ready": i.ready, "ip": i.IP,
		"port_range.0": ports[2], "platform.address": storeAddr, "cloud.address": machines, "advice": advice, "bounds.lease_ms": leaseMS,
		"limits.cpu_share": cpuShare, "limits.memory_mb": memoryMB, "bounds.hold_max_ms": strconv.Itoa(holdMaxMS),
		"bounds.grace_s": graceS, "bounds.status_s": statusS, "bounds.far_x": farX,
	}), 0o600)
}

func freePorts(ip string, count int) ([]string, error) {
	var ports []string
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		_, port, err := net.SplitHostPort(listener.Addr().String())
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return ports, nil
}

// Start starts the process.
func (i *Instance) Start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(i.command[0], i.command[1:]...)
	process.Env = []string{"BRONZEHOOK_CONFIG=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + i.lab.scratch, "LANG=C"}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	i.process, i.exited = process, exited
	i.lab.Note("%s started", i.Name)
	return nil
}

// Signal sends a signal to the process.
func (i *Instance) Signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(s)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (i *Instance) Kill() {
	i.Signal(syscall.SIGKILL)
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// StopAndRestart stops the process in order with SIGTERM and starts it again a second after its end, as the platform does.
func (i *Instance) StopAndRestart() {
	i.lab.Note("SIGTERM to %s", i.Name)
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	i.Signal(syscall.SIGTERM)
	go func() {
		<-exited
		i.lab.Note("%s has ended", i.Name)
		time.Sleep(time.Second)
		_ = i.Start()
	}()
}

// Ready asks whether the instance takes connections.
func (i *Instance) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// lastLines returns the end of the log of the instance.
func (i *Instance) lastLines() string {
	content, err := os.ReadFile(i.log)
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-loggedBytes):])
}

// loggedBytes is how much of a log goes to the record if a case could not run.
const loggedBytes = 1500
