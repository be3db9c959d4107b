package manifest_test

import (
	"reflect"
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/manifest"
)

func testManifest() *manifest.Manifest {
	m := &manifest.Manifest{Version: 3, Queues: []manifest.Queue{
		{Name: "short", Host: "h.example", Prefix: "/a/"},
		{Name: "long", Host: "h.example", Prefix: "/a/b/"},
		{Name: "other", Host: "g.example", Prefix: "/a/"},
	}}
	return m.Index()
}

// Guards against assigning a job to the wrong queue.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	for name, c := range map[string]struct{ host, path, want string }{
		"short prefix":       {"h.example", "/a/x", "short"},
		"longest prefix":     {"h.example", "/a/b/x", "long"},
		"host with port":     {"h.example:8080", "/a/x", "short"},
		"host in other case": {"H.Example", "/a/x", "short"},
		"other host":         {"g.example", "/a/b/x", "other"},
		"unknown host":       {"x.example", "/a/x", ""},
		"no prefix":          {"h.example", "/c/x", ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			if q := testManifest().Match(c.host, c.path); q != nil {
				got = q.Name
			}
			if got != c.want {
				t.Errorf("queue %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against replacing the current manifest by an older or equal version.
func TestProviderNeverGoesBack(t *testing.T) {
	var p manifest.Provider
	if p.Current() != nil {
		t.Fatal("there is a manifest before the first one")
	}
	newer, older := testManifest(), (&manifest.Manifest{Version: 2}).Index()
	if !p.Update(newer) {
		t.Fatal("the first manifest was refused")
	}
	if p.Update(older) || p.Update(newer) || p.Current() != newer {
		t.Error("an older or equal version replaced the current one")
	}
}

// Guards against a setting of a queue that is lost when the queue is removed and another instance becomes the leader: its
// jobs then run under other rules, or not at all. Every field has to be stored with a job or to concern requests only.
func TestPolicyKeepsWhatDecisionsDependOn(t *testing.T) {
	requestsOnly := map[string]bool{"Host": true, "Prefix": true, "Timeout": true}
	full := manifest.Queue{
		Name: "q", Host: "h", Prefix: "/p/", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 1.5, LatencyTarget: time.Second,
		Timeout: time.Minute, Advice: &manifest.Advice{Valid: 4 * time.Second},
	}
	decoded, err := jobs.Decode[jobs.Spec]("spec", jobs.Encode(&jobs.Spec{Queue: full.Name, QueuePolicy: full.Policy()}))
	if err != nil {
		t.Fatal(err)
	}
	restored := manifest.QueueFromPolicy(decoded.Queue, decoded.QueuePolicy)
	want, got := reflect.ValueOf(full), reflect.ValueOf(*restored)
	for i := range want.NumField() {
		name := want.Type().Field(i).Name
		if want.Field(i).IsZero() {
			t.Errorf("%s has no value in this test", name)
		}
		if !requestsOnly[name] && !reflect.DeepEqual(want.Field(i).Interface(), got.Field(i).Interface()) {
			t.Errorf("%s is %v after the queue was removed, was %v", name, got.Field(i), want.Field(i))
		}
	}
}
