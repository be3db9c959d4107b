package ownership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bronzehook/api"
)

// Guards against an assignment that depends on the order of its arguments, is uneven, or uses another data centre.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var instances []api.Instance
		for i := range rapid.IntRange(1, 12).Draw(t, "instances") {
			dc := rapid.IntRange(0, 3).Draw(t, "dc")
			location := api.Location{Region: fmt.Sprint("r", dc/2), DataCentre: fmt.Sprint("dc", dc)}
			instances = append(instances, api.Instance{ID: api.InstanceID(fmt.Sprint("i", i)), Location: location})
		}
		location := api.Location{Region: "r0", DataCentre: "dc0"}
		var locations []UnitLocation
		for i := range rapid.IntRange(1, 60).Draw(t, "racks") {
			locations = append(locations, UnitLocation{Unit: api.RackUnit("dc0", fmt.Sprint(i)), Location: location})
		}
		eligible := Eligible(locations[0], instances)
		assigned := Assign(locations, instances)
		shuffled := Assign(rapid.Permutation(locations).Draw(t, "places"), rapid.Permutation(instances).Draw(t, "order"))
		counts := map[api.InstanceID]int{}
		for unit, owner := range assigned {
			counts[owner]++
			if shuffled[unit] != owner || !contains(eligible, owner) {
				t.Fatalf("%s is assigned to %s and %s of %v", unit.Key(), owner, shuffled[unit], eligible)
			}
		}
		for id, count := range counts {
			if count > (len(locations)+len(eligible)-1)/len(eligible)+1 {
				t.Fatalf("%s gets %d of %d racks among %d instances", id, count, len(locations), len(eligible))
			}
		}
	})
}
