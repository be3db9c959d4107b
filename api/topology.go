package api

// InstanceID identifies a scheduler instance, that is one process of this system.
type InstanceID string

// WorkerID identifies a worker, that is a machine that runs tasks.
type WorkerID string

// Location is the region, data centre and rack of an instance or a worker.
type Location struct {
	Region     string `json:"region" cbor:"1,keyasint"`
	DataCentre string `json:"dataCentre" cbor:"2,keyasint"`
	// Rack is empty for an instance.
	Rack string `json:"rack,omitempty" cbor:"3,keyasint,omitempty"`
}

// Instance describes a scheduler instance to the other instances.
type Instance struct {
	ID       InstanceID `json:"id" cbor:"1,keyasint"`
	Addr     string     `json:"addr" cbor:"2,keyasint"`
	Location Location   `json:"location" cbor:"3,keyasint"`
	// Leaving is set once the instance has begun a planned shutdown.
	Leaving bool `json:"leaving,omitempty" cbor:"4,keyasint,omitempty"`
}

// Worker describes a machine that runs tasks, and its capacity.
type Worker struct {
	ID       WorkerID  `json:"id" cbor:"1,keyasint"`
	Addr     string    `json:"addr" cbor:"2,keyasint"`
	Location Location  `json:"location" cbor:"3,keyasint"`
	Capacity Resources `json:"capacity" cbor:"4,keyasint"`
	// Slots is the number of requests that the worker can execute concurrently.
	Slots int `json:"slots" cbor:"5,keyasint"`
	// Connections is the number of requests that may be open at the worker, executing or queued.
	Connections int  `json:"connections" cbor:"6,keyasint"`
	Leaving     bool `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
}

// RackUnit returns the ownership unit of the worker's rack.
func (w *Worker) RackUnit() Unit { return RackUnit(w.Location.DataCentre, w.Location.Rack) }

// Epoch is the ownership epoch of a unit: the number of its current ownership. It grows by one with every change of
// owner or backup. A worker rejects requests with a lower epoch of its rack than the latest one it has accepted.
type Epoch uint64

// UnitKind is the kind of an ownership unit.
type UnitKind string

// The kinds of ownership units.
const (
	UnitRack        UnitKind = "rack"
	UnitShard       UnitKind = "shard"
	UnitCoordinator UnitKind = "coordinator"
)

// Unit is an ownership unit, which has exactly one owner: a rack, a request shard or the coordinator role.
type Unit struct {
	Kind UnitKind `json:"kind" cbor:"1,keyasint"`
	// Scope is the data centre of a rack or the region of a shard; it is empty for the coordinator role.
	Scope string `json:"scope,omitempty" cbor:"2,keyasint,omitempty"`
	// Name is the rack's name or the shard's number.
	Name string `json:"name,omitempty" cbor:"3,keyasint,omitempty"`
}

// Coordinator is the ownership unit of the coordinator role.
var Coordinator = Unit{Kind: UnitCoordinator}

// RackUnit returns the ownership unit of a rack.
func RackUnit(dataCentre, rack string) Unit {
	return Unit{Kind: UnitRack, Scope: dataCentre, Name: rack}
}

// Key returns the unit's key in the platform's table.
func (u Unit) Key() string {
	if u.Kind == UnitCoordinator {
		return "unit/coordinator"
	}
	return "unit/" + string(u.Kind) + "/" + u.Scope + "/" + u.Name
}
