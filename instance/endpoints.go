package instance

import (
	"context"
	"sync"
	"time"

	"bronzehook/api"
	"bronzehook/peer"
)

// peerCallTimeout bounds control messages to other instances, such as the fetch of their endpoints.
const peerCallTimeout = 2 * time.Second

// endpointSet holds the endpoints of the racks that one instance owns.
type endpointSet struct {
	Version   uint64         `cbor:"1,keyasint"`
	Endpoints []api.Endpoint `cbor:"2,keyasint"`
}

// endpointQuery is the request for the endpoints of an instance.
type endpointQuery struct{}

// endpointRegistry holds the endpoints of the owned racks and the last fetched endpoints of every other instance.
type endpointRegistry struct {
	self    api.InstanceID
	fetch   func(ctx context.Context, id api.InstanceID) (endpointSet, error)
	changed func()

	mu       sync.Mutex
	local    endpointSet
	remote   map[api.InstanceID]endpointSet
	fetching map[api.InstanceID]bool
}

func newEndpointRegistry(
	self api.InstanceID, fetch func(context.Context, api.InstanceID) (endpointSet, error), changed func(),
) *endpointRegistry {
	return &endpointRegistry{
		self: self, fetch: fetch, changed: changed,
		remote: map[api.InstanceID]endpointSet{}, fetching: map[api.InstanceID]bool{},
	}
}

// setLocal replaces the endpoints of the owned racks. The version in the next heartbeat makes other instances fetch
// them.
func (d *endpointRegistry) setLocal(endpoints []api.Endpoint) {
	d.mu.Lock()
	d.local = endpointSet{Version: d.local.Version + 1, Endpoints: endpoints}
	d.mu.Unlock()
	d.changed()
}

// localSet returns the endpoints that other instances fetch.
func (d *endpointRegistry) localSet() endpointSet {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.local
}

// all returns every known endpoint.
func (d *endpointRegistry) all() []api.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	endpoints := append([]api.Endpoint(nil), d.local.Endpoints...)
	for _, set := range d.remote {
		endpoints = append(endpoints, set.Endpoints...)
	}
	return endpoints
}

// handleVersion fetches the endpoints of an instance if the version in its heartbeat differs from the stored one.
func (d *endpointRegistry) handleVersion(id api.InstanceID, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id == d.self || d.fetching[id] || d.remote[id].Version == version {
		return
	}
	d.fetching[id] = true
	go d.fetchFrom(id)
}

func (d *endpointRegistry) fetchFrom(id api.InstanceID) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	set, err := d.fetch(ctx, id)
	d.mu.Lock()
	delete(d.fetching, id)
	if err == nil {
		d.remote[id] = set
	}
	d.mu.Unlock()
	if err == nil {
		d.changed()
	}
}

// retain removes the endpoints of instances that are no longer members.
func (d *endpointRegistry) retain(member func(api.InstanceID) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.remote {
		if !member(id) {
			delete(d.remote, id)
		}
	}
}

// handleEndpointQuery serves the local endpoints to other instances.
func handleEndpointQuery(t *peer.Transport, d *endpointRegistry) {
	peer.HandleTyped(t, peer.KindEndpointPull, func(context.Context, peer.Sender, endpointQuery) (endpointSet, error) {
		return d.localSet(), nil
	})
}
