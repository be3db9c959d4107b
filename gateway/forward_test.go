package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"bronzehook/api"
	"bronzehook/dispatch"
	"bronzehook/fault"
)

// encodingPeer passes messages to another instance in the encoding of the transport.
type encodingPeer struct {
	t       *testing.T
	gateway *Gateway
}

func (p encodingPeer) Forward(ctx context.Context, _ api.InstanceID, m dispatch.ForwardRequest) (dispatch.Reply, error) {
	return encodeAndDecode(p.t, p.gateway.ServeForward(ctx, encodeAndDecode(p.t, m))), nil
}

func (p encodingPeer) ForwardKeyed(ctx context.Context, _ api.InstanceID, m dispatch.KeyedRequest) (dispatch.Reply, error) {
	return encodeAndDecode(p.t, p.gateway.ServeKeyed(ctx, encodeAndDecode(p.t, m))), nil
}

func encodeAndDecode[T any](t *testing.T, in T) (out T) {
	encoded, err := cbor.Marshal(in)
	if err != nil {
		t.Error(err)
	}
	if err := cbor.Unmarshal(encoded, &out); err != nil {
		t.Error(err)
	}
	return out
}

// remoteOwner reports i1 as the owner of every shard.
type remoteOwner struct{ Deduplicator }

func (remoteOwner) Owner(string) (api.InstanceID, error) { return "i1", nil }

// Guards against a second execution of a key when the caller retries through another instance, and against a change of
// the response or failure of a forwarded request between instances.
func TestRetryThroughAnotherInstanceExecutesOnce(t *testing.T) {
	var executions atomic.Int32
	addr := endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "run %d of %s", executions.Add(1), body)
	})
	owner := newInstance(t, 8, addr)
	other := newInstance(t, 8, addr)
	other.gateway.Self.ID = "i2"
	other.gateway.Deduplicator = remoteOwner{other.gateway.Deduplicator}
	other.gateway.Peers = encodingPeer{t, owner.gateway}
	other.gateway.Dispatcher = dispatch.New("i2", nil, nil, nil, encodingPeer{t, owner.gateway})
	for attempt, url := range []string{other.url, owner.url, other.url} {
		got := call(t, "POST", url+"/s/x", "order", api.HeaderKey, "r:1", api.HeaderAttempt, fmt.Sprint(attempt+1))
		if got.outcome != api.Answered || got.body != "run 1 of order" {
			t.Errorf("attempt %d: %+v", attempt+1, got)
		}
	}
	if got := call(t, "GET", other.url+"/s/x", ""); got.outcome != api.Answered || got.body != "run 2 of " {
		t.Errorf("request forwarded to the owner of the rack: %+v", got)
	}
	for _, id := range owner.slots.Workers() {
		owner.slots.Remove(id)
	}
	if got := call(t, "POST", other.url+"/s/x", ""); got.outcome != api.NotRun || got.reason != string(fault.CodeNotOwner) {
		t.Errorf("failure of a forwarded request: %+v", got)
	}
}

// handoverOwner reports i3 as the owner of every shard for the first handoverAfter calls, and i1 from then on.
type handoverOwner struct {
	Deduplicator
	calls         *atomic.Int32
	handoverAfter int32
}

func (o handoverOwner) Owner(string) (api.InstanceID, error) {
	if o.calls.Add(1) <= o.handoverAfter {
		return "i3", nil
	}
	return "i1", nil
}

// peersByID passes messages to the instance to which they are addressed.
type peersByID struct {
	t     *testing.T
	peers map[api.InstanceID]*Gateway
}

func (p peersByID) ForwardKeyed(ctx context.Context, owner api.InstanceID, m dispatch.KeyedRequest) (dispatch.Reply, error) {
	return encodingPeer{p.t, p.peers[owner]}.ForwardKeyed(ctx, owner, m)
}

// Guards against requests reported as unknown during a planned stop because the instance that received them still
// forwards them to the shard's former owner.
func TestShardHandoverIsTransparentToCallers(t *testing.T) {
	addr := endpoint(t, hello)
	owner, former := newInstance(t, 8, addr), newInstance(t, 8)
	former.gateway.Self.ID = "i3"
	former.gateway.Deduplicator = remoteOwner{former.gateway.Deduplicator}
	for attempt := 1; attempt <= 2; attempt++ {
		receiver := newInstance(t, 8, addr)
		receiver.gateway.Self.ID = "i2"
		receiver.gateway.Deduplicator = handoverOwner{receiver.gateway.Deduplicator, &atomic.Int32{}, 3}
		receiver.gateway.Peers = peersByID{t, map[api.InstanceID]*Gateway{"i1": owner.gateway, "i3": former.gateway}}
		key := fmt.Sprint("r:", attempt)
		got := call(t, "POST", receiver.url+"/s/x", "order", api.HeaderKey, key, api.HeaderAttempt, fmt.Sprint(attempt))
		if got.outcome != api.Answered {
			t.Errorf("attempt %d: %+v", attempt, got)
		}
	}
}
