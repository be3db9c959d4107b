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

// Guards against a job in the wrong queue.
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

// Guards against a version that goes back.
func TestHolderNeverGoesBack(t *testing.T) {
	var h manifest.Provider
	if h.Current() != nil {
		t.Fatal("a manifest before the first")
	}
	newer, older := testManifest(), (&manifest.Manifest{Version: 2}).Index()
	if !h.Offer(newer) {
		t.Fatal("the first manifest was refused")
	}
	if h.Offer(older) || h.Offer(newer) || h.Current() != newer {
		t.Error("an older or equal version replaced the one in force")
	}
}
