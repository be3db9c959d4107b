package instance

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/backend/fake"
)

// Guards against a change that takes longer than 9 s from recording to acceptance, and logs the call rate of an idle
// fleet on the table.
func TestAcceptanceTimeAndTableRate(t *testing.T) {
	f := newFleet(t)
	f.startWorkloads()
	endSamples := f.watchForRevisionDecrease()
	for number := range 5 {
		n := f.instances[number%len(f.instances)]
		start := time.Now()
		file := fmt.Sprintf("6%d-team.yaml", number)
		revision := f.apply(n, map[string]string{file: "kind: team\nname: team-" + string(rune('a'+number)) + "\n"})
		recorded := time.Since(start)
		f.eventually(propagationTimeout, "the other instances know of the revision", func() bool { return f.knownToAllInstances(revision) })
		f.eventually(acceptanceTimeout, "the change is accepted", func() bool { return f.accepted(n, revision) })
		t.Logf("change %d through %s: recorded in %v, accepted %v after recording", number, n.self.ID, recorded, time.Since(start)-recorded)
	}
	endSamples()
	const idle = 10 * time.Second
	reads, writes := f.tableCalls()
	time.Sleep(idle)
	readsAfter, writesAfter := f.tableCalls()
	t.Logf("idle, 3 instances: %.1f reads/s, %.1f writes/s", float64(readsAfter-reads)/idle.Seconds(), float64(writesAfter-writes)/idle.Seconds())
	f.checkInvariants()
}

// Guards against an operator who is told that a change is in force, and whose next request gets 404 because the instance
// does not route by it yet.
func TestAcceptedServiceIsRouted(t *testing.T) {
	f := newFleet(t)
	f.startWorkloads()
	for number := range 6 {
		service := fmt.Sprintf("new-%d", number)
		content := "kind: service\nname: " + service + "\nurgency: high\nreplicas: 1\ncommand: [serve, 2ms]\nteam: web\ncpu: 100m\nmemory: 64MiB\n"
		revision := f.apply(f.instances[montego], map[string]string{"70-" + service + ".yaml": content})
		f.eventually(acceptanceTimeout, "the change is accepted", func() bool { return f.accepted(f.instances[montego], revision) })
		for _, n := range f.instances {
			if r := f.get(n, service); r.status == http.StatusNotFound {
				t.Errorf("%s does not route %s although revision %d is accepted", n.self.ID, service, revision)
			}
		}
	}
}

// propagationTimeout is the time after the recording of a revision within which the other instances know that it
// exists, so that a crash of the recording instance takes no instance back to an earlier revision.
const propagationTimeout = 250 * time.Millisecond

// knownToAllInstances reports whether every instance has a revision or knows that it exists.
func (f *fleet) knownToAllInstances(revision uint64) bool {
	for _, n := range f.instances {
		bundle, err := n.rollout.Bundle()
		if err != nil || bundle.HighestKnown < revision {
			return false
		}
	}
	return true
}

func (f *fleet) tableCalls() (reads, writes int64) {
	for _, n := range f.instances {
		reads += n.table.Reads.Load()
		writes += n.table.Writes.Load()
	}
	return reads, writes
}

// Guards against a planned stop that cuts off requests in flight, or that loses the idempotency keys of requests that
// the instance answered.
func TestPlannedStopUnderLoad(t *testing.T) {
	f := newFleet(t)
	f.startWorkloads()
	leaving, successor := f.instances[savanna], f.instances[montego]
	l := f.startLoad("shop", homeRegionPrefix)
	time.Sleep(2 * time.Second)
	stopAt := time.Now()
	f.stop(leaving)
	t.Logf("stopped in %v", time.Since(stopAt))
	f.eventually(readyTimeout, "the successor owns the rack", func() bool {
		return successor.owners.View().Units[api.RackUnit("savanna", "r0")].Instance == successor.self.ID
	})
	time.Sleep(time.Second)
	l.finish()
	for _, r := range append(l.idempotent, l.keyed...) {
		refused := r.err != nil && strings.Contains(r.err.Error(), "connection refused")
		if r.outcome != api.Answered && r.outcome != api.NotRun && !refused {
			t.Errorf("%s at %v after the stop began: status %d, outcome %q, reason %q, body %q: %v",
				r.instance, r.at.Sub(stopAt), r.status, r.outcome, r.reason, r.body, r.err)
		}
	}
	f.reportLoad(l, stopAt, time.Now(), "planned stop")
	retried := 0
	for _, r := range l.keyed {
		if r.instance != leaving.self.ID || r.outcome != api.Answered {
			continue
		}
		retried++
		if retry := f.post(successor, "shop", r.key, 2); retry.outcome != api.Answered || retry.body != r.body {
			t.Errorf("retry of %s at the successor: %s %s, stored response kept: %v", r.key, retry.outcome, retry.reason, retry.body == r.body)
		}
	}
	if retried == 0 {
		t.Error("no key was answered by the leaving instance")
	}
	f.checkInvariants()
}

// leavingTimeout is the time within which a leaving endpoint stops receiving new requests.
const leavingTimeout = 3 * time.Second

// Guards against a leaving worker that still receives requests from some instance, whichever source reports it first.
func TestLeavingWorkerGetsNoNewRequests(t *testing.T) {
	sources := map[string]func(*fleet, api.WorkerID){
		"the directory": func(f *fleet, id api.WorkerID) {
			w := f.site.Worker(id).Description()
			w.Leaving = true
			f.site.Platform.Directory().PutWorker(w)
		},
		"the worker": func(f *fleet, id api.WorkerID) {
			f.site.Platform.Directory().SetFaults(fake.DirectoryFaults{Lag: time.Minute})
			f.site.Worker(id).SetLeaving(true)
		},
		"the directory of another instance only": func(f *fleet, id api.WorkerID) {
			f.instances[kingston].directory.SetLeaving(id)
		},
	}
	for name, announce := range sources {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.startWorkloads()
			if name == "the worker" {
				time.Sleep(time.Second)
			}
			l := f.startLoad("shop", noKeyPrefix)
			time.Sleep(time.Second)
			id := f.busiestWorkerIn("montego")
			at := time.Now()
			announce(f, id)
			time.Sleep(leavingTimeout + 3*time.Second)
			l.finish()
			late, before := 0, 0
			for _, e := range f.site.Worker(id).EventLog().Executions() {
				if e.Start.Before(at) {
					before++
				}
				if e.Start.After(at.Add(leavingTimeout)) {
					late++
				}
			}
			if before == 0 || late > 0 {
				t.Errorf("%d requests before the worker was leaving, %d started later than %v after that", before, late, leavingTimeout)
			}
			f.checkInvariants()
		})
	}
}

// busiestWorkerIn returns the worker of a data centre that executed the most requests. Routing may leave out an
// endpoint whose first response was slow, and a test on that worker would show nothing.
func (f *fleet) busiestWorkerIn(dataCentre string) api.WorkerID {
	var busiest api.WorkerID
	most := -1
	for _, w := range f.site.Workers() {
		count := len(w.EventLog().Executions())
		if w.Description().Location.DataCentre == dataCentre && count > most {
			busiest, most = w.Description().ID, count
		}
	}
	return busiest
}

// Guards against an incorrect directory that removes a live instance from the fleet, or adds a non-existent one that
// blocks the fleet.
func TestWrongDirectory(t *testing.T) {
	f := newFleet(t)
	f.startWorkloads()
	units := f.instances[montego].owners.View().Units
	nonexistent := api.Instance{ID: "savanna-9", Addr: "127.0.0.1:9", Location: testLocations[savanna]}
	l := f.startLoad("shop", homeRegionPrefix)
	from := time.Now()
	f.site.Platform.Directory().SetFaults(fake.DirectoryFaults{
		Omit: []string{"savanna-1"}, Add: []backend.Entry{{Kind: backend.EntryInstance, Instance: &nonexistent}},
	})
	f.throughout(8*time.Second, "all stay ready with the units they had", func() bool {
		return f.allReady() && sameOwners(units, f.instances[kingston].owners.View().Units)
	})
	revision := f.apply(f.instances[kingston], map[string]string{"60-x.yaml": "kind: team\nname: other\n"})
	f.eventually(acceptanceTimeout, "a change is accepted", func() bool { return f.accepted(f.instances[kingston], revision) })
	f.site.Platform.Directory().SetFaults(fake.DirectoryFaults{Lag: 10 * time.Second})
	unlisted := f.add("montego-2", testLocations[montego])
	f.start(unlisted)
	took := f.eventually(10*time.Second, "an instance that the directory does not list yet is ready", func() bool { return unlisted.Ready() == nil })
	t.Logf("the unlisted instance was ready after %v", took)
	f.eventually(readyTimeout, "the other instances see it as live", f.allLive)
	l.finish()
	for kind, replies := range map[string][]reply{"idempotent": l.idempotent, "keyed": l.keyed} {
		if total, failures := unanswered(replies, from, time.Now()); total == 0 || len(failures) > 0 {
			t.Errorf("%s requests with an incorrect directory: %d sent, without response: %v", kind, total, failures)
		}
	}
	f.checkInvariants()
}
