package instance

import (
	"context"
	"sync"
	"time"

	"bronzehook/api"
	"bronzehook/peer"
)

// pullTimeout bounds the fetch of another instance's endpoints.
const pullTimeout = 2 * time.Second

// endpointSet is what one instance publishes of its racks.
type endpointSet struct {
	Version   uint64         `cbor:"1,keyasint"`
	Endpoints []api.Endpoint `cbor:"2,keyasint"`
}

// endpointPull asks an instance for its endpoints.
type endpointPull struct{}

// directoryOfEndpoints holds the endpoints of the own racks and the last pulled ones of every other instance.
type directoryOfEndpoints struct {
	self    api.InstanceID
	fetch   func(ctx context.Context, id api.InstanceID) (endpointSet, error)
	changed func()

	mu      sync.Mutex
	own     endpointSet
	others  map[api.InstanceID]endpointSet
	pulling map[api.InstanceID]bool
}

func newDirectoryOfEndpoints(
	self api.InstanceID, fetch func(context.Context, api.InstanceID) (endpointSet, error), changed func(),
) *directoryOfEndpoints {
	return &directoryOfEndpoints{
		self: self, fetch: fetch, changed: changed,
		others: map[api.InstanceID]endpointSet{}, pulling: map[api.InstanceID]bool{},
	}
}

// setOwn replaces the endpoints of the own racks; the version in the next heartbeat makes the others pull them.
func (d *directoryOfEndpoints) setOwn(endpoints []api.Endpoint) {
	d.mu.Lock()
	d.own = endpointSet{Version: d.own.Version + 1, Endpoints: endpoints}
	d.mu.Unlock()
	d.changed()
}

// ownSet returns what others pull.
func (d *directoryOfEndpoints) ownSet() endpointSet {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own
}

// all returns every known endpoint.
func (d *directoryOfEndpoints) all() []api.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	endpoints := append([]api.Endpoint(nil), d.own.Endpoints...)
	for _, set := range d.others {
		endpoints = append(endpoints, set.Endpoints...)
	}
	return endpoints
}

// heard pulls the endpoints of an instance if its heartbeat names another version than the one held.
func (d *directoryOfEndpoints) heard(id api.InstanceID, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id == d.self || d.pulling[id] || d.others[id].Version == version {
		return
	}
	d.pulling[id] = true
	go d.pull(id)
}

func (d *directoryOfEndpoints) pull(id api.InstanceID) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	set, err := d.fetch(ctx, id)
	d.mu.Lock()
	delete(d.pulling, id)
	if err == nil {
		d.others[id] = set
	}
	d.mu.Unlock()
	if err == nil {
		d.changed()
	}
}

// retain forgets the endpoints of instances that are no longer members.
func (d *directoryOfEndpoints) retain(member func(api.InstanceID) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.others {
		if !member(id) {
			delete(d.others, id)
		}
	}
}

// handleEndpointPull serves the pulls of other instances.
func handleEndpointPull(t *peer.Transport, d *directoryOfEndpoints) {
	peer.HandleTyped(t, peer.KindEndpointPull, func(context.Context, peer.Sender, endpointPull) (endpointSet, error) {
		return d.ownSet(), nil
	})
}
