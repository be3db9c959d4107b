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
	"bronzehook/backend/standin"
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
	// readyLimit bounds the start of the fleet, until every unit has an owner.
	readyLimit = 30 * time.Second
	pollEvery  = 50 * time.Millisecond
	// hold is above the period of heartbeats (1 s) and renewals (2 s), so that authority does not lapse between them.
	hold      = 3 * time.Second
	taskLease = 3 * time.Second
)

var dataCentres = []api.Location{
	{Region: "cornwall", DataCentre: "montego"},
	{Region: "cornwall", DataCentre: "savanna"},
	{Region: "surrey", DataCentre: "kingston"},
}

// fleet is a site with three instances, one in each data centre.
type fleet struct {
	t         *testing.T
	site      *standin.Site
	instances []*process
}

// running holds one value for each fleet that runs; its capacity bounds how many run at one time.
var running = make(chan struct{}, 3)

// startFleet starts the site and the instances, and waits until every instance is ready and every unit has an owner.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	running <- struct{}{}
	t.Cleanup(func() { <-running })
	f := &fleet{t: t, site: startSite(t)}
	dir := t.TempDir()
	authority, err := peer.NewDevAuthority()
	if err != nil {
		t.Fatal(err)
	}
	writeAuthority(t, filepath.Join(dir, "ca.pem"), authority)
	for _, location := range dataCentres {
		id := location.DataCentre + "-1"
		p := &process{id: id, location: location, log: filepath.Join(dir, id+".log"),
			callerAddr: loopback.Addr(), operatorAddr: loopback.Addr(), peerAddr: loopback.Addr()}
		f.site.Platform.Directory().PutInstance(api.Instance{ID: api.InstanceID(id), Addr: p.peerAddr, Location: location})
		flags := f.flags(p, writeCertificate(t, dir, id, authority, filepath.Join(dir, "ca.pem")))
		p.start(t, flags)
		f.instances = append(f.instances, p)
	}
	f.waitReady()
	return f
}

func startSite(t *testing.T) *standin.Site {
	t.Helper()
	const cores, memory, thousandths = 8, 16 << 10, 1000
	site, err := standin.NewSite(standin.SiteConfig{DataCentres: dataCentres, WorkersPerDataCentre: workersPerDataCentre,
		Capacity: api.Resources{MilliCPU: cores * thousandths, MemoryMB: memory}, Slots: workerSlots,
		Connections: workerConnections, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	return site
}

func (f *fleet) flags(p *process, certificate []string) []string {
	flags := []string{"--id=" + p.id, "--region=" + p.location.Region, "--data-centre=" + p.location.DataCentre,
		"--regions=cornwall", "--regions=surrey", "--caller-addr=" + p.callerAddr, "--operator-addr=" + p.operatorAddr,
		"--peer-addr=" + p.peerAddr, "--platform-url=" + f.site.URL, "--operator-token=" + operatorToken,
		"--hold=" + hold.String(), "--task-lease=" + taskLease.String()}
	return append(flags, certificate...)
}

// eventually waits until the condition holds, and fails the test with what was awaited otherwise.
func (f *fleet) eventually(limit time.Duration, what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(pollEvery) {
		if time.Now().After(end) {
			f.t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

func (f *fleet) waitReady() {
	f.t.Helper()
	f.eventually(readyLimit, "all instances ready and every unit owned", func() bool {
		for _, p := range f.instances {
			if p.hasEnded() {
				f.t.Fatalf("%s ended during its start: %v", p.id, p.err)
			}
			if !p.ready() || !f.settled(p) {
				return false
			}
		}
		return true
	})
}

// settled reports whether an instance sees all instances live and an owner for every unit.
func (f *fleet) settled(p *process) bool {
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

// unitCount is the number of units: a rack in each data centre, the shards of both regions and the coordinator.
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

// status asks an instance for its status.
func (f *fleet) status(p *process) (operator.Status, bool) {
	var status operator.Status
	code, out, _ := operate(p, "nobody", "--output=json", "--timeout=2s", "status")
	return status, code == fault.ExitOK && json.Unmarshal([]byte(out), &status) == nil
}

// operate runs the operators' command line against one instance.
func operate(p *process, author string, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	app := &ctl.App{Out: &stdout, Err: &stderr}
	all := append([]string{"--operator-url=http://" + p.operatorAddr, "--operator-token=" + operatorToken, "--author=" + author}, args...)
	code = app.Run(context.Background(), all)
	return code, stdout.String(), stderr.String()
}

func (f *fleet) write(dir, name, content string) {
	f.t.Helper()
	const ownerOnly = 0o600
	if err := os.WriteFile(filepath.Join(dir, name), []byte(content), ownerOnly); err != nil {
		f.t.Fatal(err)
	}
}

// apply applies files and fails the test unless they are accepted.
func (f *fleet) apply(p *process, files map[string]string) {
	f.t.Helper()
	dir := f.folder(files)
	if code, out, errOut := operate(p, "ann", "apply", "--wait", dir); code != fault.ExitOK {
		f.t.Fatalf("apply ended with %d:\n%s%s", code, out, errOut)
	}
}

// folder writes files into a fresh folder.
func (f *fleet) folder(files map[string]string) string {
	f.t.Helper()
	dir := f.t.TempDir()
	for name, content := range files {
		f.write(dir, name, content)
	}
	return dir
}

func (f *fleet) named(id api.InstanceID) *process {
	for _, p := range f.instances {
		if p.id == string(id) {
			return p
		}
	}
	f.t.Fatalf("no instance %q", id)
	return nil
}
