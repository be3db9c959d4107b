package instance

import (
	"context"

	"bronzehook/invariant"
)

// check fails the test for each broken invariant that the workers' journals and the committed rows show.
func (f *fleet) check() {
	f.t.Helper()
	violations, err := invariant.Check(context.Background(), f.site)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, v := range violations {
		f.t.Error(v)
	}
}
