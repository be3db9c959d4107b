package ownership

import (
	"strconv"
	"strings"

	"bronzehook/api"
	"bronzehook/membership"
)

const (
	// unitKeyPrefix is the prefix of the keys of unit rows.
	unitKeyPrefix = "unit/"
	// versionRowKey is the key of a row that is written with every change of a unit row. Polling it costs one small read
	// instead of a list of all unit rows, which is about 18 KB for 150 units.
	versionRowKey = "units-version"
	// ShardsPerRegion is the number of request shards in each region.
	ShardsPerRegion = 16
)

// Row is the value of a unit row in the table.
type Row struct {
	// Owner is empty if the unit was released without a successor.
	Owner api.InstanceID `cbor:"1,keyasint"`
	// Session is the incarnation of the owner.
	Session uint64         `cbor:"2,keyasint"`
	Epoch   api.Epoch      `cbor:"3,keyasint"`
	Backup  api.InstanceID `cbor:"4,keyasint,omitempty"`
	// Region is the owner's region. It determines which instances' reports on the owner count once the owner is no longer
	// listed in the directory.
	Region string `cbor:"5,keyasint,omitempty"`
	// Previous is the owner before this one.
	Previous api.InstanceID `cbor:"6,keyasint,omitempty"`
}

// ShardUnit returns the ownership unit of a request shard.
func ShardUnit(region string, n int) api.Unit {
	return api.Unit{Kind: api.UnitShard, Scope: region, Name: strconv.Itoa(n)}
}

// parseUnitKey is the inverse of api.Unit.Key.
func parseUnitKey(key string) (api.Unit, bool) {
	if key == api.Coordinator.Key() {
		return api.Coordinator, true
	}
	parts := strings.SplitN(strings.TrimPrefix(key, unitKeyPrefix), "/", 3)
	if len(parts) != 3 {
		return api.Unit{}, false
	}
	return api.Unit{Kind: api.UnitKind(parts[0]), Scope: parts[1], Name: parts[2]}, true
}

// unitLocations returns the units that need an owner: the coordinator, the racks of the workers in the directory, and
// the shards of this instance's region and of all regions with workers, listed instances or existing shards.
func (s *Service) unitLocations(view *membership.View) []UnitLocation {
	locations := []UnitLocation{{Unit: api.Coordinator}}
	racks := map[api.Unit]bool{}
	for _, w := range view.Workers {
		unit := w.RackUnit()
		if !racks[unit] {
			racks[unit] = true
			locations = append(locations, UnitLocation{Unit: unit, Location: w.Location})
		}
	}
	for region := range s.regions(view) {
		for n := range ShardsPerRegion {
			locations = append(locations, UnitLocation{Unit: ShardUnit(region, n), Location: api.Location{Region: region}})
		}
	}
	return locations
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
