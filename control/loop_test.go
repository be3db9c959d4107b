package control

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/fault"
)

// Guards against a deadlock when a function on the control loop goroutine posts more functions than any fixed buffer
// holds.
func TestPostFromTheLoopDoesNotBlock(t *testing.T) {
	loop := NewLoop(clockwork.NewRealClock(), nil)
	if err := loop.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	const posts = 10_000
	count := 0
	loop.Post(func() {
		for range posts {
			loop.Post(func() { count++ })
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for seen := 0; seen < posts; {
		if err := loop.Do(ctx, func() { seen = count }); err != nil {
			t.Fatalf("after %d posts: %v", seen, err)
		}
	}
	if err := loop.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	if err := loop.Do(ctx, func() {}); !fault.Is(err, fault.CodeStopping) {
		t.Errorf("Do after Stop: %v, want %s", err, fault.CodeStopping)
	}
}
