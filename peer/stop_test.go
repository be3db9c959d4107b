package peer

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/fault"
)

// Guards against a planned stop that cuts off calls of other instances while they are served, or takes new ones.
func TestStopFinishesCallsOfPeers(t *testing.T) {
	authority := newAuthority(t)
	conf, err := authority.TLS("server")
	if err != nil {
		t.Fatal(err)
	}
	begun, release := make(chan struct{}, 1), make(chan struct{})
	server := New(Config{ID: "server", Addr: "127.0.0.1:0", Session: 1, TLS: conf, Log: zerolog.Nop()})
	server.Handle(KindStopTask, func(_ context.Context, _ Sender, p []byte) ([]byte, error) {
		begun <- struct{}{}
		<-release
		return p, nil
	})
	if err := server.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	client := startNode(t, authority, "client", nil)
	call := func() error { return client.Call(t.Context(), server.Addr(), KindStopTask, text{"x"}, &text{}) }
	first := make(chan error, 1)
	go func() { first <- call() }()
	<-begun
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(t.Context()) }()
	for !isDraining(server) {
		time.Sleep(time.Millisecond)
	}
	if err := call(); !fault.Is(err, fault.CodeStopping) || fault.OutcomeOf(err) != api.NotRun {
		t.Errorf("a call during the stop: %v, want a refusal that is not-run", err)
	}
	close(release)
	if err := <-first; err != nil {
		t.Errorf("the call in flight was cut off: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func isDraining(t *Transport) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}
