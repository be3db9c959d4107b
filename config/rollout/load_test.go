package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/config/rollout/tabletest"
	"bronzehook/kernel"
)

// Guards against accepting a revision that an instance has not activated, and against waiting for an instance whose
// instance lease has expired.
func TestAccepted(t *testing.T) {
	s := newService("a", tabletest.New(), nil)
	s.options.Instances = fakeInstances{{ID: "a"}, {ID: "b", Revision: 1}, {ID: "c", Expired: true}, {ID: "d"}}
	start(t, s)
	mustRecord(t, s, change("ann", edit("x.yaml", "first", 0)))
	accepted, waiting := s.Accepted(1)
	if diff := cmp.Diff([]InstanceStatus{{ID: "d"}}, waiting); accepted || diff != "" {
		t.Errorf("accepted = %v, waiting (-want +got):\n%s", accepted, diff)
	}
	s.options.Instances = fakeInstances{{ID: "d", Revision: 1}}
	if accepted, _ := s.Accepted(1); !accepted {
		t.Error("not accepted although all have the revision")
	}
}

// Guards against polls that load the table with more than one read while nothing has changed, and against reading files
// that have not changed.
func TestReadsOfTheTable(t *testing.T) {
	table := tabletest.New()
	s := start(t, newService("a", table, nil))
	for i := range 20 {
		name := string(rune('a' + i))
		mustRecord(t, s, change("ann", edit(name+".yaml", name, 0)))
	}
	follower := newService("b", table, nil)
	follower.options.PollInterval = time.Hour
	start(t, follower)
	mustRecord(t, s, change("ann", edit("a.yaml", "changed", 1)))
	if err := s.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	before, _ := table.Counts()
	follower.refresh(t.Context())
	changed, _ := table.Counts()
	follower.refresh(t.Context())
	idle, _ := table.Counts()
	if changed-before != 3 || idle-changed != 1 || follower.Snapshot().Revision != 21 {
		t.Errorf("%d reads for one changed file, %d for an idle poll; want 3 (head, recent, file) and 1", changed-before, idle-changed)
	}
}

// Guards against a slow load that activates its older revision after a later one.
func TestOlderSnapshotIsNotActivated(t *testing.T) {
	s := start(t, newService("a", tabletest.New(), nil))
	mustRecord(t, s, change("ann", edit("x.yaml", "first", 0)))
	older := s.Snapshot()
	mustRecord(t, s, change("ann", edit("x.yaml", "second", 1)))
	s.activate(older, FromTable)
	if got := s.Snapshot().Revision; got != 2 {
		t.Errorf("revision = %d, want 2", got)
	}
}

// hookedTable calls hook once, before the first read of key.
type hookedTable struct {
	*tabletest.Table
	key  string
	hook func()
}

func (h *hookedTable) Get(ctx context.Context, key string) (backend.Row, error) {
	if hook := h.hook; key == h.key && hook != nil {
		h.hook = nil
		hook()
	}
	return h.Table.Get(ctx, key)
}

// Guards against a snapshot that mixes the files of two revisions. A change is recorded between two reads of one load.
func TestChangeDuringLoad(t *testing.T) {
	table := tabletest.New()
	writer := start(t, newService("a", table, nil))
	mustRecord(t, writer, change("ann", edit("x.yaml", "first", 0)))
	reader := newService("b", table, nil)
	hooked := &hookedTable{Table: table, key: KeyRecent, hook: func() {
		mustRecord(t, writer, change("ann", edit("x.yaml", "second", 1)))
	}}
	reader.table.table = hooked
	if _, err := reader.Latest(t.Context()); err != nil {
		t.Fatal(err)
	}
	snapshot := reader.Snapshot()
	if snapshot.Revision != 2 || snapshot.Digest != digestFiles(snapshot.Files()) {
		t.Errorf("revision %d has digest %s, its files have %s", snapshot.Revision, snapshot.Digest, digestFiles(snapshot.Files()))
	}
}

// Guards against a missing event of an activated revision, and against an event with a wrong source.
func TestActivationEvents(t *testing.T) {
	table := tabletest.New()
	writer, reader := newService("a", table, nil), newService("b", table, nil)
	// Each instance has its own bus, and the order of delivery between two buses is undefined.
	events := map[api.InstanceID]chan Activation{}
	for _, s := range []*Service{writer, reader} {
		received := make(chan Activation, 4)
		events[s.options.Self] = received
		if err := kernel.Subscribe(t.Context(), s.options.Bus, TopicActivation, func(e Activation) { received <- e }); err != nil {
			t.Fatal(err)
		}
	}
	mustRecord(t, writer, change("ann", edit("x.yaml", "first", 0)))
	reader.refresh(t.Context())
	digest := reader.Snapshot().Digest
	for _, want := range []Activation{
		{Instance: "a", Revision: 1, Author: "ann", Digest: digest, Source: FromRecord},
		{Instance: "b", Revision: 1, Author: "ann", Digest: digest, Source: FromTable},
	} {
		select {
		case got := <-events[want.Instance]:
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("event (-want +got):\n%s", diff)
			}
		case <-time.After(testMaxWait):
			t.Fatal("no event")
		}
	}
}
