package manifest_test

import (
	"testing"

	"bronzehook/manifest"
)

// Guards against an instance that goes on by an old manifest although another instance has named a newer one, and against
// one that never goes on because an instance has named a version that does not exist.
func TestProviderIsBehindUntilItHasReadTheNewest(t *testing.T) {
	p := manifest.NewProvider()
	p.Update((&manifest.Manifest{Version: 2}).Index())
	for _, version := range []uint64{0, 1, 2} {
		if p.NoteVersion(version); p.IsBehind() {
			t.Fatalf("behind after version %d was named", version)
		}
	}
	p.NoteVersion(5)
	p.NoteVersion(4)
	if !p.IsBehind() || p.Newest() != 5 {
		t.Fatalf("behind: %v, newest %d", p.IsBehind(), p.Newest())
	}
	<-p.Behind()
	read := p.Newest()
	p.NoteVersion(6)
	p.ConfirmCurrent(read)
	if !p.IsBehind() {
		t.Error("not behind after a read that began before version 6 was named")
	}
	p.ConfirmCurrent(p.Newest())
	if p.IsBehind() {
		t.Error("behind after a read that found no newer version")
	}
	p.NoteVersion(7)
	p.Update((&manifest.Manifest{Version: 7}).Index())
	if p.IsBehind() {
		t.Error("behind after the newest version was applied")
	}
}
