package session

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/backend/fake"
	"bronzehook/ctl"
	"bronzehook/fault"
	"bronzehook/loopback"
	"bronzehook/operator"
	"bronzehook/peer"
)

const (
	workersPerDataCentre = 2
	workerSlots          = 4
	workerConnections    = 64
	// readyLimit bounds the start of the fleet, until every ownership unit has an owner.
	readyLimit   = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// instanceLease exceeds the intervals of heartbeats (1 s) and renewals (2 s), so that the instance lease does not expire
	// between them.
	instanceLease = 3 * time.Second
	attemptLease  = 3 * time.Second
)

var dataCentres = []api.Location{
	{Region: "cornwall", DataCentre: "montego"},
	{Region: "cornwall", DataCentre: "savanna"},
	{Region: "surrey", DataCentre: "kingston"},
}

// fleet is a fake cluster with three instances, one in each data centre.
type fleet struct {
	t         *testing.T
	cluster   *fake.Cluster
	instances []*process
}

// fleetSlots is a semaphore that bounds how many fleets run at the same time.
var fleetSlots = make(chan struct{}, 3)

// startFleet starts the fake cluster and the instances, and waits until every instance is ready and every ownership unit has an
// owner.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &fleet{t: t, cluster: startCluster(t)}
	dir := t.TempDir()
	ca, err := peer.NewDevAuthority()
	if err != nil {
		t.Fatal(err)
	}
	writeCACertificate(t, filepath.Join(dir, "ca.pem"), ca)
	for _, location := range dataCentres {
		id := location.DataCentre + "-1"
		p := &process{id: id, location: location, log: filepath.Join(dir, id+".log"),
			callerAddr: loopback.Addr(), operatorAddr: loopback.Addr(), peerAddr: loopback.Addr()}
		f.cluster.Platform.Directory().PutInstance(api.Instance{ID: api.InstanceID(id), Addr: p.peerAddr, Location: location})
		flags := f.flags(p, writeCertificate(t, dir, id, ca, filepath.Join(dir, "ca.pem")))
		p.start(t, flags)
		f.instances = append(f.instances, p)
	}
	f.awaitReady()
	return f
}

// startCluster starts the fake cluster: the platform and the workers of all data centres.
func startCluster(t *testing.T) *fake.Cluster {
	t.Helper()
	const cores, memory, thousandths = 8, 16 << 10, 1000
	cluster, err := fake.NewCluster(fake.ClusterConfig{DataCentres: dataCentres, WorkersPerDataCentre: workersPerDataCentre,
		Capacity: api.Resources{MilliCPU: cores * thousandths, MemoryMB: memory}, Slots: workerSlots,
		Connections: workerConnections, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster
}

// flags returns the command-line flags of an instance.
func (f *fleet) flags(p *process, certificate []string) []string {
	flags := []string{"--id=" + p.id, "--region=" + p.location.Region, "--data-centre=" + p.location.DataCentre,
		"--regions=cornwall", "--regions=surrey", "--caller-addr=" + p.callerAddr, "--operator-addr=" + p.operatorAddr,
		"--peer-addr=" + p.peerAddr, "--platform-url=" + f.cluster.URL, "--operator-token=" + operatorToken,
		"--hold=" + instanceLease.String(), "--task-lease=" + attemptLease.String()}
	return append(flags, certificate...)
}

// eventually waits until the condition holds; after the limit it fails the test and names the condition.
func (f *fleet) eventually(limit time.Duration, what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			f.t.Fatalf("condition not met within %s: %s", limit, what)
		}
	}
}

func (f *fleet) awaitReady() {
	f.t.Helper()
	f.eventually(readyLimit, "all instances ready and every unit owned", func() bool {
		for _, p := range f.instances {
			if p.hasExited() {
				f.t.Fatalf("%s exited during its start: %v", p.id, p.err)
			}
			if !p.ready() || !f.converged(p) {
				return false
			}
		}
		return true
	})
}

// converged reports whether an instance sees all instances live and an owner for every ownership unit.
func (f *fleet) converged(p *process) bool {
	status, ok := f.status(p)
	if !ok || len(status.Instances) != len(f.instances) || len(status.Instances) != len(dataCentres) {
		return len(f.instances) < len(dataCentres)
	}
	for _, i := range status.Instances {
		if i.State != "live" {
			return false
		}
	}
	return len(status.Ownership) == f.unitCount() && allOwned(status.Ownership)
}

// unitCount returns the number of ownership units: a rack in each data centre, the shards of both regions and the coordinator.
func (f *fleet) unitCount() int {
	const shardsPerRegion, regions, coordinator = 16, 2, 1
	return len(dataCentres) + regions*shardsPerRegion + coordinator
}

func allOwned(units []operator.UnitState) bool {
	for _, u := range units {
		if u.Owner == "" {
			return false
		}
	}
	return true
}

// status queries an instance for its status.
func (f *fleet) status(p *process) (operator.Status, bool) {
	var status operator.Status
	code, out, _ := runCtl(p, "nobody", "--output=json", "--timeout=2s", "status")
	return status, code == fault.ExitOK && json.Unmarshal([]byte(out), &status) == nil
}

// runCtl runs the operators' command-line tool against one instance.
func runCtl(p *process, author string, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	app := &ctl.App{Out: &stdout, Err: &stderr}
	all := append([]string{"--operator-url=http://" + p.operatorAddr, "--operator-token=" + operatorToken, "--author=" + author}, args...)
	code = app.Run(context.Background(), all)
	return code, stdout.String(), stderr.String()
}

func (f *fleet) writeFile(dir, name, content string) {
	f.t.Helper()
	const ownerOnly = 0o600
	if err := os.WriteFile(filepath.Join(dir, name), []byte(content), ownerOnly); err != nil {
		f.t.Fatal(err)
	}
}

// apply applies configuration files through an instance and fails the test unless they are accepted.
func (f *fleet) apply(p *process, files map[string]string) {
	f.t.Helper()
	dir := f.writeFolder(files)
	if code, out, errOut := runCtl(p, "ann", "apply", "--wait", dir); code != fault.ExitOK {
		f.t.Fatalf("apply ended with %d:\n%s%s", code, out, errOut)
	}
}

// writeFolder writes files into a new temporary folder and returns its path.
func (f *fleet) writeFolder(files map[string]string) string {
	f.t.Helper()
	dir := f.t.TempDir()
	for name, content := range files {
		f.writeFile(dir, name, content)
	}
	return dir
}

func (f *fleet) instanceByID(id api.InstanceID) *process {
	for _, p := range f.instances {
		if p.id == string(id) {
			return p
		}
	}
	f.t.Fatalf("no instance %q", id)
	return nil
}
