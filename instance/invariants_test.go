package instance

import (
	"context"

	"bronzehook/invariant"
)

// checkInvariants fails the test for each invariant that the workers' event logs or the committed rows violate.
func (f *fleet) checkInvariants() {
	f.t.Helper()
	violations, err := invariant.Check(context.Background(), f.site)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, v := range violations {
		f.t.Error(v)
	}
}
