package fake_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/backend/fake"
	"bronzehook/backend/httpbackend"
	"bronzehook/fault"
)

const shortTimeout = 100 * time.Millisecond

// sendJSON sends value as JSON, in the way that another process injects faults.
func sendJSON(t *testing.T, method, url string, value any) {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: status %d", method, url, response.StatusCode)
	}
}

// Guards against store faults that have no effect, that affect the other store, that undo a write whose reply was lost,
// or that persist after their removal.
func TestStoreFaults(t *testing.T) {
	write := backend.Txn{OpID: "write", Writes: []backend.Write{{Key: "k", Value: []byte("v")}}}
	cases := map[string]struct {
		faults fake.StoreFaults
		want   fault.Code
		// written is whether the write can be read after the fault is removed.
		written bool
	}{
		"none":               {fake.StoreFaults{}, "", true},
		"down":               {fake.StoreFaults{Down: true}, fault.CodeStoreUnavailable, false},
		"reply lost":         {fake.StoreFaults{LoseReplies: 1}, fault.CodeStoreUnavailable, true},
		"random lost reply":  {fake.StoreFaults{LoseProbability: 1}, fault.CodeStoreUnavailable, true},
		"slower than caller": {fake.StoreFaults{Delay: 2 * shortTimeout}, fault.CodeStoreUnavailable, true},
		"slow, but in time":  {fake.StoreFaults{Delay: shortTimeout / 10}, "", true},
		"down after a delay": {fake.StoreFaults{Delay: time.Millisecond, Down: true}, fault.CodeStoreUnavailable, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := fake.NewPlatform(clockwork.NewRealClock())
			server := httptest.NewServer(p.Handler())
			defer server.Close()
			ctx := context.Background()
			timeout := callTimeout
			if name == "slower than caller" {
				timeout = shortTimeout
			}
			client := httpbackend.New(server.URL, nil, timeout)
			sendJSON(t, http.MethodPut, server.URL+fake.PathTableFaults, c.faults)
			_, err := client.Table().Commit(ctx, write)
			wantCode(t, err, c.want)
			wantCode(t, client.Objects().Put(ctx, "a/b c", nil), "")
			sendJSON(t, http.MethodPut, server.URL+fake.PathTableFaults, fake.StoreFaults{})
			sendJSON(t, http.MethodPut, server.URL+fake.PathObjectFaults, c.faults)
			wantCode(t, client.Objects().Put(ctx, "o/1", []byte("data")), c.want)
			sendJSON(t, http.MethodPut, server.URL+fake.PathObjectFaults, fake.StoreFaults{})
			seen := func() bool {
				row, _ := client.Table().Get(ctx, "k")
				data, _ := client.Objects().Get(ctx, "o/1")
				return string(row.Value) == "v" && string(data) == "data"
			}
			if !c.written && seen() {
				t.Error("a refused write took effect")
			}
			if c.written {
				eventually(t, seen, "the write can be read")
			}
		})
	}
}

// Guards against lost replies that are not reproducible with the same seed, and against more of them than configured.
func TestLostRepliesMatchTheirConfiguration(t *testing.T) {
	lost := func(f fake.StoreFaults) string {
		p := fake.NewPlatform(clockwork.NewFakeClock())
		p.SetTableFaults(f)
		var pattern strings.Builder
		for n := range 64 {
			_, err := p.Table().Commit(context.Background(), backend.Txn{OpID: strconv.Itoa(n)})
			if err == nil {
				pattern.WriteByte('.')
				continue
			}
			wantCode(t, err, fault.CodeStoreUnavailable)
			pattern.WriteByte('x')
		}
		return pattern.String()
	}
	if got := lost(fake.StoreFaults{LoseReplies: 3}); got != "xxx"+strings.Repeat(".", 61) {
		t.Errorf("three lost replies: %s", got)
	}
	first := lost(fake.StoreFaults{LoseProbability: 0.5, Seed: 1})
	if again := lost(fake.StoreFaults{LoseProbability: 0.5, Seed: 1}); again != first {
		t.Errorf("the same seed gave %s and %s", first, again)
	}
	if other := lost(fake.StoreFaults{LoseProbability: 0.5, Seed: 2}); other == first {
		t.Errorf("two seeds gave the same pattern %s", first)
	}
}

// Guards against an object that can still be read after its deletion.
func TestObjectsAreDeleted(t *testing.T) {
	server := httptest.NewServer(fake.NewPlatform(clockwork.NewRealClock()).Handler())
	defer server.Close()
	ctx := context.Background()
	objects := httpbackend.New(server.URL, nil, callTimeout).Objects()
	wantCode(t, objects.Put(ctx, "a/b?c", []byte("data")), "")
	for range 2 {
		wantCode(t, objects.Delete(ctx, "a/b?c"), "")
		_, err := objects.Get(ctx, "a/b?c")
		wantCode(t, err, fault.CodeNotFound)
	}
}

// Guards against a directory that lists changes before the configured lag has passed, or that ignores the entries to
// omit and to add.
func TestDirectoryFaults(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := fake.NewPlatform(clock)
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	directory := httpbackend.New(server.URL, nil, callTimeout).Directory()
	setFaults := func(f fake.DirectoryFaults) {
		sendJSON(t, http.MethodPut, server.URL+fake.PathDirectoryFaults, f)
	}
	check := func(step, want string) {
		t.Helper()
		entries, err := directory.List(context.Background())
		wantCode(t, err, "")
		if got := listing(entries); got != want {
			t.Errorf("%s: %q, want %q", step, got, want)
		}
	}
	instance := api.Instance{ID: "i1", Addr: "127.0.0.1:1"}
	sendJSON(t, http.MethodPut, server.URL+"/directory/instances/i1", instance)
	p.Directory().PutWorker(api.Worker{ID: "w1"})
	check("registered", "i1 w1")
	clock.Advance(10 * time.Second)
	setFaults(fake.DirectoryFaults{Lag: 5 * time.Second})
	sendJSON(t, http.MethodDelete, server.URL+"/directory/instances/i1", nil)
	p.Directory().PutWorker(api.Worker{ID: "w1", Leaving: true})
	clock.Advance(4 * time.Second)
	check("before the lag has passed", "i1 w1")
	clock.Advance(time.Second)
	check("after the lag", "w1-leaving")
	setFaults(fake.DirectoryFaults{
		Omit: []string{"w1"},
		Add:  []backend.Entry{{Kind: backend.EntryInstance, Instance: &api.Instance{ID: "ghost"}}},
	})
	check("wrong entries", "ghost")
	setFaults(fake.DirectoryFaults{})
	check("without faults", "w1-leaving")
}

func listing(entries []backend.Entry) string {
	var names []string
	for _, e := range entries {
		switch {
		case e.Instance != nil:
			names = append(names, string(e.Instance.ID))
		case e.Worker.Leaving:
			names = append(names, string(e.Worker.ID)+"-leaving")
		default:
			names = append(names, string(e.Worker.ID))
		}
	}
	return strings.Join(names, " ")
}
