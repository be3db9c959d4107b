package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/fault"
)

// startBlocking starts a server whose handler signals started and then waits until release is closed.
func startBlocking(t *testing.T, server *Transport) (started <-chan struct{}, release chan<- struct{}) {
	t.Helper()
	begun, proceed := make(chan struct{}, 1), make(chan struct{})
	server.Handle(KindStopTask, func(_ context.Context, _ Sender, p []byte) ([]byte, error) {
		begun <- struct{}{}
		<-proceed
		return p, nil
	})
	if err := server.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return begun, proceed
}

// Guards against a planned stop that aborts calls of other instances while they are served, or accepts new ones.
func TestStopFinishesCallsOfPeers(t *testing.T) {
	authority := newAuthority(t)
	conf, err := authority.TLS("server")
	if err != nil {
		t.Fatal(err)
	}
	server := New(Config{ID: "server", Addr: "127.0.0.1:0", Session: 1, TLS: conf, Log: zerolog.Nop()})
	started, release := startBlocking(t, server)
	client := startNode(t, authority, "client", nil)
	call := func() error { return client.Call(t.Context(), server.Addr(), KindStopTask, text{"x"}, &text{}) }
	first := make(chan error, 1)
	go func() { first <- call() }()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(t.Context()) }()
	for !isDraining(server) {
		time.Sleep(time.Millisecond)
	}
	if err := call(); !fault.Is(err, fault.CodeStopping) || fault.OutcomeOf(err) != api.NotRun {
		t.Errorf("call during the stop: %v, want stopping and not-run", err)
	}
	close(release)
	if err := <-first; err != nil {
		t.Errorf("the call in flight was aborted: %v", err)
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

// lossySocket drops all incoming packets once dropping is set, as if they were still in transit.
type lossySocket struct {
	net.PacketConn
	dropping atomic.Bool
}

func (l *lossySocket) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, addr, err := l.PacketConn.ReadFrom(p)
		if err != nil || !l.dropping.Load() {
			return n, addr, err
		}
	}
}

// Guards against the outcome unknown for a call that reaches a stopping instance too late to be rejected, as in
// TestPlannedStopUnderLoad of package session, and against not-run for a call whose handler has started.
func TestStopReportsCallsNotServed(t *testing.T) {
	authority := newAuthority(t)
	conf, err := authority.TLS("server")
	if err != nil {
		t.Fatal(err)
	}
	socket := &lossySocket{}
	listen := func(addr string) (net.PacketConn, error) {
		inner, err := net.ListenPacket("udp", addr)
		socket.PacketConn = inner
		return socket, err
	}
	server := New(Config{ID: "server", Addr: "127.0.0.1:0", Session: 1, TLS: conf, Listen: listen, Log: zerolog.Nop()})
	started, release := startBlocking(t, server)
	client := startNode(t, authority, "client", nil)
	call := func() <-chan error {
		done := make(chan error, 1)
		go func() { done <- client.Call(t.Context(), server.Addr(), KindStopTask, text{"x"}, &text{}) }()
		return done
	}
	served := call()
	<-started
	socket.dropping.Store(true)
	late := call()
	// The packets of the call are lost, so its stream is open at the caller only.
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := server.Stop(ctx); !fault.Is(err, fault.CodeTimeout) {
		t.Errorf("stop while a handler runs: %v", err)
	}
	if err := <-late; !fault.Is(err, fault.CodeStopping) || fault.OutcomeOf(err) != api.NotRun {
		t.Errorf("the late call: %v, outcome %q, want stopping and not-run", err, fault.OutcomeOf(err))
	}
	if err := <-served; fault.OutcomeOf(err) != api.Unknown {
		t.Errorf("the served call: %v, outcome %q, want unknown", err, fault.OutcomeOf(err))
	}
	close(release)
}
