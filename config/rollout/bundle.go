package rollout

import (
	"context"

	"bronzehook/fault"
)

// Bundle is the whole configuration at one revision, as instances hand it to each other while the table is down.
type Bundle struct {
	Revision uint64 `cbor:"1,keyasint"`
	Digest   string `cbor:"2,keyasint"`
	Author   string `cbor:"3,keyasint"`
	Files    []File `cbor:"4,keyasint"`
	// Known is the highest revision that the sender has heard of. A starting instance adopts no bundle below it.
	Known uint64 `cbor:"5,keyasint"`
}

// PeerSource fetches the configuration from another instance. Fetch returns the highest bundle that it can get, of the
// given revision or above; it fails if no peer has one.
type PeerSource interface {
	Fetch(ctx context.Context, revision uint64) (Bundle, error)
}

const opBundle = "read configuration bundle"

// Verify checks the files against the digest.
func (b Bundle) Verify() error {
	if got := digestFiles(b.Files); got != b.Digest {
		return fault.New(fault.CodeTruncated, opBundle, "revision %d has digest %s, its files have %s", b.Revision, b.Digest, got)
	}
	return nil
}
