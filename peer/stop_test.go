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

// deafSocket drops what arrives once it is deaf, as if the last packets were still on their way.
type deafSocket struct {
	net.PacketConn
	deaf atomic.Bool
}

func (d *deafSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, addr, err := d.PacketConn.ReadFrom(p)
		if err != nil || !d.deaf.Load() {
			return n, addr, err
		}
	}
}

// Guards against an unknown outcome of a call that reaches a stopping instance too late to be refused
// (TestPlannedStopUnderLoad of package session), and against not-run for one that its handler has taken.
func TestStopTellsWhichCallsWereNotServed(t *testing.T) {
	authority := newAuthority(t)
	conf, err := authority.TLS("server")
	if err != nil {
		t.Fatal(err)
	}
	socket := &deafSocket{}
	listen := func(addr string) (net.PacketConn, error) {
		inner, err := net.ListenPacket("udp", addr)
		socket.PacketConn = inner
		return socket, err
	}
	server := New(Config{ID: "server", Addr: "127.0.0.1:0", Session: 1, TLS: conf, Listen: listen, Log: zerolog.Nop()})
	taken, release := make(chan struct{}, 1), make(chan struct{})
	server.Handle(KindStopTask, func(_ context.Context, _ Sender, p []byte) ([]byte, error) {
		taken <- struct{}{}
		<-release
		return p, nil
	})
	if err := server.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	client := startNode(t, authority, "client", nil)
	call := func() <-chan error {
		ended := make(chan error, 1)
		go func() { ended <- client.Call(t.Context(), server.Addr(), KindStopTask, text{"x"}, &text{}) }()
		return ended
	}
	served := call()
	<-taken
	socket.deaf.Store(true)
	late := call()
	// The call's packets are lost; its stream is open at the caller alone.
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
		t.Errorf("the call that was taken: %v, outcome %q, want unknown", err, fault.OutcomeOf(err))
	}
	close(release)
}
