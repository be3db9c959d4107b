package ownership

import (
	"strconv"
	"strings"

	"bronzehook/api"
	"bronzehook/membership"
)

const (
	// unitPrefix begins the keys of unit rows.
	unitPrefix = "unit/"
	// versionKey is a row that every change of a unit row writes too. Polling it costs one small read instead of a list
	// of all units, which takes about 18 KB at 150 units.
	versionKey = "units-version"
	// ShardsPerRegion is the number of request shards in each region.
	ShardsPerRegion = 16
)

// Row is the value of a unit row.
type Row struct {
	// Owner is empty if the unit was released without a successor.
	Owner   api.InstanceID `cbor:"1,keyasint"`
	Session uint64         `cbor:"2,keyasint"`
	Epoch   api.Epoch      `cbor:"3,keyasint"`
	Deputy  api.InstanceID `cbor:"4,keyasint,omitempty"`
	// Region is the owner's region, which tells whose reports count when the owner has disappeared from the directory.
	Region string `cbor:"5,keyasint,omitempty"`
	// Previous is the owner before this one.
	Previous api.InstanceID `cbor:"6,keyasint,omitempty"`
}

// ShardUnit returns the unit of a request shard.
func ShardUnit(region string, n int) api.Unit {
	return api.Unit{Kind: api.UnitShard, Scope: region, Name: strconv.Itoa(n)}
}

// parseKey is the inverse of api.Unit.Key.
func parseKey(key string) (api.Unit, bool) {
	if key == api.Coordinator.Key() {
		return api.Coordinator, true
	}
	parts := strings.SplitN(strings.TrimPrefix(key, unitPrefix), "/", 3)
	if len(parts) != 3 {
		return api.Unit{}, false
	}
	return api.Unit{Kind: api.UnitKind(parts[0]), Scope: parts[1], Name: parts[2]}, true
}

// places lists the units that have to have an owner: racks of the directory's workers, the coordinator, and the shards of
// all regions with workers, listed instances or shards so far.
func (s *Service) places(view *membership.View) []Place {
	places := []Place{{Unit: api.Coordinator}}
	racks := map[api.Unit]bool{}
	for _, w := range view.Workers {
		unit := w.RackUnit()
		if !racks[unit] {
			racks[unit] = true
			places = append(places, Place{Unit: unit, Location: w.Location})
		}
	}
	for region := range s.regions(view) {
		for n := range ShardsPerRegion {
			places = append(places, Place{Unit: ShardUnit(region, n), Location: api.Location{Region: region}})
		}
	}
	return places
}

func (s *Service) regions(view *membership.View) map[string]bool {
	regions := map[string]bool{s.config.Self.Location.Region: true}
	for _, w := range view.Workers {
		regions[w.Location.Region] = true
	}
	for _, m := range view.Members {
		if m.Listed {
			regions[m.Instance.Location.Region] = true
		}
	}
	for unit := range s.rows {
		if unit.Kind == api.UnitShard {
			regions[unit.Scope] = true
		}
	}
	return regions
}
