package manifest_test

import (
	"testing"

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
