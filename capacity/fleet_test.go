package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend/fake"
	"bronzehook/backend/httpbackend"
	"bronzehook/instance"
	"bronzehook/operator"
	"bronzehook/peer"
)

const (
	benchSeed     = 1
	instanceLease = 5 * time.Second
	attemptLease  = 30 * time.Second
	// steadyStateTimeout is the maximum wait until instances are ready and tasks are assigned.
	steadyStateTimeout = 90 * time.Second
	// idlePeriod is how long a steady state is measured. It is a multiple of the intervals of all activity that
	// repeats within 30 s.
	idlePeriod = 30 * time.Second
)

// node is an instance with the meters of its traffic and table calls.
type node struct {
	*instance.Instance
	id                        api.InstanceID
	socket                    *peer.FilterConn
	table, directory, workers meter
	reads, writes             atomic.Int64
}

// fleet is a number of instances in this process, connected to a fake cluster in another process.
type fleet struct {
	url   string
	nodes []*node
	// observer is the benchmark's own client of the platform.
	observer *http.Client
}

func startFleet(tb testing.TB, instances, workers int) *fleet {
	tb.Helper()
	f := &fleet{url: startFakeCluster(tb, workers), observer: (&meter{}).client()}
	authority, err := peer.NewDevAuthority()
	if err != nil {
		tb.Fatal(err)
	}
	for i := range instances {
		f.nodes = append(f.nodes, f.newNode(tb, i, authority))
	}
	for _, n := range f.nodes {
		if err := n.Start(context.Background()); err != nil {
			tb.Fatal(err)
		}
	}
	tb.Cleanup(f.stop)
	f.await(tb, "instances are ready", func() bool {
		for _, n := range f.nodes {
			if n.Ready() != nil {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fleet) newNode(tb testing.TB, index int, authority *peer.DevAuthority) *node {
	socket, err := peer.ListenFiltered("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	n := &node{socket: socket, id: api.InstanceID(fmt.Sprintf("i%02d", index))}
	self := api.Instance{
		ID: n.id, Addr: socket.LocalAddr().String(),
		Location: dataCentres[index%len(dataCentres)],
	}
	identity, err := authority.TLS(self.ID)
	if err != nil {
		tb.Fatal(err)
	}
	store := httpbackend.New(f.url, n.table.client(), 0)
	f.put(tb, strings.Replace(fake.PathInstance, "{id}", string(self.ID), 1), self)
	n.Instance = instance.New(instance.Options{
		Self: self, Regions: regions, CallerAddr: "127.0.0.1:0", OperatorAddr: "127.0.0.1:0", PeerTLS: identity,
		Table:   meteredTable{Table: store.Table(), reads: &n.reads, writes: &n.writes},
		Objects: store.Objects(), Directory: httpbackend.New(f.url, n.directory.client(), 0).Directory(),
		Workers: httpbackend.NewWorkers(n.workers.client(), 0), Clock: clockwork.NewRealClock(), Logger: zerolog.Nop(),
		InstanceLeaseDuration: instanceLease, AttemptLeaseDuration: attemptLease, StopTimeout: time.Second,
		ListenPeer: func(string) (net.PacketConn, error) { return socket, nil },
	})
	return n
}

// stop stops all instances without waiting for the handover of a planned stop.
func (f *fleet) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, n := range f.nodes {
		_ = n.Stop(ctx)
	}
	f.nodes = nil
}

func (f *fleet) await(tb testing.TB, condition string, done func() bool) {
	tb.Helper()
	for end := time.Now().Add(steadyStateTimeout); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("timed out waiting until %s", condition)
		}
	}
}

func (f *fleet) put(tb testing.TB, path string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		tb.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, f.url+path, bytes.NewReader(data))
	if err != nil {
		tb.Fatal(err)
	}
	doJSON(tb, request, nil)
}

// apply applies file edits through an instance and returns the new revision.
func (n *node) apply(tb testing.TB, edits []operator.FileEdit) uint64 {
	tb.Helper()
	data, err := json.Marshal(operator.ApplyRequest{Edits: edits, Author: "capacity"})
	if err != nil {
		tb.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+n.OperatorAddr()+"/v1/apply", bytes.NewReader(data))
	if err != nil {
		tb.Fatal(err)
	}
	var response operator.RevisionResponse
	doJSON(tb, request, &response)
	return response.Revision
}

func (n *node) accepted(tb testing.TB, revision uint64) bool {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/revision/%d", n.OperatorAddr(), revision), nil)
	if err != nil {
		tb.Fatal(err)
	}
	var response operator.RevisionResponse
	doJSON(tb, request, &response)
	return response.Accepted
}

func doJSON(tb testing.TB, request *http.Request, into any) {
	tb.Helper()
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		tb.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		var text bytes.Buffer
		_, _ = text.ReadFrom(response.Body)
		tb.Fatalf("%s %s: status %d: %s", request.Method, request.URL, response.StatusCode, text.String())
	}
	if into != nil {
		if err := json.NewDecoder(response.Body).Decode(into); err != nil {
			tb.Fatal(err)
		}
	}
}
