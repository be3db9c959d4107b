package instance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/backend/standin"
)

// Guards against a change that takes longer than 9 s from recording to acceptance, and shows the load on the table at
// rest.
func TestAcceptanceTimeAndTableRate(t *testing.T) {
	f := newFleet(t)
	f.startWork()
	endSamples := f.watchRevisions()
	for number := range 5 {
		n := f.nodes[number%len(f.nodes)]
		begun := time.Now()
		file := fmt.Sprintf("6%d-team.yaml", number)
		revision := f.apply(n, map[string]string{file: "kind: team\nname: team-" + string(rune('a'+number)) + "\n"})
		recorded := time.Since(begun)
		f.within(knownWithin, "the others know of the revision", func() bool { return f.knownToAll(revision) })
		f.within(acceptWithin, "the change is accepted", func() bool { return f.accepted(n, revision) })
		t.Logf("change %d through %s: recorded in %v, accepted %v after recording", number, n.self.ID, recorded, time.Since(begun)-recorded)
	}
	endSamples()
	const rest = 10 * time.Second
	reads, writes := f.tableCalls()
	time.Sleep(rest)
	readsAfter, writesAfter := f.tableCalls()
	t.Logf("at rest, 3 instances: %.1f reads/s, %.1f writes/s", float64(readsAfter-reads)/rest.Seconds(), float64(writesAfter-writes)/rest.Seconds())
	f.check()
}

// knownWithin is the time after a record within which the others know that the revision exists, so that the death of the
// instance that recorded it takes no instance back to an earlier one.
const knownWithin = 250 * time.Millisecond

// knownToAll reports whether every instance has a revision or has heard of it.
func (f *fleet) knownToAll(revision uint64) bool {
	for _, n := range f.nodes {
		bundle, err := n.rollout.Bundle()
		if err != nil || bundle.Known < revision {
			return false
		}
	}
	return true
}

func (f *fleet) tableCalls() (reads, writes int64) {
	for _, n := range f.nodes {
		reads += n.table.Reads.Load()
		writes += n.table.Writes.Load()
	}
	return reads, writes
}

// Guards against a planned stop that cuts off requests in flight, or that loses the keys that the instance answered.
func TestPlannedStopUnderLoad(t *testing.T) {
	f := newFleet(t)
	f.startWork()
	leaving, successor := f.nodes[savanna], f.nodes[montego]
	l := f.startLoad("shop", ownRegion)
	time.Sleep(2 * time.Second)
	stopAt := time.Now()
	f.stop(leaving)
	t.Logf("stopped in %v", time.Since(stopAt))
	f.within(readyWithin, "the successor owns the rack", func() bool {
		return successor.owners.View().Units[api.RackUnit("savanna", "r0")].Instance == successor.self.ID
	})
	time.Sleep(time.Second)
	l.end()
	for _, r := range append(l.idempotent, l.keyed...) {
		refused := r.err != nil && strings.Contains(r.err.Error(), "connection refused")
		if r.outcome != api.Answered && r.outcome != api.NotRun && !refused {
			t.Errorf("%s at %v after the stop began: outcome %q reason %q: %v", r.node, r.at.Sub(stopAt), r.outcome, r.reason, r.err)
		}
	}
	f.reportLoad(l, stopAt, time.Now(), "planned stop")
	asked := 0
	for _, r := range l.keyed {
		if r.node != leaving.self.ID || r.outcome != api.Answered {
			continue
		}
		asked++
		if again := f.post(successor, "shop", r.key, 2); again.outcome != api.Answered || again.body != r.body {
			t.Errorf("retry of %s at the successor: %s %s, stored answer kept: %v", r.key, again.outcome, again.reason, again.body == r.body)
		}
	}
	if asked == 0 {
		t.Error("no key was answered by the leaving instance")
	}
	f.check()
}

// leavingWithin is the time within which a leaving endpoint stops getting anything new.
const leavingWithin = 3 * time.Second

// Guards against a leaving worker that still gets requests from some instance, whichever source tells of it first.
func TestLeavingWorkerGetsNothingNew(t *testing.T) {
	sources := map[string]func(*fleet, api.WorkerID){
		"the directory": func(f *fleet, id api.WorkerID) {
			w := f.site.Worker(id).Description()
			w.Leaving = true
			f.site.Platform.Directory().PutWorker(w)
		},
		"the worker": func(f *fleet, id api.WorkerID) {
			f.site.Platform.Directory().SetFaults(standin.DirectoryFaults{Lag: time.Minute})
			f.site.Worker(id).SetLeaving(true)
		},
		"the directory of another instance only": func(f *fleet, id api.WorkerID) {
			f.nodes[kingston].directory.SetLeaving(id)
		},
	}
	for name, announce := range sources {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.startWork()
			if name == "the worker" {
				time.Sleep(time.Second)
			}
			l := f.startLoad("shop", anyRegion)
			time.Sleep(time.Second)
			id := f.busiestWorker("montego")
			at := time.Now()
			announce(f, id)
			time.Sleep(leavingWithin + 3*time.Second)
			l.end()
			late, before := 0, 0
			for _, e := range f.site.Worker(id).Journal().Executions() {
				if e.Start.Before(at) {
					before++
				}
				if e.Start.After(at.Add(leavingWithin)) {
					late++
				}
			}
			if before == 0 || late > 0 {
				t.Errorf("%d requests before the worker began to leave, %d begun later than %v after it", before, late, leavingWithin)
			}
			f.check()
		})
	}
}

// busiestWorker returns the worker of a data centre that executed the most requests. Routing may leave an endpoint out
// whose first answer was slow, and a session on that worker would show nothing.
func (f *fleet) busiestWorker(dataCentre string) api.WorkerID {
	var busiest api.WorkerID
	most := -1
	for _, w := range f.site.Workers() {
		count := len(w.Journal().Executions())
		if w.Description().Location.DataCentre == dataCentre && count > most {
			busiest, most = w.Description().ID, count
		}
	}
	return busiest
}

// Guards against a wrong directory that removes a live instance from duty, or adds a dead one that holds the fleet up.
func TestWrongDirectory(t *testing.T) {
	f := newFleet(t)
	f.startWork()
	units := f.nodes[montego].owners.View().Units
	ghost := api.Instance{ID: "savanna-9", Addr: "127.0.0.1:9", Location: testLocations[savanna]}
	l := f.startLoad("shop", ownRegion)
	from := time.Now()
	f.site.Platform.Directory().SetFaults(standin.DirectoryFaults{
		Omit: []string{"savanna-1"}, Add: []backend.Entry{{Kind: backend.EntryInstance, Instance: &ghost}},
	})
	f.during(8*time.Second, "all stay ready with the units they had", func() bool {
		return f.allReady() && sameOwners(units, f.nodes[kingston].owners.View().Units)
	})
	revision := f.apply(f.nodes[kingston], map[string]string{"60-x.yaml": "kind: team\nname: other\n"})
	f.within(acceptWithin, "a change is accepted", func() bool { return f.accepted(f.nodes[kingston], revision) })
	f.site.Platform.Directory().SetFaults(standin.DirectoryFaults{Lag: 10 * time.Second})
	late := f.add("montego-2", testLocations[montego])
	f.start(late)
	took := f.within(10*time.Second, "an instance that the directory does not list yet is ready", func() bool { return late.Ready() == nil })
	t.Logf("the unlisted instance was ready after %v", took)
	f.within(readyWithin, "the others count it as live", f.allLive)
	l.end()
	for kind, replies := range map[string][]reply{"idempotent": l.idempotent, "keyed": l.keyed} {
		if total, failures := unanswered(replies, from, time.Now()); total == 0 || len(failures) > 0 {
			t.Errorf("%s requests with a wrong directory: %d sent, without answer: %v", kind, total, failures)
		}
	}
	f.check()
}
