package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/fault"
)

const testKind = KindForward

// node is a transport on a filtered socket.
type node struct {
	*Transport
	filter *FilterConn
}

// startNode starts a transport and stops it at the end of the test.
func startNode(t *testing.T, authority *DevAuthority, id api.InstanceID, register func(*Transport)) *node {
	t.Helper()
	conf, err := authority.TLS(id)
	if err != nil {
		t.Fatal(err)
	}
	n := &node{}
	listen := func(addr string) (net.PacketConn, error) {
		filter, err := ListenFiltered(addr)
		n.filter = filter
		return filter, err
	}
	n.Transport = New(Config{ID: id, Addr: "127.0.0.1:0", Session: 7, TLS: conf, Listen: listen, Log: zerolog.Nop()})
	if register != nil {
		register(n.Transport)
	}
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := n.Stop(ctx); err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	return n
}

func newAuthority(t *testing.T) *DevAuthority {
	t.Helper()
	authority, err := NewDevAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

type text struct {
	Text string `cbor:"1,keyasint"`
}

// Guards against errors that lose their code or outcome between handler and caller, and against the outcome not-run for
// a request that a handler may have seen.
func TestCallOutcomes(t *testing.T) {
	authority := newAuthority(t)
	block := make(chan struct{})
	defer close(block)
	server := startNode(t, authority, "server", func(tr *Transport) {
		HandleTyped(tr, KindAssignTask, func(_ context.Context, from Sender, m text) (text, error) {
			switch m.Text {
			case "not-run":
				return m, fault.NotRun(fault.New(fault.CodeOverloaded, "test", "full"))
			case "plain":
				return m, fault.New(fault.CodeStaleEpoch, "test", "old")
			case "block":
				<-block
			}
			return text{m.Text + " from " + string(from.ID)}, nil
		})
	})
	client := startNode(t, authority, "client", nil)
	untrusted := startNode(t, newAuthority(t), "stranger", nil)
	cases := []struct {
		name    string
		from    *node
		addr    string
		kind    Kind
		text    string
		code    fault.Code
		outcome api.Outcome
	}{
		{"a response must arrive", client, server.Addr(), KindAssignTask, "hello", "", api.Answered},
		{"a handler's not-run must survive", client, server.Addr(), KindAssignTask, "not-run", fault.CodeOverloaded, api.NotRun},
		{"a handler's error without an outcome must be unknown", client, server.Addr(), KindAssignTask, "plain", fault.CodeStaleEpoch, api.Unknown},
		{"a missing handler must be not-run", client, server.Addr(), KindBulk, "x", fault.CodeNotReady, api.NotRun},
		{"a caller's time-out after dispatch must be unknown", client, server.Addr(), KindAssignTask, "block", fault.CodeTimeout, api.Unknown},
		{"a failed dial must be not-run", client, "127.0.0.1:1", KindAssignTask, "x", fault.CodeTimeout, api.NotRun},
		{"a caller with an untrusted certificate must reach no handler", untrusted, server.Addr(), KindAssignTask, "x", fault.CodeUnreachable, api.NotRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			got, err := Call[text, text](ctx, tc.from.Transport, tc.addr, tc.kind, text{tc.text})
			if fault.OutcomeOf(err) != tc.outcome {
				t.Fatalf("outcome = %s (%v), want %s", fault.OutcomeOf(err), err, tc.outcome)
			}
			if err != nil && fault.CodeOf(err) != tc.code {
				t.Errorf("code = %s, want %s", fault.CodeOf(err), tc.code)
			}
			if err == nil && got.Text != "hello from client" {
				t.Errorf("response = %q", got.Text)
			}
		})
	}
}

// Guards against one connection per direction, and against a network partition that lasts after the link was restored.
func TestConnectionIsReusedAndRestored(t *testing.T) {
	authority := newAuthority(t)
	echo := func(tr *Transport) {
		tr.Handle(KindStopTask, func(_ context.Context, _ Sender, p []byte) ([]byte, error) { return p, nil })
	}
	a := startNode(t, authority, "a", echo)
	b := startNode(t, authority, "b", echo)
	call := func(from, to *node, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		var response text
		return from.Call(ctx, to.Addr(), KindStopTask, text{"x"}, &response)
	}
	if err := call(a, b, time.Second); err != nil {
		t.Fatal(err)
	}
	if err := call(b, a, time.Second); err != nil {
		t.Fatal(err)
	}
	if a.conns[b.Addr()].dialled == b.conns[a.Addr()].dialled {
		t.Error("the two ends use different connections")
	}
	a.filter.DropLink(b.Addr())
	if err := call(a, b, 200*time.Millisecond); fault.OutcomeOf(err) != api.Unknown {
		t.Errorf("call over a partitioned link: %v, want unknown", err)
	}
	a.filter.RestoreLink(b.Addr())
	if err := call(a, b, 3*time.Second); err != nil {
		t.Errorf("call after the link was restored: %v", err)
	}
}

// Guards against a truncated stream that is taken for a complete short message, in both directions, and against a
// handler's error that loses its outcome.
func TestStreams(t *testing.T) {
	authority := newAuthority(t)
	payload := bytes.Repeat([]byte("0123456789abcdef"), 3*MaxFrame/16)
	started := make(chan struct{}, 8)
	requests := make(chan error, 8)
	server := startNode(t, authority, "server", func(tr *Transport) {
		tr.HandleStream(testKind, func(_ context.Context, _ Sender, head []byte, s *ServerStream) error {
			started <- struct{}{}
			var m text
			if err := Decode(head, &m); err != nil {
				return err
			}
			if m.Text == "refuse" {
				return fault.NotRun(fault.New(fault.CodeOverloaded, "test", "full"))
			}
			data, err := io.ReadAll(s)
			requests <- err
			if err != nil {
				return err
			}
			if err := s.WriteHead(text{"ok"}); err != nil {
				return err
			}
			if m.Text == "cut" {
				data = data[:len(data)/2]
			}
			if _, err := s.Write(data); err != nil {
				return err
			}
			if m.Text == "cut" {
				return fault.New(fault.CodeInternal, "test", "endpoint died")
			}
			return nil
		})
	})
	client := startNode(t, authority, "client", nil)
	open := func(mode string) *ClientStream {
		s, err := client.OpenStream(t.Context(), server.Addr(), testKind, text{mode})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	exchange := func(mode string) ([]byte, error) {
		s := open(mode)
		defer s.Close()
		if _, err := s.Write(payload); err != nil {
			return nil, err
		}
		if err := s.CloseWrite(); err != nil {
			return nil, err
		}
		if err := <-requests; err != nil {
			return nil, err
		}
		var head text
		if err := s.Head(&head); err != nil {
			return nil, err
		}
		return io.ReadAll(s)
	}
	if got, err := exchange("echo"); err != nil || !bytes.Equal(got, payload) {
		t.Errorf("complete response: %d bytes, %v", len(got), err)
	}
	if _, err := exchange("cut"); !fault.Is(err, fault.CodeTruncated) || fault.OutcomeOf(err) != api.Unknown {
		t.Errorf("response without final frame: %v, want truncated and unknown", err)
	}
	refused := open("refuse")
	defer refused.Close()
	if err := refused.Head(&text{}); fault.OutcomeOf(err) != api.NotRun || !fault.Is(err, fault.CodeOverloaded) {
		t.Errorf("refused stream: %v, want not-run and overloaded", err)
	}
	for len(started) > 0 {
		<-started
	}
	cancelled := open("echo")
	if _, err := cancelled.Write([]byte("half")); err != nil {
		t.Fatal(err)
	}
	// A stream that is cancelled before this may never be dispatched.
	<-started
	cancelled.Close()
	if err := <-requests; !fault.Is(err, fault.CodeTruncated) {
		t.Errorf("request without final frame: %v, want truncated", err)
	}
}

// Guards against unbounded messages, and against a message truncated at any byte that decodes as a shorter one.
func TestMessageLimitsAndTruncation(t *testing.T) {
	var complete bytes.Buffer
	if err := writeMessage(&complete, make([]byte, MaxFrame+10)); err != nil {
		t.Fatal(err)
	}
	for cut := 0; cut < complete.Len(); cut += 97 {
		if _, err := readMessage(bytes.NewReader(complete.Bytes()[:cut])); !fault.Is(err, fault.CodeTruncated) {
			t.Fatalf("cut at byte %d: %v, want truncated", cut, err)
		}
	}
	if err := writeMessage(io.Discard, make([]byte, MaxMessage+1)); !fault.Is(err, fault.CodeTooLarge) {
		t.Errorf("message above the limit: %v", err)
	}
	frame := []byte{0, 2, 0, 0}
	if _, err := readMessage(bytes.NewReader(frame)); !fault.Is(err, fault.CodeTooLarge) {
		t.Errorf("frame above the limit: %v", err)
	}
}

// Guards against a restarted peer that stays unreachable until the idle timeout, and against bytes that are not
// counted.
func TestRestartedPeerIsRedialled(t *testing.T) {
	authority := newAuthority(t)
	conf, err := authority.TLS("server")
	if err != nil {
		t.Fatal(err)
	}
	run := func(addr string) *Transport {
		server := New(Config{ID: "server", Addr: addr, Session: 1, TLS: conf, Log: zerolog.Nop()})
		server.Handle(KindStopTask, func(_ context.Context, _ Sender, p []byte) ([]byte, error) { return p, nil })
		if err := server.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		return server
	}
	client := startNode(t, authority, "client", nil)
	first := run("127.0.0.1:0")
	addr := first.Addr()
	if err := client.Call(t.Context(), addr, KindStopTask, text{"x"}, nil); err != nil {
		t.Fatal(err)
	}
	killWithoutClose(first)
	second := run(addr)
	defer func() { _ = second.Stop(t.Context()) }()
	deadline := time.Now().Add(idleTimeout / 2)
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		err := client.Call(ctx, addr, KindStopTask, text{"x"}, nil)
		cancel()
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("restarted peer is not reachable: %v", err)
		}
	}
	rows := client.Traffic()
	if len(rows) != 1 || rows[0].Class != TrafficControl || rows[0].In == 0 || rows[0].Out == 0 {
		t.Errorf("traffic = %+v, want control bytes in both directions", rows)
	}
}

// killWithoutClose closes the socket first, as after kill -9: no close packet reaches the peers.
func killWithoutClose(t *Transport) {
	t.mu.Lock()
	t.stopping = true
	t.mu.Unlock()
	_ = t.quic.Conn.Close()
	t.cancel()
}

var _ stream = (*quic.Stream)(nil)
